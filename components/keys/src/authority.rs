//! An authority that signs the certificates of one system's processes.

use rcgen::{
    BasicConstraints,
    CertificateParams,
    DistinguishedName,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use settings::Keys;

use crate::Error;

/// An authority: its certificate, and the key that signs others.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Authority {
    /// Certificate in PEM.
    pub certificate: String,
    /// Private key in PEM.
    pub key: String,
}

impl Authority {
    /// Makes a new authority.
    pub fn new() -> Result<Self, Error> {
        let key = KeyPair::generate()?;
        let certificate = params()?.self_signed(&key)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Makes keys for a host; the certificate is for that name only.
    pub fn issue(&self, host: &str) -> Result<Keys, Error> {
        let signer = Issuer::new(params()?, KeyPair::from_pem(&self.key)?);
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![host.to_string()])?;
        params.distinguished_name = name(host);
        // Each process dials others and is dialled.
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &signer)?;
        Ok(Keys {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name = name("medlarhatch trial authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn name(common: &str) -> DistinguishedName {
    let mut name = DistinguishedName::new();
    name.push(DnType::CommonName, common);
    name
}
