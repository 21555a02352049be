//! Certificates of the fleet's private authority, for tests and small installations.
//!
//! A host certificate carries two names: [`FLEET_NAME`], which every host of the fleet presents, and
//! the name of the host, which must equal the sender of each message.

use std::net::IpAddr;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// Name that every host certificate of the fleet carries.
pub const FLEET_NAME: &str = "entry.marjorampick";

/// Why a certificate cannot be made.
pub type Fault = rcgen::Error;

/// A certificate and its private key, both as PEM.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The certificate.
    pub certificate: String,
    /// Its private key.
    pub key: String,
}

/// Makes an authority for the fleet.
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

/// Makes the certificate of one host, signed by an `authority` that [`create_authority`] made.
pub fn issue(authority: &Pair, name: &str, addresses: &[IpAddr]) -> Result<Pair, Fault> {
    let authority_key = KeyPair::from_pem(&authority.key)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let mut params = CertificateParams::new(vec![FLEET_NAME.to_owned(), name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    let addresses = addresses.iter().copied().map(SanType::IpAddress);
    params.subject_alt_names.extend(addresses);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}
