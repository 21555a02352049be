//! Polls the platform's list of hosts, on the thread `probes`.

use std::time::Duration;

use marjorampick_core::host::event::Event;
use marjorampick_link::hosts;
use tokio::{sync::mpsc, time::MissedTickBehavior};

use crate::settings::platform::Platform;

/// Minimum interval between two log lines about failed reads.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// Polls the list until the control thread drops its end of `events`.
///
/// After a failed read the list of the last successful read still applies.
pub async fn run(settings: Platform, events: mpsc::Sender<Event>) {
    let mut interval = tokio::time::interval(settings.poll_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut warned_at: Option<tokio::time::Instant> = None;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = events.closed() => return,
        }
        match hosts::read(&settings.hosts_uri).await {
            Ok(listed_hosts) => {
                warned_at = None;
                if events.send(Event::HostsListed(listed_hosts)).await.is_err() {
                    return;
                }
            }
            Err(fault) if warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) => {
                log::warn!("probes: cannot read the list of hosts: {fault}");
                warned_at = Some(tokio::time::Instant::now());
            }
            Err(_) => {}
        }
    }
}
