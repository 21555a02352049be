//! Mutual TLS between entry hosts: both sides present a certificate of the fleet's own authority.

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

/// Application protocol of the peer transport.
const PROTOCOL: &[u8] = b"marjorampick-peer/1";

/// Why the transport cannot be opened, or why a message is dropped.
#[derive(Debug)]
pub enum Fault {
    /// A certificate or key is unusable.
    Certificate(String),
    /// The address cannot be bound.
    Bind(io::Error),
    /// A message did not arrive completely in time.
    TimedOut,
    /// A message was cut off or is too long.
    Incomplete(String),
    /// A message cannot be decoded.
    Undecodable(convert::Fault),
    /// The sender's certificate is not for the host that the message names.
    WrongSender(Arc<str>),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate(text) => write!(f, "certificate: {text}"),
            Self::Bind(error) => write!(f, "cannot bind: {error}"),
            Self::TimedOut => write!(f, "it did not arrive in time"),
            Self::Incomplete(text) => write!(f, "it was cut off: {text}"),
            Self::Undecodable(fault) => write!(f, "{fault}"),
            Self::WrongSender(host) => write!(f, "the sender's certificate is not for {host}"),
        }
    }
}

impl std::error::Error for Fault {}

/// What a host presents and whom it trusts.
pub struct Credentials {
    authority: CertificateDer<'static>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads PEM files.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Fault> {
        let text = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|error| Fault::Certificate(format!("{}: {error}", path.display())))
        };
        Self::from_pem(&text(authority)?, &text(certificate)?, &text(key)?)
    }

    /// Takes the contents of PEM files.
    pub fn from_pem(authority: &str, certificate: &str, key: &str) -> Result<Self, Fault> {
        let chain = CertificateDer::pem_slice_iter(certificate.as_bytes());
        Ok(Self {
            authority: CertificateDer::from_pem_slice(authority.as_bytes()).map_err(unusable)?,
            chain: chain.collect::<Result<_, _>>().map_err(unusable)?,
            key: PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(unusable)?,
        })
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, Fault> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).map_err(unusable)?;
        Ok(Arc::new(roots))
    }
}

/// The host that the peer's certificate names.
pub(super) struct Identity(Option<CertificateDer<'static>>);

impl Identity {
    pub(super) fn of(connection: &Connection) -> Self {
        let presented = connection.peer_identity();
        let chain = presented.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        Self(chain.and_then(|chain| chain.into_iter().next()))
    }

    /// Whether the certificate carries the name `host`.
    pub(super) fn allows(&self, host: &str) -> bool {
        let Some(certificate) = &self.0 else {
            return false;
        };
        let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
            return false;
        };
        ServerName::try_from(host).is_ok_and(|name| verify_server_name(&parsed, &name).is_ok())
    }
}

pub(super) fn server(credentials: &Credentials) -> Result<quinn::ServerConfig, Fault> {
    let provider = Arc::new(default_provider());
    let roots = credentials.roots()?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(unusable)?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(unusable)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(unusable)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(config)))
}

pub(super) fn client(credentials: &Credentials) -> Result<quinn::ClientConfig, Fault> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_root_certificates(credentials.roots()?)
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(unusable)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(unusable)?;
    Ok(quinn::ClientConfig::new(Arc::new(config)))
}

fn unusable(error: impl fmt::Display) -> Fault {
    Fault::Certificate(error.to_string())
}
