//! Records of the limits of instances in the store.
//!
//! Only the hosts that share a limit send to its instance and hear when it changes. They publish it
//! for the others, and for hosts that start later. The first host to hear of a limit announces it besides,
//! as a record takes seconds to reach the others. See docs/platform.md.

use std::{rc::Rc, sync::Arc};

use marjorampick_core::steering::limit::{Change, Publication, Statement};
use serde::{Deserialize, Serialize};
use tokio::time::interval;

use crate::{
    clock,
    constants::MAINTENANCE_INTERVAL,
    events::{Event, Rank},
    metrics,
    peers::{self, Message},
    registration,
    state::State,
    store::{Call, Client, Transaction, Write},
};

/// Prefix of the keys of records, followed by the id of the instance.
pub const PREFIX: &str = "marjorampick/limits/";

/// Record of the limit of one instance. An instance without a limit has none.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation of the instance that stated the limit.
    pub incarnation: u64,
    /// Requests per second from all hosts together.
    pub rate: f64,
}

/// Where a host learned of a limit.
#[derive(Clone, Copy)]
pub(crate) enum Source<'a> {
    /// The answer to the request with this id.
    Answer(&'a str),
    /// A message of this host.
    Message(&'a str),
    /// A record with this revision, or its removal at this revision.
    Record(u64),
    /// A record that was read earlier and counts from now on.
    Time,
}

/// Tells the other hosts of the limit that an instance has stated to this host, if they should know at
/// once.
pub(crate) fn announce(state: &State, id: &Arc<str>, incarnation: u64) {
    let rate = state.fleet.borrow_mut().take_limit_announcement(clock::now(), id);
    if let Some(rate) = rate {
        state.announce(Message::Limit(peers::Limit { id: id.clone(), incarnation, rate }));
    }
}

/// Applies the announcement of another host.
pub(crate) fn apply_message(state: &State, limit: &peers::Limit, host: &str) {
    let peers::Limit { id, incarnation, rate } = limit;
    if !(rate.is_finite() && *rate >= 0.0) {
        return;
    }
    let (now, statement) = (clock::now(), Statement::Limited(*rate));
    let change = state.fleet.borrow_mut().record_limit_message(now, id, *incarnation, statement);
    log_changes(state, Source::Message(host), change);
}

/// Applies a record that was read from the store.
pub(crate) fn apply_record(state: &State, id: &Arc<str>, record: Record, revision: u64) {
    let Record { incarnation, rate } = record;
    let statement = Statement::Limited(rate);
    let now = clock::now();
    let mut fleet = state.fleet.borrow_mut();
    let change = fleet.apply_limit_record(now, id, incarnation, statement, revision);
    log_changes(state, Source::Record(revision), change);
}

/// Applies the removal of a record from the store.
pub(crate) fn remove_record(state: &State, id: &Arc<str>, revision: u64) {
    let change = state.fleet.borrow_mut().remove_limit_record(clock::now(), id);
    log_changes(state, Source::Record(revision), change);
}

/// Records that a restore of the store has lost a record.
pub(crate) fn lose_record(state: &State, id: &Arc<str>) {
    let change = state.fleet.borrow_mut().lose_limit_record(clock::now(), id);
    log_changes(state, Source::Time, change);
}

/// Applies what has changed with time.
pub(crate) fn update(state: &State) {
    let changes = state.fleet.borrow_mut().update_limits(clock::now());
    log_changes(state, Source::Time, changes);
    metrics::set_limited_instances(state.fleet.borrow().limited_count());
}

/// Writes the records that this host should write, until the process ends.
pub async fn run(state: Rc<State>, client: Client) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        let publications = state.fleet.borrow_mut().limit_publications(clock::now());
        for publication in publications {
            // A conflict means that another host was faster, and a failure is logged by `call`. If the
            // record is still missing, it is written again later.
            registration::call(&state, &client, &encode(&publication)).await.ok();
        }
    }
}

/// Logs limits that apply from now on, or no longer.
pub(crate) fn log_changes(
    state: &State,
    source: Source<'_>,
    changes: impl IntoIterator<Item = Change>,
) {
    for change in changes {
        let event = Event::InstanceLimit {
            id: &change.id,
            rate: change.statement.rate(),
            host_rate: change.host_rate,
            request: match source {
                Source::Answer(id) => Some(id),
                _ => None,
            },
            told_by: match source {
                Source::Message(host) => Some(host),
                _ => None,
            },
            revision: match source {
                Source::Record(revision) => Some(revision),
                _ => None,
            },
        };
        state.log.write(Rank::Notice, event);
    }
}

fn encode(publication: &Publication) -> Call {
    let Publication { id, incarnation, statement, replaces_revision } = publication;
    let key = format!("{PREFIX}{id}");
    let record = statement.rate().map(|rate| Record { incarnation: *incarnation, rate });
    let value = record.and_then(|record| serde_json::to_vec(&record).ok());
    let conditions = vec![(key.clone(), *replaces_revision)];
    let (writes, removals) = match value {
        Some(value) => (vec![Write { key, value, lease: 0 }], Vec::new()),
        None => (Vec::new(), vec![key]),
    };
    Call::Write(Transaction { conditions, writes, removals })
}
