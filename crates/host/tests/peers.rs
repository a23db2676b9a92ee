//! What hosts know of each other by hearsay.

use std::time::Duration;

use host::{Peers, Sign};
use kernel::HostName;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(nr: usize) -> HostName {
    HostName::from(format!("host-{nr}"))
}

/// With many hosts each tells only a few at a time, and one that lives was taken
/// for silent by most of the others. They hear of it from those that heard it.
#[test]
fn a_host_is_heard_of_through_others() {
    let (mut near, mut far) = (Peers::default(), Peers::default());
    near.hear(ms(1_000), &name(1), true);
    far.hear_of(ms(1_200), &near.heartbeats(ms(1_200)));
    assert_eq!(far.sign(ms(1_300), &name(1)), Sign::Ready);
    assert_eq!(far.sign(ms(2_700), &name(1)), Sign::Silent);
    near.hear(ms(1_400), &name(1), false);
    far.hear_of(ms(1_500), &near.heartbeats(ms(1_500)));
    assert_eq!(far.sign(ms(1_600), &name(1)), Sign::Unready);
}

/// A dead host lived on for ever in what the others told each other, if the age
/// of its last word shrank by a rounding on each way round.
#[test]
fn a_dead_host_doesnt_live_on_by_hearsay() {
    let mut peers = [Peers::default(), Peers::default(), Peers::default()];
    peers[0].hear(ms(0), &name(9), true);
    for now in (1..3_000).step_by(7) {
        let (from, to) = (now % 3, (now + 1) % 3);
        let told = peers[from].heartbeats(ms(now as u64));
        peers[to].hear_of(ms(now as u64), &told);
    }
    for it in &peers {
        assert_eq!(it.sign(ms(3_000), &name(9)), Sign::Silent);
    }
}

/// Every host must place all hosts in the same order, or more than a few would
/// take themselves for the first.
#[test]
fn ranks_are_the_same_for_all() {
    const HOSTS: usize = 80;
    let mut ranks: Vec<usize> = (0..HOSTS)
        .map(|own| {
            let mut peers = Peers::default();
            for nr in (0..HOSTS).filter(|nr| *nr != own) {
                peers.hear(ms(10), &name(nr), true);
            }
            peers.rank(ms(20), &name(own))
        })
        .collect();
    ranks.sort_unstable();
    assert!(ranks.into_iter().eq(0..HOSTS));
}
