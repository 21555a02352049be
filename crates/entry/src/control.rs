//! The control thread, sole owner of [`marjorampick_core::host::Host`].
//!
//! Events and requests go in, and the actions that the host asks for go out to the other threads. It
//! never waits for them: a full queue towards a peer or the store loses the message, as the network
//! might. See docs/design.md §4.

mod publish;
mod waiting;
mod weights;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use marjorampick_core::host::{
    Host,
    event::{Action, Event, ListedHost, WriteOutcome},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use self::{waiting::Waiting, weights::Weights};
use crate::{
    peers::Transmission,
    shared::{Request, Shared},
    store::Call,
};

/// Interval between two ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Queues that connect the control thread with the others.
pub struct Queues {
    /// Requests of the request path, the admin listener and the main thread.
    pub requests: mpsc::Receiver<Request>,
    /// Events from peers, store and platform.
    pub events: mpsc::Receiver<Event>,
    /// Messages to peers.
    pub peers: mpsc::Sender<Transmission>,
    /// Calls of the store.
    pub store: mpsc::Sender<Call>,
    /// Told when another incarnation has taken the host's place.
    pub replaced: oneshot::Sender<()>,
}

struct Control {
    host: Host,
    shared: Arc<Shared>,
    peers: mpsc::Sender<Transmission>,
    store: mpsc::Sender<Call>,
    replaced: Option<oneshot::Sender<()>>,
    waiting: Waiting,
    weights: Weights,
    listed: Vec<ListedHost>,
    /// Events that follow from actions.
    followups: VecDeque<Event>,
    publish_due: bool,
}

/// Runs until the host has left the members as asked. Its queues close then, which ends the others.
pub async fn run(host: Host, shared: Arc<Shared>, queues: Queues) {
    let Queues { mut requests, mut events, peers, store, replaced } = queues;
    let mut control = Control {
        host,
        shared,
        peers,
        store,
        replaced: Some(replaced),
        waiting: Waiting::default(),
        weights: Weights::default(),
        listed: Vec::new(),
        followups: VecDeque::new(),
        publish_due: true,
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => control.tick(),
            request = requests.recv() => match request {
                Some(request) => control.request(request),
                None => return,
            },
            Some(event) = events.recv() => control.event(event),
        }
        control.settle();
        if control.waiting.is_finished() {
            return;
        }
    }
}

impl Control {
    fn tick(&mut self) {
        let now = self.shared.now();
        let actions = self.host.tick(now);
        self.perform(actions);
        let is_current = self.host.is_current(now);
        if self.weights.advance(now, is_current, self.host.documents()) {
            self.publish_due = true;
            self.event(Event::OwnWeights(self.weights.all()));
        }
        self.waiting.expire(now);
    }

    fn request(&mut self, request: Request) {
        match request {
            Request::Short { budget, wanted, wake } => {
                self.waiting.short(self.shared.now(), budget.clone(), wake);
                self.event(Event::TokensNeeded { budget, wanted });
            }
            Request::Claim { name, fingerprint, answer } => {
                let ticket = self.waiting.claim(answer);
                self.event(Event::Claim { ticket, name, fingerprint });
            }
            Request::Completed(completion) => self.event(Event::RequestCompleted(completion)),
            Request::Edit { edit, answer } => {
                let ticket = self.waiting.edit(answer);
                self.event(Event::Edit { ticket, edit });
            }
            Request::Regions(reports) => self.weights.report(self.shared.now(), &reports),
            Request::Drain => {
                self.event(Event::Drain);
                self.publish_due = true;
            }
            Request::Leave(answer) => {
                self.waiting.leave(answer);
                self.event(Event::Leave);
            }
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.shared.now();
        if let Event::HostsListed(listed) = &event {
            self.publish_due |= self.listed != *listed;
            self.listed.clone_from(listed);
        }
        let actions = self.host.handle(now, event);
        self.perform(actions);
    }

    /// What follows from any input: queued events, currency and a new snapshot.
    fn settle(&mut self) {
        while let Some(event) = self.followups.pop_front() {
            self.event(event);
        }
        let now = self.shared.now();
        self.shared.set_current_until(self.host.current_until(now));
        publish::status(&self.host, &self.shared);
        let snapshot = self.shared.snapshot.load();
        let entry_hosts = publish::entry_hosts(&self.host, &self.listed, &self.shared);
        if self.publish_due || entry_hosts != snapshot.entry_hosts {
            self.publish_due = false;
            let backends = &self.listed;
            let fresh = publish::snapshot(&self.host, backends, &self.weights, entry_hosts);
            self.shared.snapshot.store(Arc::new(fresh));
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => {
                if self.peers.try_send(Transmission { to, message }).is_err() {
                    log::debug!("control: the queue of the peers thread is full");
                }
            }
            Action::ReadHead => self.call(Call::ReadHead),
            Action::ReadRecords => self.call(Call::ReadRecords),
            Action::Write { ticket, write } => self.call(Call::Write { ticket, write }),
            Action::ReportEdit { ticket, outcome } => self.waiting.edited(ticket, outcome),
            Action::ReportClaim { ticket, verdict } => self.waiting.claimed(ticket, verdict),
            Action::WakeBorrowers(budget) => self.waiting.borrowed(&budget),
            Action::PublishSnapshot => self.publish_due = true,
            Action::AdoptWeights(weights) => self.weights.adopt(self.shared.now(), &weights),
            Action::Stop => self.left(),
        }
    }

    /// Hands a call to the store thread. A write that finds its queue full is not written, which the
    /// host takes like a conflict: it reads the records and starts anew.
    fn call(&mut self, call: Call) {
        let Err(refused) = self.store.try_send(call) else {
            return;
        };
        log::warn!("control: the queue of the store thread is full");
        if let Call::Write { ticket, .. } = refused.into_inner() {
            let outcome = WriteOutcome::Conflict;
            self.followups.push_back(Event::WriteEnded { ticket, outcome });
        }
    }

    fn left(&mut self) {
        if self.waiting.left() {
            return;
        }
        log::error!("control: another process of this name has taken the host's place");
        if let Some(replaced) = self.replaced.take() {
            let _ = replaced.send(());
        }
    }
}
