//! Invalid connections and frames are rejected and counted by reason.

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

/// Fails a test that would otherwise wait forever.
const TIMEOUT: Duration = Duration::from_secs(20);

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

    /// Waits for a rejection for `reason`. Checks that none was counted for another reason
    /// and no frame was delivered.
    async fn check_rejected(&self, reason: Rejection) {
        let counted = async {
            while self.link.counters().rejected(reason) == 0 {
                yield_now().await;
            }
        };
        timeout(TIMEOUT, counted).await.unwrap();
        for other in Rejection::ALL.into_iter().filter(|it| *it != reason) {
            assert_eq!(self.link.counters().rejected(other), 0, "{other:?}");
        }
        assert!(self.inbox.is_empty());
    }
}

/// Connects with a plain QUIC client, with `keys` or without a client certificate.
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

/// Returns a host, and a connection to it with a valid certificate.
async fn host_and_connection() -> (Host, Endpoint, Connection) {
    let authority = Authority::generate("test").unwrap();
    let host = Host::new(&authority);
    let keys = authority.issue(&"sender".into()).unwrap();
    let to = host.link.address().unwrap();
    let (endpoint, connection) = connect(&authority.certificate, Some(&keys), to)
        .await
        .unwrap();
    (host, endpoint, connection)
}

async fn send_on_stream(connection: &Connection, bytes: &[u8]) {
    let mut stream = connection.open_uni().await.unwrap();
    // The host may stop reading before all bytes are written.
    let _ = stream.write_all(bytes).await;
    let _ = stream.finish();
}

#[test]
fn a_datagram_that_is_not_a_frame_is_rejected() {
    block_on(async {
        let (host, _endpoint, connection) = host_and_connection().await;
        connection
            .send_datagram(b"nonsense".to_vec().into())
            .unwrap();
        host.check_rejected(Rejection::Malformed).await;
    });
}

#[test]
fn a_stream_whose_bytes_are_not_a_frame_is_rejected() {
    block_on(async {
        let (host, _endpoint, connection) = host_and_connection().await;
        send_on_stream(&connection, &[1, 0xff, 0xff]).await;
        host.check_rejected(Rejection::Malformed).await;
    });
}

#[test]
fn a_stream_longer_than_the_largest_frame_is_rejected() {
    block_on(async {
        let (host, _endpoint, connection) = host_and_connection().await;
        send_on_stream(&connection, &vec![1; MAX_FRAME_BYTES + 1]).await;
        host.check_rejected(Rejection::TooLarge).await;
    });
}

#[test]
fn a_valid_frame_after_a_malformed_one_is_received() {
    block_on(async {
        let (host, _endpoint, connection) = host_and_connection().await;
        send_on_stream(&connection, b"").await;
        host.check_rejected(Rejection::Malformed).await;
        send_on_stream(&connection, &Frame::Done.encode().unwrap()).await;
        let incoming = timeout(TIMEOUT, host.inbox.recv()).await.unwrap().unwrap();
        assert_eq!(incoming.host().as_str(), "sender");
    });
}

#[test]
fn a_client_without_a_certificate_is_rejected() {
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let host = Host::new(&authority);
        let to = host.link.address().unwrap();
        let _opened = connect(&authority.certificate, None, to).await;
        host.check_rejected(Rejection::Handshake).await;
    });
}

#[test]
fn a_certificate_with_two_names_is_rejected() {
    // The holder of such a certificate could act as two hosts. `Authority` issues none,
    // but other tools can sign one with the CA's key.
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
        host.check_rejected(Rejection::CertificateName).await;
    });
}

#[test]
fn frames_beyond_the_inbox_capacity_are_rejected() {
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let keys = authority.issue(&"host".into()).unwrap();
        let mut settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
        settings.inbox_capacity = 1;
        let (link, inbox) = Link::bind(&settings).unwrap();
        let keys = authority.issue(&"eager".into()).unwrap();
        let to = link.address().unwrap();
        let opened = connect(&authority.certificate, Some(&keys), to).await;
        let (_endpoint, connection) = opened.unwrap();
        let done = Frame::Done.encode().unwrap();
        let counted = async {
            while link.counters().rejected(Rejection::InboxFull) == 0 {
                send_on_stream(&connection, &done).await;
                yield_now().await;
            }
        };
        timeout(TIMEOUT, counted).await.unwrap();
        assert_eq!(inbox.len(), 1);
    });
}
