//! Tests of the count of connections to endpoints and of the queue for them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::connections::{Connections, Released, Ticket, Use};
use route::endpoint::Key;
use slotmap::SlotMap;

const NOW: Duration = Duration::from_secs(100);
const WAIT: Duration = Duration::from_millis(20);
const ROUTINE: u8 = 5;
const URGENT: u8 = 0;

/// Returns the keys of this many endpoints.
fn keys(count: usize) -> Vec<Key> {
    let mut endpoints: SlotMap<Key, ()> = SlotMap::with_key();
    (0..count).map(|_| endpoints.insert(())).collect()
}

fn with_share(share: u32) -> (Connections, Key) {
    let endpoint = keys(1)[0];
    let mut connections = Connections::default();
    connections.set_share(endpoint, Some(share));
    (connections, endpoint)
}

fn join(connections: &mut Connections, endpoint: Key, priority: u8, arrived: u64) -> Ticket {
    let arrived = Duration::from_millis(arrived);
    connections.join(endpoint, (priority, arrived), NOW + WAIT)
}

/// Opens connections for requests that join now, while there is room; returns how many.
fn open(connections: &mut Connections, endpoint: Key, wanted: usize) -> usize {
    for _ in 0..wanted {
        join(connections, endpoint, ROUTINE, 0);
    }
    let granted = std::iter::from_fn(|| connections.grant(NOW, endpoint));
    granted.count()
}

/// Guards against connections beyond the share.
#[test]
fn no_more_connections_are_opened_than_the_share() {
    let (mut connections, endpoint) = with_share(3);
    assert_eq!(open(&mut connections, endpoint, 5), 3);
    assert!(connections.is_full(NOW, endpoint));
    assert_eq!(connections.count(endpoint, Use::Active), 3);
}

/// Guards against idle connections that don't count towards the share.
#[test]
fn idle_connections_count_towards_the_share() {
    let (mut connections, endpoint) = with_share(2);
    open(&mut connections, endpoint, 2);
    assert_eq!(connections.release(NOW, endpoint), Released::Keep);
    assert_eq!(open(&mut connections, endpoint, 1), 0);
    connections.close(endpoint, Use::Idle);
    assert!(connections.grant(NOW, endpoint).is_some());
}

/// Guards against a queue in which urgent requests wait behind others, or late ones overtake.
#[test]
fn the_most_urgent_request_is_served_first_and_then_the_earliest() {
    let (mut connections, endpoint) = with_share(1);
    open(&mut connections, endpoint, 1);
    let late = join(&mut connections, endpoint, ROUTINE, 30);
    let early = join(&mut connections, endpoint, ROUTINE, 10);
    let urgent = join(&mut connections, endpoint, URGENT, 40);
    for expected in [urgent, early, late] {
        let released = connections.release(NOW, endpoint);
        assert_eq!(released, Released::HandOver(expected));
    }
    assert_eq!(connections.release(NOW, endpoint), Released::Keep);
}

/// Guards against a closed connection whose place no waiting request gets.
#[test]
fn a_waiting_request_may_open_a_connection_when_one_is_closed() {
    let (mut connections, endpoint) = with_share(1);
    open(&mut connections, endpoint, 1);
    let waiting = join(&mut connections, endpoint, ROUTINE, 0);
    assert_eq!(connections.grant(NOW, endpoint), None);
    connections.close(endpoint, Use::Active);
    assert_eq!(connections.grant(NOW, endpoint), Some(waiting));
    assert_eq!(connections.count(endpoint, Use::Active), 1);
}

/// Guards against connections that are given to requests whose caller has disconnected, or that
/// have gone to another endpoint.
#[test]
fn requests_that_left_or_waited_too_long_are_passed_over() {
    let (mut connections, endpoint) = with_share(1);
    open(&mut connections, endpoint, 1);
    let left = join(&mut connections, endpoint, URGENT, 0);
    let until = NOW + WAIT / 2;
    connections.join(endpoint, (URGENT, NOW), until);
    let waiting = join(&mut connections, endpoint, ROUTINE, 0);
    connections.leave(endpoint, left);
    let released = connections.release(until, endpoint);
    assert_eq!(released, Released::HandOver(waiting));
}

