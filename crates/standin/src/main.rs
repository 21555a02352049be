//! Runs one stand-in.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use eyre::WrapErr;
use marjorampick_link::{exit::Exit, hosts::List, log as logging};
use marjorampick_standin::{hosts::Hosts, store::Store};
use tokio::net::TcpListener;

/// Stand-ins for the platform of marjorampick.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Key-value store over a subset of the published etcd v3 API
    #[bpaf(command)]
    Store {
        /// Address of the gRPC listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address of the HTTP listener for faults and counts
        #[bpaf(argument("ADDRESS"))]
        control: SocketAddr,
    },
    /// The platform's list of hosts, changed by PUT /hosts
    #[bpaf(command)]
    Hosts {
        /// Address of the HTTP listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// JSON file with the first list
        #[bpaf(argument("FILE"))]
        file: Option<PathBuf>,
        /// Time until a change becomes visible, in milliseconds
        #[bpaf(argument("MILLISECONDS"), fallback(1000), display_fallback)]
        lag_ms: u64,
    },
}

fn main() -> ExitCode {
    let options = options().run();
    logging::start("info");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
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

async fn run(options: Options) -> eyre::Result<()> {
    match options {
        Options::Store { listen, control } => {
            let store = Store::new();
            let control = bind(control).await?;
            let listener = bind(listen).await?;
            tokio::select! {
                served = store.clone().serve(listener) => served.wrap_err("the store stopped"),
                () = store.serve_control(control) => Ok(()),
            }
        }
        Options::Hosts {
            listen,
            file,
            lag_ms,
        } => {
            let list = file.as_deref().map_or_else(|| Ok(List::default()), read)?;
            let hosts = Hosts::new(list, Duration::from_millis(lag_ms));
            hosts.serve(bind(listen).await?).await;
            Ok(())
        }
    }
}

fn read(file: &std::path::Path) -> eyre::Result<List> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is no list", file.display()))
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}
