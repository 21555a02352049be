//! Requests that crash instances: what the hosts tell each other of them, and their records in the store.
//!
//! Messages spread what one host has seen within milliseconds, so that few instances crash; records reach
//! the hosts that missed them, and those that start later. See docs/platform.md.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use marjorampick_core::{
    rendezvous,
    steering::{
        fleet::Choice,
        quarantine::{
            Acquittal, Admission, CLAIM_TIME, Crash, Fingerprint, Publication, SETTLING_TIME,
        },
    },
};
use serde::{Deserialize, Serialize};
use tokio::time::{interval, sleep};

use crate::{
    callers::routing::Call as Request,
    clock,
    constants::MAINTENANCE_INTERVAL,
    events::{Event, Rank},
    metrics,
    peers::Message,
    registration,
    state::State,
    store::{Call, Client, Transaction, Write},
};

/// Prefix of the keys of records, followed by the fingerprint of the request.
pub const PREFIX: &str = "marjorampick/quarantine/";

/// Record of a condemned request. An operator who removes it ends the sentence at all hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host that wrote it.
    pub host: String,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    /// As any other one.
    Freely,
    /// At one instance, while no other host runs it.
    OnTrial,
}

/// What hosts tell each other of requests that crash instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// A request of the sender was on an instance that crashed.
    Crash(Crash),
    /// An instance ran the request to its end.
    Answered(Fingerprint),
    /// The sender, which has this rank for it, wants to run the request on trial.
    Trial(Fingerprint, u64),
    /// The sender has condemned the request.
    Verdict(Fingerprint),
}

/// Decides whether a request may run now, or how long it is refused. Waits if it runs on trial.
pub(crate) async fn admit(
    state: &State,
    request: &Request,
    body: &Bytes,
) -> Result<Admitted, Duration> {
    if state.quarantine.borrow().is_empty() {
        return Ok(Admitted::Freely);
    }
    let fingerprint = request.fingerprint(body);
    let rank = rendezvous::weight(&fingerprint.to_string(), &state.settings.host.name);
    let admission = state.quarantine.borrow_mut().admit(clock::now(), fingerprint, rank);
    let admission = match admission {
        Admission::Trial => {
            state.announce(Message::Quarantine(Notice::Trial(fingerprint, rank)));
            sleep(CLAIM_TIME).await;
            state.quarantine.borrow().admit_trial(clock::now(), fingerprint, rank)
        }
        admission => admission,
    };
    match admission {
        Admission::Free => Ok(Admitted::Freely),
        Admission::Trial => {
            log(state, fingerprint, "trial", None);
            Ok(Admitted::OnTrial)
        }
        Admission::Refused { retry_after } => Err(retry_after),
    }
}

/// Records that a request of this host was on an instance when it crashed.
pub(crate) fn record_crash(state: &State, crash: Crash) {
    state.quarantine.borrow_mut().record_crash(clock::now(), &crash, true);
    state.crash_reported.notify_one();
    state.announce(Message::Quarantine(Notice::Crash(crash)));
}

/// Records that an instance ran a request, which was sent at `sent_at`, to its end.
pub(crate) fn record_answer(
    state: &State,
    request: &Request,
    body: &Bytes,
    choice: &Choice,
    sent_at: Duration,
) {
    if state.quarantine.borrow().is_empty() {
        return;
    }
    let (id, incarnation) = (&choice.id, choice.incarnation);
    state.quarantine.borrow_mut().record_survival(clock::now(), id, incarnation, sent_at);
    let fingerprint = request.fingerprint(body);
    let acquittal = state.quarantine.borrow_mut().record_answer(clock::now(), fingerprint);
    log_acquittal(state, fingerprint, acquittal, None);
    if acquittal != Acquittal::Unknown {
        state.announce(Message::Quarantine(Notice::Answered(fingerprint)));
    }
}

