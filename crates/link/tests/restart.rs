//! Sending to a host that was restarted under the same address, or that isn't running.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::task::{block_on, yield_now};
use kernel::Incarnation;
use link::keys::Authority;
use link::{Incoming, Keys, Link, Peer, Settings};
use wire::{Frame, Identity};

/// Time limit of the wait for a frame at the restarted host, and for unsent frames.
const TIMEOUT: Duration = Duration::from_secs(20);

fn numbered_frame(number: u64) -> Frame {
    Frame::Drain(Identity {
        host: "b".into(),
        incarnation: Incarnation(number),
    })
}

fn bind(keys: &Keys) -> (Link, Receiver<Incoming>) {
    let mut settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys.clone());
    settings.stall_timeout = Duration::from_millis(100);
    Link::bind(&settings).unwrap()
}

/// A UDP proxy whose target process can be replaced. Packets from the replaced process
/// are dropped, as if it had been killed.
struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    _caller: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    fn new(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let back = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let address = front.local_addr().unwrap();
        let target = Arc::new(Mutex::new(target));
        // Until a packet arrives, the caller's address is the front socket's own; by that
        // `forward` recognizes its direction.
        let caller = Arc::new(Mutex::new(address));
        forward(&front, &back, &caller, &target);
        forward(&back, &front, &target, &caller);
        Self {
            address,
            target,
            _caller: caller,
        }
    }

    fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }
}

/// Starts a thread that forwards packets until the proxy is dropped. The front socket
/// records the caller's address; the back socket accepts packets of the target only.
fn forward(
    from: &Arc<UdpSocket>,
    to: &Arc<UdpSocket>,
    source: &Arc<Mutex<SocketAddr>>,
    target: &Arc<Mutex<SocketAddr>>,
) {
    let front = from.local_addr().unwrap();
    let (from, to) = (from.clone(), to.clone());
    let (source, target): (Weak<_>, Weak<_>) = (Arc::downgrade(source), Arc::downgrade(target));
    let is_front = source
        .upgrade()
        .is_some_and(|it| *it.lock().unwrap() == front);
    from.set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    thread::spawn(move || {
        let mut packet = [0; 2048];
        loop {
            let (Some(source), Some(target)) = (source.upgrade(), target.upgrade()) else {
                return;
            };
            let Ok((len, sender)) = from.recv_from(&mut packet) else {
                continue;
            };
            if is_front {
                *source.lock().unwrap() = sender;
            } else if *source.lock().unwrap() != sender {
                continue;
            }
            let target = *target.lock().unwrap();
            to.send_to(&packet[..len], target).unwrap();
        }
    });
}

#[test]
fn a_peer_restarted_without_closing_its_connections_is_reached_again() {
    // The connection to the old process looks open, but frames sent on it are lost, so
    // that a live host would be taken for dead.
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let (a, _a_inbox) = bind(&authority.issue(&"a".into()).unwrap());
        let b_keys = authority.issue(&"b".into()).unwrap();
        let (old, old_inbox) = bind(&b_keys);
        let proxy = Proxy::new(old.address().unwrap());
        let b = Peer {
            host: "b".into(),
            address: proxy.address,
        };
        a.send(&b, &numbered_frame(1));
        assert_eq!(old_inbox.recv().await.unwrap().frame, numbered_frame(1));

        let (new, new_inbox) = bind(&b_keys);
        proxy.set_target(new.address().unwrap());
        let reached = async {
            while new_inbox.is_empty() {
                a.send(&b, &numbered_frame(2));
                yield_now().await;
            }
            new_inbox.recv().await.unwrap().frame
        };
        assert_eq!(timeout(TIMEOUT, reached).await.unwrap(), numbered_frame(2));
        assert_eq!(a.counters().snapshot().handshakes, 2);
    });
}

#[test]
fn frames_to_a_host_that_is_not_running_are_counted_as_unsent() {
    // Two wait for the connection, which fails; three exceed the queue.
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let mut settings = Settings::new(
            "127.0.0.1:0".parse().unwrap(),
            authority.issue(&"a".into()).unwrap(),
        );
        settings.connect_timeout = Duration::from_millis(50);
        settings.max_queued_frames = 2;
        let (a, _inbox) = Link::bind(&settings).unwrap();
        let silent = UdpSocket::bind("127.0.0.1:0").unwrap();
        let b = Peer {
            host: "b".into(),
            address: silent.local_addr().unwrap(),
        };
        for number in 0..5 {
            a.send(&b, &numbered_frame(number));
        }
        let counted = async {
            while a.counters().snapshot().unsent < 5 {
                yield_now().await;
            }
        };
        timeout(TIMEOUT, counted).await.unwrap();
        assert_eq!(a.counters().snapshot().frames_sent, 0);
    });
}
