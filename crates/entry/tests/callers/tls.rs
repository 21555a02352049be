//! Callers over TLS.

use std::sync::Arc;

use marjorampick_entry::callers;
use rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring};
use rustls_pki_types::{PrivateKeyDer, ServerName};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::common::{Host, request};

/// Guards against a TLS listener whose requests don't reach the request path.
#[tokio::test]
async fn a_caller_over_tls_is_served() {
    let host = Host::start(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (server, client) = tls_configs();
    let acceptor = Some(TlsAcceptor::from(Arc::new(server)));
    tokio::spawn(callers::serve(listener, acceptor, host.callers.clone()));

    let stream = TcpStream::connect(address).await.unwrap();
    let name = ServerName::try_from("signing").unwrap();
    let connector = TlsConnector::from(Arc::new(client));
    let mut stream = connector.connect(name, stream).await.unwrap();
    let request_text = request("GET", "/status", "connection: close\r\n", "");
    stream.write_all(request_text.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Configurations of server and client for a new self-signed certificate of `signing`.
fn tls_configs() -> (ServerConfig, ClientConfig) {
    let generated = rcgen::generate_simple_self_signed(["signing".to_owned()]).unwrap();
    let key = PrivateKeyDer::try_from(generated.signing_key.serialize_der()).unwrap();
    let certificate = generated.cert.der().clone();
    let provider = Arc::new(ring::default_provider());
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], key)
        .unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(certificate).unwrap();
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    (server, client)
}
