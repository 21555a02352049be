//! Lends tokens of workspaces to the other hosts, and borrows from them, over UDP.
//!
//! A datagram that is lost loses tokens and makes none: the lender deducts them before it answers, and
//! an answer counts only once and only for a short time after the question.

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

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 1024;

/// Message between two hosts.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for tokens.
    Ask {
        /// Number of the question, unique at the host that asks.
        id: u64,
        /// Workspace.
        workspace: Arc<str>,
        /// Tokens wanted.
        tokens: u32,
    },
    /// Lends tokens.
    Lend {
        /// Number of the question.
        id: u64,
        /// Tokens lent, possibly none.
        tokens: u32,
    },
}

struct Question {
    workspace: Arc<str>,
    host: Arc<str>,
    asked: Duration,
}

/// Questions and answers of this host.
pub struct Lending {
    socket: UdpSocket,
    questions: RefCell<HashMap<u64, Question>>,
    next_id: RefCell<u64>,
    lenders: RefCell<HashMap<Arc<str>, Selector>>,
    answered: Notify,
}

impl Lending {
    /// Opens the socket.
    pub async fn open(address: SocketAddr) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket =
            socket.wrap_err_with(|| format!("cannot open the datagram socket {address}"))?;
        Ok(Self {
            socket,
            questions: RefCell::default(),
            // Answers to questions of an earlier process must not count.
            next_id: RefCell::new(u64::try_from(clock::now().as_nanos()).unwrap_or_default()),
            lenders: RefCell::default(),
            answered: Notify::new(),
        })
    }

    /// Asks other hosts for tokens of a workspace when this one will need them.
    pub fn request_tokens(&self, state: &State, workspace: &Arc<str>, limits: &Workspace) {
        let now = clock::now();
        let wanted = state.rates.borrow_mut().tokens_to_borrow(now, workspace, limits);
        if wanted == 0 {
            return;
        }
        let hosts = lenders(state, workspace, limits);
        let mut lenders = self.lenders.borrow_mut();
        let chosen = lenders.entry(workspace.clone()).or_default().choose(now, &hosts);
        for host in chosen {
            let Some(address) = state.hosts.borrow().get(&host).map(|host| host.registration.peers)
            else {
                continue;
            };
            let id = self.new_id();
            let question = Question { workspace: workspace.clone(), host, asked: now };
            self.questions.borrow_mut().insert(id, question);
            let message = Message::Ask { id, workspace: workspace.clone(), tokens: wanted };
            self.send(&message, address);
        }
    }

    /// Waits for borrowed tokens, for a short time and only if some host may have them. Answers
    /// whether it is worth trying again.
    pub async fn wait_for_tokens(
        &self,
        state: &State,
        workspace: &Arc<str>,
        limits: &Workspace,
    ) -> bool {
        let end = Instant::now() + MAX_LOAN_WAIT;
        loop {
            self.request_tokens(state, workspace, limits);
            let hosts = lenders(state, workspace, limits);
            let has_hope = self
                .lenders
                .borrow()
                .get(workspace)
                .is_some_and(|lenders| lenders.has_candidate(clock::now(), &hosts));
            if !has_hope {
                return false;
            }
            tokio::select! {
                () = self.answered.notified() => {}
                () = sleep_until(end) => return true,
            }
            if state.rates.borrow_mut().has_token(clock::now(), workspace, limits) {
                return true;
            }
        }
    }

    fn new_id(&self) -> u64 {
        let mut next = self.next_id.borrow_mut();
        *next = next.wrapping_add(1);
        *next
    }

    fn send(&self, message: &Message, address: SocketAddr) {
        match serde_json::to_vec(message) {
            // A datagram that cannot be sent now is like one that is lost.
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    log::debug!("lending: cannot send to {address}: {error}");
                }
            }
            Err(error) => log::error!("lending: cannot encode a message: {error}"),
        }
    }

    fn receive(&self, state: &State, message: Message, from: SocketAddr) {
        match message {
            Message::Ask { id, workspace, tokens } => {
                let plan = state.plan.borrow().clone();
                let limits = plan.as_ref().and_then(|plan| plan.workspaces.get(&workspace));
                let lent = limits.map_or(0, |limits| {
                    state.rates.borrow_mut().lend(clock::now(), &workspace, limits, tokens)
                });
                metrics::record_lent_tokens(lent);
                self.send(&Message::Lend { id, tokens: lent }, from);
            }
            Message::Lend { id, tokens } => {
                let Some(question) = self.questions.borrow_mut().remove(&id) else {
                    return;
                };
                let now = clock::now();
                let until = question.asked + LOAN_LIFETIME;
                state.rates.borrow_mut().add_loan(now, &question.workspace, tokens, until);
                let mut lenders = self.lenders.borrow_mut();
                lenders.entry(question.workspace).or_default().record_reply(
                    now,
                    &question.host,
                    tokens,
                );
                self.answered.notify_waiters();
            }
        }
    }

    /// Forgets questions whose answers would no longer count.
    pub fn remove_expired_requests(&self) {
        let now = clock::now();
        self.questions.borrow_mut().retain(|_, question| now < question.asked + LOAN_LIFETIME);
    }
}

/// Hosts that may hold tokens of a workspace.
fn lenders(state: &State, workspace: &Arc<str>, limits: &Workspace) -> Vec<Lender> {
    let own = &state.settings.host;
    let rates = state.rates.borrow();
    let hosts = state.hosts.borrow();
    let others = hosts.iter().filter(|(name, _)| **name != own.name);
    others
        .filter(|(name, _)| rates.has_share(name, workspace, limits))
        .map(|(name, host)| {
            let is_local = host.registration.region == own.region;
            Lender { host: name.clone(), is_local }
        })
        .collect()
}

/// Answers the other hosts until the process ends.
pub async fn run(state: Rc<State>, lending: Rc<Lending>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match lending.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match serde_json::from_slice(&buffer[..length]) {
                Ok(message) => lending.receive(&state, message, from),
                Err(error) => log::debug!("lending: unreadable datagram from {from}: {error}"),
            },
            Err(error) => log::debug!("lending: cannot receive: {error}"),
        }
    }
}
