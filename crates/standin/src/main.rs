//! The program `marjorampick-standin`, which runs one stand-in.

use std::{
    net::SocketAddr, path::PathBuf, process::ExitCode, str::FromStr, sync::Arc, time::Duration,
};

use bpaf::Bpaf;
use eyre::WrapErr;
use marjorampick_link::{exit::Exit, hosts::List, log as logging};
use marjorampick_standin::{
    backend::{Backend, Settings},
    hosts::Hosts,
    store::Store,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};

/// Stand-ins for the platform of marjorampick.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Only checks the arguments and the files that they name
    check: bool,
    #[bpaf(external(command))]
    command: Command,
}

/// Stand-in to run.
#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Key-value store that implements a subset of the published etcd v3 API
    #[bpaf(command)]
    Store {
        /// Address of the gRPC listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address of the HTTP listener for faults and counts
        #[bpaf(argument("ADDRESS"))]
        control: SocketAddr,
    },
    /// The platform's list of hosts, which PUT /hosts replaces
    #[bpaf(command)]
    Hosts {
        /// Address of the HTTP listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// JSON file with the initial list; empty by default
        #[bpaf(argument("FILE"))]
        file: Option<PathBuf>,
        /// Delay until a new list becomes visible, in milliseconds
        #[bpaf(argument("MILLISECONDS"), fallback(1000), display_fallback)]
        lag_ms: u64,
    },
    /// The backend servers of a list of hosts, all or those of one region; SIGTERM drains them
    #[bpaf(command)]
    Backends {
        /// JSON file with the list of hosts
        #[bpaf(argument("FILE"))]
        file: PathBuf,
        /// Region whose backend servers run; by default all regions
        #[bpaf(argument("REGION"))]
        region: Option<String>,
        /// Slots and service time of a service's backend servers; may be repeated
        #[bpaf(argument("SERVICE=SLOTS,MILLISECONDS"), many)]
        service: Vec<Capacity>,
    },
}

/// Capacity of the backend servers of one service, given as `SERVICE=SLOTS,MILLISECONDS`.
#[derive(Clone, Debug)]
struct Capacity {
    service: String,
    slots: usize,
    service_time: Duration,
}

impl FromStr for Capacity {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = || format!("{text:?} is not SERVICE=SLOTS,MILLISECONDS");
        let (service, values) = text.split_once('=').ok_or_else(expected)?;
        let (slots, milliseconds) = values.split_once(',').ok_or_else(expected)?;
        let service_time = milliseconds.parse().map_err(|_| expected())?;
        Ok(Self {
            service: service.to_owned(),
            slots: slots.parse().map_err(|_| expected())?,
            service_time: Duration::from_millis(service_time),
        })
    }
}

fn main() -> ExitCode {
    let options = options().run();
    logging::start("info");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .wrap_err("cannot start the runtime")
        .and_then(|runtime| runtime.block_on(run(options)));
    match result {
        Ok(()) => Exit::Success.into(),
        Err(report) => {
            log::error!("standin: {report:#}");
            Exit::Failure.into()
        }
    }
}

/// Reads the files that the command names. Its other arguments were checked when they were parsed.
fn check(command: &Command) -> eyre::Result<()> {
    match command {
        Command::Store { .. } | Command::Hosts { file: None, .. } => Ok(()),
        Command::Hosts { file: Some(file), .. } | Command::Backends { file, .. } => {
            read_list(file).map(drop)
        }
    }
}

async fn run(options: Options) -> eyre::Result<()> {
    if options.check {
        return check(&options.command);
    }
    match options.command {
        Command::Store { listen, control } => {
            let store = Store::new();
            let control = bind(control).await?;
            let listener = bind(listen).await?;
            tokio::select! {
                served = store.clone().serve(listener) => served.wrap_err("the store stopped"),
                () = store.serve_control(control) => Ok(()),
            }
        }
        Command::Hosts { listen, file, lag_ms } => {
            let list = file.as_deref().map_or_else(|| Ok(List::default()), read_list)?;
            let hosts = Hosts::new(list, Duration::from_millis(lag_ms));
            hosts.serve(bind(listen).await?).await;
            Ok(())
        }
        Command::Backends { file, region, service } => {
            run_backends(&read_list(&file)?, region.as_deref(), &service).await
        }
    }
}

/// Runs the backend servers of the list, drains them on SIGTERM, and returns when all have drained.
async fn run_backends(
    list: &List,
    region: Option<&str>,
    capacities: &[Capacity],
) -> eyre::Result<()> {
    let mut sigterm = signal(SignalKind::terminate()).wrap_err("cannot wait for SIGTERM")?;
    let mut backends = Vec::new();
    let mut servers = JoinSet::new();
    for host in &list.hosts {
        let Some(service) = &host.service else {
            continue;
        };
        if region.is_some_and(|region| region != host.region.as_ref()) {
            continue;
        }
        let capacity = capacities.iter().find(|capacity| capacity.service == service.as_ref());
        let backend = Backend::new(backend_settings(&host.name, capacity));
        let listener = bind(host.address).await?;
        servers.spawn(backend.clone().serve(listener));
        backends.push(backend);
    }
    log::info!("standin: {} backend servers are running", backends.len());
    sigterm.recv().await;
    backends.iter().for_each(|backend| backend.drain());
    while servers.join_next().await.is_some() {}
    Ok(())
}

fn backend_settings(name: &Arc<str>, capacity: Option<&Capacity>) -> Settings {
    let default = Settings::default();
    Settings {
        name: name.clone(),
        slots: capacity.map_or(default.slots, |capacity| capacity.slots),
        service_time: capacity.map_or(default.service_time, |capacity| capacity.service_time),
        ..default
    }
}

fn read_list(file: &std::path::Path) -> eyre::Result<List> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text)
        .wrap_err_with(|| format!("{} is not a list of hosts", file.display()))
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}
