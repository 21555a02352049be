//! Registers this host in the store: a seat in the budgets, and an entry under a lease.

use std::rc::Rc;

use marjorampick_core::steering::seats::SEAT_PROPAGATION_TIME;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    constants::{
        MAX_STORE_RETRY_DELAY, MIN_STORE_RETRY_DELAY, REGISTRATION_LEASE, RENEWAL_INTERVAL,
    },
    events::{Event, Rank},
    metrics,
    state::{Host, Registration, State},
    store::{Call, Client, Fault, Reply, Transaction, Write},
};

/// Beginning of all keys of the entry hosts.
pub const KEY_PREFIX: &str = "marjorampick/";

/// Beginning of the keys of registrations.
pub const HOSTS_PREFIX: &str = "marjorampick/hosts/";

/// Beginning of the keys of seats.
pub const SEATS_PREFIX: &str = "marjorampick/seats/";

/// Keeps the host registered until `stopping` is closed or true, and then takes the entry away.
pub async fn run(state: Rc<State>, client: Client, mut stopping: watch::Receiver<bool>) {
    let mut lease = None;
    tokio::select! {
        () = register(&state, &client, &mut lease) => {}
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    if let Some(lease) = lease {
        call(&state, &client, &Call::Revoke(lease)).await.ok();
    }
}

async fn register(state: &Rc<State>, client: &Client, held: &mut Option<u64>) {
    let mut pause = MIN_STORE_RETRY_DELAY;
    let mut seat = Seat::Wanted;
    loop {
        let step = match (seat, *held) {
            (Seat::Wanted, _) => take_seat(state, client).await.map(|taken| seat = taken),
            (Seat::Held, None) => enter(state, client).await.map(|lease| *held = Some(lease)),
            (Seat::Held, Some(lease)) => call(state, client, &Call::Renew(lease)).await.map(drop),
        };
        match step {
            Ok(()) => {
                pause = MIN_STORE_RETRY_DELAY;
                if held.is_some() {
                    sleep(RENEWAL_INTERVAL).await;
                }
            }
            Err(Fault::LeaseNotFound) => *held = None,
            Err(_) => {
                sleep(pause).await;
                pause = (pause * 2).min(MAX_STORE_RETRY_DELAY);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Seat {
    Wanted,
    Held,
}

/// Takes a seat in the budgets. With a seat from before, the others count this host already.
async fn take_seat(state: &Rc<State>, client: &Client) -> Result<Seat, Fault> {
    let key = format!("{SEATS_PREFIX}{}", state.settings.host.name);
    let transaction = Transaction {
        conditions: vec![(key.clone(), 0)],
        writes: vec![Write { key, value: Vec::new(), lease: 0 }],
        removals: Vec::new(),
    };
    let from = match call(state, client, &Call::Write(transaction)).await {
        Ok(_) => clock::now() + SEAT_PROPAGATION_TIME,
        // The seat's earlier process ended before this one started and has used nothing since.
        Err(Fault::Conflict) => state.started_at,
        Err(fault) => return Err(fault),
    };
    state.seat_valid_from.set(Some(from));
    state.publish_hosts();
    Ok(Seat::Held)
}

/// Writes the registration under a new lease.
async fn enter(state: &Rc<State>, client: &Client) -> Result<u64, Fault> {
    let Reply::Lease(lease) = call(state, client, &Call::Grant(REGISTRATION_LEASE)).await? else {
        return Err(Fault::Malformed("no lease in the answer".to_owned()));
    };
    let host = &state.settings.host;
    let registration = Registration {
        callers: state.settings.listeners.callers,
        peers: state.settings.listeners.peers,
        region: host.region.clone(),
        failure_domain: host.failure_domain.clone(),
    };
    let value = serde_json::to_vec(&registration)
        .map_err(|error| Fault::Refused(format!("cannot encode the registration: {error}")))?;
    let write = Write { key: format!("{HOSTS_PREFIX}{}", host.name), value, lease };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    call(state, client, &Call::Write(transaction)).await?;
    // The feed would tell only with the next watch.
    let known = Host { registration, expires_at: None };
    state.hosts.borrow_mut().insert(host.name.clone(), known);
    state.publish_hosts();
    Ok(lease)
}

/// Takes away the seats that are due.
pub async fn remove_expired_seats(state: &Rc<State>, client: &Client) {
    let due = state.seats.borrow().expired(clock::now());
    if due.is_empty() {
        return;
    }
    let removals = due.iter().map(|host| format!("{SEATS_PREFIX}{host}")).collect();
    let transaction = Transaction { removals, ..Transaction::default() };
    // A failure is logged, and the seats are still due at the next upkeep.
    call(state, client, &Call::Write(transaction)).await.ok();
}

async fn call(state: &Rc<State>, client: &Client, call: &Call) -> Result<Reply, Fault> {
    let name = match call {
        Call::Grant(_) => "grant",
        Call::Renew(_) => "renew",
        Call::Revoke(_) => "revoke",
        _ => "write",
    };
    let result = client.call(call).await;
    metrics::record_store_call(name, result.is_ok());
    if let Err(fault) = &result
        && *fault != Fault::Conflict
    {
        let reason = fault.to_string();
        state.log.write(Rank::Failure, Event::StoreFault { call: name, reason: &reason });
    }
    result
}
