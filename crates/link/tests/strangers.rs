//! What doesn't belong on the fleet's port is dropped and counted by reason.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::task::{block_on, yield_now};
use link::keys::Authority;
use link::{Incoming, Keys, Link, Rejection, Settings};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{AsyncStdRuntime, ClientConfig, Connection, Endpoint, EndpointConfig};
use rcgen::{CertificateParams, Issuer, KeyPair};
use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use wire::{Frame, MAX_FRAME_BYTES};

const PATIENCE: Duration = Duration::from_secs(20);

struct Host {
    link: Link,
    inbox: Receiver<Incoming>,
}

impl Host {
    fn new(authority: &Authority) -> Self {
        let keys = authority.issue(&"host".into()).unwrap();
        let settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
        let (link, inbox) = Link::bind(&settings).unwrap();
        Self { link, inbox }
    }

    async fn check(&self, reason: Rejection) {
        let counted = async {
            while self.link.counters().rejected(reason) == 0 {
                yield_now().await;
            }
        };
        timeout(PATIENCE, counted).await.unwrap();
        for other in Rejection::ALL.into_iter().filter(|it| *it != reason) {
            assert_eq!(self.link.counters().rejected(other), 0, "{other:?}");
        }
        assert!(self.inbox.is_empty());
    }
}

/// Connects without the link's help, with `keys` or with no certificate at all.
async fn connect(ca: &str, keys: Option<&Keys>, to: SocketAddr) -> Option<(Endpoint, Connection)> {
    let mut roots = RootCertStore::empty();
    let ca = CertificateDer::from_pem_slice(ca.as_bytes()).unwrap();
    roots.add(ca).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut crypto = match keys {
        None => builder.with_no_client_auth(),
        Some(keys) => {
            let chain = CertificateDer::from_pem_slice(keys.certificate.as_bytes()).unwrap();
            let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).unwrap();
            builder.with_client_auth_cert(vec![chain], key).unwrap()
        }
    };
    crypto.alpn_protocols = vec![b"barleypin/1".to_vec()];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let runtime = Arc::new(AsyncStdRuntime);
    let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime).unwrap();
    let crypto = QuicClientConfig::try_from(crypto).unwrap();
    let config = ClientConfig::new(Arc::new(crypto));
    let connecting = endpoint.connect_with(config, to, "host").unwrap();
    let connection = connecting.await.ok()?;
    Some((endpoint, connection))
}

/// A host, and a connection to it by someone with the fleet's keys who speaks
/// no sense.
async fn member() -> (Host, Endpoint, Connection) {
    let authority = Authority::generate("test").unwrap();
    let host = Host::new(&authority);
    let keys = authority.issue(&"broken".into()).unwrap();
    let to = host.link.address().unwrap();
    let (endpoint, connection) = connect(&authority.certificate, Some(&keys), to)
        .await
        .unwrap();
    (host, endpoint, connection)
}

async fn stream(connection: &Connection, bytes: &[u8]) {
    let mut stream = connection.open_uni().await.unwrap();
    // The host may stop reading, and it may do so before all is written.
    let _ = stream.write_all(bytes).await;
    let _ = stream.finish();
}

#[test]
fn a_datagram_that_is_no_frame_is_dropped() {
    block_on(async {
        let (host, _endpoint, connection) = member().await;
        connection
            .send_datagram(b"nonsense".to_vec().into())
            .unwrap();
        host.check(Rejection::Malformed).await;
    });
}

#[test]
fn a_stream_that_is_no_frame_is_dropped() {
    block_on(async {
        let (host, _endpoint, connection) = member().await;
        stream(&connection, &[1, 0xff, 0xff]).await;
        host.check(Rejection::Malformed).await;
    });
}

#[test]
fn a_stream_that_never_ends_is_cut_at_the_largest_frame() {
    block_on(async {
        let (host, _endpoint, connection) = member().await;
        stream(&connection, &vec![1; MAX_FRAME_BYTES + 1]).await;
        host.check(Rejection::TooLarge).await;
    });
}

#[test]
fn sense_after_nonsense_is_heard() {
    block_on(async {
        let (host, _endpoint, connection) = member().await;
        stream(&connection, b"").await;
        host.check(Rejection::Malformed).await;
        stream(&connection, &Frame::Done.encode().unwrap()).await;
        let incoming = timeout(PATIENCE, host.inbox.recv()).await.unwrap().unwrap();
        assert_eq!(incoming.host().as_str(), "broken");
    });
}

#[test]
fn one_without_a_certificate_is_dropped() {
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let host = Host::new(&authority);
        let to = host.link.address().unwrap();
        let _opened = connect(&authority.certificate, None, to).await;
        host.check(Rejection::Handshake).await;
    });
}

#[test]
fn one_with_two_names_is_dropped() {
    // A certificate with two names could speak for two hosts. The fleet's tool
    // makes none, but whoever holds the CA's key may have made one.
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let host = Host::new(&authority);
        let ca_key = KeyPair::from_pem(&authority.key).unwrap();
        let issuer = Issuer::from_ca_cert_pem(&authority.certificate, ca_key).unwrap();
        let key = KeyPair::generate().unwrap();
        let names = vec!["one".to_owned(), "two".to_owned()];
        let params = CertificateParams::new(names).unwrap();
        let keys = Keys {
            ca: authority.certificate.clone(),
            certificate: params.signed_by(&key, &issuer).unwrap().pem(),
            key: key.serialize_pem(),
        };
        let to = host.link.address().unwrap();
        let _opened = connect(&authority.certificate, Some(&keys), to).await;
        host.check(Rejection::Nameless).await;
    });
}

#[test]
fn one_that_sends_faster_than_it_is_heard_loses_frames_only() {
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let keys = authority.issue(&"host".into()).unwrap();
        let mut settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
        settings.inbox = 1;
        let (link, inbox) = Link::bind(&settings).unwrap();
        let keys = authority.issue(&"eager".into()).unwrap();
        let to = link.address().unwrap();
        let opened = connect(&authority.certificate, Some(&keys), to).await;
        let (_endpoint, connection) = opened.unwrap();
        let done = Frame::Done.encode().unwrap();
        let counted = async {
            while link.counters().rejected(Rejection::Flooded) == 0 {
                stream(&connection, &done).await;
                yield_now().await;
            }
        };
        timeout(PATIENCE, counted).await.unwrap();
        assert_eq!(inbox.len(), 1);
    });
}
