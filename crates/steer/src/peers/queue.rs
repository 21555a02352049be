//! Parts of large answers that wait until the links have room for them.
//!
//! The load pattern is a relay that answers many hosts with a large configuration, over links of 10 Mbit/s.
//! All parts at once would fill the queue of a link, which then drops them, callers' traffic and the
//! messages by which hosts know each other. See docs/platform.md.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use bytes::Bytes;

/// Bandwidth of a link that is not known, in Mbit/s.
const DEFAULT_LINK_MBPS: u32 = 10;

/// Share of a link that parts take.
const LINK_RATIO: f64 = 0.5;

/// Time after which a batch of which nothing has been sent is dropped. Its host has asked others since.
const MAX_AGE: Duration = Duration::from_millis(1500);

const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Time that bytes take on the part of a link that may be used.
pub fn link_time(bytes: usize, link_mbps: Option<u32>) -> Duration {
    let bandwidth = f64::from(link_mbps.unwrap_or(DEFAULT_LINK_MBPS).max(1));
    let bits = bytes as f64 * BITS_PER_BYTE;
    Duration::from_secs_f64(bits / (bandwidth * BITS_PER_MEGABIT * LINK_RATIO))
}

/// One datagram that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Encoded message.
    pub head: Vec<u8>,
    /// Payload, which all receivers of an answer share.
    pub payload: Bytes,
}

/// Datagrams for one host.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Address of the host.
    pub host: SocketAddr,
    /// Bandwidth of its link in Mbit/s, if it is known.
    pub link_mbps: Option<u32>,
    /// What it is sent, in this order.
    pub datagrams: VecDeque<Datagram>,
}

/// A batch, and when the link of its host has room for the next datagram.
#[derive(Debug)]
struct Waiting {
    batch: Batch,
    since: Duration,
    is_started: bool,
    ready_at: Duration,
}

impl Waiting {
    /// Whether something of the batch is still to be sent.
    fn is_due(&self, now: Duration) -> bool {
        let is_fresh = self.is_started || now < self.since + MAX_AGE;
        is_fresh && !self.batch.datagrams.is_empty()
    }
}

/// What to do next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this to the host with this address.
    Send(SocketAddr, Datagram),
    /// Wait until this time, or for another batch.
    Wait(Duration),
    /// Wait for a batch.
    Idle,
}

/// Batches that wait, the oldest first.
#[derive(Debug)]
pub struct Queue {
    /// Bandwidth of the own link in Mbit/s, if it is known.
    link_mbps: Option<u32>,
    waiting: VecDeque<Waiting>,
    /// When the own link has room for the next datagram.
    ready_at: Duration,
}

impl Queue {
    /// An empty queue of a host with a link of this bandwidth.
    pub fn new(link_mbps: Option<u32>) -> Self {
        Self { link_mbps, waiting: VecDeque::new(), ready_at: Duration::ZERO }
    }

    /// Adds a batch, which replaces what waits for the same host: that answers an earlier question of it.
    pub fn add(&mut self, batch: Batch, now: Duration) {
        match self.waiting.iter_mut().find(|waiting| waiting.batch.host == batch.host) {
            Some(waiting) => {
                *waiting =
                    Waiting { batch, since: now, is_started: false, ready_at: waiting.ready_at };
            }
            None => {
                let waiting = Waiting { batch, since: now, is_started: false, ready_at: now };
                self.waiting.push_back(waiting);
            }
        }
    }

    /// Takes the next datagram. A host with a slow link holds up no other one.
    pub fn next(&mut self, now: Duration) -> Step {
        self.waiting.retain(|waiting| waiting.is_due(now));
        let Some(ready_at) = self.waiting.iter().map(|waiting| waiting.ready_at).min() else {
            return Step::Idle;
        };
        let ready_at = ready_at.max(self.ready_at);
        if now < ready_at {
            return Step::Wait(ready_at);
        }
        let mut ready = self.waiting.iter_mut().filter(|waiting| waiting.ready_at <= now);
        let Some(waiting) = ready.next() else { return Step::Idle };
        let Some(datagram) = waiting.batch.datagrams.pop_front() else { return Step::Idle };
        let bytes = datagram.head.len() + datagram.payload.len();
        waiting.is_started = true;
        waiting.ready_at = now + link_time(bytes, waiting.batch.link_mbps);
        self.ready_at = now + link_time(bytes, self.link_mbps);
        Step::Send(waiting.batch.host, datagram)
    }
}
