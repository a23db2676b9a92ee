//! Runs datadriven scripts against simulated fleets; `REWRITE=1` updates their
//! expected outputs.
//!
//! [`Script::perform`] defines the commands. A run prints each change once, with
//! the hosts that saw it and the times of the first and the last.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

use datadriven::TestCase;
use fleet::measure::{Network, Observed};
use fleet::{Action, Event, Fleet, Ruled, Tuning};
use kernel::{HostName, Incarnation};
use wire::{
    Delta, Endpoint, EndpointState, Frame, GossipMessage, GossipUpdate, Identity, Member, Ruling,
    State, Topic,
};

#[test]
fn scripts_produce_the_expected_output() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::new();
        file.run(|case| script.perform(case));
    });
}

/// Indices of the evidence counters that the scripts use.
const OK: u8 = 0;
const ERRORS: u8 = 1;

struct Script {
    network: Network,
    /// The platform's list: each host that was ever started, as last started.
    listed: BTreeMap<HostName, Member>,
    last_port: u16,
}

impl Script {
    fn new() -> Self {
        let mut network = Network::new(7, Tuning::default());
        network.table.json = b"{}".as_slice().into();
        Self {
            network,
            listed: BTreeMap::new(),
            last_port: 1000,
        }
    }

    fn perform(&mut self, case: &mut TestCase) -> String {
        let mut text = String::new();
        match case.directive.as_str() {
            "start" => self.start(case),
            "list" => self.deliver_host_list(),
            "kill" => self.for_each_host(case, Network::kill),
            "freeze" => self.for_each_host(case, Network::freeze),
            "wake" => self.for_each_host(case, Network::wake),
            "leave" => self.for_each_host(case, |it, host| it.deliver(host, Event::Leave)),
            "goodbye" => self.for_each_host(case, |it, host| it.deliver(host, Event::Goodbye)),
            "cut" => self.cut(case),
            "heal" => self.network.heal(),
            "commit" => _ = self.network.table.commit(),
            "table" => self.set_table(case),
            "fence" => self.fence(case),
            "news" => self.deliver_record(case),
            "rule" => self.rule(case),
            "endpoint" => self.deliver_endpoint(case),
            "count" => self.count(case),
            "load" => self.load(case),
            "run" => self.run(case, &mut text),
            "members" => self.show_members(&mut text),
            "configuration" => self.show_configuration(&mut text),
            "handout" => self.show_handout(case, &mut text),
            "partner" => self.show_partner(case, &mut text),
            "evidence" => self.show_evidence(case, &mut text),
            other => panic!("unknown command {other}"),
        }
        case.expect_empty().unwrap();
        text
    }

    fn start(&mut self, case: &mut TestCase) {
        let names: Vec<String> = case.take_args("hosts").unwrap();
        let data_centre: String = case.take_arg("at").unwrap();
        let region: String = arg_or(case, "region", "r1".into());
        let incarnation = arg_or(case, "incarnation", 1);
        let port: Option<u16> = case.try_take_arg("port").unwrap();
        for name in names {
            self.last_port += 1;
            let address = ([127, 0, 0, 1], port.unwrap_or(self.last_port)).into();
            let member = Member {
                identity: identity(&name, incarnation),
                refutation: 0,
                state: State::Alive,
                fleet_address: address,
                address,
                data_centre: data_centre.as_str().into(),
                region: region.as_str().into(),
            };
            self.listed
                .insert(member.identity.host.clone(), member.clone());
            self.network.start(member);
        }
    }

    fn deliver_host_list(&mut self) {
        let list: Vec<_> = self.listed.values().cloned().collect();
        for host in self.running_hosts() {
            self.network.deliver(&host, Event::Hosts(list.clone()));
        }
    }

    fn for_each_host(&mut self, case: &mut TestCase, act: fn(&mut Network, &HostName)) {
        for host in hosts(case, "hosts") {
            act(&mut self.network, &host);
        }
    }

    fn cut(&mut self, case: &mut TestCase) {
        let is_one_way = case.take_flag("one-way").unwrap();
        let from = hosts(case, "from");
        let to: Option<Vec<String>> = case.try_take_args("to").unwrap();
        let to = to.map_or_else(|| self.all_but(&from), |it| names(&it));
        for a in &from {
            for b in &to {
                self.network.cut(a, b);
                if !is_one_way {
                    self.network.cut(b, a);
                }
            }
        }
    }

    fn set_table(&mut self, case: &mut TestCase) {
        self.network.table.is_unavailable = case.take_flag("out").unwrap();
        let cut: Vec<String> = case.try_take_args("cut").unwrap().unwrap_or_default();
        self.network.table.cut_off = names(&cut).into_iter().collect();
        if let Some(revision) = case.try_take_arg::<u64>("restored").unwrap() {
            self.network.table.revision = revision.into();
        }
    }

    fn fence(&mut self, case: &mut TestCase) {
        let host: String = case.take_arg("host").unwrap();
        let incarnation = arg_or(case, "incarnation", 1);
        let to = hosts(case, "to");
        for to in to {
            let event = Event::Fenced(identity(&host, incarnation));
            self.network.deliver(&to, event);
        }
    }