/// Applies what another host has told.
pub(crate) fn apply_notice(state: &State, notice: &Notice, host: &str) {
    let now = clock::now();
    let mut book = state.quarantine.borrow_mut();
    match notice {
        Notice::Crash(crash) => {
            book.record_crash(now, crash, false);
            state.crash_reported.notify_one();
        }
        Notice::Trial(request, rank) => book.record_trial(now, *request, *rank),
        Notice::Answered(request) => {
            log_acquittal(state, *request, book.record_answer(now, *request), Some(host));
        }
        Notice::Verdict(request) => {
            if book.record_verdict(now, *request) {
                log(state, *request, "condemned", Some(host));
            }
        }
    }
}

/// Applies a record that was read from the store.
pub(crate) fn apply_record(state: &State, request: Fingerprint, record: &Record, revision: u64) {
    if state.quarantine.borrow_mut().apply_record(clock::now(), request, revision) {
        log(state, request, "condemned", Some(&record.host));
    }
}

/// Applies the removal of a record from the store.
pub(crate) fn remove_record(state: &State, request: Fingerprint) {
    if state.quarantine.borrow_mut().remove_record(request) {
        log(state, request, "removed", None);
    }
}

/// Records that a restore of the store has lost a record.
pub(crate) fn lose_record(state: &State, request: Fingerprint) {
    state.quarantine.borrow_mut().lose_record(clock::now(), request);
}

/// Judges after each crash, as soon as all hosts have told what was on the instance, until the process
/// ends. A host that has just registered does not judge, as it may not hear of the request to blame.
pub async fn judge(state: Rc<State>) {
    loop {
        state.crash_reported.notified().await;
        // A report that arrives meanwhile makes the next round.
        sleep(SETTLING_TIME).await;
        if !state.is_known_to_others() {
            continue;
        }
        let judged = state.quarantine.borrow_mut().judge(clock::now());
        for (request, is_own) in judged {
            log(&state, request, "condemned", None);
            if is_own {
                state.announce(Message::Quarantine(Notice::Verdict(request)));
            }
        }
    }
}

/// Writes the records that this host should write, and forgets what is too old, until the process ends.
pub async fn publish(state: Rc<State>, client: Client) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        let now = clock::now();
        let ended = state.quarantine.borrow_mut().remove_expired(now);
        ended.into_iter().for_each(|request| log(&state, request, "ended", None));
        metrics::set_quarantined_requests(state.quarantine.borrow().sentence_count());
        let is_first = |request| is_first(&state, request);
        let publications = state.quarantine.borrow_mut().publications(now, is_first);
        for publication in publications {
            // As for limits, a conflict means that another host was faster.
            registration::call(&state, &client, &encode(&state, publication)).await.ok();
        }
    }
}

/// Whether this host is the first registered one in the order for a request.
fn is_first(state: &State, request: Fingerprint) -> bool {
    let hosts = state.hosts.borrow();
    let names = hosts.keys().map(AsRef::as_ref);
    rendezvous::is_among_first(&request.to_string(), &state.settings.host.name, names, 1)
}

fn encode(state: &State, publication: Publication) -> Call {
    let Publication { request, is_condemned, replaces_revision } = publication;
    let key = format!("{PREFIX}{request}");
    let record = Record { host: state.settings.host.name.to_string() };
    let value = serde_json::to_vec(&record).ok().filter(|_| is_condemned);
    let conditions = vec![(key.clone(), replaces_revision)];
    let (writes, removals) = match value {
        Some(value) => (vec![Write { key, value, lease: 0 }], Vec::new()),
        None => (Vec::new(), vec![key]),
    };
    Call::Write(Transaction { conditions, writes, removals })
}

/// Logs that a request runs again. Most suspects could run all the while, and get no line.
fn log_acquittal(state: &State, request: Fingerprint, acquittal: Acquittal, told_by: Option<&str>) {
    if acquittal == Acquittal::Refused {
        log(state, request, "answered", told_by);
    }
}

fn log(state: &State, request: Fingerprint, change: &str, told_by: Option<&str>) {
    let event = Event::Quarantine { fingerprint: &request.to_string(), change, told_by };
    state.log.write(Rank::Notice, event);
}
