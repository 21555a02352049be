//! Arguments of the command.

use std::{net::IpAddr, path::PathBuf};

use bpaf::Bpaf;

/// The operator's command of marjorampick.
///
/// Exit codes: 0 done, 1 failed, 2 faults in settings or certificates, 3 conflict, 4 invalid document,
/// 5 written but not in force, 6 unavailable, 7 unknown, 8 not found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Only checks arguments, addresses and token, without asking a host
    pub check: bool,
    #[bpaf(external(fleet))]
    /// How to reach the entry hosts.
    pub fleet: Fleet,
    #[bpaf(external(command))]
    /// What to do.
    pub command: Command,
}

/// How to reach the entry hosts.
#[derive(Clone, Debug, Bpaf)]
pub struct Fleet {
    /// Address of an admin listener, for instance http://127.0.1.1:9001; may be repeated, hosts are
    /// tried in this order
    #[bpaf(long("host"), argument("ADDRESS"), many)]
    pub hosts: Vec<http::Uri>,
    /// File with the operators' token; otherwise the environment variable MARJORAMPICK_TOKEN
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Works on service documents
    #[bpaf(command)]
    Document(#[bpaf(external(document))] Document),
    /// Issues or withdraws callers' keys
    #[bpaf(command)]
    Key(#[bpaf(external(key))] Key),
    /// Moves traffic away from a region, at the documents' pace
    #[bpaf(command)]
    Drain(#[bpaf(external(region))] Region),
    /// Lets traffic return to a region
    #[bpaf(command)]
    Undrain(#[bpaf(external(region))] Region),
    /// Shows what each host knows
    #[bpaf(command)]
    Status,
    /// Shows the largest possible cross-region volume and cost of the next month
    #[bpaf(command)]
    Forecast {
        /// Documents to read instead of those of the fleet
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Makes an authority, unless the folder has one, and host certificates signed by it
    #[bpaf(command)]
    Certificate {
        /// Folder for the PEM files
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Hosts as NAME or NAME=IP-ADDRESS
        #[bpaf(positional("HOST"), some("expected at least one host"))]
        hosts: Vec<CertificateHost>,
    },
}

/// Works on service documents.
#[derive(Clone, Debug, Bpaf)]
pub enum Document {
    /// Checks documents without a fleet, and reports every fault
    #[bpaf(command)]
    Check {
        /// Documents
        #[bpaf(positional("FILE"), some("expected at least one document"))]
        files: Vec<PathBuf>,
    },
    /// Writes a document
    #[bpaf(command)]
    Put {
        /// Revision that the document was made from, 0 for a new one; otherwise the newest one
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints a document; its revision goes to standard error
    #[bpaf(command)]
    Get {
        /// Service of the document
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Lists services and revisions
    #[bpaf(command)]
    List,
    /// Removes a document
    #[bpaf(command)]
    Remove {
        /// Revision that must still be the newest one
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Service of the document
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Issues or withdraws callers' keys.
#[derive(Clone, Debug, Bpaf)]
pub enum Key {
    /// Puts the digest of a new key into the document and prints the key, once
    #[bpaf(command)]
    Issue {
        /// Service of the document
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Workspace that gets the key
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Removes the digest of a key from the document
    #[bpaf(command)]
    Withdraw {
        /// Service of the document
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Digest as the document holds it: sha256:...
        #[bpaf(positional("DIGEST"))]
        digest: String,
    },
}

/// Region of some or all services.
#[derive(Clone, Debug, Bpaf)]
pub struct Region {
    /// Only this service; may be repeated
    #[bpaf(argument("SERVICE"), many)]
    pub service: Vec<String>,
    /// Region
    #[bpaf(positional("REGION"))]
    pub region: String,
}

/// Host that gets a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateHost {
    /// Name of the host.
    pub name: String,
    /// Address of the host, if it is to be in the certificate.
    pub address: Option<IpAddr>,
}

impl std::str::FromStr for CertificateHost {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = match text.split_once('=') {
            Some((name, address)) => (name, Some(address.parse()?)),
            None => (text, None),
        };
        Ok(Self { name: name.to_owned(), address })
    }
}
