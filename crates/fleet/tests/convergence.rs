//! Randomized tests: the views of all hosts agree after any sequence of failures.
//!
//! Guards against hosts that keep sending callers to dead addresses or serving a
//! withdrawn version. A failed case prints its seed and steps.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::measure::Network;
use fleet::{Action, Event, Fleet, Ruled, Tuning};
use kernel::{HostName, Incarnation, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Identity, Member, Ruling, State};

const STEPS_PER_CASE: usize = 12;

/// Covers the slowest repair: every ten seconds a host tries to reach one of the
/// hosts that are unreachable to it.
const SETTLE_TIME: Duration = Duration::from_mins(2);

struct Case {
    network: Network,
    rng: Pcg64,
    members: BTreeMap<HostName, Member>,
    frozen: Vec<HostName>,
    incarnation: u64,
    steps: Vec<String>,
    highest_revisions: BTreeMap<HostName, Revision>,
}

impl Case {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut network = Network::new(seed, Tuning::default());
        network.table.json = b"{}".as_slice().into();
        network.loss = [0.0, 0.01, 0.05][rng.random_range(0..3)];
        let count = rng.random_range(3..14);
        let mut case = Self {
            network,
            rng,
            members: BTreeMap::new(),
            frozen: Vec::new(),
            incarnation: 0,
            steps: vec![format!("{count} hosts")],
            highest_revisions: BTreeMap::new(),
        };
        for index in 0..count {
            case.start(index);
        }
        case.deliver_host_list();
        case
    }

    fn start(&mut self, index: u8) {
        self.incarnation += 1;
        let data_centre = index % 4;
        let name = format!("h{index}");
        let address = ([10, 0, 0, index], 1).into();
        let member = Member {
            identity: Identity {
                host: name.as_str().into(),
                incarnation: Incarnation(self.incarnation),
            },
            refutation: 0,
            state: State::Alive,
            fleet_address: address,
            address,
            data_centre: format!("d{data_centre}").as_str().into(),
            region: format!("r{}", data_centre / 2).as_str().into(),
        };
        let host = member.identity.host.clone();
        self.highest_revisions.remove(&host);
        // A verdict known only to the earlier incarnation is lost with it.
        self.network.observed.retain(|it| it.host != host);
        self.members.insert(host, member.clone());
        self.network.start(member);
    }

    fn deliver_host_list(&mut self) {
        let list: Vec<_> = self.members.values().cloned().collect();
        for host in self.members.keys().cloned().collect::<Vec<_>>() {
            self.network.deliver(&host, Event::Hosts(list.clone()));
        }
    }

    fn random_host(&mut self) -> HostName {
        let at = self.rng.random_range(0..self.members.len());
        self.members.keys().nth(at).unwrap().clone()
    }

    fn step(&mut self) {
        let a = self.random_host();
        let b = self.random_host();
        let step = match self.rng.random_range(0..10) {
            0 => {
                self.network.cut(&a, &b);
                format!("cut {a} to {b}")
            }
            1 => {
                self.cut_data_centre(&a);
                format!("cut the data centre of {a}")
            }
            2 => {
                self.network.freeze(&a);
                self.frozen.push(a.clone());
                format!("freeze {a}")
            }
            3 => {
                self.wake_all();
                "wake".to_owned()
            }
            4 => {
                self.network.kill(&a);
                format!("kill {a}")
            }
            5 => {
                self.restart(&a);
                format!("restart {a}")
            }
            6 => {
                self.network.heal();
                "heal".to_owned()
            }
            7 => {
                let revision = self.network.table.commit();
                format!("commit {revision}")
            }
            8 => {
                self.rule(&a);
                format!("rule by {a}")
            }
            _ => {
                self.network.table.is_unavailable = !self.network.table.is_unavailable;
                "toggle the availability of the table".to_owned()
            }
        };
        let seconds = self.rng.random_range(0..40);
        self.steps.push(format!("{step}, {seconds} s"));
        self.run(Duration::from_secs(seconds));
    }

    fn cut_data_centre(&mut self, of: &HostName) {
        let centre = self.members[of].data_centre.clone();
        let is_in = |it: &&Member| it.data_centre == centre;
        let (inside, outside): (Vec<_>, Vec<_>) = self.members.values().partition(is_in);
        for a in &inside {
            for b in &outside {
                self.network.cut(&a.identity.host, &b.identity.host);
                self.network.cut(&b.identity.host, &a.identity.host);
            }
        }
    }

    fn wake_all(&mut self) {
        for host in std::mem::take(&mut self.frozen) {
            self.network.wake(&host);
        }
    }

    fn restart(&mut self, host: &HostName) {
        let index = host.as_str()[1..].parse().unwrap();
        self.frozen.retain(|it| it != host);
        self.start(index);
        self.deliver_host_list();
    }

    fn rule(&mut self, by: &HostName) {
        let ruling = if self.rng.random_bool(0.5) {
            Ruling::Quarantine
        } else {
            Ruling::Lift
        };
        let ruled = Ruled {
            version: "m1".into(),
            ruling,
            evidence: vec![],
        };
        self.network.deliver(by, Event::Ruled(ruled));
    }

    fn run(&mut self, time: Duration) {
        let end = self.network.now() + time;
        self.network.run_until(end);
        for fleet in self.network.fleets() {
            let host = fleet.me().identity.host.clone();
            let highest = self.highest_revisions.entry(host).or_default();
            assert!(
                *highest <= fleet.revision(),
                "revision reverted: {:#?}",
                self.steps
            );
            *highest = fleet.revision();
        }
    }

    /// Reverts all failures that can end, and waits until the views can agree.
    fn heal_and_settle(&mut self) {
        self.wake_all();
        self.network.heal();
        self.network.table.is_unavailable = false;
        self.deliver_host_list();
        self.run(SETTLE_TIME);
    }

    /// Compares each host's view with the running hosts and the newest revision.
    fn check_views(&self) {
        let running: Vec<_> = self.network.fleets().map(Fleet::me).cloned().collect();
        let mut expected: Vec<_> = running.iter().map(|it| it.identity.to_string()).collect();
        expected.sort();
        for fleet in self.network.fleets() {
            let all = fleet.members().chain([fleet.me()]);
            let alive = all.filter(|it| it.state == State::Alive);
            let mut seen: Vec<_> = alive.map(|it| it.identity.to_string()).collect();
            seen.sort();
            let host = &fleet.me().identity;
            assert_eq!(seen, expected, "at {host}: {:#?}", self.steps);
            let newest = self.network.table.revision;
            assert_eq!(fleet.revision(), newest, "at {host}: {:#?}", self.steps);
            assert!(!fleet.is_deposed(), "{host} deposed: {:#?}", self.steps);
        }
    }

    /// Compares the last verdicts of all hosts.
    fn check_verdicts(&self) {
        let mut last = BTreeMap::new();
        for observed in &self.network.observed {
            if let Action::Verdict(verdict) = &observed.action {
                last.insert(&observed.host, verdict);
            }
        }
        let verdicts: Vec<_> = self
            .network
            .fleets()
            .map(|it| last.get(&it.me().identity.host))
            .collect();
        assert!(
            verdicts.windows(2).all(|it| it[0] == it[1]),
            "{verdicts:?}: {:#?}",
            self.steps
        );
    }
}

fn check_seed(seed: u64) {
    let mut case = Case::new(seed);
    case.steps.push(format!("seed {seed}"));
    case.run(Duration::from_secs(5));
    for _ in 0..STEPS_PER_CASE {
        case.step();
    }
    case.heal_and_settle();
    case.check_views();
    case.check_verdicts();
}

/// Cases per test; there are several tests so that they run in parallel.
const CASES_PER_TEST: u64 = 50;

fn check_cases(part: u64) {
    for seed in part * CASES_PER_TEST..(part + 1) * CASES_PER_TEST {
        check_seed(seed);
    }
}

#[test]
fn all_views_agree_after_any_failures_1() {
    check_cases(0);
}

#[test]
fn all_views_agree_after_any_failures_2() {
    check_cases(1);
}

#[test]
fn all_views_agree_after_any_failures_3() {
    check_cases(2);
}

#[test]
fn all_views_agree_after_any_failures_4() {
    check_cases(3);
}
