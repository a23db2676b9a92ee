//! The interpreter of test scripts: one command per line.

#[path = "evacuations.rs"]
mod evacuations;
#[path = "exits.rs"]
mod exits;
#[path = "explanations.rs"]
mod explanations;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{EndpointId, HostName, Release, ServiceName};
use route::config::{Config, Customer, Limits, Service};
use route::directory::Absence;
use route::endpoint::Load;
use route::rollout::{Order, Scope, Verdict};
use route::{Call, Ending, HostCount, InFlight, Placement, Revision, Router, WarmUp};

use crate::line::{Line, ending_of, entry, route, settings};

/// The interval at which hosts advance their roll-outs.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a running script: the routers of one or more hosts, and open requests.
pub(crate) struct Script {
    hosts: Vec<Router>,
    host: usize,
    now: Duration,
    calls: BTreeMap<String, OpenCall>,
}

struct OpenCall {
    call: Call,
    in_flight: Option<InFlight>,
}

/// Returns the router of a host that knows that there are no others.
fn lone_host(seed: u64) -> Router {
    let mut router = Router::new(settings(), seed);
    router.set_host_count(HostCount { live: 1, silent: 0 });
    router
}

impl Script {
    pub(crate) fn new() -> Self {
        Self {
            hosts: vec![lone_host(7)],
            host: 0,
            now: Duration::from_secs(100),
            calls: BTreeMap::new(),
        }
    }

    pub(crate) fn run(&mut self, directive: &str, input: &str) -> String {
        let mut out = Vec::new();
        match directive {
            "config" => out.push(self.configure(input)),
            _ => out.extend(input.lines().filter_map(|it| self.run_line(it))),
        }
        if out.is_empty() {
            out.push("nothing".to_owned());
        }
        out.join("\n") + "\n"
    }

    fn router(&mut self) -> &mut Router {
        &mut self.hosts[self.host]
    }

    fn configure(&mut self, input: &str) -> String {
        let mut version = 1;
        let (mut services, mut customers, mut routes) = (Vec::new(), Vec::new(), Vec::new());
        for line in input.lines() {
            let line = Line::of(line);
            match line.command {
                "version" => version = line.args[0].parse().unwrap(),
                "service" => services.push(Service {
                    name: line.args[0].into(),
                    max_connections: line.number::<u32>("connections", 100),
                    warm_up: line.text("warm-up").map(|it| WarmUp {
                        span: Duration::from_secs(3),
                        rate: it.parse().unwrap(),
                    }),
                    engine: None,
                }),
                "customer" => customers.push(Customer {
                    name: line.args[0].into(),
                    keys: line.args[1..].iter().map(|it| (*it).to_owned()).collect(),
                    priority: None,
                }),
                "route" => routes.push(route(&line)),
                other => panic!("unknown directive {other}"),
            }
        }
        let config = Config::new(version, Limits::default(), services, customers, routes);
        let taken = self.router().configure(Arc::new(config));
        if taken { "in force" } else { "not taken" }.to_owned()
    }

    fn run_line(&mut self, line: &str) -> Option<String> {
        let line = Line::of(line);
        let now = self.now;
        match line.command {
            "wait" => {
                self.pass(Duration::from_millis(line.args[0].parse().unwrap()));
                None
            }
            "host" => {
                self.host = line.args[0].parse().unwrap();
                while self.hosts.len() <= self.host {
                    let seed = self.hosts.len() as u64;
                    self.hosts.push(lone_host(seed));
                }
                None
            }
            "hosts" => {
                let hosts = line.args[0].parse().unwrap();
                let count = HostCount {
                    live: hosts,
                    silent: 0,
                };
                self.router().set_host_count(count);
                None
            }
            "list" => self.update_listing(&line, Absence::Gone),
            "list-lapsed" => self.update_listing(&line, Absence::Lapsed),
            "load" => {
                self.load(&line);
                None
            }
            "arrive" => Some(self.arrive(&line)),
            "explain" => Some(self.explain(&line)),
            "send" => Some(self.send(line.args[0])),
            "begun" => {
                self.calls
                    .get_mut(line.args[0])
                    .unwrap()
                    .call
                    .start_stream();
                None
            }
            "first" => {
                let open = self.calls.get_mut(line.args[0]).unwrap();
                let in_flight = open.in_flight.as_mut().unwrap();
                self.hosts[self.host].response_started(now, &open.call, in_flight);
                None
            }
            "silent" => {
                let open = self.calls.get_mut(line.args[0]).unwrap();
                let gives_up =
                    self.hosts[self.host].reserve_retry(now, &mut open.call, Ending::TimedOut);
                Some(if gives_up { "give up" } else { "wait on" }.to_owned())
            }
            "confidence" => {
                let confidence = line.args[1].parse().ok();
                let open = self.calls.get_mut(line.args[0]).unwrap();
                let larger = self.hosts[self.host].try_escalate(now, &mut open.call, confidence);
                Some(if larger { "ask the largest" } else { "deliver" }.to_owned())
            }
            "end" => Some(self.end(line.args[0], line.args[1])),
            "many" => Some(self.send_many(&line)),
            "burst" => Some(self.send_at_once(&line)),
            "crowd" => Some(self.send_overlapping(&line)),
            "ejected" => Some(self.count_ejected()),
            "order" => {
                let order = Order {
                    service: line.args[0].into(),
                    release: Release::from(line.args[1]),
                    duration: Duration::from_millis(line.number::<u64>("over", 20_000)),
                    revision: Revision {
                        era: line.number::<u64>("era", 0),
                        version: line.number::<u64>("revision", 1),
                    },
                };
                let taken = self.router().apply_order(order, now);
                (!taken).then(|| "known".to_owned())
            }
            "rollout" => Some(self.rollout(line.args[0])),
            "verdict" => {
                let service = ServiceName::from(line.args[0]);
                let verdict = match line.args[1] {
                    "complete" => Verdict::Complete,
                    "reverted" => Verdict::Reverted,
                    _ => Verdict::Running,
                };
                self.router().rollout(&service).unwrap().verdict = verdict;
                None
            }
            "news" => {
                let (from, to): (usize, usize) =
                    (line.args[0].parse().unwrap(), line.args[1].parse().unwrap());
                let updates = self.hosts[from].rollout_updates(now, Scope::Full);
                let name = HostName::from(format!("host-{from}"));
                self.hosts[to].apply_rollout_updates(now, &name, updates);
                None
            }
            _ => self.run_exit_command(&line),
        }
    }

