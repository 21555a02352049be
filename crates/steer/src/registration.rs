//! Registers this host in the store.
//!
//! The host writes a permanent seat, with which it shares the budgets, and a registration under a
//! lease, which makes it visible to look-ups and other hosts.

use std::{rc::Rc, sync::Arc};

use marjorampick_core::steering::{history::Era, seats::SEAT_PROPAGATION_TIME};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

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

/// Prefix of all keys of the entry hosts.
pub const KEY_PREFIX: &str = "marjorampick/";

/// Prefix of the keys of registrations, followed by the name of the host.
pub const HOSTS_PREFIX: &str = "marjorampick/hosts/";

/// Prefix of the keys of seats, followed by the name of the host.
pub const SEATS_PREFIX: &str = "marjorampick/seats/";

/// Value of a seat. A seat outlasts the registration, so that all hosts share the limits of
/// instances among the same hosts.
#[derive(Debug, Serialize, Deserialize)]
pub struct SeatRecord {
    /// Region of the host.
    pub region: Arc<str>,
}

/// Keeps the host registered until `stopping` is true or closed, and then removes its registration.
pub async fn run(state: Rc<State>, client: Client, mut stopping: watch::Receiver<bool>) {
    let mut lease = None;
    tokio::select! {
        () = keep_registered(&state, &client, &mut lease) => {}
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    if let Some(Lease { id, .. }) = lease.filter(|lease| client.check_era(lease.era).is_ok()) {
        call(&state, &client, &Call::Revoke(id)).await.ok();
    }
}

/// Lease of the registration. A restored store may have given its id to another host.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// Era of the store in which it was granted.
    era: Era,
}

/// Obtains a seat and then a lease, and renews the lease. `lease` is the current lease. After a restore of
/// the store, both are obtained again.
async fn keep_registered(state: &Rc<State>, client: &Client, lease: &mut Option<Lease>) {
    let mut retry_delay = MIN_STORE_RETRY_DELAY;
    let mut seat = Seat::Missing;
    loop {
        if state.lost_entries.take_seat() {
            seat = Seat::Missing;
        }
        if state.lost_entries.take_registration() {
            *lease = None;
        }
        let must_report = lease.is_some() && state.lost_entries.take_report();
        let result = match (seat, *lease) {
            (Seat::Missing, _) => claim_seat(state, client).await.map(|claimed| seat = claimed),
            (Seat::Held, None) => {
                register(state, client).await.map(|granted| *lease = Some(granted))
            }
            (Seat::Held, Some(held)) if must_report => write(state, client, held).await,
            (Seat::Held, Some(held)) => renew(state, client, held).await,
        };
        match result {
            Ok(()) => {
                retry_delay = MIN_STORE_RETRY_DELAY;
                if lease.is_some() {
                    // A timeout means that it is time to renew the lease.
                    timeout(RENEWAL_INTERVAL, state.lost_entries.changed()).await.ok();
                }
            }
            Err(Fault::LeaseNotFound) => *lease = None,
            Err(Fault::Restored) => {
                seat = Seat::Missing;
                *lease = None;
                sleep(retry_delay).await;
            }
            Err(_) => {
                if must_report {
                    state.lost_entries.record_report();
                }
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_STORE_RETRY_DELAY);
            }
        }
    }
}

/// Whether this host has a seat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Seat {
    Missing,
    Held,
}

