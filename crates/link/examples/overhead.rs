//! Measures the cost of frames and connections over QUIC: traffic, time and memory.
//! `docs/design/membership.md` quotes the figures.

use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep};
use kernel::Incarnation;
use link::keys::Authority;
use link::{Link, Peer, Settings};
use wire::{Frame, Identity, Payload};

const FRAMES: u32 = 100;
const PAUSE_BETWEEN_FRAMES: Duration = Duration::from_millis(60);
const HANDSHAKES: u32 = 50;
const TIMED_FRAMES: u32 = 20_000;
const CONNECTIONS: u64 = 200;
const PAGE_KB: u64 = 4;

fn main() {
    block_on(async {
        let authority = Authority::generate("measured").unwrap();
        let bind = |name: &str| {
            let keys = authority.issue(&name.into()).unwrap();
            let settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
            let (link, inbox) = Link::bind(&settings).unwrap();
            let peer = Peer {
                host: name.into(),
                address: link.address().unwrap(),
            };
            (link, inbox, peer)
        };
        let (a, _inbox_a, _) = bind("a");
        let (b, inbox, to_b) = bind("b");
        let frame = Frame::Ledger(Payload {
            from: Identity {
                host: "a".into(),
                incarnation: Incarnation(1),
            },
            bytes: vec![7; 152],
        });
        let size = frame.encode().unwrap().len();

        a.send(&to_b, &frame);
        inbox.recv().await.unwrap();
        sleep(Duration::from_secs(1)).await;
        let (at_sender, at_receiver) = (a.udp_traffic(), b.udp_traffic());
        println!("first frame and handshake: {at_sender:?} at the opener");

        // The pauses let each frame be acknowledged separately, as between two hosts that
        // exchange few frames.
        for _ in 0..FRAMES {
            a.send(&to_b, &frame);
            inbox.recv().await.unwrap();
            sleep(PAUSE_BETWEEN_FRAMES).await;
        }
        let (at_sender, at_receiver) = (a.udp_traffic() - at_sender, b.udp_traffic() - at_receiver);
        println!("{FRAMES} frames of {size} bytes, without IP and UDP headers:");
        println!("  at the sender {at_sender:?}");
        println!("  at the receiver {at_receiver:?}");

        let started = Instant::now();
        for _ in 0..TIMED_FRAMES {
            a.send(&to_b, &frame);
            inbox.recv().await.unwrap();
        }
        println!(
            "frame by frame, sender and receiver: {:?} a frame",
            started.elapsed() / TIMED_FRAMES
        );

        // Each change of the peer's address opens a new connection; the old one stays
        // open until the idle timeout.
        let (_other, other_inbox, to_other) = bind("b");
        let before = resident_pages();
        for index in 0..CONNECTIONS {
            if index % 2 == 0 {
                a.send(&to_other, &frame);
                other_inbox.recv().await.unwrap();
            } else {
                a.send(&to_b, &frame);
                inbox.recv().await.unwrap();
            }
        }
        let pages = resident_pages() - before;
        println!(
            "{CONNECTIONS} more connections, both sides: {} KB resident",
            pages * PAGE_KB
        );

        let started = Instant::now();
        for index in 0..HANDSHAKES {
            let (link, _inbox, _) = bind(&format!("c{index}"));
            link.send(&to_b, &frame);
            inbox.recv().await.unwrap();
        }
        println!(
            "key, certificate and handshake, both sides: {:?}",
            started.elapsed() / HANDSHAKES
        );
    });
}

/// Returns the number of resident memory pages of this process.
fn resident_pages() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse().unwrap()
}
