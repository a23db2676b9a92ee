//! Tests of the meaning of a missing entry: gone, or lapsed in an outage of the store.

#[path = "coverage/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, HOSTS, Span};
use host::{Backoff, Coverage, shortest_outage};
use route::directory::Absence::{self, Gone, Lapsed};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after an outage within which live endpoints renew their entries.
const RENEWAL_TIME: u64 = 2_000;
/// Time after an outage from which on a missing entry has to count as gone.
const STABLE_TIME: u64 = 3_000;

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

/// Returns the meaning of a missing entry in the last of these readings, in milliseconds, each of
/// which was the listing in use at the next.
fn absence_after(readings: &[u64], heartbeat: Duration) -> Absence {
    let shortest = shortest_outage(heartbeat);
    let joined = readings.iter().fold(None, |known: Option<Coverage>, at| {
        let read = Coverage::of_reading(millis(*at));
        Some(known.map_or(read, |it| read.extended_by(it, shortest)))
    });
    joined.unwrap().absence()
}

#[test]
fn missing_endpoints_stay_for_a_while_after_an_outage() {
    for (last, expect) in [
        (9_000, Lapsed),
        (10_000, Lapsed),
        (11_200, Gone),
        (12_200, Gone),
    ] {
        let readings = [0, 1_000, 2_000, 3_000, 4_000, 9_000, 10_000, 11_200, 12_200];
        let until = readings.iter().position(|it| *it == last).unwrap();
        let absence = absence_after(&readings[..=until], HEARTBEAT);
        assert_eq!(absence, expect, "at {last}");
    }
}

/// Guards against a host that started in an outage declaring lapsed entries gone: it has no failed
/// calls, and all hosts would drop live endpoints.
#[test]
fn the_first_reading_of_a_host_says_nothing_about_missing_entries() {
    assert_eq!(absence_after(&[500], HEARTBEAT), Lapsed);
}

/// Guards against forgetting an outage before the next reading: hosts of a large fleet wait for
/// seconds between two calls to a store that fails.
#[test]
fn long_backoff_does_not_end_an_outage() {
    let mut backoff = Backoff::default();
    let delay = (0..8).map(|_| backoff.next_delay(294, 0.0)).last().unwrap();
    let now = 3_000 + u64::try_from(delay.as_millis()).unwrap();
    let readings = [0, 1_000, 2_000, 3_000, now];
    assert_eq!(absence_after(&readings, HEARTBEAT), Lapsed);
}

/// Guards against each refused call counting as a new outage: endpoints that are gone would get
/// requests for as long as the store fails intermittently.
#[test]
fn intermittent_failures_do_not_extend_an_outage() {
    let readings: Vec<_> = (0..20).map(|it| 3_150 + 1_150 * it).collect();
    assert_eq!(absence_after(&readings, HEARTBEAT), Gone);
}

/// Guards against taking entries for lapsed where endpoints renew them seldom: they outlast a short
/// outage, so a missing one is gone.
#[test]
fn shortest_outage_follows_the_heartbeat() {
    for (heartbeat, outage, expect) in [
        (1_200, 1_900, Gone),
        (1_200, 2_100, Lapsed),
        (5_000, 9_000, Gone),
        (5_000, 9_700, Lapsed),
    ] {
        let readings = [0, 1_000, 2_000, 3_000, 3_000 + outage];
        let absence = absence_after(&readings, millis(heartbeat));
        assert_eq!(absence, expect, "{heartbeat} {outage}");
    }
}

/// Guards against a slow response making a coverage appear longer than it is, or its listing newer.
#[test]
fn a_reported_coverage_is_no_longer_than_the_true_one() {
    let age = millis(100);
    for (length, response_time) in [(0, 0), (5, 0), (5, 300), (250, 300), (2_000, 300)] {
        let (sent, now) = (millis(9_000), millis(9_000 + response_time));
        let coverage = Coverage::of_report(sent, now, age, millis(length));
        let began = coverage.until().checked_sub(coverage.length()).unwrap();
        assert_eq!(
            began,
            now.checked_sub(age + millis(length)).unwrap(),
            "{length}"
        );
        assert!(
            coverage.until() <= now.checked_sub(age).unwrap(),
            "{length}"
        );
    }
}

/// Guards against a coverage that grows on its way through other hosts and back: endpoints whose
/// entries lapsed would be dropped too early.
#[test]
fn coverage_does_not_grow_by_being_joined_again() {
    let (read, shortest) = (
        Coverage::new(millis(9_000), millis(500)),
        shortest_outage(HEARTBEAT),
    );
    for late in [0, 5, 20] {
        // The same coverage as another host reports it, dated too old.
        let report = Coverage::new(millis(9_000 - late), millis(500 - late));
        assert_eq!(read.extended_by(report, shortest), read);
        assert_eq!(report.joined(read, shortest), read);
    }
}

/// Guards against a host that alone was cut off from the store, and reads it before it hears from
/// the others, making all of them keep endpoints in use that are gone.
#[test]
fn a_host_cut_off_alone_makes_no_other_host_doubt_missing_entries() {
    for seed in 0..60 {
        for length in [1_500, 2_100, 2_600, 5_500, 9_000] {
            for cut in 0..HOSTS {
                let mut fleet = Fleet::settled(seed);
                let end = fleet.now() + length;
                fleet.hosts[cut].cut = Span::from_now(&fleet, length);
                fleet.run_until(end + 4_000, |fleet| {
                    let others = (0..HOSTS).filter(|it| *it != cut);
                    for it in others {
                        let absence = fleet.absence(it);
                        assert_eq!(absence, Gone, "host {it}, seed {seed}, {length} ms");
                    }
                    let returned = fleet.absence(cut);
                    let is_in_touch = fleet.now() >= end + STABLE_TIME;
                    assert!(!is_in_touch || returned == Gone, "seed {seed}, {length} ms");
                });
            }
        }
    }
}

/// Guards against dropping live endpoints after a true outage of the store: also with a host that
/// was cut off before, one that stood still, and one that starts and has seen no call fail.
#[test]
fn all_hosts_doubt_missing_entries_after_an_outage() {
    for seed in 0..60 {
        for length in [2_100, 3_000, 6_500] {
            for case in ["plain", "cut off", "stands still", "starts"] {
                let mut fleet = Fleet::settled(seed);
                let end = fleet.now() + length;
                fleet.outage = Span::from_now(&fleet, length);
                match case {
                    "cut off" => fleet.hosts[1].cut = Span::from_now(&fleet, length / 2),
                    "stands still" => fleet.hosts[2].stall = Span::from_now(&fleet, length + 200),
                    "starts" => fleet.hosts[0].restart = Some(end - 300),
                    _ => {}
                }
                fleet.run_until(end + 5_000, |fleet| {
                    for (nr, listing) in fleet.listings() {
                        let read = u64::try_from(listing.at().as_millis()).unwrap();
                        let context = format!("host {nr}, {case}, seed {seed}, {length} ms");
                        if read >= end && read < end + RENEWAL_TIME {
                            assert_eq!(listing.absence(), Lapsed, "{context}, at {read}");
                        }
                        if fleet.now() >= end + STABLE_TIME + 500 {
                            assert_eq!(listing.absence(), Gone, "{context}");
                        }
                    }
                });
            }
        }
    }
}
