//! Finds out which services this host reaches. See docs/platform.md.
//!
//! Requests tell it while connections to instances open or fail at once. A task finds out the rest: whether
//! a lost service is reached again, without a request that waits for it, and whether a silent network
//! holds back all answers.

use std::{cell::Cell, io, rc::Rc, sync::Arc, time::Duration};

use futures_util::{StreamExt as _, future, stream::FuturesUnordered};
use marjorampick_core::{
    rendezvous,
    steering::{
        fleet::{ReachChange, Target},
        reach::Reporter,
    },
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    backend::connection::Connection,
    clock,
    constants::{CONTACT_TIME, MIN_PROBE_PAUSE, PROBE_INTERVAL, REPORT_INTERVAL, SILENCE_TIME},
    events::{Event, Rank},
    metrics,
    state::State,
};

/// Records whether a connection to an instance could be opened, and logs what that changes.
pub(crate) fn record(
    state: &State,
    service: &Arc<str>,
    instance: &Arc<str>,
    error: Option<&io::Error>,
) {
    let now = clock::now();
    if error.is_none() {
        state.silence.record_contact(now);
    }
    let mut fleet = state.fleet.borrow_mut();
    let Some(change) = fleet.record_connection(now, instance, error.is_none()) else {
        return;
    };
    // Where connections hang, the open ones hang as well.
    if error.is_some_and(|error| error.kind() == io::ErrorKind::TimedOut) {
        let mut pool = state.pool.borrow_mut();
        fleet.instances_of(service).iter().for_each(|key| pool.remove(key));
    }
    metrics::set_lost_services(fleet.lost_services().len());
    let reason = error.map(ToString::to_string).unwrap_or_default();
    let lost_ms = match change {
        ReachChange::Lost => 0,
        ReachChange::Regained(time) => time.as_millis(),
    };
    let event =
        Event::Reach { service, reached: error.is_none(), instance, reason: &reason, lost_ms };
    state.log.write(Rank::Notice, event);
}

/// Other instances to which connections are opened to confirm that one has crashed.
const WITNESSES: usize = 4;

/// Whether this host reaches an instance other than the one with this id.
pub(crate) async fn is_another_reached(state: &Rc<State>, id: &str) -> bool {
    let witnesses = state.fleet.borrow().witnesses(id, WITNESSES);
    let attempts: FuturesUnordered<_> =
        witnesses.into_iter().map(|target| try_open(state, target)).collect();
    attempts.any(future::ready).await
}

/// Opens a connection to an instance, for later requests. Returns whether that succeeded.
async fn try_open(state: &Rc<State>, target: Target) -> bool {
    let opened = Connection::open(target.address).await;
    record(state, &target.service, &target.id, opened.as_ref().err());
    let key = (target.id, target.incarnation);
    opened
        .map(|connection| state.pool.borrow_mut().put(clock::now(), key, connection, None))
        .is_ok()
}

/// Connections that are opened at the same time to instances of a service that may be lost.
const PROBES: usize = 3;

/// Time after which the first connection in a silent network is unlikely to open.
const FIRST_PROBE_TIME: Duration = Duration::from_millis(200);

/// Whether instances answer this host.
#[derive(Debug, Default)]
pub struct Silence {
    /// When the first request was sent since an instance answered, or a connection opened.
    since: Cell<Option<Duration>>,
    /// When an instance last answered, or a connection opened.
    contact_at: Cell<Duration>,
    /// Whether a request has found no connection since then.
    has_failed: Cell<bool>,
    failed: Notify,
}

impl Silence {
    /// Records that a request is sent to an instance.
    pub(crate) fn record_sent(&self, now: Duration) {
        self.since.set(self.since.get().or(Some(now)));
    }

    /// Records that an instance answered, or a connection opened.
    pub(crate) fn record_contact(&self, now: Duration) {
        self.since.set(None);
        self.contact_at.set(now);
        self.has_failed.set(false);
    }

    /// Records that a request found no connection.
    pub(crate) fn record_failure(&self) {
        if !self.has_failed.replace(true) {
            self.failed.notify_one();
        }
    }

    /// Whether the network should be checked now. Where other instances answer, it need not be.
    fn is_suspicious(&self, now: Duration) -> bool {
        let has_failed = self.has_failed.get() && now >= self.contact_at.get() + CONTACT_TIME;
        has_failed || self.since.get().is_some_and(|since| now >= since + SILENCE_TIME)
    }
}

/// Finds out which services are reached, and tells the other hosts, until the process ends. Both go on side by
/// side: a connection that hangs must not hold back the report.
pub async fn run(state: Rc<State>) {
    tokio::join!(run_probes(&state), report_changes(&state));
}

/// Opens connections to instances of lost services, and to some of all services while no instance answers.
async fn run_probes(state: &Rc<State>) {
    loop {
        // A timeout means that it is time for the next probes.
        timeout(PROBE_INTERVAL, state.silence.failed.notified()).await.ok();
        let lost = state.fleet.borrow().lost_services();
        future::join_all(lost.iter().map(|service| probe(state, service, 1))).await;
        if state.silence.is_suspicious(clock::now()) {
            probe_all(state).await;
        }
        sleep(MIN_PROBE_PAUSE).await;
    }
}

async fn report_changes(state: &State) {
    let mut reporter = Reporter::default();
    loop {
        report(state, &mut reporter);
        sleep(REPORT_INTERVAL).await;
    }
}

/// Has the registration written again when others should know of a change.
fn report(state: &State, reporter: &mut Reporter) {
    let fleet = state.fleet.borrow();
    let services = fleet.services().into_iter().map(|service| {
        let is_lost = fleet.is_lost(&service);
        (service, is_lost)
    });
    let hosts = state.hosts.borrow().len();
    let weight = rendezvous::weight("report", &state.settings.host.name);
    let draw = weight as f64 / u64::MAX as f64;
    if let Some(report) = reporter.update(clock::now(), services, hosts, draw) {
        state.reach_report.replace(report);
        state.lost_entries.record_report();
    }
}

/// Finds out whether the network is silent: opens a connection, and if that takes long some more in each
/// service.
async fn probe_all(state: &Rc<State>) {
    let first = state.fleet.borrow().witnesses("", 1);
    let opening = future::join_all(first.into_iter().map(|target| try_open(state, target)));
    tokio::pin!(opening);
    if timeout(FIRST_PROBE_TIME, opening.as_mut()).await.is_ok_and(|opened| opened.contains(&true))
    {
        return;
    }
    let services = unlost_services(state);
    future::join_all(services.iter().map(|service| probe(state, service, PROBES))).await;
}

/// Names of the services that do not count as lost.
fn unlost_services(state: &State) -> Vec<Arc<str>> {
    let fleet = state.fleet.borrow();
    fleet.services().into_iter().filter(|service| !fleet.is_lost(service)).collect()
}

/// Opens connections to instances of a service.
async fn probe(state: &Rc<State>, service: &Arc<str>, count: usize) {
    let targets = state.fleet.borrow().reach_targets(service, count);
    future::join_all(targets.into_iter().map(|target| try_open(state, target))).await;
}
