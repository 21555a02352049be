//! Messages between entry hosts, over UDP.
//!
//! Two exchanges use them: loans of rate limit tokens ([`crate::lending`]) and changes of the store that
//! one host passes on to others ([`crate::feed`]). Announcements tell all other hosts at once what one of
//! them has just learned. Messages count only from the address of a registered host. All of it works
//! without any message: a lost, late or duplicated one costs a retry or a call of the store and never leads
//! to a wrong state.

pub mod queue;

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use eyre::WrapErr as _;
use marjorampick_core::steering::departure::Departure;
use queue::{Batch, Queue, Step};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::{net::UdpSocket, sync::mpsc, time::sleep};

use crate::{
    clock, departures,
    events::{Event, Rank},
    feed::relay::{Answer, Decline, Inbox, Question, Received},
    lending::Lending,
    limits, metrics,
    quarantine::{self, Notice},
    state::State,
    tasks,
};

/// Largest datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Datagrams that wait until this host reads them, in bytes. The kernel may allow less.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// Most batches of large answers that wait until they are queued; further ones are lost.
const MAX_BATCHES: usize = 1024;

/// Message between two hosts, encoded as JSON. A payload follows after a line break.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
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
    /// Asks for the changes of the store.
    Follow(Question),
    /// Answers [`Self::Follow`]. The payload holds the changes.
    Changes(Answer),
    /// Declines [`Self::Follow`]. Earlier versions know no such message and get none.
    Decline(Decline),
    /// Announces the limit that an instance has just stated.
    Limit(Limit),
    /// Tells of a request that crashes instances.
    Quarantine(Notice),
    /// Announces instances of which the sender has just heard that they leave.
    Leaving(Vec<Departure>),
}

impl Message {
    /// The message as it is sent before a payload; `None` if it cannot be encoded.
    pub(crate) fn head(&self) -> Option<Vec<u8>> {
        match serde_json::to_vec(self) {
            Ok(mut bytes) => {
                bytes.push(b'\n');
                Some(bytes)
            }
            Err(error) => {
                log::error!("peers: cannot encode a message: {error}");
                None
            }
        }
    }
}

/// Limit that an instance has stated in an answer to the sender.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Requests per second from all hosts together.
    pub rate: f64,
}

/// Socket for messages of other hosts.
#[derive(Debug)]
pub struct Socket {
    datagrams: Rc<UdpSocket>,
    batches: mpsc::Sender<Batch>,
}

impl Socket {
    /// Binds the UDP socket to `address`.
    pub async fn open(address: SocketAddr) -> eyre::Result<(Self, Sender)> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.wrap_err_with(|| format!("cannot bind the UDP socket to {address}"))?;
        if let Err(error) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::debug!("peers: cannot enlarge the receive buffer: {error}");
        }
        let datagrams = Rc::new(socket);
        let (sender, batches) = mpsc::channel(MAX_BATCHES);
        let sending = Sender { datagrams: datagrams.clone(), batches };
        Ok((Self { datagrams, batches: sender }, sending))
    }

    /// Sends a message without a payload. One that cannot be sent is handled like a lost one.
    pub(crate) fn send(&self, message: &Message, address: SocketAddr) {
        self.send_with_payload(message, &[], address);
    }

    /// Sends a message. Returns whether it was sent.
    pub(crate) fn send_with_payload(
        &self,
        message: &Message,
        payload: &[u8],
        address: SocketAddr,
    ) -> bool {
        let Some(mut bytes) = message.head() else { return false };
        if payload.is_empty() {
            bytes.pop();
        }
        bytes.extend_from_slice(payload);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::debug!("peers: a message of {} bytes is too large", bytes.len());
            return false;
        }
        send(&self.datagrams, &bytes, address)
    }

    /// Sends the datagrams of a large answer one after another ([`queue`]). Returns whether they are under way.
    pub(crate) fn send_batch(&self, batch: Batch) -> bool {
        self.batches.try_send(batch).is_ok()
    }
}

/// Sends the large answers of a [`Socket`].
#[derive(Debug)]
pub struct Sender {
    datagrams: Rc<UdpSocket>,
    batches: mpsc::Receiver<Batch>,
}

