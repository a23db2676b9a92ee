//! Endpoints that were gone before the store was restored from an older copy.

use std::time::Duration;

use route::Directory;
use route::directory::Absence;
use route::endpoint::{Entry, State};

fn entry() -> Entry {
    Entry {
        id: "e1".into(),
        incarnation: None,
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc1".into(),
        release: "v1".into(),
        slots: 1,
        state: State::Ready,
        cold: Duration::ZERO,
    }
}

/// A copy of the store lists an endpoint that is gone until its entry expires, which takes three
/// heartbeats whatever their interval; until then it must get no requests.
#[test]
fn gone_endpoints_are_ignored_until_their_entries_expire() {
    for heartbeat in [1_200, 5_000].map(Duration::from_millis) {
        let mut directory = Directory::default();
        let now = Duration::from_secs(100);
        directory.apply_listing(now, vec![entry()], Absence::Gone);
        directory.apply_listing(now, Vec::new(), Absence::Gone);
        directory.store_restored(now, heartbeat);
        let listed_at = |after: Duration| {
            let mut entries = vec![entry()];
            directory.correct(now + after, &mut entries);
            entries.len()
        };
        assert_eq!(listed_at(heartbeat * 4), 0, "{heartbeat:?}");
        assert_eq!(listed_at(heartbeat * 5), 1, "{heartbeat:?}");
    }
}
