//! Tests of the choice of hosts through which a host forwards requests when it reaches no endpoint.

#[allow(dead_code, reason = "another test program uses the rest")]
#[path = "gossip/network.rs"]
mod network;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use host::gossip::State;
use network::Network;

/// Runs hosts of which one in three is cut off, and returns the most hosts that one other serves.
fn max_served(hosts: usize) -> usize {
    let mut network = Network::new(hosts, 1);
    network.start_all();
    network.run(Duration::from_secs(5));
    let now = network.now;
    for nr in (0..hosts).step_by(3) {
        network.hosts[nr].gossip.set_state(now, State::Isolated);
    }
    network.run(Duration::from_secs(5));
    let mut served: HashMap<SocketAddr, usize> = HashMap::new();
    for nr in (0..hosts).step_by(3) {
        let relays = network.hosts[nr].gossip.roster().relays();
        assert!((2..=8).contains(&relays.len()), "{} relays", relays.len());
        for it in relays {
            *served.entry(it.address).or_default() += 1;
        }
    }
    served.into_values().max().unwrap()
}

/// Guards against hosts that are cut off all turning to the same few others.
#[test]
fn hosts_that_are_cut_off_spread_over_the_others() {
    for hosts in [6, 30, 84, 300] {
        // On average eight thirds of a host's relays.
        let max = max_served(hosts);
        assert!(max <= 12, "{max} of {hosts} hosts turn to one");
    }
}
