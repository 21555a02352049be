//! The request path: accepts HTTP requests of callers and forwards them to backend servers.
//!
//! See docs/design.md §6, §9, §10 and §11.

pub mod accept;
mod attempt;
mod body;
mod choice;
mod claims;
mod constants;
mod credential;
mod exchange;
mod fair;
pub mod fleet;
mod forward;
mod handler;
mod headers;
pub mod metrics;
mod outcome;
mod path;
mod pool;
mod rate;
mod refusal;
mod reply;
mod request;
mod retry;
pub mod settings;
pub mod tokens;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

pub use accept::serve;
pub use settings::Settings;

use crate::shared::Shared;
use fleet::Fleet;
use tokens::Tokens;

/// State of the request path, shared by all caller threads.
pub struct Callers {
    pub(crate) shared: Arc<Shared>,
    pub(crate) settings: Settings,
    pub(crate) tokens: Tokens,
    pub(crate) fleet: Fleet,
    pub(crate) usage: fair::Usage,
    pub(crate) retries: retry::Budget,
    thread_count: AtomicUsize,
}

impl Callers {
    /// State of a request path that has no connections to backend servers yet.
    pub fn new(shared: Arc<Shared>, settings: Settings, tokens: Tokens) -> Arc<Self> {
        Arc::new(Self {
            fleet: Fleet::new(shared.clone(), settings.warmup),
            shared,
            settings,
            tokens,
            usage: fair::Usage::default(),
            retries: retry::Budget::default(),
            thread_count: AtomicUsize::new(0),
        })
    }

    /// Number for a new caller thread; no two threads get the same one.
    pub(crate) fn next_thread_index(&self) -> pool::ThreadIndex {
        pool::ThreadIndex(self.thread_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Connections to the backend servers and their state.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
