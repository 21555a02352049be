//! Runs one case of the review.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod caller;
mod cold;
mod crowd;

mod instance;
mod quota;
mod record;
mod slow;
mod stop;
mod world;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use record::Record;
use tokio::time::timeout;

/// Longest time for a case.
const LONGEST: Duration = Duration::from_secs(100);

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-2-standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let is_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let playing = async {
        match case.as_str() {
            "cold" => cold::run(&record, &folder, is_trouble).await,
            "crowd" => crowd::run(&record, &folder, is_trouble).await,
            "stop" => stop::run(&record, &folder, is_trouble).await,
            "slow" => slow::run(&record, &folder, is_trouble).await,
            "quota" => quota::run(&record, &folder, is_trouble).await,
            _ => Err(format!("unknown case {case}")),
        }
    };
    // Dropping the case ends the processes that it started.
    let result = timeout(LONGEST, playing).await;
    let result = result.unwrap_or_else(|_| Err("the case takes too long".to_owned()));
    match result {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say(&reason);
            ExitCode::from(2)
        }
    }
}
