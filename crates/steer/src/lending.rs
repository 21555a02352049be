//! Lends rate limit tokens of workspaces to other hosts, and borrows from them, over UDP.
//!
//! A lost or duplicated datagram may lose tokens but never creates any: the lender deducts them
//! before it replies, and the borrower accepts only one reply to each request, for a short time.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use eyre::WrapErr as _;
use marjorampick_core::steering::{
    lenders::{Lender, Selector},
    plan::Workspace,
    rate::LOAN_LIFETIME,
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::{clock, constants::MAX_LOAN_WAIT, metrics, state::State};

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1024;

/// Message between two hosts, encoded as JSON.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests a loan.
    Ask {
        /// Id of the request, unique at the borrower.
        id: u64,
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Number of tokens that the borrower wants.
        tokens: u32,
    },
    /// Replies to a request for a loan.
    Lend {
        /// Id of the request.
        id: u64,
        /// Number of tokens lent, possibly 0.
        tokens: u32,
    },
}

/// Request for a loan that has no reply yet.
struct Request {
    workspace_name: Arc<str>,
    host: Arc<str>,
    sent_at: Duration,
}

/// Lender and borrower of tokens at this host.
pub struct Lending {
    socket: UdpSocket,
    /// Requests without a reply, by their ids.
    pending_requests: RefCell<HashMap<u64, Request>>,
    last_request_id: RefCell<u64>,
    /// Selector of lenders for each workspace.
    selectors: RefCell<HashMap<Arc<str>, Selector>>,
    reply_received: Notify,
}

impl Lending {
    /// Binds the UDP socket to `address`.
    pub async fn open(address: SocketAddr) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.wrap_err_with(|| format!("cannot bind the UDP socket to {address}"))?;
        Ok(Self {
            socket,
            pending_requests: RefCell::default(),
            // Starts at the current time, so that late replies to requests of an earlier process do
            // not match.
            last_request_id: RefCell::new(
                u64::try_from(clock::now().as_nanos()).unwrap_or_default(),
            ),
            selectors: RefCell::default(),
            reply_received: Notify::new(),
        })
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
        let chosen = selectors.entry(name.clone()).or_default().choose(now, &lenders);
        for host in chosen {
            let Some(address) = state.hosts.borrow().get(&host).map(|host| host.registration.peers)
            else {
                continue;
            };
            let id = self.new_request_id();
            let request = Request { workspace_name: name.clone(), host, sent_at: now };
            self.pending_requests.borrow_mut().insert(id, request);
            let message = Message::Ask { id, workspace: name.clone(), tokens: wanted };
            self.send(&message, address);
        }
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
            tokio::select! {
                () = self.reply_received.notified() => {}
                () = sleep_until(wait_end) => return true,
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

    fn send(&self, message: &Message, address: SocketAddr) {
        match serde_json::to_vec(message) {
            // A datagram that cannot be sent is handled like a lost one.
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    log::debug!("lending: cannot send a datagram to {address}: {error}");
                }
            }
            Err(error) => log::error!("lending: cannot encode a message: {error}"),
        }
    }

    fn handle_message(&self, state: &State, message: Message, sender: SocketAddr) {
        match message {
            Message::Ask { id, workspace: name, tokens } => {
                let plan = state.plan.borrow().clone();
                let workspace = plan.as_ref().and_then(|plan| plan.workspaces.get(&name));
                let lent = workspace.map_or(0, |workspace| {
                    state.rate_limiter.borrow_mut().lend(clock::now(), &name, workspace, tokens)
                });
                metrics::record_lent_tokens(lent);
                self.send(&Message::Lend { id, tokens: lent }, sender);
            }
            Message::Lend { id, tokens } => {
                let Some(request) = self.pending_requests.borrow_mut().remove(&id) else {
                    return;
                };
                let now = clock::now();
                let expires_at = request.sent_at + LOAN_LIFETIME;
                state.rate_limiter.borrow_mut().add_loan(
                    now,
                    &request.workspace_name,
                    tokens,
                    expires_at,
                );
                let mut selectors = self.selectors.borrow_mut();
                selectors.entry(request.workspace_name).or_default().record_reply(
                    now,
                    &request.host,
                    tokens,
                );
                self.reply_received.notify_waiters();
            }
        }
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

/// Handles messages of other hosts until the process ends.
pub async fn run(state: Rc<State>, lending: Rc<Lending>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match lending.socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => match serde_json::from_slice(&buffer[..length]) {
                Ok(message) => lending.handle_message(&state, message, sender),
                Err(error) => log::debug!("lending: malformed datagram from {sender}: {error}"),
            },
            Err(error) => log::debug!("lending: cannot receive a datagram: {error}"),
        }
    }
}
