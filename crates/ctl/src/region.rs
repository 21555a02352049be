//! `drain` and `undrain`.

use marjorampick_link::exit::Exit;

use crate::{
    client::{Client, Failure},
    edit, options,
};

/// Sets the drain of a region in the documents of the given services, or of all that have the region.
///
/// Each document is an edit of its own; the first failure ends the command, and running it again
/// continues where it stopped.
pub async fn run(client: &Client, command: &options::Region, drain: bool) -> Result<(), Failure> {
    let is_chosen = !command.service.is_empty();
    let services: Vec<String> = match is_chosen {
        true => command.service.clone(),
        false => {
            let lines = client.documents().await?;
            lines.into_iter().map(|line| line.service).collect()
        }
    };
    let mut changed = 0;
    for service in services {
        let change = |text: &str| edit::set_drain(text, &command.region, drain);
        match edit::apply(client, &service, change).await {
            Ok(revision) => println!("{service}: revision {revision}"),
            Err(failure) if failure.exit == Exit::NotFound && !is_chosen => continue,
            Err(failure) => {
                let text = format!("{service}: {failure}");
                return Err(Failure::new(failure.exit, text));
            }
        }
        changed += 1;
    }
    match changed {
        0 => {
            let text = format!("no document has the region {}", command.region);
            Err(Failure::new(Exit::NotFound, text))
        }
        _ => Ok(()),
    }
}
