//! Frames and requests between hosts on the loopback interface.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::task::block_on;
use kernel::{HostName, Incarnation};
use link::keys::Authority;
use link::{Error, Incoming, Keys, Link, Peer, Rejection, Settings};
use wire::{Frame, Identity, Payload};

/// Time limit of requests, and of the wait for a rejection.
const TIMEOUT: Duration = Duration::from_secs(10);

struct Host {
    name: HostName,
    link: Link,
    inbox: Receiver<Incoming>,
}

impl Host {
    fn new(keys: Keys, name: &str) -> Self {
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        Self::with_address(address, keys, name)
    }

    fn with_address(address: SocketAddr, keys: Keys, name: &str) -> Self {
        let (link, inbox) = Link::bind(&Settings::new(address, keys)).unwrap();
        Self {
            name: name.into(),
            link,
            inbox,
        }
    }

    fn peer(&self) -> Peer {
        Peer {
            host: self.name.clone(),
            address: self.link.address().unwrap(),
        }
    }

    async fn receive(&self) -> Incoming {
        self.inbox.recv().await.unwrap()
    }
}

fn host(authority: &Authority, name: &str) -> Host {
    Host::new(authority.issue(&name.into()).unwrap(), name)
}

fn pair() -> (Host, Host) {
    let authority = Authority::generate("test").unwrap();
    (host(&authority, "a"), host(&authority, "b"))
}

/// Waits until the host has counted a rejection for `reason`.
async fn wait_for_rejection(host: &Host, reason: Rejection) {
    let counted = async {
        while host.link.counters().rejected(reason) == 0 {
            async_std::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, counted).await.unwrap();
}

fn payload(bytes: usize) -> Frame {
    Frame::Ledger(Payload {
        from: Identity {
            host: "a".into(),
            incarnation: Incarnation(1),
        },
        bytes: vec![7; bytes],
    })
}

#[test]
fn frames_of_any_size_arrive_with_the_authenticated_name() {
    block_on(async {
        let (a, b) = pair();
        for bytes in [10, 1000, 100_000, 2_000_000] {
            a.link.send(&b.peer(), &payload(bytes));
            let incoming = b.receive().await;
            assert_eq!(incoming.host().as_str(), "a");
            assert_eq!(incoming.frame, payload(bytes));
            assert!(incoming.reply.is_none());
        }
        assert_eq!(a.link.counters().snapshot().handshakes, 1);
    });
}

#[test]
fn both_sides_send_over_the_connection_that_one_opened() {
    block_on(async {
        let (a, b) = pair();
        let response = async_std::task::spawn({
            let (link, peer) = (a.link.clone(), b.peer());
            async move { link.request(&peer, &payload(10), TIMEOUT).await }
        });
        let incoming = b.receive().await;
        incoming.reply.unwrap().send(&Frame::Done).await;
        assert_eq!(response.await.unwrap(), Frame::Done);
        b.link.send(&a.peer(), &payload(20));
        assert_eq!(a.receive().await.frame, payload(20));
        assert_eq!(b.link.counters().snapshot().handshakes, 1);
    });
}

#[test]
fn a_request_fails_if_its_reply_is_dropped() {
    block_on(async {
        let (a, b) = pair();
        let response = async_std::task::spawn({
            let (link, peer) = (a.link.clone(), b.peer());
            async move { link.request(&peer, &payload(10), TIMEOUT).await }
        });
        drop(b.receive().await);
        let error = response.await.unwrap_err();
        assert_eq!(*error.current_context(), Error::Frame);
    });
}

#[test]
fn a_certificate_of_another_ca_is_rejected_and_counted() {
    // Otherwise anyone could order a host to drain.
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let b = host(&authority, "b");
        let foreign = Authority::generate("test").unwrap();
        let mut keys = foreign.issue(&"a".into()).unwrap();
        keys.ca.clone_from(&authority.certificate);
        let outsider = Host::new(keys, "a");
        let response = outsider
            .link
            .request(&b.peer(), &Frame::Done, TIMEOUT)
            .await;
        assert!(response.is_err());
        wait_for_rejection(&b, Rejection::Handshake).await;
        assert!(b.inbox.is_empty());
    });
}

#[test]
fn a_host_with_another_name_in_its_certificate_receives_nothing() {
    // A host may get the address of a former host of the same fleet. Frames for the
    // former host must not reach it.
    block_on(async {
        let (a, b) = pair();
        let mut peer = b.peer();
        peer.host = "c".into();
        let response = a.link.request(&peer, &Frame::Done, TIMEOUT).await;
        let error = response.unwrap_err();
        assert_eq!(*error.current_context(), Error::Unreachable);
        assert!(b.inbox.is_empty());
    });
}