/// Writes the seat of this host, unless it has one from an earlier process. With an earlier seat,
/// the other hosts already reserve this host's share, so it may use the share at once.
async fn claim_seat(state: &Rc<State>, client: &Client) -> Result<Seat, Fault> {
    let key = format!("{SEATS_PREFIX}{}", state.settings.host.name);
    let record = SeatRecord { region: state.settings.host.region.clone() };
    let value = serde_json::to_vec(&record)
        .map_err(|error| Fault::Refused(format!("cannot encode the seat: {error}")))?;
    let transaction = Transaction {
        conditions: vec![(key.clone(), 0)],
        writes: vec![Write { key, value, lease: 0 }],
        removals: Vec::new(),
    };
    let valid_from = match call(state, client, &Call::Write(transaction)).await {
        Ok(_) => clock::now() + SEAT_PROPAGATION_TIME,
        // The earlier process with this seat ended before this one started, so the share has not
        // been used since the start.
        Err(Fault::Conflict) => state.started_at,
        Err(fault) => return Err(fault),
    };
    // The others have counted the seat all the while if only the store has lost it.
    let valid_from = state.seat_valid_from.get().unwrap_or(valid_from);
    state.seat_valid_from.set(Some(valid_from));
    state.publish_hosts();
    Ok(Seat::Held)
}

/// Writes the registration under a new lease, and returns the lease.
async fn register(state: &Rc<State>, client: &Client) -> Result<Lease, Fault> {
    let Reply::Lease(id) = call(state, client, &Call::Grant(REGISTRATION_LEASE)).await? else {
        return Err(Fault::Malformed("the response has no lease".to_owned()));
    };
    let lease = Lease { id, era: client.era() };
    write(state, client, lease).await?;
    state.registered_at.set(Some(clock::now()));
    Ok(lease)
}

/// Renews the lease.
async fn renew(state: &Rc<State>, client: &Client, lease: Lease) -> Result<(), Fault> {
    client.check_era(lease.era)?;
    call(state, client, &Call::Renew(lease.id)).await.map(drop)
}

/// Writes the registration under its lease.
async fn write(state: &Rc<State>, client: &Client, lease: Lease) -> Result<(), Fault> {
    client.check_era(lease.era)?;
    let host = &state.settings.host;
    let registration = Registration {
        callers: state.settings.listeners.callers,
        peers: state.settings.listeners.peers,
        region: host.region.clone(),
        failure_domain: host.failure_domain.clone(),
        link_mbps: state.settings.limits.link_mbps,
        reach: state.reach_report.borrow().clone(),
    };
    let value = serde_json::to_vec(&registration)
        .map_err(|error| Fault::Refused(format!("cannot encode the registration: {error}")))?;
    let write = Write { key: format!("{HOSTS_PREFIX}{}", host.name), value, lease: lease.id };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    call(state, client, &Call::Write(transaction)).await?;
    // Otherwise this host would see its own registration only with the next response to a watch.
    let own_host = Host { registration, expires_at: None };
    state.hosts.borrow_mut().insert(host.name.clone(), own_host);
    state.publish_hosts();
    Ok(())
}

/// Removes the seats of hosts whose registrations ended long ago.
pub async fn remove_expired_seats(state: &Rc<State>, client: &Client) {
    let expired_hosts = state.seats.borrow().expired(clock::now());
    for host in expired_hosts {
        // A failure is logged by `call`, and the next maintenance run tries again.
        call(state, client, &Call::Write(seat_removal(&host))).await.ok();
    }
}

/// Transaction that removes the seat of a host, unless the host has registered again meanwhile: then
/// it uses its share again.
pub fn seat_removal(host: &str) -> Transaction {
    Transaction {
        conditions: vec![(format!("{HOSTS_PREFIX}{host}"), 0)],
        writes: Vec::new(),
        removals: vec![format!("{SEATS_PREFIX}{host}")],
    }
}

/// Makes a call to the store, with metrics and a log line for a failure. A conflict is not logged,
/// as it only means that the seat exists already.
pub(crate) async fn call(state: &Rc<State>, client: &Client, call: &Call) -> Result<Reply, Fault> {
    let kind = match call {
        Call::Grant(_) => "grant",
        Call::Renew(_) => "renew",
        Call::Revoke(_) => "revoke",
        _ => "write",
    };
    let result = client.call(call).await;
    metrics::record_store_call(kind, result.is_ok());
    if let Err(fault) = &result
        && *fault != Fault::Conflict
    {
        let reason = fault.to_string();
        state.log.write(Rank::Failure, Event::StoreFault { call: kind, reason: &reason });
    }
    result
}