/// Guards against a host that keeps its former share when other hosts start.
#[test]
fn connections_beyond_a_smaller_share_are_closed() {
    let (mut connections, endpoint) = with_share(3);
    open(&mut connections, endpoint, 3);
    connections.set_share(endpoint, Some(2));
    let waiting = join(&mut connections, endpoint, ROUTINE, 0);
    assert_eq!(connections.release(NOW, endpoint), Released::Close);
    connections.close(endpoint, Use::Active);
    assert_eq!(connections.grant(NOW, endpoint), None);
    let released = connections.release(NOW, endpoint);
    assert_eq!(released, Released::HandOver(waiting));
}

/// Guards against a host that opens connections again and again while the endpoint resets them,
/// and against one that never opens more again.
#[test]
fn no_connection_is_opened_for_a_short_time_after_a_reset() {
    let (mut connections, endpoint) = with_share(8);
    open(&mut connections, endpoint, 4);
    connections.reset(NOW, endpoint);
    connections.close(endpoint, Use::Active);
    assert!(connections.is_full(NOW, endpoint));
    let later = NOW + Duration::from_secs(1);
    assert!(!connections.is_full(later, endpoint));
}

/// Guards against a host without a connection that can't open one after a reset.
#[test]
fn one_connection_may_be_opened_after_the_only_one_was_reset() {
    let (mut connections, endpoint) = with_share(8);
    assert_eq!(open(&mut connections, endpoint, 1), 1);
    join(&mut connections, endpoint, ROUTINE, 0);
    connections.reset(NOW, endpoint);
    connections.close(endpoint, Use::Active);
    assert!(connections.grant(NOW, endpoint).is_some());
    assert!(connections.is_full(NOW, endpoint));
}

/// Guards against limits where the share isn't enforced.
#[test]
fn connections_are_not_limited_without_a_share() {
    let endpoint = keys(1)[0];
    let mut connections = Connections::default();
    for _ in 0..100 {
        connections.open_uncontrolled(endpoint);
    }
    connections.reset(NOW, endpoint);
    assert!(!connections.is_full(NOW, endpoint));
    assert_eq!(connections.release(NOW, endpoint), Released::Keep);
}

/// Guards against counts that are shared by endpoints, and against state that stays after an
/// endpoint has gone.
#[test]
fn endpoints_are_counted_apart_and_forgotten_when_unused() {
    let keys = keys(2);
    let mut connections = Connections::default();
    for key in &keys {
        connections.set_share(*key, Some(1));
    }
    open(&mut connections, keys[0], 1);
    assert!(connections.is_full(NOW, keys[0]));
    assert!(!connections.is_full(NOW, keys[1]));
    connections.close(keys[0], Use::Active);
    assert_eq!(connections.share(keys[0]), None);
}

/// Guards against counts that drift, and against requests that are left in the queue although
/// there is room, in any order of events.
#[test]
fn counts_match_the_open_connections_in_any_order_of_events() {
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let share = rng.random_range(1..6);
        let (mut connections, endpoint) = with_share(share);
        let (mut active, mut idle) = (0, 0);
        let mut waiting: Vec<Ticket> = Vec::new();
        for step in 0..300 {
            connections.set_share(endpoint, Some(share));
            match rng.random_range(0..5) {
                0 => waiting.push(join(&mut connections, endpoint, ROUTINE, step)),
                1 if active > 0 => match connections.release(NOW, endpoint) {
                    Released::Keep => (active, idle) = (active - 1, idle + 1),
                    Released::HandOver(ticket) => waiting.retain(|it| *it != ticket),
                    Released::Close => panic!("seed {seed}: the share is unchanged"),
                },
                2 if idle > 0 => {
                    connections.reuse(endpoint);
                    (active, idle) = (active + 1, idle - 1);
                }
                3 if active > 0 => {
                    connections.close(endpoint, Use::Active);
                    active -= 1;
                }
                4 if !waiting.is_empty() => {
                    let left = waiting.swap_remove(0);
                    connections.leave(endpoint, left);
                }
                _ => {}
            }
            while let Some(ticket) = connections.grant(NOW, endpoint) {
                waiting.retain(|it| *it != ticket);
                active += 1;
            }
            assert_eq!(
                connections.count(endpoint, Use::Active),
                active,
                "seed {seed}"
            );
            assert_eq!(connections.count(endpoint, Use::Idle), idle, "seed {seed}");
            assert!(active + idle <= share, "seed {seed}");
            assert!(waiting.is_empty() || active + idle == share, "seed {seed}");
        }
    }
}