    /// Delivers a membership record of another host.
    fn deliver_record(&mut self, case: &mut TestCase) {
        let about: String = case.take_arg("about").unwrap();
        let mut member = self.listed[&HostName::from(about)].clone();
        member.identity.incarnation = Incarnation(arg_or(case, "incarnation", 1));
        member.refutation = arg_or(case, "refutation", 0);
        member.state = match arg_or(case, "state", String::from("alive")).as_str() {
            "alive" => State::Alive,
            "suspect" => State::Suspect,
            "unreachable" => State::Unreachable,
            "dead" => State::Dead,
            other => panic!("unknown state {other}"),
        };
        let from: String = case.take_arg("from").unwrap();
        for to in hosts(case, "to") {
            let frame = Frame::Gossip(GossipMessage {
                reach: u32::try_from(self.running_hosts().len()).unwrap(),
                updates: vec![GossipUpdate::Member(member.clone())],
            });
            let from = from.as_str().into();
            self.network.deliver(&to, Event::Frame { from, frame });
        }
    }

    fn rule(&mut self, case: &mut TestCase) {
        let version: String = case.take_arg("version").unwrap();
        let is_lift = case.take_flag("lift").unwrap();
        for host in hosts(case, "by") {
            let ruled = Ruled {
                version: version.as_str().into(),
                ruling: if is_lift {
                    Ruling::Lift
                } else {
                    Ruling::Quarantine
                },
                evidence: vec![],
            };
            self.network.deliver(&host, Event::Ruled(ruled));
        }
    }

    fn deliver_endpoint(&mut self, case: &mut TestCase) {
        let name: String = case.take_arg("name").unwrap();
        let incarnation = arg_or(case, "incarnation", 1);
        let state = match case.take_arg::<String>("state").unwrap().as_str() {
            "live" => EndpointState::Live,
            "leaving" => EndpointState::Leaving,
            "gone" => EndpointState::Gone,
            other => panic!("unknown state {other}"),
        };
        for host in hosts(case, "to") {
            let endpoint = Endpoint {
                host: name.as_str().into(),
                incarnation: Incarnation(incarnation),
                state,
            };
            self.network.deliver(&host, Event::Endpoint(endpoint));
        }
    }

    fn count(&mut self, case: &mut TestCase) {
        let version: String = case.take_arg("version").unwrap();
        let (ok, errors) = (arg_or(case, "ok", 0), arg_or(case, "errors", 0));
        for host in hosts(case, "by") {
            let mut delta = Delta::new(Topic::Version {
                version: version.as_str().into(),
                class: "general".into(),
            });
            delta.counts.add(OK, ok);
            delta.counts.add(ERRORS, errors);
            delta.is_urgent = errors > 0;
            self.network.deliver(&host, Event::Evidence(vec![delta]));
        }
    }

    fn load(&mut self, case: &mut TestCase) {
        let level = case.take_arg("level").unwrap();
        for host in hosts(case, "hosts") {
            self.network.deliver(&host, Event::Load(level));
        }
    }

    fn run(&mut self, case: &mut TestCase, text: &mut String) {
        let seconds: f64 = case.take_arg("seconds").unwrap();
        let is_quiet = case.take_flag("quiet").unwrap();
        let is_kept = case.take_flag("keep").unwrap();
        let started = self.network.now();
        self.network.table.reads = 0;
        let end = started + Duration::from_secs_f64(seconds);
        self.network.run_until(end);
        if !is_quiet {
            summarise(started, &self.network.observed, text);
        }
        if !is_kept {
            self.network.observed.clear();
        }
    }

    fn show_members(&self, text: &mut String) {
        let mut views: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for fleet in self.network.fleets() {
            let mut view = Vec::new();
            for member in fleet.members().chain([fleet.me()]) {
                view.push(format!("{}={}", member.identity, member.state));
            }
            view.sort();
            let hosts = views.entry(view.join(" ")).or_default();
            hosts.push(fleet.me().identity.host.to_string());
        }
        for (view, hosts) in views {
            writeln!(text, "{}: {view}", hosts.join(",")).unwrap();
        }
    }

    fn show_configuration(&self, text: &mut String) {
        let now = self.network.now();
        for fleet in self.network.fleets() {
            let age = match fleet.proof_age(now) {
                None => "no proof".to_owned(),
                Some(age) => format!("proof {} s old", age.as_secs()),
            };
            let ready = if fleet.is_ready() {
                "ready"
            } else {
                "not ready"
            };
            let polls = if fleet.is_poller() { ", polls" } else { "" };
            let host = &fleet.me().identity.host;
            let revision = fleet.revision();
            writeln!(text, "{host}: {ready}, revision {revision}, {age}{polls}").unwrap();
        }
        let reads = self.network.table.reads;
        writeln!(text, "{reads} reads since the last run began").unwrap();
    }

