//! The thread `probes`: reads the platform's list of hosts.

use std::time::Duration;

use marjorampick_core::host::event::Event;
use marjorampick_link::hosts;
use tokio::{sync::mpsc, time::MissedTickBehavior};

use crate::settings::platform::Platform;

/// Interval between two log lines about an unreadable list.
const REMINDER: Duration = Duration::from_secs(60);

/// Reads the list until the control thread drops its end of `events`.
///
/// While the list cannot be read, the last one stays in force.
pub async fn run(settings: Platform, events: mpsc::Sender<Event>) {
    let mut interval = tokio::time::interval(settings.poll_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut warned: Option<tokio::time::Instant> = None;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = events.closed() => return,
        }
        match hosts::read(&settings.hosts_uri).await {
            Ok(listed) => {
                warned = None;
                if events.send(Event::HostsListed(listed)).await.is_err() {
                    return;
                }
            }
            Err(fault) if warned.is_none_or(|at| at.elapsed() >= REMINDER) => {
                log::warn!("probes: the list of hosts: {fault}");
                warned = Some(tokio::time::Instant::now());
            }
            Err(_) => {}
        }
    }
}
