//! Mutual TLS for links: each side presents a certificate that the configured authority signed for
//! its host name.

use std::sync::Arc;

use quinn::crypto::rustls::{
    QuicClientConfig,
    QuicServerConfig, //
};
use rustls::{
    ClientConfig,
    RootCertStore,
    ServerConfig,
    server::WebPkiClientVerifier, //
};
use rustls_pki_types::{
    CertificateDer,
    PrivateKeyDer,
    ServerName,
    pem::PemObject, //
};
use settings::Keys;
use webpki::EndEntityCert;

use crate::Error;

/// ALPN protocol name; a handshake that offers another one fails.
const ALPN_PROTOCOL: &[u8] = b"medlarhatch";

/// Returns the TLS configuration of the accepting side.
pub fn server(keys: &Keys) -> Result<QuicServerConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::new(root_store(keys)?), provider.clone())
            .build()
            .map_err(unusable)?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificate_chain(keys)?, private_key(keys)?)
        .map_err(unusable)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    QuicServerConfig::try_from(config).map_err(unusable)
}

/// Returns the TLS configuration of the dialling side.
pub fn client(keys: &Keys) -> Result<QuicClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_root_certificates(root_store(keys)?)
        .with_client_auth_cert(certificate_chain(keys)?, private_key(keys)?)
        .map_err(unusable)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    QuicClientConfig::try_from(config).map_err(unusable)
}

/// Returns whether a certificate is valid for a host name.
pub fn is_valid_for(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(server) = ServerName::try_from(name) else {
        return false;
    };
    EndEntityCert::try_from(certificate)
        .is_ok_and(|entity| entity.verify_is_valid_for_subject_name(&server).is_ok())
}

fn root_store(keys: &Keys) -> Result<RootCertStore, Error> {
    let mut store = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(keys.authority.as_bytes()) {
        store
            .add(certificate.map_err(unusable)?)
            .map_err(unusable)?;
    }
    Ok(store)
}

fn certificate_chain(keys: &Keys) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_slice_iter(keys.certificate.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(unusable)
}

fn private_key(keys: &Keys) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).map_err(unusable)
}

fn unusable(error: impl std::fmt::Display) -> Error {
    Error::Keys(error.to_string())
}