    fn show_handout(&mut self, case: &mut TestCase, text: &mut String) {
        let at: String = case.take_arg("at").unwrap();
        let now = self.network.now();
        for by in hosts(case, "by") {
            let fleet = self.network.fleet_mut(&by).unwrap();
            let given = fleet.handout(now, &at.as_str().into());
            let names: Vec<_> = given.iter().map(|it| it.identity.host.as_str()).collect();
            writeln!(text, "{by}: {}", names.join(" ")).unwrap();
        }
    }

    fn show_partner(&self, case: &mut TestCase, text: &mut String) {
        for of in hosts(case, "of") {
            let mut partners: Vec<_> = self
                .network
                .fleets()
                .filter_map(|it| it.partner(&identity(of.as_str(), 1)))
                .map(|it| format!("{} at {}", it.identity.host, it.data_centre))
                .collect();
            partners.sort();
            partners.dedup();
            writeln!(text, "{of}: {}", partners.join(", ")).unwrap();
        }
    }

    /// Shows each host's counts for a version, summed over the runs marked `keep`.
    fn show_evidence(&mut self, case: &mut TestCase, text: &mut String) {
        let wanted: String = case.take_arg("version").unwrap();
        let mut totals: BTreeMap<HostName, (u64, u64)> = BTreeMap::new();
        for host in self.running_hosts() {
            totals.insert(host, (0, 0));
        }
        for Observed { host, action, .. } in self.network.observed.drain(..) {
            let Action::Evidence(deltas) = action else {
                continue;
            };
            let sums = totals.get_mut(&host).unwrap();
            for delta in deltas {
                let Topic::Version { version, .. } = delta.topic else {
                    continue;
                };
                if version.as_str() == wanted {
                    sums.0 += delta.counts.get(OK);
                    sums.1 += delta.counts.get(ERRORS);
                }
            }
        }
        let mut hosts_by_sum: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (host, sums) in totals {
            hosts_by_sum.entry(sums).or_default().push(host.to_string());
        }
        for ((ok, errors), hosts) in hosts_by_sum {
            writeln!(text, "{}: {ok} ok, {errors} errors", hosts.join(",")).unwrap();
        }
    }

    fn running_hosts(&self) -> Vec<HostName> {
        let names = self.network.fleets().map(Fleet::me);
        names.map(|it| it.identity.host.clone()).collect()
    }

    fn all_but(&self, some: &[HostName]) -> Vec<HostName> {
        let all = self.listed.keys().filter(|it| !some.contains(it));
        all.cloned().collect()
    }
}

/// Writes one line per change: the hosts that saw it, and the first and last time.
fn summarise(started: Duration, observed: &[Observed], text: &mut String) {
    let mut lines: Vec<(String, Vec<&Observed>)> = Vec::new();
    for it in observed {
        let Some(line) = describe(&it.action) else {
            continue;
        };
        match lines.iter_mut().find(|(known, _)| *known == line) {
            Some((_, seen)) => seen.push(it),
            None => lines.push((line, vec![it])),
        }
    }
    for (line, seen) in lines {
        let tenths = |it: &Observed| it.at.saturating_sub(started).as_millis().div_ceil(100);
        let seconds = |it: u128| format!("{}.{}", it / 10, it % 10);
        let first = tenths(seen[0]);
        let last = tenths(seen[seen.len() - 1]);
        let mut hosts: Vec<_> = seen.iter().map(|it| it.host.as_str()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let who = if hosts.len() > 6 {
            format!("{} hosts", hosts.len())
        } else {
            hosts.join(",")
        };
        let (first, last) = (seconds(first), seconds(last));
        writeln!(text, "{line} at {who} after {first}..{last} s").unwrap();
    }
}

fn describe(action: &Action) -> Option<String> {
    Some(match action {
        Action::Member(change) => {
            let (member, state) = (&change.member.identity, change.member.state);
            match change.before {
                None => format!("{member} joined as {state}"),
                Some(before) => format!("{member} {before} -> {state}"),
            }
        }
        Action::Apply { revision, .. } => format!("revision {revision} in force"),
        Action::Verdict(it) => format!("{} {:?} round {}", it.version, it.ruling, it.round),
        Action::Endpoint(it) => {
            format!("endpoint {}#{} {:?}", it.host, it.incarnation, it.state)
        }
        Action::Drain => "ordered to drain".to_owned(),
        Action::Deposed => "deposed".to_owned(),
        Action::Send { .. } | Action::Poll | Action::Evidence(_) => return None,
    })
}

fn identity(host: &str, incarnation: u64) -> Identity {
    Identity {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn hosts(case: &mut TestCase, arg: &str) -> Vec<HostName> {
    names(&case.take_args::<String>(arg).unwrap())
}

fn names(texts: &[String]) -> Vec<HostName> {
    texts.iter().map(|it| it.as_str().into()).collect()
}

fn arg_or<T: FromStr>(case: &mut TestCase, arg: &str, default: T) -> T
where
    T::Err: std::fmt::Debug + std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(arg).unwrap().unwrap_or(default)
}
