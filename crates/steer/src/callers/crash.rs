//! Tells an instance that crashed from a connection that was lost.
//!
//! A broken connection may have been idle, reset on the way, or ended by an instance that is well. Only an
//! instance whose address refuses connections may have crashed, and only if this host reaches another one in the
//! meantime: a host that is cut off sees the same of all instances. The address is tried before and after the
//! others, as a host may stand still between the two while a cut ends.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use bytes::Bytes;
use marjorampick_core::steering::{
    fleet::Choice,
    quarantine::{Crash, Fingerprint},
};
use tokio::time::sleep;

use super::routing::Call;
use crate::{
    backend::connection::Connection,
    clock,
    constants::CONFIRMATION_DELAY,
    events::{Event, Rank},
    quarantine, reach,
    state::State,
    tasks,
};

/// Run of a request that ended with the connection to its instance.
struct Run {
    id: String,
    request: Fingerprint,
    choice: Choice,
    started_at: Duration,
    ended_at: Duration,
}

/// Finds out, on a task of its own, whether the instance of a broken connection has crashed.
pub(super) fn investigate(
    state: &Rc<State>,
    call: &Call,
    body: &Bytes,
    choice: &Choice,
    started_at: Duration,
) {
    let run = Run {
        id: call.id_text().to_owned(),
        request: call.fingerprint(body),
        choice: choice.clone(),
        started_at,
        ended_at: clock::now(),
    };
    let state = state.clone();
    tokio::task::spawn_local(async move {
        let reporting = report_crash(state.clone(), run);
        tasks::contain_task(&state, "crash report", reporting).await;
    });
}

async fn report_crash(state: Rc<State>, run: Run) {
    if !is_refused(&state, &run.choice).await {
        return;
    }
    // The links to other instances may fail a moment later.
    sleep(CONFIRMATION_DELAY).await;
    if !reach::is_another_reached(&state, &run.choice.id).await {
        log::debug!("crash: cannot tell whether {} runs: no instance is reached", run.choice.id);
        return;
    }
    // A cut of all links may have ended since the instance refused.
    sleep(CONFIRMATION_DELAY).await;
    if is_refused(&state, &run.choice).await {
        record_crash(&state, run);
    }
}

/// Whether the address of an instance refuses connections. One that opens is kept for later requests.
async fn is_refused(state: &State, choice: &Choice) -> bool {
    match Connection::open(choice.address).await {
        Ok(connection) => {
            let key = (choice.id.clone(), choice.incarnation);
            state.pool.borrow_mut().put(clock::now(), key, connection, None);
            false
        }
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => true,
        Err(error) => {
            // An instance that does not answer may be cut off.
            log::debug!("crash: cannot tell whether {} runs: {error}", choice.id);
            false
        }
    }
}

fn record_crash(state: &Rc<State>, run: Run) {
    let Run { id, request, choice, started_at, ended_at } = run;
    let ran_for = ended_at.saturating_sub(started_at);
    let event = Event::InstanceCrashed {
        id: &choice.id,
        request: &id,
        fingerprint: &request.to_string(),
        ran_ms: ran_for.as_millis(),
    };
    state.log.write(Rank::Failure, event);
    let crash = Crash {
        instance: choice.id,
        incarnation: choice.incarnation,
        request,
        ran_for,
        ended_ago: clock::now().saturating_sub(ended_at),
    };
    quarantine::record_crash(state, crash);
}
