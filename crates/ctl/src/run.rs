//! Runs a command and reports its failure.

use std::env;

use marjorampick_link::exit::Exit;

use crate::{
    certificate,
    client::{Client, Failure},
    document, forecast, key,
    options::{Command, Fleet, Options},
    region, status,
};

/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "MARJORAMPICK_TOKEN";

/// Environment variable with the addresses of admin listeners, separated by commas.
const HOSTS_VARIABLE: &str = "MARJORAMPICK_HOSTS";

/// Runs a command and returns its exit code. A failure is printed to standard error.
pub fn run(options: Options) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(options)),
        Err(error) => Err(Failure::new(Exit::Failure, error.to_string())),
    };
    match result {
        Ok(()) => Exit::Success,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit
        }
    }
}

async fn dispatch(options: Options) -> Result<(), Failure> {
    let client = || create_client(&options.fleet);
    if options.check {
        return client().map(drop);
    }
    match &options.command {
        Command::Document(command) => document::run(client, command).await,
        Command::Key(command) => key::run(&client()?, command).await,
        Command::Drain(command) => region::run(&client()?, command, true).await,
        Command::Undrain(command) => region::run(&client()?, command, false).await,
        Command::Status => status::run(&client()?).await,
        Command::Forecast { files } => forecast::run(client, files).await,
        Command::Certificate { folder, hosts } => certificate::run(folder, hosts),
    }
}

fn create_client(fleet: &Fleet) -> Result<Client, Failure> {
    let token = match &fleet.token_file {
        Some(file) => std::fs::read_to_string(file).map_err(|error| {
            let text = format!("{}: {error}", file.display());
            Failure::new(Exit::Failure, text)
        })?,
        None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let mut hosts = fleet.hosts.clone();
    if hosts.is_empty() {
        let listed = env::var(HOSTS_VARIABLE).unwrap_or_default();
        let listed = listed.split(',').map(str::trim).filter(|text| !text.is_empty());
        hosts = listed
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map_err(|error| Failure::new(Exit::Failure, format!("{HOSTS_VARIABLE}: {error}")))?;
    }
    Ok(Client::new(hosts, token.trim().to_owned()))
}
