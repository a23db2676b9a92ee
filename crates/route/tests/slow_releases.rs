//! Tests of the judgement of releases by their latencies.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::rollout::{Observation, Order, Side, Verdict};
use route::{Revision, Rollout};

const NOW: Duration = Duration::from_secs(100);
const CLASSES: u64 = 5;
/// Responses of the old release per response of the new one.
const OLD_PER_NEW: u32 = 10;
/// Spread of the logarithm of latencies.
const SPREAD: f64 = 0.5;

/// A latency that is compared.
#[derive(Clone, Copy, Debug)]
enum Kind {
    EventInterval,
    ResponseStart,
}

/// A release under roll-out.
#[derive(Clone, Copy, Debug)]
struct Release {
    /// The factor by which some responses are slower.
    factor: f64,
    /// The share of these.
    share: f64,
}

const SOUND: Release = Release {
    factor: 1.0,
    share: 0.0,
};

/// Returns after how many of its responses a release is found bad, at most `max`.
fn responses_until_bad(kind: Kind, release: Release, max: u32, seed: u64) -> Option<u32> {
    let order = Order {
        service: "pool".into(),
        release: "v2".into(),
        duration: Duration::from_secs(20),
        revision: Revision::default(),
    };
    let mut rollout = Rollout::new(order, NOW, 0.1, 6);
    let mut rng = Pcg32::seed_from_u64(seed);
    for _ in 0..100 {
        record(&mut rollout, Side::Old, kind, SOUND, &mut rng);
    }
    (1..=max).find(|_| {
        for _ in 0..OLD_PER_NEW {
            record(&mut rollout, Side::Old, kind, SOUND, &mut rng);
        }
        record(&mut rollout, Side::New, kind, release, &mut rng);
        rollout.own_verdict(NOW) == Some(Verdict::Reverted)
    })
}

fn record(rollout: &mut Rollout, side: Side, kind: Kind, release: Release, rng: &mut Pcg32) {
    let class = rng.random_range(0..CLASSES);
    let slow = if rng.random::<f64>() < release.share {
        release.factor
    } else {
        1.0
    };
    // The sum of twelve uniform numbers is close to a normal distribution.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let latency =
        0.05 * f64::from(u32::try_from(class + 1).unwrap()) * slow * (SPREAD * normal).exp();
    let mut observation = Observation {
        class,
        ..Observation::default()
    };
    match kind {
        Kind::EventInterval => observation.event_interval = Some(latency),
        Kind::ResponseStart => observation.response_start = Some(latency),
    }
    rollout.record_response(side, &observation);
}

/// Returns how many of `seeds` releases are found bad within `max` responses, and the median number
/// of responses until then.
fn count_bad(kind: Kind, release: Release, max: u32, seeds: u64) -> (usize, u32) {
    let found = (0..seeds).filter_map(|seed| responses_until_bad(kind, release, max, seed));
    let mut found: Vec<_> = found.collect();
    found.sort_unstable();
    (
        found.len(),
        found.get(found.len() / 2).copied().unwrap_or(0),
    )
}

/// Guards against a release whose slow responses hide in the mean of all.
#[test]
fn releases_that_are_slow_for_a_share_of_requests_are_found_bad() {
    for kind in [Kind::EventInterval, Kind::ResponseStart] {
        // Factor, share, and the responses within which 95 in 100 must be found.
        let releases = [
            (3.0, 0.5, 100),
            (4.0, 0.5, 100),
            (8.0, 0.5, 100),
            (2.0, 1.0, 100),
            (3.0, 1.0, 100),
            (4.0, 0.3, 300),
            (8.0, 0.3, 300),
        ];
        for (factor, share, max) in releases {
            let release = Release { factor, share };
            let (found, median) = count_bad(kind, release, max, 40);
            println!("{kind:?} {factor} {share}: {found} of 40, median {median}");
            assert!(found >= 38, "{kind:?} {release:?}: {found} of 40");
        }
    }
}

/// Guards against refusing good releases.
#[test]
fn sound_releases_are_hardly_ever_found_bad() {
    for kind in [Kind::EventInterval, Kind::ResponseStart] {
        let (found, _) = count_bad(kind, SOUND, 300, 200);
        println!("{kind:?}: {found} of 200");
        assert!(found <= 2, "{kind:?}: {found} of 200");
    }
}
