//! Command `certificate`: creates a certificate authority and host certificates, for tests and
//! small installations.

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

/// Name of the authority's files, without the extension.
const AUTHORITY_NAME: &str = "authority";

/// File mode of private keys: only their owner can read them.
const KEY_FILE_MODE: u32 = 0o600;

/// Creates an authority, unless `folder` has one, and a certificate for each of `hosts`.
///
/// Each pair is written to `<name>.pem` and `<name>.key` in `folder`.
pub fn run(folder: &Path, hosts: &[CertificateHost]) -> Result<(), Failure> {
    let io_failure = |error: io::Error| {
        let text = format!("{}: {error}", folder.display());
        Failure::new(Exit::Failure, text)
    };
    fs::create_dir_all(folder).map_err(io_failure)?;
    let authority = match read_authority(folder).map_err(io_failure)? {
        Some(authority) => authority,
        None => {
            let authority =
                certificate::create_authority().map_err(|fault| settings_failure(&fault))?;
            write_pair(folder, AUTHORITY_NAME, &authority).map_err(io_failure)?;
            authority
        }
    };
    for host in hosts {
        let addresses = host.address.as_slice();
        let pair = certificate::issue(&authority, &host.name, addresses)
            .map_err(|fault| settings_failure(&fault))?;
        write_pair(folder, &host.name, &pair).map_err(io_failure)?;
    }
    Ok(())
}

fn read_authority(folder: &Path) -> io::Result<Option<Pair>> {
    let certificate = folder.join(format!("{AUTHORITY_NAME}.pem"));
    if !certificate.exists() {
        return Ok(None);
    }
    Ok(Some(Pair {
        certificate: fs::read_to_string(certificate)?,
        key: fs::read_to_string(folder.join(format!("{AUTHORITY_NAME}.key")))?,
    }))
}

fn write_pair(folder: &Path, name: &str, pair: &Pair) -> io::Result<()> {
    fs::write(folder.join(format!("{name}.pem")), &pair.certificate)?;
    let mut key = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(KEY_FILE_MODE)
        .open(folder.join(format!("{name}.key")))?;
    key.write_all(pair.key.as_bytes())
}

fn settings_failure(fault: &certificate::Fault) -> Failure {
    Failure::new(Exit::Settings, fault.to_string())
}
