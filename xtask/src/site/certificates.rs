//! Certificates of the hosts of a trial site.

use std::path::Path;

use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};

use crate::error::Error;
use crate::site::write;

/// The certificate authority of the site.
pub(crate) struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority and writes its certificate to `ca.pem`.
    pub(crate) fn new(dir: &Path) -> Result<Self, Report<Error>> {
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "trial site");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().change_context(Error::Site)?;
        let issuer = CertifiedIssuer::self_signed(params, key).change_context(Error::Site)?;
        write(dir, "ca.pem", &issuer.pem())?;
        Ok(Self { issuer })
    }

    /// Issues a certificate for a host and writes it and its key.
    pub(crate) fn issue(&self, dir: &Path, name: &str) -> Result<(), Report<Error>> {
        let mut params =
            CertificateParams::new(vec![name.to_owned()]).change_context(Error::Site)?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().change_context(Error::Site)?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .change_context(Error::Site)?;
        write(dir, &format!("{name}.pem"), &certificate.pem())?;
        write(dir, &format!("{name}.key.pem"), &key.serialize_pem())?;
        Ok(())
    }
}
