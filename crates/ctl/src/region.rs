//! Commands `drain` and `undrain`.

use marjorampick_link::exit::Exit;

use crate::{
    client::{Client, Failure},
    edit, options,
};

/// Sets `drain` of a region in the documents of the given services, or in all documents that have
/// the region when no service is given.
///
/// Each document is edited separately. The first failure ends the command; running it again
/// continues with the documents that are not changed yet.
pub async fn run(client: &Client, command: &options::Region, drain: bool) -> Result<(), Failure> {
    let has_services = !command.service.is_empty();
    let services: Vec<String> = match has_services {
        true => command.service.clone(),
        false => {
            let documents = client.documents().await?;
            documents.into_iter().map(|summary| summary.service).collect()
        }
    };
    let mut changed_count = 0;
    for service in services {
        let change = |text: &str| edit::set_drain(text, &command.region, drain);
        match edit::apply(client, &service, change).await {
            Ok(revision) => println!("{service}: revision {revision}"),
            Err(failure) if failure.exit == Exit::NotFound && !has_services => continue,
            Err(failure) => {
                let text = format!("{service}: {failure}");
                return Err(Failure::new(failure.exit, text));
            }
        }
        changed_count += 1;
    }
    match changed_count {
        0 => {
            let text = format!("no document has the region {}", command.region);
            Err(Failure::new(Exit::NotFound, text))
        }
        _ => Ok(()),
    }
}
