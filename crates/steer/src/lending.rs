//! Lends rate limit tokens of workspaces to other hosts, and borrows from them, over UDP.
//!
//! A lost or duplicated datagram may lose tokens but never creates any: the lender deducts them
//! before it replies, and the borrower accepts only one reply to each request, for a short time.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use marjorampick_core::{
    rendezvous,
    steering::{
        lenders::{ANSWER_TIME, Lender, Selector},
        plan::Workspace,
        rate::LOAN_LIFETIME,
    },
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::{
    clock,
    constants::MAX_LOAN_WAIT,
    metrics,
    peers::{Message, Socket},
    state::State,
};

/// Request for a loan that has no reply yet.
struct Request {
    workspace_name: Arc<str>,
    host: Arc<str>,
    sent_at: Duration,
}

/// Lender and borrower of tokens at this host.
pub struct Lending {
    socket: Rc<Socket>,
    /// Requests without a reply, by their ids.
    pending_requests: RefCell<HashMap<u64, Request>>,
    last_request_id: RefCell<u64>,
    /// Selector of lenders for each workspace.
    selectors: RefCell<HashMap<Arc<str>, Selector>>,
    reply_received: Notify,
}

impl Lending {
    /// A lender and borrower without loans, which sends its messages through `socket`.
    pub fn new(socket: Rc<Socket>) -> Self {
        Self {
            socket,
            pending_requests: RefCell::default(),
            // Starts at the current time, so that late replies to requests of an earlier process do
            // not match.
            last_request_id: RefCell::new(
                u64::try_from(clock::now().as_nanos()).unwrap_or_default(),
            ),
            selectors: RefCell::default(),
            reply_received: Notify::new(),
        }
    }

    /// Requests tokens of the workspace called `name` from other hosts if this host is short of
    /// them, or will soon be.
    pub fn request_tokens(&self, state: &State, name: &Arc<str>, workspace: &Workspace) {
        let now = clock::now();
        let wanted = state.rate_limiter.borrow_mut().tokens_to_borrow(now, name, workspace);
        if wanted == 0 {
            return;
        }
        let lenders = lenders(state, name, workspace);
        let mut selectors = self.selectors.borrow_mut();
        let selector = selectors
            .entry(name.clone())
            .or_insert_with(|| Selector::new(rendezvous::weight(name, &state.settings.host.name)));
        let Some(host) = selector.choose(now, &lenders) else {
            return;
        };
        let Some(address) = state.hosts.borrow().get(&host).map(|host| host.registration.peers)
        else {
            return;
        };
        let id = self.new_request_id();
        let request = Request { workspace_name: name.clone(), host, sent_at: now };
        self.pending_requests.borrow_mut().insert(id, request);
        let message = Message::Ask { id, workspace: name.clone(), tokens: wanted };
        self.socket.send(&message, address);
    }

    /// Waits for borrowed tokens, for a short time and only while some host may have tokens to
    /// lend. Returns whether the caller should try again to acquire a token.
    pub async fn wait_for_tokens(
        &self,
        state: &State,
        name: &Arc<str>,
        workspace: &Workspace,
    ) -> bool {
        let wait_end = Instant::now() + MAX_LOAN_WAIT;
        loop {
            self.request_tokens(state, name, workspace);
            let lenders = lenders(state, name, workspace);
            let has_candidate = self
                .selectors
                .borrow()
                .get(name)
                .is_some_and(|selector| selector.has_candidate(clock::now(), &lenders));
            if !has_candidate {
                return false;
            }
            let next_question_at = Instant::now() + ANSWER_TIME;
            tokio::select! {
                () = self.reply_received.notified() => {}
                () = sleep_until(wait_end) => return true,
                () = sleep_until(next_question_at) => {}
            }
            if state.rate_limiter.borrow_mut().has_token(clock::now(), name, workspace) {
                return true;
            }
        }
    }

    fn new_request_id(&self) -> u64 {
        let mut last_id = self.last_request_id.borrow_mut();
        *last_id = last_id.wrapping_add(1);
        *last_id
    }

    /// Lends tokens of the workspace called `name`, as many as this host can spare.
    pub(crate) fn lend(
        &self,
        state: &State,
        id: u64,
        name: &Arc<str>,
        tokens: u32,
        sender: SocketAddr,
    ) {
        let plan = state.plan.borrow().clone();
        let workspace = plan.as_ref().and_then(|plan| plan.workspaces.get(name));
        let lent = workspace.map_or(0, |workspace| {
            state.rate_limiter.borrow_mut().lend(clock::now(), name, workspace, tokens)
        });
        metrics::record_lent_tokens(lent);
        self.socket.send(&Message::Lend { id, tokens: lent }, sender);
    }

    /// Adds the tokens of a loan that this host asked for.
    pub(crate) fn accept_loan(&self, state: &State, id: u64, tokens: u32) {
        let Some(request) = self.pending_requests.borrow_mut().remove(&id) else {
            return;
        };
        let now = clock::now();
        let expires_at = request.sent_at + LOAN_LIFETIME;
        let name = request.workspace_name;
        state.rate_limiter.borrow_mut().add_loan(now, &name, tokens, expires_at);
        let mut selectors = self.selectors.borrow_mut();
        selectors.entry(name).or_default().record_reply(now, &request.host, tokens);
        self.reply_received.notify_waiters();
    }

    /// Removes pending requests that are so old that a reply would be ignored.
    pub fn remove_expired_requests(&self) {
        let now = clock::now();
        self.pending_requests
            .borrow_mut()
            .retain(|_, request| now < request.sent_at + LOAN_LIFETIME);
    }
}

/// Returns the other hosts that hold a share of the limit of the workspace called `name`.
fn lenders(state: &State, name: &Arc<str>, workspace: &Workspace) -> Vec<Lender> {
    let own = &state.settings.host;
    let sharing = state.rate_limiter.borrow_mut().lenders(clock::now(), name, workspace);
    let hosts = state.hosts.borrow();
    let others = sharing.iter().filter(|host_name| **host_name != own.name);
    others
        .filter_map(|host_name| {
            let is_local = hosts.get(host_name)?.registration.region == own.region;
            Some(Lender { host: host_name.clone(), is_local })
        })
        .collect()
}
