//! TLS settings of both directions: each side must show a certificate of the fleet's CA.

use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use kernel::HostName;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::crypto::{CryptoProvider, ring};
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::{Error, Keys};

/// The protocol's name in the handshake.
const PROTOCOL: &[u8] = b"barleypin/1";

/// How many answers one peer may wait for at once.
const MAX_ASKS: u32 = 256;

/// How many large frames one peer may have under way at once.
const MAX_STREAMS: u32 = 64;

/// Both directions' settings.
pub(crate) struct Configs {
    pub(crate) server: ServerConfig,
    pub(crate) client: ClientConfig,
}

/// Reads the keys once, at the edge.
pub(crate) fn configure(keys: &Keys, idle: Duration) -> Result<Configs, Report<Error>> {
    let transport = Arc::new(transport(idle)?);
    let mut server = ServerConfig::with_crypto(Arc::new(server_crypto(keys)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(client_crypto(keys)?));
    client.transport_config(transport);
    Ok(Configs { server, client })
}

/// The name that the peer's certificate proves. A certificate with several
/// names could pass for several hosts, so it proves none.
pub(crate) fn proven_name(connection: &Connection) -> Option<HostName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let mut names = certificate.valid_dns_names();
    let name = names.next()?;
    names.next().is_none().then(|| HostName::from(name))
}

fn transport(idle: Duration) -> Result<TransportConfig, Report<Error>> {
    let idle = IdleTimeout::try_from(idle).change_context(Error::Bind)?;
    let mut transport = TransportConfig::default();
    // Searching for a larger packet size costs more bytes than such short
    // conversations ever save.
    transport
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_ASKS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    Ok(transport)
}

fn server_crypto(keys: &Keys) -> Result<QuicServerConfig, Report<Error>> {
    let provider = provider();
    let roots = Arc::new(roots(keys)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .change_context(Error::Keys)?;
    let mut crypto = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(Error::Keys)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain(keys)?, private_key(keys)?)
        .change_context(Error::Keys)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicServerConfig::try_from(crypto).change_context(Error::Keys)
}

fn client_crypto(keys: &Keys) -> Result<QuicClientConfig, Report<Error>> {
    let mut crypto = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(Error::Keys)?
        .with_root_certificates(roots(keys)?)
        .with_client_auth_cert(chain(keys)?, private_key(keys)?)
        .change_context(Error::Keys)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicClientConfig::try_from(crypto).change_context(Error::Keys)
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn roots(keys: &Keys) -> Result<RootCertStore, Report<Error>> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(keys.ca.as_bytes()) {
        let certificate = certificate.change_context(Error::Keys)?;
        roots.add(certificate).change_context(Error::Keys)?;
    }
    Ok(roots)
}

fn chain(keys: &Keys) -> Result<Vec<CertificateDer<'static>>, Report<Error>> {
    CertificateDer::pem_slice_iter(keys.certificate.as_bytes())
        .collect::<Result<_, _>>()
        .change_context(Error::Keys)
}

fn private_key(keys: &Keys) -> Result<PrivateKeyDer<'static>, Report<Error>> {
    PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).change_context(Error::Keys)
}
