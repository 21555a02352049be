//! Certificates of the fleet's private certificate authority, for tests and small installations.
//!
//! A host certificate has two DNS names: [`FLEET_NAME`], which is the same for all hosts of the
//! fleet and which clients verify, and the name of the host, which must match the sender that each
//! message states.

use std::net::IpAddr;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// DNS name in the certificate of every host of the fleet.
pub const FLEET_NAME: &str = "entry.marjorampick";

/// Why a certificate could not be created.
pub type Fault = rcgen::Error;

/// A certificate and its private key, both as PEM.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Certificate.
    pub certificate: String,
    /// Private key of the certificate.
    pub key: String,
}

/// Creates a certificate authority for the fleet.
pub fn create_authority() -> Result<Pair, Fault> {
    let key = KeyPair::generate()?;
    let certificate = authority_params().self_signed(&key)?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "marjorampick authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

/// Issues the certificate of the host `name`, signed by an `authority` of [`create_authority`].
pub fn issue(authority: &Pair, name: &str, addresses: &[IpAddr]) -> Result<Pair, Fault> {
    let authority_key = KeyPair::from_pem(&authority.key)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let mut params = CertificateParams::new(vec![FLEET_NAME.to_owned(), name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    let alt_names = addresses.iter().copied().map(SanType::IpAddress);
    params.subject_alt_names.extend(alt_names);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}
