//! Command `key`: issues and withdraws callers' keys.

use marjorampick_core::document::Digest;
use marjorampick_link::exit::Exit;

use crate::{
    client::{Client, Failure},
    edit, options,
};

/// Prefix of issued keys, by which leaked keys can be recognised.
const KEY_PREFIX: &str = "mjp_";

/// Runs a command on keys.
pub async fn run(client: &Client, command: &options::Key) -> Result<(), Failure> {
    match command {
        options::Key::Issue { service, workspace } => issue(client, service, workspace).await,
        options::Key::Withdraw { service, digest } => withdraw(client, service, digest).await,
    }
}

/// Creates a key, adds its digest to the document and prints the key. Only the digest is sent to
/// the host and stored.
async fn issue(client: &Client, service: &str, workspace: &str) -> Result<(), Failure> {
    let key = random_key();
    let digest = Digest::of_key(key.as_bytes());
    let change = |text: &str| edit::add_key(text, workspace, digest);
    let result = edit::apply(client, service, change).await;
    match &result {
        Ok(revision) => eprintln!("{service}: accepted as revision {revision}"),
        Err(failure) if failure.exit == Exit::NotInForce => {}
        Err(failure) if failure.exit == Exit::Unknown => {
            eprintln!("if the change took effect, withdraw {}", digest.to_text());
            return result.map(drop);
        }
        Err(_) => return result.map(drop),
    }
    println!("{key}");
    result.map(drop)
}

async fn withdraw(client: &Client, service: &str, digest: &str) -> Result<(), Failure> {
    let digest = Digest::parse(digest).map_err(|text| Failure::new(Exit::Failure, text))?;
    let change = |text: &str| edit::remove_key(text, digest);
    let revision = edit::apply(client, service, change).await?;
    println!("{service}: accepted as revision {revision}");
    Ok(())
}

/// Creates a key of 256 random bits, from a generator that the operating system seeds.
fn random_key() -> String {
    let bytes: [u8; 32] = rand::random();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{KEY_PREFIX}{hex}")
}
