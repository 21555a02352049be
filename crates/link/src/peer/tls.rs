//! Mutual TLS between entry hosts: client and server present a certificate that the fleet's private
//! certificate authority has signed.

use std::{fmt, io, path::Path, sync::Arc};

use quinn::{
    Connection,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::verify_server_name,
    crypto::ring::default_provider,
    server::{ParsedCertificate, WebPkiClientVerifier},
    version::TLS13,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject};

use crate::convert;

/// ALPN protocol name of the peer transport.
const PROTOCOL: &[u8] = b"marjorampick-peer/1";

/// Why the transport could not be opened, or why a received message was dropped.
#[derive(Debug)]
pub enum Fault {
    /// A certificate or private key could not be read or is invalid.
    Certificate(String),
    /// The socket could not be bound to its address.
    Bind(io::Error),
    /// A message was not received completely in time.
    TimedOut,
    /// The stream of a message failed before its end, or the message is too long.
    Incomplete(String),
    /// A message could not be decoded.
    Undecodable(convert::Fault),
    /// The peer's certificate is not valid for the host that the message states as its sender.
    WrongSender(Arc<str>),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate(text) => write!(f, "certificate: {text}"),
            Self::Bind(error) => write!(f, "cannot bind: {error}"),
            Self::TimedOut => write!(f, "it was not received in time"),
            Self::Incomplete(text) => write!(f, "it was not received completely: {text}"),
            Self::Undecodable(fault) => write!(f, "{fault}"),
            Self::WrongSender(host) => {
                write!(f, "the sender's certificate is not valid for {host}")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// Certificate and private key of a host, and the certificate authority that it trusts.
pub struct Credentials {
    authority: CertificateDer<'static>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads the credentials from PEM files.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Fault> {
        let text = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|error| Fault::Certificate(format!("{}: {error}", path.display())))
        };
        Self::from_pem(&text(authority)?, &text(certificate)?, &text(key)?)
    }

    /// Parses the credentials from the contents of PEM files.
    pub fn from_pem(authority: &str, certificate: &str, key: &str) -> Result<Self, Fault> {
        let chain = CertificateDer::pem_slice_iter(certificate.as_bytes());
        Ok(Self {
            authority: CertificateDer::from_pem_slice(authority.as_bytes())
                .map_err(certificate_fault)?,
            chain: chain.collect::<Result<_, _>>().map_err(certificate_fault)?,
            key: PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(certificate_fault)?,
        })
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, Fault> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).map_err(certificate_fault)?;
        Ok(Arc::new(roots))
    }
}

/// Certificate that the peer presented, if any.
pub(super) struct Identity(Option<CertificateDer<'static>>);

impl Identity {
    pub(super) fn from_connection(connection: &Connection) -> Self {
        let identity = connection.peer_identity();
        let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        Self(chain.and_then(|chain| chain.into_iter().next()))
    }

    /// Whether the certificate is valid for the name `host`.
    pub(super) fn is_valid_for(&self, host: &str) -> bool {
        let Some(certificate) = &self.0 else {
            return false;
        };
        let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
            return false;
        };
        ServerName::try_from(host).is_ok_and(|name| verify_server_name(&parsed, &name).is_ok())
    }
}

pub(super) fn server_config(credentials: &Credentials) -> Result<quinn::ServerConfig, Fault> {
    let provider = Arc::new(default_provider());
    let roots = credentials.roots()?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(certificate_fault)?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(certificate_fault)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(certificate_fault)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(certificate_fault)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(config)))
}

pub(super) fn client_config(credentials: &Credentials) -> Result<quinn::ClientConfig, Fault> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&TLS13])
        .map_err(certificate_fault)?
        .with_root_certificates(credentials.roots()?)
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(certificate_fault)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(certificate_fault)?;
    Ok(quinn::ClientConfig::new(Arc::new(config)))
}

fn certificate_fault(error: impl fmt::Display) -> Fault {
    Fault::Certificate(error.to_string())
}
