//! The control thread, which alone owns the [`marjorampick_core::host::Host`].
//!
//! It passes events and requests to the host and hands the actions that the host returns to the
//! other threads. It never blocks on a full queue to the peers or the store thread: the message or
//! call is dropped instead, which the host must tolerate anyway as the network may lose messages.
//! See docs/design.md §4.

mod pending;
mod publish;
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

use self::weights::Weights;
use crate::{
    peers::Transmission,
    shared::{Request, Shared},
    store::Call,
};

/// Interval between two ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Queues between the control thread and the other threads.
pub struct Queues {
    /// Requests from the request path, the admin listener and the main thread.
    pub requests: mpsc::Receiver<Request>,
    /// Events from the peers, the store and the platform.
    pub events: mpsc::Receiver<Event>,
    /// Messages for the peers thread to send.
    pub peers: mpsc::Sender<Transmission>,
    /// Calls for the store thread.
    pub store: mpsc::Sender<Call>,
    /// Notified when another incarnation of this host has replaced it as a member.
    pub replaced: oneshot::Sender<()>,
}

struct Control {
    host: Host,
    shared: Arc<Shared>,
    peers: mpsc::Sender<Transmission>,
    store: mpsc::Sender<Call>,
    /// Taken when the notification is sent.
    replaced: Option<oneshot::Sender<()>>,
    pending: pending::Requests,
    weights: Weights,
    /// The platform's list of hosts as last read.
    listed_hosts: Vec<ListedHost>,
    /// Events caused by carrying out actions, to be handled after the current input.
    queued_events: VecDeque<Event>,
    is_snapshot_outdated: bool,
}

/// Runs the control thread until the host has left the members as requested.
///
/// Its queues close then, which ends the peers and store threads.
pub async fn run(host: Host, shared: Arc<Shared>, queues: Queues) {
    let Queues { mut requests, mut events, peers, store, replaced } = queues;
    let mut control = Control {
        host,
        shared,
        peers,
        store,
        replaced: Some(replaced),
        pending: pending::Requests::default(),
        weights: Weights::default(),
        listed_hosts: Vec::new(),
        queued_events: VecDeque::new(),
        is_snapshot_outdated: true,
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => control.handle_tick(),
            request = requests.recv() => match request {
                Some(request) => control.handle_request(request),
                None => return,
            },
            Some(event) = events.recv() => control.handle_event(event),
        }
        control.finish_input();
        if control.pending.is_leave_answered() {
            return;
        }
    }
}

impl Control {
    fn handle_tick(&mut self) {
        let now = self.shared.now();
        let actions = self.host.tick(now);
        self.perform_all(actions);
        let is_current = self.host.is_current(now);
        if self.weights.advance(now, is_current, self.host.documents()) {
            self.is_snapshot_outdated = true;
            self.handle_event(Event::OwnWeights(self.weights.of_all_services()));
        }
        self.pending.remove_expired(now);
    }

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::TokensNeeded { budget, wanted, wake } => {
                self.pending.add_borrower(self.shared.now(), budget.clone(), wake);
                self.handle_event(Event::TokensNeeded { budget, wanted });
            }
            Request::Claim { name, fingerprint, answer } => {
                let ticket = self.pending.add_claim(answer);
                self.handle_event(Event::Claim { ticket, name, fingerprint });
            }
            Request::Completed(completion) => {
                self.handle_event(Event::RequestCompleted(completion));
            }
            Request::Edit { edit, answer } => {
                let ticket = self.pending.add_edit(answer);
                self.handle_event(Event::Edit { ticket, edit });
            }
            Request::RegionReports(reports) => {
                self.weights.apply_reports(self.shared.now(), &reports);
            }
            Request::Drain => {
                self.handle_event(Event::Drain);
                self.is_snapshot_outdated = true;
            }
            Request::Leave(answer) => {
                self.pending.set_leave(answer);
                self.handle_event(Event::Leave);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.shared.now();
        if let Event::HostsListed(listed_hosts) = &event {
            self.is_snapshot_outdated |= self.listed_hosts != *listed_hosts;
            self.listed_hosts.clone_from(listed_hosts);
        }
        let actions = self.host.handle(now, event);
        self.perform_all(actions);
    }

    /// Runs after every input: handles the queued events, then publishes the currency, the status
    /// and, if it is outdated, the snapshot.
    fn finish_input(&mut self) {
        while let Some(event) = self.queued_events.pop_front() {
            self.handle_event(event);
        }
        let now = self.shared.now();
        self.shared.set_current_until(self.host.current_until(now));
        publish::update_status(&self.host, &self.shared);
        let published = self.shared.snapshot.load();
        let entry_hosts =
            publish::available_entry_hosts(&self.host, &self.listed_hosts, &self.shared);
        if self.is_snapshot_outdated || entry_hosts != published.entry_hosts {
            self.is_snapshot_outdated = false;
            let listed_hosts = &self.listed_hosts;
            let snapshot =
                publish::build_snapshot(&self.host, listed_hosts, &self.weights, entry_hosts);
            self.shared.snapshot.store(Arc::new(snapshot));
        }
    }

    fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => {
                if self.peers.try_send(Transmission { to, message }).is_err() {
                    log::debug!("control: the queue of the peers thread is full; message dropped");
                }
            }
            Action::ReadHead => self.call_store(Call::ReadHead),
            Action::ReadRecords => self.call_store(Call::ReadRecords),
            Action::Write { ticket, write } => self.call_store(Call::Write { ticket, write }),
            Action::ReportEdit { ticket, outcome } => self.pending.answer_edit(ticket, outcome),
            Action::ReportClaim { ticket, verdict } => self.pending.answer_claim(ticket, verdict),
            Action::WakeBorrowers(budget) => self.pending.wake_borrowers(&budget),
            Action::PublishSnapshot => self.is_snapshot_outdated = true,
            Action::AdoptWeights(weights) => {
                self.weights.adopt_from_peer(self.shared.now(), &weights);
            }
            Action::Stop => self.handle_stop(),
        }
    }

    /// Queues a call for the store thread.
    ///
    /// If the queue is full, the call is dropped. A dropped write is reported to the host as a
    /// conflict, after which the host reads the records and starts the write again.
    fn call_store(&mut self, call: Call) {
        let Err(error) = self.store.try_send(call) else {
            return;
        };
        log::warn!("control: the queue of the store thread is full; call dropped");
        if let Call::Write { ticket, .. } = error.into_inner() {
            let outcome = WriteOutcome::Conflict;
            self.queued_events.push_back(Event::WriteEnded { ticket, outcome });
        }
    }

    /// Answers the pending request to leave. Without one, another process with the name of this
    /// host has replaced it, and the main thread is notified.
    fn handle_stop(&mut self) {
        if self.pending.answer_leave() {
            return;
        }
        log::error!("control: another process with the same host name has replaced this one");
        if let Some(replaced) = self.replaced.take() {
            let _ = replaced.send(());
        }
    }
}
