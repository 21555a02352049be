//! Command-line options.

use std::{net::IpAddr, path::PathBuf};

use bpaf::Bpaf;

/// The operators' command-line tool of marjorampick.
///
/// Exit codes: 0 success, 1 failure, 2 faults in settings or certificates, 3 conflict,
/// 4 invalid document, 5 written but not in force, 6 unavailable, 7 outcome unknown, 8 not found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Only checks the arguments, the addresses and the token; no host is contacted
    pub check: bool,
    #[bpaf(external(fleet))]
    /// Connection to the entry hosts.
    pub fleet: Fleet,
    #[bpaf(external(command))]
    /// Commands.
    pub command: Command,
}

/// Connection to the entry hosts.
#[derive(Clone, Debug, Bpaf)]
pub struct Fleet {
    /// Address of an admin listener, for instance http://127.0.1.1:9001; may be repeated, and hosts
    /// are tried in the given order
    #[bpaf(long("host"), argument("ADDRESS"), many)]
    pub hosts: Vec<http::Uri>,
    /// File with the operators' token; by default the token is read from the environment variable
    /// MARJORAMPICK_TOKEN
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
}

/// Commands.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Checks, writes, prints, lists and removes service documents
    #[bpaf(command)]
    Document(#[bpaf(external(document))] Document),
    /// Issues or withdraws callers' keys
    #[bpaf(command)]
    Key(#[bpaf(external(key))] Key),
    /// Moves traffic away from a region, at the rate that the documents set
    #[bpaf(command)]
    Drain(#[bpaf(external(region))] Region),
    /// Lets traffic return to a region
    #[bpaf(command)]
    Undrain(#[bpaf(external(region))] Region),
    /// Shows region, revisions and number of members as each host reports them
    #[bpaf(command)]
    Status,
    /// Shows upper bounds of cross-region traffic and its cost for the next month
    #[bpaf(command)]
    Forecast {
        /// Documents to read instead of those of the fleet
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Creates an authority, unless the folder has one, and host certificates that it signs
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

/// Checks, writes, prints, lists and removes service documents.
#[derive(Clone, Debug, Bpaf)]
pub enum Document {
    /// Checks documents without contacting a host, and reports every fault
    #[bpaf(command)]
    Check {
        /// Documents
        #[bpaf(positional("FILE"), some("expected at least one document"))]
        files: Vec<PathBuf>,
    },
    /// Writes a document
    #[bpaf(command)]
    Put {
        /// Revision that the document was made from, 0 for a new document; by default the newest
        /// revision
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
    /// Creates a key, adds its digest to the document and prints the key, which is not stored
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
        /// Digest of the key as in the document: sha256:...
        #[bpaf(positional("DIGEST"))]
        digest: String,
    },
}

/// A region, and the services to which a command on it applies.
#[derive(Clone, Debug, Bpaf)]
pub struct Region {
    /// Service to change, by default all; may be repeated
    #[bpaf(argument("SERVICE"), many)]
    pub service: Vec<String>,
    /// Region
    #[bpaf(positional("REGION"))]
    pub region: String,
}

/// Host for which a certificate is created, given as `NAME` or `NAME=IP-ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateHost {
    /// Name of the host.
    pub name: String,
    /// Address to include in the certificate, if any.
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
