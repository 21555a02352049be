//! Runs the stand-in that the arguments name.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use eyre::{WrapErr, ensure};
use marjorampick_link::hosts::{Host, List};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};

use crate::{
    backend::{self, Backend},
    hosts::Hosts,
    options::{self, Options},
    store::Store,
};

/// Slots of an instance whose service is not named.
const DEFAULT_SLOTS: usize = 9;

/// Runs until the process is asked to stop.
pub async fn run(options: Options) -> eyre::Result<()> {
    match options {
        Options::Store { listen, control } => serve_store(listen, control).await,
        Options::Hosts {
            listen,
            file,
            lag_ms,
        } => {
            let list = file.as_deref().map_or_else(|| Ok(List::default()), read)?;
            let hosts = Hosts::new(list, Duration::from_millis(lag_ms));
            let listener = bind(listen).await?;
            tokio::select! {
                () = hosts.serve(listener) => {}
                stop = stopped() => stop?,
            }
            Ok(())
        }
        Options::Backend(options) => serve_backends(&options).await,
    }
}

async fn serve_store(listen: SocketAddr, control: SocketAddr) -> eyre::Result<()> {
    let store = Store::new();
    let control = bind(control).await?;
    let listener = bind(listen).await?;
    tokio::select! {
        served = store.clone().serve(listener) => served.wrap_err("the store stopped"),
        () = store.serve_control(control) => Ok(()),
        stop = stopped() => stop,
    }
}

/// Serves every chosen backend server and drains them all when the process is asked to stop.
async fn serve_backends(options: &options::Backend) -> eyre::Result<()> {
    let mut servers = JoinSet::new();
    let mut backends = Vec::new();
    for host in read(&options.file)?.hosts {
        let Some(settings) = settings(options, &host) else {
            continue;
        };
        let listener = bind(host.address).await?;
        let server = Backend::new(settings);
        servers.spawn(server.clone().serve(listener));
        backends.push(server);
    }
    ensure!(!backends.is_empty(), "no backend server is chosen");
    log::info!("backend: serving {} instances", backends.len());
    stopped().await?;
    backends.iter().for_each(|server| server.drain());
    while let Some(ended) = servers.join_next().await {
        ended??;
    }
    Ok(())
}

/// Settings of the instance; `None` for an entry host or an instance that is not chosen.
fn settings(options: &options::Backend, host: &Host) -> Option<backend::Settings> {
    let service = host.service.as_ref()?;
    let is_chosen = |name: &String| **name == *host.name;
    if !options.name.is_empty() && !options.name.iter().any(is_chosen) {
        return None;
    }
    let slots = options.slots.iter().find(|slots| slots.service == *service);
    Some(backend::Settings {
        name: Arc::clone(&host.name),
        slots: slots.map_or(DEFAULT_SLOTS, |slots| slots.number),
        service_time: Duration::from_millis(options.service_ms),
        cold_start: Duration::from_millis(options.cold_ms),
        cold_factor: options.cold_factor,
        report_lag: Duration::from_millis(options.lag_ms),
        ..backend::Settings::default()
    })
}

/// Returns when the process is asked to stop.
async fn stopped() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn read(file: &Path) -> eyre::Result<List> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is no list", file.display()))
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}
