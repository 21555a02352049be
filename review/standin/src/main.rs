//! Drivers of the review's cases. The first argument names the case, the second one its folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod era;
mod host;
mod http;
mod instance;
mod record;
mod returned;
mod spare;
mod store;
mod streams;
mod world;

use std::{env, path::Path, process::ExitCode, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::timeout,
};

use record::Record;
use world::{Folder, Verdict};

/// Longest time of one case.
const CASE_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let verdict = runtime.and_then(|runtime| runtime.block_on(run(&case, folder.as_deref())));
    match verdict {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

async fn run(case: &str, folder: Option<&str>) -> std::io::Result<Verdict> {
    let record = Record::create(&Path::new(folder.unwrap_or(".")).join("record.txt"))?;
    let files = Folder::create()?;
    let running = async {
        match case {
            "era" => era::run(&files, record).await,
            "spare" => spare::run(&files, record).await,
            "returned" => returned::run(&files, record).await,
            "streams" => streams::run(&files, record).await,
            _ => Err(std::io::Error::other("unknown case")),
        }
    };
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    // The case that is dropped ends its hosts.
    tokio::select! {
        limited = timeout(CASE_LIMIT, running) => {
            limited.unwrap_or_else(|_| Err(std::io::Error::other("took too long")))
        }
        _ = terminated.recv() => Err(std::io::Error::other("stopped")),
        _ = interrupted.recv() => Err(std::io::Error::other("stopped")),
    }
}
