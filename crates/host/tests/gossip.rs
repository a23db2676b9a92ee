//! Simulations of membership gossip among hundreds of hosts.

#[path = "gossip/network.rs"]
mod network;

use std::time::Duration;

use host::gossip::Graph;
use network::{Host, Network, data_centre, name};

const HOSTS: usize = 295;
const SECOND: Duration = Duration::from_secs(1);

/// Returns whether `host` sends callers to exactly `expected` hosts. `now` may be later than
/// the time of the network, when hosts that are only listed or silent no longer count.
fn has_ready_hosts(host: &Host, now: Duration, expected: usize) -> bool {
    host.gossip.roster().addresses(now).len() == expected
}

fn settled_network(hosts: usize, seed: u64) -> Network {
    let mut network = Network::new(hosts, seed);
    network.start_all();
    network.run(8 * SECOND);
    let now = network.now;
    assert!(network.running().all(|it| has_ready_hosts(it, now, hosts)));
    network
}

fn is_served(host: &Host, now: Duration, nr: usize) -> bool {
    let front = host
        .gossip
        .roster()
        .get(&name(nr))
        .map(|it| it.member.front);
    let addresses = host.gossip.roster().addresses(now);
    addresses.iter().any(|it| Some(it.front) == front)
}

/// All hosts start at once, for example after a power failure. They must know each other soon
/// with few connections each, instead of connecting to nearly all others.
#[test]
fn hosts_that_start_together_discover_each_other() {
    for (hosts, seed) in [(2, 1), (3, 1), (8, 1), (9, 2), (24, 3), (76, 4), (295, 5)] {
        let mut network = Network::new(hosts, seed);
        network.start_all();
        let now = network.now + 6 * SECOND;
        let took = network.run_until("all hosts know each other", 5 * SECOND, |it| {
            has_ready_hosts(it, now, hosts)
        });
        println!("{hosts} hosts know each other after {took:?}");
        network.run(30 * SECOND);
        let most = network
            .running()
            .map(|it| it.contacted.len())
            .max()
            .unwrap();
        println!("{hosts} hosts: one sends to at most {most} hosts in 30 s");
        assert!(most < 30, "a host sends to {most} hosts");
    }
}

/// Connections and traffic of a host must not grow with the number of hosts.
#[test]
fn load_per_host_is_bounded() {
    for hosts in [9, 76, 295, 600] {
        let mut network = settled_network(hosts, 7);
        let before: usize = network.hosts.iter().map(|it| it.bytes).sum();
        let most_before: Vec<usize> = network.hosts.iter().map(|it| it.bytes).collect();
        network.run(10 * SECOND);
        let mean = (network.hosts.iter().map(|it| it.bytes).sum::<usize>() - before) / hosts / 10;
        let busiest = network
            .hosts
            .iter()
            .zip(most_before)
            .map(|(it, before)| (it.bytes - before) / 10);
        let busiest = busiest.max().unwrap();
        let connections = |it: &Host| {
            let graph = it.gossip.graph();
            let mut all: Vec<_> = graph.successors().chain(graph.predecessors()).collect();
            all.sort_unstable();
            all.dedup();
            all.len()
        };
        let most = network.running().map(connections).max().unwrap();
        println!(
            "{hosts} hosts: {mean} B/s per host, at most {busiest} B/s and {most} connections"
        );
        assert!(busiest < 7_000, "{busiest} B/s at {hosts} hosts");
        assert!(most < 30, "{most} connections at {hosts} hosts");
    }
}

/// A change that one host reads reaches all others within two seconds, even if many hosts
/// fail at that moment and datagrams are lost.
#[test]
fn a_change_reaches_all_hosts_quickly() {
    for (seed, dead) in [(11, 0), (12, HOSTS / 3), (13, HOSTS / 3), (14, HOSTS / 2)] {
        let mut network = settled_network(HOSTS, seed);
        for nr in 0..dead {
            network.kill((nr * 2 + 1) % HOSTS);
        }
        network.set_version(0, 9);
        let took = network.run_until("all hosts know the change", 2 * SECOND, |it| {
            it.version == 9
        });
        println!("{dead} of {HOSTS} hosts dead: change known to all after {took:?}");
    }
}

/// After a power failure, callers are no longer sent to the dead hosts within three seconds, or
/// five if the hosts that monitor them died too. No live host is marked silent.
#[test]
fn only_dead_hosts_are_removed() {
    for (seed, dead) in [(21, 1), (22, HOSTS / 3), (23, HOSTS / 2)] {
        let mut network = settled_network(HOSTS, seed);
        let killed: Vec<usize> = (0..dead).map(|nr| (nr * 2 + 1) % HOSTS).collect();
        for &it in &killed {
            network.kill(it);
        }
        // A host whose predecessors are all dead is detected once the graph is recomputed.
        let most = match dead {
            1 => 3 * SECOND,
            _ => 5 * SECOND,
        };
        let now = network.now + most;
        let left = HOSTS - dead;
        let took = network.run_until("callers are not sent to dead hosts", most, |it| {
            has_ready_hosts(it, now, left)
        });
        println!("{dead} of {HOSTS} hosts dead: removed everywhere after {took:?}");
        network.run(5 * SECOND);
        let now = network.now;
        assert!(network.running().all(|it| has_ready_hosts(it, now, left)));
    }
}

