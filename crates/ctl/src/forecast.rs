//! Command `forecast`: upper bounds of cross-region traffic and its cost for the next month.
//!
//! The budget of a document admits at most its burst plus its rate times the length of the month.
//! The result is therefore an upper bound and not an estimate. See docs/design.md §7.

use std::{
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use marjorampick_core::document::Document;
use marjorampick_link::exit::Exit;

use crate::{
    client::{Client, Failure},
    document,
};

const SECONDS_PER_DAY: u64 = 24 * 60 * 60;
const BYTES_PER_GIB: f64 = (1_u64 << 30) as f64;

/// Upper bound of the cross-region traffic of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Bytes, the sum of both directions.
    pub bytes: u64,
    /// Cost, in the currency of the document's price.
    pub cost: f64,
}

/// Computes the upper bound of `document` for a period.
pub fn bound(document: &Document, period: Duration) -> Bound {
    let limit = &document.cross_region;
    let bytes =
        limit.bytes_per_second.saturating_mul(period.as_secs()).saturating_add(limit.burst_bytes);
    Bound { bytes, cost: bytes as f64 / BYTES_PER_GIB * limit.price_per_gib }
}

/// Length of the calendar month (UTC) that follows the month of `now`.
pub fn next_month_length(now: SystemTime) -> Duration {
    let since_1970 = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (year, month) = year_and_month(since_1970.as_secs() / SECONDS_PER_DAY);
    let (year, month) = match month {
        12 => (year + 1, 1),
        _ => (year, month + 1),
    };
    Duration::from_secs(days_in_month(year, month) * SECONDS_PER_DAY)
}

/// Prints the bounds and their sum for `files`, or for all documents of the fleet when no file is
/// given.
pub async fn run(
    client: impl Fn() -> Result<Client, Failure>,
    files: &[PathBuf],
) -> Result<(), Failure> {
    let documents = match files.is_empty() {
        true => read_from_fleet(&client()?).await?,
        false => read_files(files)?,
    };
    let period = next_month_length(SystemTime::now());
    let days = period.as_secs() / SECONDS_PER_DAY;
    println!("upper bound for next month ({days} days)");
    println!("{:<24} {:>16} {:>16}", "service", "GiB", "cost");
    let (mut bytes, mut cost) = (0.0, 0.0);
    for document in documents {
        let bound = bound(&document, period);
        bytes += bound.bytes as f64;
        cost += bound.cost;
        print_line(&document.service, bound.bytes as f64, bound.cost);
    }
    print_line("total", bytes, cost);
    Ok(())
}

fn print_line(name: &str, bytes: f64, cost: f64) {
    println!("{name:<24} {:>16.1} {cost:>16.2}", bytes / BYTES_PER_GIB);
}

async fn read_from_fleet(client: &Client) -> Result<Vec<Document>, Failure> {
    let mut documents = Vec::new();
    for summary in client.documents().await? {
        let version = client.document(&summary.service).await?;
        let parsed = Document::parse(&version.text);
        let invalid =
            |findings| Failure::new(Exit::Invalid, format!("{}: {findings}", summary.service));
        documents.push(parsed.map_err(invalid)?);
    }
    Ok(documents)
}

fn read_files(files: &[PathBuf]) -> Result<Vec<Document>, Failure> {
    let read = files.iter().map(|file| document::read(file));
    read.map(|result| result.map(|(_, document)| document)).collect()
}

/// Year and month (1 to 12) of a day, given as the number of days since 1970-01-01.
fn year_and_month(day: u64) -> (u64, u64) {
    let (mut year, mut remaining) = (1970, day);
    loop {
        for month in 1..=12 {
            let days = days_in_month(year, month);
            if remaining < days {
                return (year, month);
            }
            remaining -= days;
        }
        year += 1;
    }
}

fn days_in_month(year: u64, month: u64) -> u64 {
    let is_leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    match month {
        2 if is_leap => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
