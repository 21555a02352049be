//! TLS of the caller listener.

use std::sync::Arc;

use eyre::WrapErr;
use rustls::{ServerConfig, crypto::ring::default_provider};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio_rustls::TlsAcceptor;

use crate::settings::callers::Tls;

/// Returns an acceptor with the certificate and the private key of the caller listener.
///
/// # Errors
///
/// A file cannot be read, or the key does not belong to the certificate.
pub(crate) fn acceptor(files: &Tls) -> eyre::Result<TlsAcceptor> {
    let certificate = files.certificate.display();
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .wrap_err_with(|| format!("{certificate} cannot be used"))?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .wrap_err_with(|| format!("{} cannot be used", files.key.display()))?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    // The request path supports only HTTP/1.1.
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
