//! The graph along which updates travel; hosts with the same view compute the same one.

use std::collections::{HashMap, VecDeque};

use kernel::{DataCentre, HostName, hash};

use super::Roster;
use super::roster::name_hash;

/// The number of successors of each host, if there are more than `DEGREE + 2` hosts; otherwise
/// all others are successors. Keeps a host's work independent of the number of hosts, while
/// updates still reach all when messages are lost or many hosts are down.
pub const DEGREE: usize = 6;
/// The number of successors from the rings of the host's own data centre, if it has enough hosts.
/// Traffic between data centres is charged for; the remaining successors connect the data centres.
const LOCAL_DEGREE: usize = 4;
const LOCAL_RINGS: usize = 2;
/// The number of roots that aggregate the evidence of all hosts. The second one makes the
/// aggregate available at once when the first one fails.
pub const ROOT_COUNT: usize = 2;

/// The graph along which updates travel.
///
/// The hosts form several rings ordered by hashes of their names: two within each data centre,
/// the others over all hosts. Each host sends to the next ones on each ring. Hosts with the
/// same view compute the same graph without coordination.
#[derive(Debug, Default)]
pub struct Graph {
    epoch: Option<u64>,
    names: Vec<HostName>,
    successors: Vec<Vec<usize>>,
    own: usize,
    /// For each root, the number of hops from each host to it.
    distances: Vec<Vec<u8>>,
}

impl Graph {
    pub(super) fn new(roster: &Roster) -> Self {
        let nodes: Vec<Node> = roster
            .live()
            .map(|it| Node {
                name_hash: name_hash(&it.member.name),
                name: &it.member.name,
                data_centre: &it.member.data_centre,
            })
            .collect();
        let own = nodes
            .iter()
            .position(|it| *it.name == roster.own().member.name)
            .unwrap_or(0);
        let successors = choose_successors(&nodes);
        let mut by_hash: Vec<usize> = (0..nodes.len()).collect();
        by_hash.sort_unstable_by_key(|&it| nodes[it].name_hash);
        let distances = by_hash
            .iter()
            .take(ROOT_COUNT)
            .map(|&root| distances(&successors, root))
            .collect();
        Self {
            epoch: Some(roster.epoch()),
            names: nodes.iter().map(|it| it.name.clone()).collect(),
            successors,
            own,
            distances,
        }
    }

    /// Returns whether the graph was computed from the current set of hosts.
    pub(super) fn is_current(&self, roster: &Roster) -> bool {
        self.epoch == Some(roster.epoch())
    }

    /// Iterates over the hosts that this host sends updates to.
    pub fn successors(&self) -> impl Iterator<Item = &HostName> {
        let own = self.successors.get(self.own);
        own.into_iter().flatten().map(|&it| &self.names[it])
    }

    /// Iterates over the hosts that send updates to this host.
    pub fn predecessors(&self) -> impl Iterator<Item = &HostName> {
        let sends = |it: &&(usize, &Vec<usize>)| it.1.contains(&self.own);
        let all = self.successors.iter().enumerate();
        all.filter(move |it| sends(&it)).map(|it| &self.names[it.0])
    }

    /// Returns the number of hops from this host to a root, or `None` if there is no path.
    #[must_use]
    pub fn distance(&self, root: usize) -> Option<u8> {
        let distance = *self.distances.get(root)?.get(self.own)?;
        (distance < u8::MAX).then_some(distance)
    }

    /// Returns the successor through which this host's evidence is sent towards a root.
    #[must_use]
    pub fn parent(&self, root: usize) -> Option<&HostName> {
        let distances = self.distances.get(root)?;
        let own = *distances.get(self.own)?;
        let successors = self.successors.get(self.own)?;
        let nearest = successors.iter().min_by_key(|&&it| distances[it])?;
        (distances[*nearest] < own).then(|| &self.names[*nearest])
    }

    /// Returns an estimate of the number of hops that an update takes to reach all hosts.
    #[must_use]
    pub fn estimated_hops(hosts: usize) -> u32 {
        if hosts <= DEGREE + 2 {
            return 1;
        }
        // The farthest hosts are two hops beyond the mean.
        hosts.ilog(DEGREE) + 2
    }
}

struct Node<'a> {
    name: &'a HostName,
    name_hash: u32,
    data_centre: &'a DataCentre,
}

fn choose_successors(nodes: &[Node<'_>]) -> Vec<Vec<usize>> {
    let mut chosen = vec![Vec::with_capacity(DEGREE + 1); nodes.len()];
    if nodes.len() <= DEGREE + 2 {
        for (at, chosen) in chosen.iter_mut().enumerate() {
            chosen.extend((0..nodes.len()).filter(|&it| it != at));
        }
        return chosen;
    }
    let mut by_data_centre: HashMap<&DataCentre, Vec<usize>> = HashMap::new();
    for (at, it) in nodes.iter().enumerate() {
        by_data_centre.entry(it.data_centre).or_default().push(at);
    }
    for ring in 0..LOCAL_RINGS {
        for hosts in by_data_centre.values() {
            add_from_ring(
                &ring_order(nodes, hosts, ring),
                &mut chosen,
                LOCAL_DEGREE / LOCAL_RINGS,
            );
        }
    }
    let all: Vec<usize> = (0..nodes.len()).collect();
    let mut ring = LOCAL_RINGS;
    // Hosts in small data centres have fewer local successors and need more from these rings.
    while chosen.iter().any(|it| it.len() < DEGREE) {
        add_from_ring(&ring_order(nodes, &all, ring), &mut chosen, 1);
        ring += 1;
    }
    chosen
}

/// Returns the hosts in their order on a ring.
fn ring_order(nodes: &[Node<'_>], hosts: &[usize], ring: usize) -> Vec<usize> {
    let mut order = hosts.to_vec();
    order.sort_by_cached_key(|&it| hash::of(&(ring, nodes[it].name_hash)));
    order
}

/// Adds the next hosts on the ring as successors, except those already chosen.
fn add_from_ring(ring: &[usize], chosen: &mut [Vec<usize>], count: usize) {
    for (at, &host) in ring.iter().enumerate() {
        let (before, after) = ring.split_at(at);
        let ahead = after.iter().skip(1).chain(before);
        let own = &mut chosen[host];
        let most = (own.len() + count).min(DEGREE);
        for &it in ahead {
            if own.len() >= most {
                break;
            }
            if !own.contains(&it) {
                own.push(it);
            }
        }
    }
}

/// Computes the number of hops from each host to the root along the successor edges.
fn distances(successors: &[Vec<usize>], root: usize) -> Vec<u8> {
    let mut predecessors = vec![Vec::new(); successors.len()];
    for (at, ahead) in successors.iter().enumerate() {
        for &it in ahead {
            predecessors[it].push(at);
        }
    }
    let mut distances = vec![u8::MAX; successors.len()];
    distances[root] = 0;
    let mut queue = VecDeque::from([root]);
    while let Some(at) = queue.pop_front() {
        for &it in &predecessors[at] {
            if distances[it] == u8::MAX {
                distances[it] = distances[at].saturating_add(1);
                queue.push_back(it);
            }
        }
    }
    distances
}
