//! Roll-outs that go on from the store's records.

#[allow(dead_code, reason = "other tests use the rest")]
#[path = "harness/router.rs"]
mod harness;

use std::time::Duration;

use route::rollout::{Order, Record, Replaced, Verdict};
use route::{Revision, Router};

const NOW: Duration = Duration::from_secs(1_000);
const AGE: Duration = Duration::from_secs(15);

fn revision(era: u64, version: u64) -> Revision {
    Revision { era, version }
}

fn record(release: &str, revision: Revision) -> Record {
    Record {
        service: "pool".into(),
        release: release.into(),
        revision,
        elapsed: AGE,
        replaced: vec![Replaced {
            release: "v2".into(),
            revision: Revision::default(),
            verdict: Verdict::Reverted,
        }],
    }
}

fn order(revision: Revision) -> Order {
    Order {
        service: "pool".into(),
        release: "v3".into(),
        duration: Duration::from_secs(20),
        revision,
    }
}

/// Returns how old a host takes its order for `v3` to be, which it reads before or after the record.
fn ages(of: Revision, record: &Record) -> [Duration; 2] {
    let load = |router: &mut Router| router.load_rollout_records(NOW, vec![record.clone()]);
    [true, false].map(|is_record_first| {
        let mut router = harness::router(None, 1);
        if is_record_first {
            load(&mut router);
        }
        router.apply_order(order(of), NOW);
        if !is_record_first {
            load(&mut router);
        }
        let rollout = router.rollout(&"pool".into()).unwrap();
        assert_eq!(rollout.side_of(&"v2".into()), None);
        rollout.elapsed(NOW)
    })
}

/// Guards against a roll-out that begins again with the hosts, in whatever order they read the store.
#[test]
fn an_order_is_as_old_as_its_record() {
    let found = ages(revision(0, 9), &record("v3", revision(0, 9)));
    assert_eq!(found, [AGE; 2]);
}

/// Guards against beginning again when operators wrote the order again after a restore.
#[test]
fn an_order_that_was_written_again_keeps_its_age() {
    let found = ages(revision(1, 5), &record("v3", revision(0, 9)));
    assert_eq!(found, [AGE; 2]);
}

/// Guards against taking an order for as old as an earlier one.
#[test]
fn another_order_begins_when_it_is_seen() {
    for it in [record("v3", revision(0, 7)), record("v1", revision(0, 9))] {
        assert_eq!(ages(revision(0, 9), &it), [Duration::ZERO; 2], "{it:?}");
    }
}
