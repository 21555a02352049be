//! Command `document`: checks, writes, prints, lists and removes service documents.

use std::path::Path;

use marjorampick_core::document::Document;
use marjorampick_link::exit::Exit;

use crate::{
    client::{Client, Failure},
    options,
};

/// Runs a command on documents. `client` is only called by commands that contact a host.
pub async fn run(
    client: impl Fn() -> Result<Client, Failure>,
    command: &options::Document,
) -> Result<(), Failure> {
    match command {
        options::Document::Check { files } => check(files),
        options::Document::Put { base, file } => put(&client()?, *base, file).await,
        options::Document::Get { service } => get(&client()?, service).await,
        options::Document::List => list(&client()?).await,
        options::Document::Remove { base, service } => remove(&client()?, *base, service).await,
    }
}

/// Reads and parses a document. The error lists every fault with its file and line.
pub fn read(file: &Path) -> Result<(String, Document), Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::new(Exit::Failure, format!("{name}: {error}")))?;
    let document = Document::parse(&text).map_err(|findings| {
        let lines = findings.iter().map(|finding| format!("{name}: {finding}"));
        Failure::new(Exit::Invalid, lines.collect::<Vec<_>>().join("\n"))
    })?;
    Ok((text, document))
}

fn check(files: &[std::path::PathBuf]) -> Result<(), Failure> {
    let faults = files.iter().filter_map(|file| read(file).err());
    let texts: Vec<String> = faults.map(|failure| failure.text).collect();
    match texts.is_empty() {
        true => Ok(()),
        false => Err(Failure::new(Exit::Invalid, texts.join("\n"))),
    }
}

async fn put(client: &Client, base: Option<u64>, file: &Path) -> Result<(), Failure> {
    let (text, document) = read(file)?;
    let service = &document.service;
    let base = match base {
        Some(base) => base,
        None => newest_revision(client, service).await?,
    };
    let revision = client.edit(service, base, &text).await?;
    println!("{service}: accepted as revision {revision}");
    Ok(())
}

/// Revision of the newest document of `service`, or 0 when there is none.
async fn newest_revision(client: &Client, service: &str) -> Result<u64, Failure> {
    match client.document(service).await {
        Ok(version) => Ok(version.revision),
        Err(failure) if failure.exit == Exit::NotFound => Ok(0),
        Err(failure) => Err(failure),
    }
}

async fn get(client: &Client, service: &str) -> Result<(), Failure> {
    let version = client.document(service).await?;
    eprintln!("{service}: revision {}", version.revision);
    print!("{}", version.text);
    Ok(())
}

async fn list(client: &Client) -> Result<(), Failure> {
    for summary in client.documents().await? {
        println!("{:<24} {:>12}", summary.service, summary.revision);
    }
    Ok(())
}

async fn remove(client: &Client, base: Option<u64>, service: &str) -> Result<(), Failure> {
    let base = match base {
        Some(base) => base,
        None => client.document(service).await?.revision,
    };
    let revision = client.edit(service, base, "").await?;
    println!("{service}: removed as revision {revision}");
    Ok(())
}
