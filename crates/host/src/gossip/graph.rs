//! Who tells whom, as every host reckons alike.

use std::collections::{HashMap, VecDeque};

use kernel::{DataCentre, HostName, hash};

use super::Roster;
use super::roster::tag;

/// How many hosts each one tells, where there are more than that: news reaches 295 in
/// four to five hops, and a host's work doesn't grow with their number. Two of six
/// lost datagrams, or a third of the hosts dead, leave nobody out.
pub const DEGREE: usize = 6;
/// How many of these lie in the same data centre, on two orders of its hosts: bytes
/// between data centres are paid for. The others hold the data centres together.
const NEAR: usize = 4;
const NEAR_RINGS: usize = 2;
/// How many hosts gather for all what each has seen. The second takes the place of
/// the first at once when that dies.
pub const ROOTS: usize = 2;

/// Who tells whom.
///
/// The hosts stand in several orders by hashes of their names: two within each data
/// centre, the others over all. Each host tells the next ones in each. Every host that
/// knows the same hosts reckons the same neighbours, without a word.
#[derive(Debug, Default)]
pub struct Graph {
    epoch: Option<u64>,
    names: Vec<HostName>,
    successors: Vec<Vec<usize>>,
    own: usize,
    /// For each root, how many hops each host is away from it.
    distances: Vec<Vec<u8>>,
}

impl Graph {
    pub(super) fn new(roster: &Roster) -> Self {
        let nodes: Vec<Node> = roster
            .live()
            .map(|it| Node {
                tag: tag(&it.member.name),
                name: &it.member.name,
                data_centre: &it.member.data_centre,
            })
            .collect();
        let own = nodes
            .iter()
            .position(|it| *it.name == roster.own().member.name)
            .unwrap_or(0);
        let successors = connect(&nodes);
        let mut by_tag: Vec<usize> = (0..nodes.len()).collect();
        by_tag.sort_unstable_by_key(|&it| nodes[it].tag);
        let distances = by_tag
            .iter()
            .take(ROOTS)
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

    /// Whether these are still the hosts that are known.
    pub(super) fn is_of(&self, roster: &Roster) -> bool {
        self.epoch == Some(roster.epoch())
    }

    /// Whom this host tells.
    pub fn successors(&self) -> impl Iterator<Item = &HostName> {
        let own = self.successors.get(self.own);
        own.into_iter().flatten().map(|&it| &self.names[it])
    }

    /// Who tells this host.
    pub fn predecessors(&self) -> impl Iterator<Item = &HostName> {
        let tells = |it: &&(usize, &Vec<usize>)| it.1.contains(&self.own);
        let all = self.successors.iter().enumerate();
        all.filter(move |it| tells(&it)).map(|it| &self.names[it.0])
    }

    /// How many hops this host is away from a root; nothing if there is no way.
    #[must_use]
    pub fn distance(&self, root: usize) -> Option<u8> {
        let distance = *self.distances.get(root)?.get(self.own)?;
        (distance < u8::MAX).then_some(distance)
    }

    /// The neighbour through which what this host has seen goes to a root.
    #[must_use]
    pub fn parent(&self, root: usize) -> Option<&HostName> {
        let distances = self.distances.get(root)?;
        let own = *distances.get(self.own)?;
        let successors = self.successors.get(self.own)?;
        let nearest = successors.iter().min_by_key(|&&it| distances[it])?;
        (distances[*nearest] < own).then(|| &self.names[*nearest])
    }

    /// How many hops news takes to reach all, as far as it can be told from the
    /// number of hosts.
    #[must_use]
    pub fn hops(hosts: usize) -> u32 {
        if hosts <= DEGREE + 2 {
            return 1;
        }
        // The farthest are two hops behind the mean.
        hosts.ilog(DEGREE) + 2
    }
}

struct Node<'a> {
    name: &'a HostName,
    tag: u32,
    data_centre: &'a DataCentre,
}

fn connect(nodes: &[Node<'_>]) -> Vec<Vec<usize>> {
    let mut chosen = vec![Vec::with_capacity(DEGREE + 1); nodes.len()];
    if nodes.len() <= DEGREE + 2 {
        for (at, chosen) in chosen.iter_mut().enumerate() {
            chosen.extend((0..nodes.len()).filter(|&it| it != at));
        }
        return chosen;
    }
    let mut near: HashMap<&DataCentre, Vec<usize>> = HashMap::new();
    for (at, it) in nodes.iter().enumerate() {
        near.entry(it.data_centre).or_default().push(at);
    }
    for ring in 0..NEAR_RINGS {
        for hosts in near.values() {
            follow(&order(nodes, hosts, ring), &mut chosen, NEAR / NEAR_RINGS);
        }
    }
    let all: Vec<usize> = (0..nodes.len()).collect();
    let mut ring = NEAR_RINGS;
    // Small data centres have fewer than so many near hosts.
    while chosen.iter().any(|it| it.len() < DEGREE) {
        follow(&order(nodes, &all, ring), &mut chosen, 1);
        ring += 1;
    }
    chosen
}

/// The hosts in the order of a ring.
fn order(nodes: &[Node<'_>], hosts: &[usize], ring: usize) -> Vec<usize> {
    let mut order = hosts.to_vec();
    order.sort_unstable_by_key(|&it| hash::of(&(ring, nodes[it].tag)));
    order
}

/// Adds the next hosts on the ring that aren't chosen yet.
fn follow(ring: &[usize], chosen: &mut [Vec<usize>], count: usize) {
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

/// How many hops each host is away from the root, along those whom it tells.
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