/// All hosts restart at once and find the store entries of the previous run. Records of the
/// previous run must not supersede those of the new one.
#[test]
fn hosts_that_restart_together_discover_each_other() {
    let mut network = settled_network(HOSTS, 31);
    (0..HOSTS).for_each(|it| network.kill(it));
    network.run(SECOND);
    let all: Vec<usize> = (0..HOSTS).collect();
    (0..HOSTS).for_each(|it| network.start(it, &all));
    network.run(Duration::from_millis(100));
    let now = network.now + 10 * SECOND;
    let took = network.run_until("all hosts know each other", 5 * SECOND, |it| {
        has_ready_hosts(it, now, HOSTS)
    });
    println!("{HOSTS} hosts restarted: know each other after {took:?}");
    network.run(5 * SECOND);
    let now = network.now;
    assert!(network.running().all(|it| has_ready_hosts(it, now, HOSTS)));
}

/// A data centre is cut off and reconnects. Its hosts keep serving among themselves, and all
/// hosts know each other again afterwards.
#[test]
fn a_partitioned_data_centre_reconnects() {
    let mut network = settled_network(HOSTS, 41);
    let separated = (0..HOSTS).filter(|&it| data_centre(it) == 2).count();
    for nr in (0..HOSTS).filter(|&it| data_centre(it) == 2) {
        network.hosts[nr].partition = 1;
    }
    network.run(6 * SECOND);
    let now = network.now;
    let main = network.hosts.iter().filter(|it| it.partition == 0);
    assert!(
        main.clone()
            .all(|it| has_ready_hosts(it, now, HOSTS - separated))
    );
    network.hosts.iter_mut().for_each(|it| it.partition = 0);
    let began = network.now;
    let is_reconnected = |it: &Network| {
        it.running()
            .all(|host| has_ready_hosts(host, it.now, HOSTS))
    };
    while !is_reconnected(&network) {
        assert!(
            network.now.saturating_sub(began) < 5 * SECOND,
            "a host is still disconnected"
        );
        network.run(Duration::from_millis(10));
        let least = |at: usize| {
            let side = network.hosts.iter().enumerate();
            let side = side.filter(|(nr, _)| (data_centre(*nr) == 2) == (at == 1));
            side.map(|(_, it)| it.gossip.roster().addresses(network.now).len())
                .min()
                .unwrap()
        };
        assert!(
            least(0) >= HOSTS - separated,
            "too few hosts are left for callers"
        );
        assert!(least(1) >= separated, "too few hosts are left for callers");
    }
    println!(
        "a data centre of {separated} hosts has reconnected after {:?}",
        network.now.saturating_sub(began)
    );
}

/// A host that is cut off receives nothing. It must not mark the others silent and spread that
/// claim after it reconnects.
#[test]
fn an_isolated_host_marks_nobody_silent() {
    let mut network = settled_network(HOSTS, 51);
    network.hosts[17].partition = 1;
    network.run(6 * SECOND);
    let now = network.now;
    assert!(has_ready_hosts(&network.hosts[17], now, HOSTS));
    assert!(!is_served(&network.hosts[0], now, 17));
    network.hosts[17].partition = 0;
    for _ in 0..300 {
        network.run(Duration::from_millis(10));
        let now = network.now;
        assert!(
            network
                .running()
                .all(|it| it.gossip.roster().addresses(now).len() >= HOSTS - 1)
        );
    }
    network.run(2 * SECOND);
    let now = network.now;
    assert!(network.running().all(|it| has_ready_hosts(it, now, HOSTS)));
}

/// A third of the hosts stall, each on its own, and are marked silent. After they resume, they
/// must refute this at once: through reconnection attempts of other hosts instead of the next
/// comparison, which takes more than a second.
#[test]
fn stalled_hosts_recover_quickly() {
    let mut network = settled_network(HOSTS, 71);
    let stalled: Vec<usize> = (0..HOSTS / 3).map(|nr| (nr * 2 + 1) % HOSTS).collect();
    for &it in &stalled {
        network.hosts[it].partition = it + 1;
    }
    network.run(6 * SECOND);
    network.hosts.iter_mut().for_each(|it| it.partition = 0);
    let now = network.now + SECOND;
    let took = network.run_until("all hosts are live again", SECOND, |it| {
        has_ready_hosts(it, now, HOSTS)
    });
    println!(
        "{} stalled hosts are live again after {took:?}",
        stalled.len()
    );
}

/// All hosts compute the same graph, in which each has a path to the roots that aggregate
/// evidence.
#[test]
fn every_host_reaches_the_roots() {
    for hosts in [2, 8, 24, 76, 295] {
        let network = settled_network(hosts, 61);
        for root in 0..2 {
            let mut farthest = 0;
            let mut roots = 0;
            for host in network.running() {
                let graph: &Graph = host.gossip.graph();
                let distance = graph.distance(root).unwrap();
                roots += usize::from(distance == 0);
                farthest = farthest.max(distance);
                assert_eq!(graph.parent(root).is_none(), distance == 0);
            }
            assert_eq!(roots, 1);
            println!("{hosts} hosts: root {root} is at most {farthest} hops away");
            assert!(u32::from(farthest) <= Graph::estimated_hops(hosts) + 1);
        }
    }
}
