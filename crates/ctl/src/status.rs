//! Command `status`.

use marjorampick_link::exit::Exit;

use crate::client::{Client, Failure};

/// Prints a table with one line for each host: its status, or the failure to read it.
pub async fn run(client: &Client) -> Result<(), Failure> {
    let mut answered_count = 0;
    println!(
        "{:<24} {:<16} {:>8} {:>10} {:>10} {:>8}",
        "host", "region", "current", "revision", "in force", "members"
    );
    for address in client.hosts() {
        match client.status(address).await {
            Ok(status) => {
                answered_count += 1;
                println!("{}", format_line(&status));
            }
            Err(failure) => println!("{address}: {failure}"),
        }
    }
    match answered_count {
        0 => Err(Failure::new(Exit::Unavailable, "no host has answered")),
        _ => Ok(()),
    }
}

fn format_line(status: &serde_json::Value) -> String {
    let text = |key: &str| status[key].as_str().unwrap_or("?");
    let number = |key: &str| status[key].as_u64().unwrap_or(0);
    // A guest is current, but not a member.
    let current = match (status["current"].as_bool(), status["member"].as_bool()) {
        (Some(true), Some(true)) => "yes",
        (Some(true), _) => "guest",
        _ => "no",
    };
    let members = status["members"].as_array().map_or(0, Vec::len);
    format!(
        "{:<24} {:<16} {:>8} {:>10} {:>10} {:>8}",
        text("host"),
        text("region"),
        current,
        number("revision"),
        number("in_force"),
        members
    )
}