    fn update_listing(&mut self, line: &Line<'_>, absence: Absence) -> Option<String> {
        let now = self.now;
        let entries = line.args.iter().map(|it| entry(it)).collect();
        let change = self.router().update_listing(now, entries, absence);
        let leaving: Vec<_> = change.leaving.iter().map(EndpointId::as_str).collect();
        (!leaving.is_empty()).then(|| format!("leaving {}", leaving.join(" ")))
    }

    fn count_ejected(&mut self) -> String {
        let now = self.now;
        let (in_use, ejected) = self.router().directory().endpoint_counts(now);
        format!("{ejected} of {in_use} ejected")
    }

    /// Advances the clock in steps, and the hosts' roll-outs with it.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + ADVANCE_INTERVAL);
            self.advance();
        }
    }

    fn advance(&mut self) {
        for host in &mut self.hosts {
            host.rollouts().for_each(|it| {
                it.try_end_trial(self.now);
            });
        }
    }

    fn load(&mut self, line: &Line<'_>) {
        let open = self.calls.get_mut(line.args[0]).unwrap();
        let load = Load {
            pace: None,
            running: line.number::<u32>("running", 0),
            waiting: line.number::<u32>("waiting", 0),
            slots: 10,
        };
        let in_flight = open.in_flight.as_mut().unwrap();
        self.hosts[self.host].record_load(self.now, in_flight, load);
    }

    fn arrive(&mut self, line: &Line<'_>) -> String {
        self.advance();
        let id = line.args[0];
        let now = self.now;
        match self.router().admit(now, line.request()) {
            Ok(call) => {
                let line = format!("to {} by {}", call.service, call.route.name);
                let call = OpenCall {
                    call,
                    in_flight: None,
                };
                self.calls.insert(id.to_owned(), call);
                line
            }
            Err(denial) => denial.to_string(),
        }
    }

    fn send(&mut self, id: &str) -> String {
        if let Some(it) = self.place(id) {
            let model = it.model.map_or(String::new(), |it| format!(" model {it}"));
            format!("{id} to {}{model}", it.id)
        } else {
            let open = &self.calls[id];
            let failure = self.hosts[self.host].unplaced_failure(self.now, &open.call);
            format!("{id} nowhere: {failure:?}")
        }
    }

    fn place(&mut self, id: &str) -> Option<Placement> {
        let now = self.now;
        let router = &mut self.hosts[self.host];
        let open = self.calls.get_mut(id).unwrap();
        let placement = router.place(now, &mut open.call)?;
        open.in_flight = Some(router.begin_attempt(now, &mut open.call, &placement));
        Some(placement)
    }

    fn end(&mut self, id: &str, ending: &str) -> String {
        let now = self.now;
        let open = self.calls.get_mut(id).unwrap();
        let in_flight = open.in_flight.take().unwrap();
        let ending = ending_of(ending);
        let next = self.hosts[self.host].end_attempt(now, &mut open.call, in_flight, ending);
        format!("{id} {next:?}")
    }

    /// Sends a number of requests one after the other and counts them by endpoint.
    fn send_many(&mut self, line: &Line<'_>) -> String {
        let count: u32 = line.args[0].parse().unwrap();
        let mut counts = BTreeMap::<String, u32>::new();
        for nr in 0..count {
            let id = format!("many-{nr}");
            let session = line
                .text("session")
                .map_or(format!("{}-{nr}", self.now.as_millis()), str::to_owned);
            let arrival = format!(
                "arrive {id} session={session} path={}",
                line.text("path").unwrap_or("/a/x")
            );
            self.arrive(&Line::of(&arrival));
            let Some(placement) = self.place(&id) else {
                *counts.entry("nowhere".to_owned()).or_default() += 1;
                continue;
            };
            let to = placement.id.as_str().to_owned();
            let count_here = counts.get(&to).copied().unwrap_or(0) + 1;
            let every = line.number(&format!("{to}-fails-every"), line.number("fails-every", 0));
            let default_ending = if every > 0 && count_here % every == 0 {
                "failed"
            } else {
                "answered"
            };
            let ending = line
                .text(&to)
                .or(line.text("end"))
                .unwrap_or(default_ending);
            let took = line.number(&format!("{to}-took"), line.number("took", 0));
            self.pass(Duration::from_millis(took));
            let open = self.calls.get_mut(&id).unwrap();
            let in_flight = open.in_flight.as_mut().unwrap();
            self.hosts[self.host].response_started(self.now, &open.call, in_flight);
            *counts.entry(to).or_default() += 1;
            self.end(&id, ending);
            self.pass(Duration::from_millis(line.number::<u64>("each", 10)));
        }
        let parts: Vec<_> = counts.iter().map(|(id, it)| format!("{id} {it}")).collect();
        parts.join(", ")
    }

    /// Sends a number of requests before the first of them ends, and counts them by endpoint.
    fn send_at_once(&mut self, line: &Line<'_>) -> String {
        let count: u32 = line.args[0].parse().unwrap();
        let mut sent = Vec::new();
        for nr in 0..count {
            let id = format!("burst-{}-{nr}", self.now.as_millis());
            self.arrive(&Line::of(&format!("arrive {id} session={id}")));
            if let Some(placement) = self.place(&id) {
                sent.push((id, placement.id.as_str().to_owned()));
            }
        }
        let mut counts = BTreeMap::<String, u32>::new();
        for (id, to) in sent {
            let ending = line.text(&to).or(line.text("end")).unwrap_or("answered");
            self.end(&id, ending);
            *counts.entry(to).or_default() += 1;
        }
        let parts: Vec<_> = counts.iter().map(|(id, it)| format!("{id} {it}")).collect();
        parts.join(", ")
    }

    /// Sends a number of overlapping requests, one every `each` milliseconds, and counts them
    /// by endpoint. A request to an endpoint with at least five of the earlier ones in flight times
    /// out if the endpoint's ID ends with the value of `crowded-silent`. It fails if its number is
    /// even and the ID ends with the value of `crowded-fails`.
    fn send_overlapping(&mut self, line: &Line<'_>) -> String {
        let count: u32 = line.args[0].parse().unwrap();
        let each = Duration::from_millis(line.number::<u64>("each", 40));
        let lasts = Duration::from_millis(line.number::<u64>("lasts", 600));
        let fails = line.text("crowded-fails").unwrap_or_default();
        let silent = line.text("crowded-silent").unwrap_or_default();
        let mut open: Vec<(Duration, String, String, &str)> = Vec::new();
        let mut counts = BTreeMap::<String, u32>::new();
        for nr in 0..count {
            while open.first().is_some_and(|it| it.0 <= self.now) {
                let (_, id, _, ending) = open.remove(0);
                self.end(&id, ending);
            }
            let id = format!("crowd-{}-{nr}", self.now.as_millis());
            self.arrive(&Line::of(&format!("arrive {id} session={id}")));
            let to = self.place(&id).unwrap().id.as_str().to_owned();
            let concurrent = open.iter().filter(|it| it.2 == to).count();
            let is_crowded_with =
                |release: &str| !release.is_empty() && to.ends_with(release) && concurrent >= 5;
            let ending = if is_crowded_with(silent) {
                "silent"
            } else if is_crowded_with(fails) && nr % 2 == 0 {
                "failed"
            } else {
                "answered"
            };
            *counts.entry(to.clone()).or_default() += 1;
            open.push((self.now + lasts, id, to, ending));
            self.pass(each);
        }
        for (_, id, _, ending) in open {
            self.end(&id, ending);
        }
        let parts: Vec<_> = counts.iter().map(|(id, it)| format!("{id} {it}")).collect();
        parts.join(", ")
    }

    fn rollout(&mut self, service: &str) -> String {
        let now = self.now;
        let service = ServiceName::from(service);
        let rollout = self.router().rollout(&service).unwrap();
        let finding = rollout
            .own_verdict(now)
            .map_or("none".to_owned(), |it| it.to_string());
        format!(
            "{} share {:.2} finding {finding}",
            rollout.verdict,
            rollout.share(now)
        )
    }
}
