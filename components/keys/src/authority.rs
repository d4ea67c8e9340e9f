//! A certificate authority for the processes of one system.

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

/// A certificate authority: its certificate, and the key that signs others.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Authority {
    /// Certificate in PEM format.
    pub certificate: String,
    /// Private key in PEM format.
    pub key: String,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    ///
    /// # Errors
    ///
    /// [`Error`] when the key or the certificate can't be generated.
    pub fn new() -> Result<Self, Error> {
        let key = KeyPair::generate()?;
        let certificate = authority_params()?.self_signed(&key)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Creates a key and a certificate that is valid only for one host's name.
    ///
    /// # Errors
    ///
    /// [`Error`] when the authority's key can't be parsed, or the key or the certificate can't be
    /// generated.
    pub fn issue(&self, host: &str) -> Result<Keys, Error> {
        let signer = Issuer::new(authority_params()?, KeyPair::from_pem(&self.key)?);
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![host.to_string()])?;
        params.distinguished_name = distinguished_name(host);
        // Each process both dials and accepts links.
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

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name = distinguished_name("medlarhatch trial authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn distinguished_name(common: &str) -> DistinguishedName {
    let mut name = DistinguishedName::new();
    name.push(DnType::CommonName, common);
    name
}
