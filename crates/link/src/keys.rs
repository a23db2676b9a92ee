//! The fleet's CA, and the certificates that authenticate its hosts.

use error_stack::{Report, ResultExt};
use kernel::HostName;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls_pki_types::ServerName;

use crate::Error;

/// The PEM texts with which a host authenticates itself and others.
#[derive(Clone)]
pub struct Keys {
    /// The certificates of the trusted CAs; more than one while a CA is being replaced.
    pub ca: String,
    /// The host's certificate, possibly followed by those of intermediate CAs.
    pub certificate: String,
    /// The host's private key.
    pub key: String,
}

/// A CA with its private key, as PEM. Whoever holds the key can issue certificates for any
/// host name.
#[derive(Clone)]
pub struct Authority {
    /// The CA's certificate.
    pub certificate: String,
    /// The CA's private key.
    pub key: String,
}

impl Authority {
    /// Generates a CA whose common name is `fleet`.
    ///
    /// # Errors
    /// [`Error::Keys`] if the key or certificate can't be generated.
    pub fn generate(fleet: &str) -> Result<Self, Report<Error>> {
        let key = KeyPair::generate().change_context(Error::Keys)?;
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, fleet);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key).change_context(Error::Keys)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Issues a key and certificate for `host`, whose name must be a DNS name.
    ///
    /// # Errors
    /// [`Error::HostName`] if the name isn't a DNS name, [`Error::Keys`] if the CA is
    /// invalid or the key or certificate can't be generated.
    pub fn issue(&self, host: &HostName) -> Result<Keys, Report<Error>> {
        if !is_dns_name(host) {
            return Err(Report::new(Error::HostName));
        }
        let ca_key = KeyPair::from_pem(&self.key).change_context(Error::Keys)?;
        let issuer =
            Issuer::from_ca_cert_pem(&self.certificate, ca_key).change_context(Error::Keys)?;
        let key = KeyPair::generate().change_context(Error::Keys)?;
        let names = vec![host.as_str().to_owned()];
        let mut params = CertificateParams::new(names).change_context(Error::Keys)?;
        params
            .distinguished_name
            .push(DnType::CommonName, host.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params
            .signed_by(&key, &issuer)
            .change_context(Error::Keys)?;
        Ok(Keys {
            ca: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

/// Returns whether the host's name is a DNS name. An IP address would be put into the
/// certificate as an IP address, and other hosts accept only a DNS name as a host's name.
fn is_dns_name(host: &HostName) -> bool {
    matches!(
        ServerName::try_from(host.as_str()),
        Ok(ServerName::DnsName(_))
    )
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Authority {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Authority").finish_non_exhaustive()
    }
}
