//! A host is killed and restarted under its name and address.

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

const PATIENCE: Duration = Duration::from_secs(20);

fn frame(number: u64) -> Frame {
    Frame::Drain(Identity {
        host: "b".into(),
        incarnation: Incarnation(number),
    })
}

fn bind(keys: &Keys) -> (Link, Receiver<Incoming>) {
    let mut settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys.clone());
    settings.stall = Duration::from_millis(100);
    Link::bind(&settings).unwrap()
}

/// One address behind which the process can be exchanged. What the old process
/// still says is dropped, as if it had been killed.
struct Place {
    address: SocketAddr,
    process: Arc<Mutex<SocketAddr>>,
    _caller: Arc<Mutex<SocketAddr>>,
}

impl Place {
    fn new(process: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let back = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let address = front.local_addr().unwrap();
        let process = Arc::new(Mutex::new(process));
        let caller = Arc::new(Mutex::new(address));
        pass(&front, &back, &caller, &process);
        pass(&back, &front, &process, &caller);
        Self {
            address,
            process,
            _caller: caller,
        }
    }

    fn exchange(&self, process: SocketAddr) {
        *self.process.lock().unwrap() = process;
    }
}

/// Passes packets on until the place is gone. The front learns who calls; the
/// back takes packets of the present process only.
fn pass(
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
fn a_peer_that_was_killed_and_restarted_is_reached_again() {
    // Host b dies without closing its connections and comes back under the
    // same address. Host a has a connection to the old process, which looks
    // open, and all that is sent on it is lost. A live host would pass for dead.
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let (a, _a_inbox) = bind(&authority.issue(&"a".into()).unwrap());
        let b_keys = authority.issue(&"b".into()).unwrap();
        let (old, old_inbox) = bind(&b_keys);
        let place = Place::new(old.address().unwrap());
        let b = Peer {
            host: "b".into(),
            address: place.address,
        };
        a.send(&b, &frame(1));
        assert_eq!(old_inbox.recv().await.unwrap().frame, frame(1));

        let (new, new_inbox) = bind(&b_keys);
        place.exchange(new.address().unwrap());
        let reached = async {
            while new_inbox.is_empty() {
                a.send(&b, &frame(2));
                yield_now().await;
            }
            new_inbox.recv().await.unwrap().frame
        };
        assert_eq!(timeout(PATIENCE, reached).await.unwrap(), frame(2));
        assert_eq!(a.counters().snapshot().handshakes, 2);
    });
}

#[test]
fn a_frame_for_a_host_that_is_not_there_is_counted_as_unsent() {
    block_on(async {
        let authority = Authority::generate("test").unwrap();
        let mut settings = Settings::new(
            "127.0.0.1:0".parse().unwrap(),
            authority.issue(&"a".into()).unwrap(),
        );
        settings.connect_timeout = Duration::from_millis(50);
        settings.waiting = 2;
        let (a, _inbox) = Link::bind(&settings).unwrap();
        let silent = UdpSocket::bind("127.0.0.1:0").unwrap();
        let b = Peer {
            host: "b".into(),
            address: silent.local_addr().unwrap(),
        };
        for number in 0..5 {
            a.send(&b, &frame(number));
        }
        let counted = async {
            while a.counters().snapshot().unsent < 5 {
                yield_now().await;
            }
        };
        timeout(PATIENCE, counted).await.unwrap();
        assert_eq!(a.counters().snapshot().frames_sent, 0);
    });
}
