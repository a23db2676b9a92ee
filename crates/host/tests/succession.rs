//! Tests of the order in which hosts read the store.

use std::time::Duration;

use host::gossip::Graph;
use host::succession::{READ_MARGIN, read_delay, startup_delay, write_delay};

const SIZES: [usize; 5] = [8, 30, 300, 1_000, 2_000];
/// Time from the start of a reading until all hosts know of it, per hop of gossip.
const HOP_TIME: Duration = Duration::from_millis(60);

/// Returns the number of hosts that read the store if the first `failed` ranks don't.
fn readers(hosts: usize, failed: usize, delay: impl Fn(usize) -> Duration) -> usize {
    let informed = delay(failed) + HOP_TIME * Graph::estimated_hops(hosts);
    (failed..hosts).filter(|&it| delay(it) < informed).count()
}

/// Guards against all hosts of a large fleet reading the store at the same time when the readers
/// fail.
#[test]
fn few_hosts_read_when_the_readers_fail() {
    for hosts in SIZES {
        for failed in [0, 2, 8, 20] {
            let readers = readers(hosts, failed.min(hosts - 1), read_delay);
            println!("{hosts} hosts, {failed} failed: {readers} read");
            assert!(readers <= 64, "{hosts} hosts, {failed} failed: {readers}");
        }
    }
}

/// Guards against hundreds of hosts that start together reading the whole store each.
#[test]
fn few_hosts_read_when_all_start() {
    for hosts in SIZES {
        let readers = readers(hosts, 0, |rank| startup_delay(rank, hosts));
        println!("{hosts} hosts start: {readers} read");
        assert!(readers <= 8, "{hosts} hosts start: {readers}");
    }
}

/// Guards against a host whose turn comes only after the bound by which a leaving endpoint must get
/// no requests from it: no update may reach it in time.
#[test]
fn every_rank_reads_within_the_margin() {
    /// The interval of a host's checks, a call to the store, and a request on its way.
    const REST: Duration = Duration::from_millis(250);
    assert!((0..64).all(|it| read_delay(it) <= Duration::from_millis(250)));
    let late = (0..5_000).filter(|it| read_delay(*it) + REST > READ_MARGIN);
    assert_eq!(late.count(), 0);
}

/// Guards against all hosts of a large fleet retrying a write that the store doesn't accept.
#[test]
fn few_hosts_write_what_all_know() {
    let step = Duration::from_millis(300);
    for hosts in SIZES {
        let writers = (0..hosts).filter(|&it| write_delay(it, step).is_some());
        assert_eq!(writers.count(), hosts.min(64), "{hosts} hosts");
    }
    assert_eq!(write_delay(0, step), Some(Duration::ZERO));
    assert_eq!(write_delay(40, step), Some(8 * step));
}
