//! TLS configuration of both directions. Each side must present a certificate of the
//! fleet's CA.

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

/// The ALPN protocol name.
const PROTOCOL: &[u8] = b"barleypin/1";

/// Maximum number of concurrent requests of the peer on one connection.
const MAX_CONCURRENT_REQUESTS: u32 = 256;

/// Maximum number of frames that the peer may send on streams of one connection
/// concurrently, besides requests.
const MAX_CONCURRENT_STREAM_FRAMES: u32 = 64;

/// The configuration for accepted and for opened connections.
pub(crate) struct Configs {
    pub(crate) server: ServerConfig,
    pub(crate) client: ClientConfig,
}

/// Parses the keys and builds the configuration of both directions.
pub(crate) fn configure(keys: &Keys, idle_timeout: Duration) -> Result<Configs, Report<Error>> {
    let transport = Arc::new(transport_config(idle_timeout)?);
    let mut server = ServerConfig::with_crypto(Arc::new(server_crypto(keys)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(client_crypto(keys)?));
    client.transport_config(transport);
    Ok(Configs { server, client })
}

/// Returns the DNS name in the peer's certificate, or `None` if there isn't exactly one:
/// the holder of a certificate with several could act as several hosts.
pub(crate) fn authenticated_name(connection: &Connection) -> Option<HostName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let mut names = certificate.valid_dns_names();
    let name = names.next()?;
    names.next().is_none().then(|| HostName::from(name))
}

fn transport_config(idle_timeout: Duration) -> Result<TransportConfig, Report<Error>> {
    let idle_timeout = IdleTimeout::try_from(idle_timeout).change_context(Error::Bind)?;
    let mut transport = TransportConfig::default();
    // MTU discovery would cost more bytes than larger packets save, as most frames
    // are small.
    transport
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(idle_timeout))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_REQUESTS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_CONCURRENT_STREAM_FRAMES));
    Ok(transport)
}

fn server_crypto(keys: &Keys) -> Result<QuicServerConfig, Report<Error>> {
    let provider = crypto_provider();
    let roots = Arc::new(root_store(keys)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .change_context(Error::Keys)?;
    let mut crypto = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(Error::Keys)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificate_chain(keys)?, private_key(keys)?)
        .change_context(Error::Keys)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicServerConfig::try_from(crypto).change_context(Error::Keys)
}

fn client_crypto(keys: &Keys) -> Result<QuicClientConfig, Report<Error>> {
    let mut crypto = rustls::ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(Error::Keys)?
        .with_root_certificates(root_store(keys)?)
        .with_client_auth_cert(certificate_chain(keys)?, private_key(keys)?)
        .change_context(Error::Keys)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicClientConfig::try_from(crypto).change_context(Error::Keys)
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn root_store(keys: &Keys) -> Result<RootCertStore, Report<Error>> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(keys.ca.as_bytes()) {
        let certificate = certificate.change_context(Error::Keys)?;
        roots.add(certificate).change_context(Error::Keys)?;
    }
    Ok(roots)
}

fn certificate_chain(keys: &Keys) -> Result<Vec<CertificateDer<'static>>, Report<Error>> {
    CertificateDer::pem_slice_iter(keys.certificate.as_bytes())
        .collect::<Result<_, _>>()
        .change_context(Error::Keys)
}

fn private_key(keys: &Keys) -> Result<PrivateKeyDer<'static>, Report<Error>> {
    PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).change_context(Error::Keys)
}