impl Sender {
    /// Sends datagrams as fast as the links allow, until the socket is dropped. One that cannot be sent is
    /// handled like a lost one.
    pub async fn run(mut self, state: Rc<State>) {
        let mut queue = Queue::new(state.settings.limits.link_mbps);
        loop {
            let wait = match queue.next(clock::now()) {
                Step::Send(host, datagram) => {
                    let bytes = [datagram.head.as_slice(), &datagram.payload].concat();
                    send(&self.datagrams, &bytes, host);
                    continue;
                }
                Step::Wait(until) => Some(until.saturating_sub(clock::now())),
                Step::Idle => None,
            };
            let batch = tokio::select! {
                batch = self.batches.recv() => batch,
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => continue,
            };
            let Some(batch) = batch else { return };
            queue.add(batch, clock::now());
        }
    }
}

/// Sends a datagram. Returns whether it was sent.
fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) -> bool {
    let sent = socket.try_send_to(bytes, address);
    if let Err(error) = &sent {
        log::debug!("peers: cannot send a datagram to {address}: {error}");
    }
    sent.is_ok()
}

/// Handles messages of other hosts until the process ends. Those of strangers are dropped, as they would
/// be told what hosts know, or change it.
pub async fn run(state: Rc<State>, socket: Rc<Socket>, lending: Rc<Lending>, inbox: Rc<Inbox>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.datagrams.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("peers: cannot receive a datagram: {error}");
                continue;
            }
        };
        let Some(host) = peer_name(&state, sender) else {
            record_dropped(&state, sender, "stranger");
            continue;
        };
        let datagram = &buffer[..length];
        let handled =
            tasks::contain(|| handle(&state, &lending, &inbox, datagram, &Source { sender, host }));
        if let Err(reason) = handled {
            log::error!("peers: a message of {sender} caused a {reason}");
            record_dropped(&state, sender, "malformed");
        }
    }
}

/// Registered host that sent a message.
struct Source {
    sender: SocketAddr,
    host: Arc<str>,
}

/// Handles a message of another host.
fn handle(
    state: &Rc<State>,
    lending: &Rc<Lending>,
    inbox: &Inbox,
    datagram: &[u8],
    source: &Source,
) {
    let Source { sender, host } = source;
    let mut parts = datagram.splitn(2, |byte| *byte == b'\n');
    let (head, payload) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    match serde_json::from_slice(head) {
        Ok(Message::Ask { id, workspace, tokens }) => {
            lending.lend(state, id, &workspace, tokens, *sender);
        }
        Ok(Message::Lend { id, tokens }) => lending.accept_loan(state, id, tokens),
        Ok(Message::Follow(question)) => {
            state.hear_version(host, question.plan);
            inbox.add_question(question, *sender);
        }
        Ok(Message::Changes(answer)) => {
            inbox.add_answer(Received { sender: *sender, answer, payload: payload.to_vec() });
        }
        Ok(Message::Decline(decline)) => inbox.add_decline(*sender, decline),
        Ok(Message::Limit(limit)) => limits::apply_message(state, &limit, host),
        Ok(Message::Quarantine(notice)) => quarantine::apply_notice(state, &notice, host),
        Ok(Message::Leaving(instances)) => departures::apply(state, &instances, host),
        Err(_) => record_dropped(state, *sender, "malformed"),
    }
}

/// Records a message that was dropped.
pub(crate) fn record_dropped(state: &State, sender: SocketAddr, reason: &'static str) {
    metrics::record_dropped_message(reason);
    let event = Event::MessageDropped { sender: &sender.to_string(), reason };
    state.log.write(Rank::Failure, event);
}

/// Sends announcements to all other registered hosts until the channel is closed.
pub async fn announce(
    state: Rc<State>,
    socket: Rc<Socket>,
    mut announcements: mpsc::Receiver<Message>,
) {
    while let Some(message) = announcements.recv().await {
        let peers = state.peers.borrow();
        let others = peers.iter().filter(|(_, peer)| peer.name != state.settings.host.name);
        others.for_each(|(address, _)| socket.send(&message, *address));
    }
}

/// Name of the host that sends from this address; `None` for a stranger.
fn peer_name(state: &State, sender: SocketAddr) -> Option<Arc<str>> {
    state.peers.borrow().get(&sender).map(|peer| peer.name.clone())
}
