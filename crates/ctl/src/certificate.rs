//! `certificate`: an authority and host certificates for tests and small installations.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use marjorampick_link::{
    certificate::{self, Pair},
    exit::Exit,
};

use crate::{client::Failure, options::CertificateHost};

/// Name of the authority's files.
const AUTHORITY: &str = "authority";

/// Mode of private keys: only their owner reads them.
const KEY_MODE: u32 = 0o600;

/// Makes an authority, unless `folder` has one, and a certificate for each host.
pub fn run(folder: &Path, hosts: &[CertificateHost]) -> Result<(), Failure> {
    let failed = |error: io::Error| {
        let text = format!("{}: {error}", folder.display());
        Failure::new(Exit::Failure, text)
    };
    fs::create_dir_all(folder).map_err(failed)?;
    let authority = match read(folder).map_err(failed)? {
        Some(authority) => authority,
        None => {
            let authority = certificate::authority().map_err(|fault| unusable(&fault))?;
            write(folder, AUTHORITY, &authority).map_err(failed)?;
            authority
        }
    };
    for host in hosts {
        let addresses = host.address.as_slice();
        let pair = certificate::host(&authority, &host.name, addresses)
            .map_err(|fault| unusable(&fault))?;
        write(folder, &host.name, &pair).map_err(failed)?;
    }
    Ok(())
}

fn read(folder: &Path) -> io::Result<Option<Pair>> {
    let certificate = folder.join(format!("{AUTHORITY}.pem"));
    if !certificate.exists() {
        return Ok(None);
    }
    Ok(Some(Pair {
        certificate: fs::read_to_string(certificate)?,
        key: fs::read_to_string(folder.join(format!("{AUTHORITY}.key")))?,
    }))
}

fn write(folder: &Path, name: &str, pair: &Pair) -> io::Result<()> {
    fs::write(folder.join(format!("{name}.pem")), &pair.certificate)?;
    let mut key = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(KEY_MODE)
        .open(folder.join(format!("{name}.key")))?;
    key.write_all(pair.key.as_bytes())
}

fn unusable(fault: &certificate::Fault) -> Failure {
    Failure::new(Exit::Settings, fault.to_string())
}
