//! Parses and runs scripts, with one event per line.

use std::sync::Arc;
use std::time::Duration;

use decide::arrival::{Call, Chat, Pin, Work};
use decide::endpoint::{self, Distance, Load, Role, Update};
use decide::event::{Quality, Rating};
use decide::outcome::{Answer, Denial};
use decide::policy::{
    self, Allowance, Priority, Profile, RetryPolicy, Rollout, RolloutMode, Service, State,
};
use decide::{Action, Arrival, Decider, Demand, Event, Flow, Outcome, Policy, Rate, Tuning, key};
use kernel::{AttemptId, HostName, Incarnation, Money, Revision, VersionId};

use crate::fleet::{Fleet, Load as Traffic};
use crate::print::Names;

/// A decider with the configuration and endpoints that the script has set.
pub(crate) struct Script {
    pub(crate) decider: Decider,
    pub(crate) now: Duration,
    pub(crate) policy: Arc<Policy>,
    pub(crate) endpoints: Vec<(String, endpoint::Id)>,
    pub(crate) fleet: Fleet,
}

impl Script {
    pub(crate) fn new() -> Self {
        Self {
            decider: Decider::new(7, Tuning::default()),
            now: Duration::ZERO,
            policy: Arc::default(),
            endpoints: Vec::new(),
            fleet: Fleet::new(),
        }
    }

    /// Runs a directive: `policy` is followed by a whole policy, any other by one
    /// event per line.
    pub(crate) fn run(&mut self, directive: &str, input: &str) -> String {
        let mut out = String::new();
        if directive == "policy" {
            let policy = Arc::new(parse_policy(input));
            if policy.revision >= self.policy.revision {
                self.policy = Arc::clone(&policy);
            }
            self.handle(Event::Configure(policy), &mut out);
        } else {
            for line in input.lines() {
                self.line(line, &mut out);
            }
        }
        if out.is_empty() {
            out.push_str("nothing\n");
        }
        out
    }

    fn line(&mut self, line: &str, out: &mut String) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let id = || key::Request(words[1].parse().unwrap());
        match words[0] {
            "endpoint" => {
                let event = self.endpoint(&words);
                self.handle(event, out);
            }
            "chat" | "call" => {
                let event = self.arrival(&words);
                self.handle(event, out);
            }
            "started" => {
                let attempt = attempt(words[1]);
                self.handle(Event::Started { attempt }, out);
            }
            "end" => {
                let attempt = attempt(words[1]);
                let outcome = outcome(&words[2..]);
                self.handle(Event::Ended { attempt, outcome }, out);
            }
            "gone" => self.handle(Event::Cancelled { request: id() }, out),
            "rated" => self.handle(rated(&words), out),
            "hosts" => {
                let hosts = words[1].parse().unwrap();
                self.handle(Event::Hosts { live: hosts }, out);
            }
            "demand" => self.handle(demand(&words), out),
            "restart" => {
                let digest = self.decider.digest();
                self.decider = Decider::new(8, Tuning::default());
                self.handle(Event::Configure(Arc::clone(&self.policy)), out);
                if words[1] == "told" {
                    self.handle(Event::Digest(digest), out);
                }
            }
            "verdict" => {
                let version = VersionId::from(words[1]);
                let cause = decide::action::Cause::Errors;
                let verdict = decide::action::Verdict::Quarantined(cause);
                self.handle(Event::Verdict { version, verdict }, out);
            }
            "wait" => self.wait(span(words[1]), out),
            "behave" => self.fleet.behave(&words[1..]),
            "traffic" => {
                let load = Traffic::parse(&words[1..]);
                let text = crate::fleet::traffic(self, &load);
                out.push_str(&text);
            }
            other => panic!("unknown event: {other}"),
        }
    }

    /// Passes an event to the decider and writes the resulting actions to `out`.
    pub(crate) fn handle(&mut self, event: Event, out: &mut String) {
        let mut actions = Vec::new();
        self.decider.handle(self.now, event, &mut actions);
        for action in &actions {
            self.write(action, out);
        }
    }

    pub(crate) fn write(&self, action: &Action, out: &mut String) {
        let names = Names {
            policy: &self.policy,
            endpoints: &self.endpoints,
        };
        if let Some(line) = names.line(action) {
            out.push_str(&line);
            out.push('\n');
        }
    }

    fn wait(&mut self, span: Duration, out: &mut String) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + self.decider.tuning().tick);
            self.handle(Event::Tick, out);
        }
    }

    /// `endpoint e1 versions|service:name [at=region|far] [load=running/slots] [life=1] [leaving|gone]`
    ///
    /// The state is read from the last word only.
    fn endpoint(&mut self, words: &[&str]) -> Event {
        let option = |prefix: &str| words.iter().find_map(|it| it.strip_prefix(prefix));
        let name = HostName::from(words[1]);
        let incarnation = option("life=").map_or(1, |it| it.parse().unwrap());
        let id = endpoint::Id::new(&name, Incarnation(incarnation));
        self.endpoints.retain(|it| it.1 != id);
        self.endpoints.push((words[1].to_owned(), id));
        let role = match words[2].strip_prefix("service:") {
            Some(name) => Role::Service(name.into()),
            None => Role::Engine(words[2].split(',').map(VersionId::from).collect()),
        };
        let distance = match option("at=") {
            Some("region") => Distance::Region,
            Some("far") => Distance::Far,
            _ => Distance::DataCentre,
        };
        let state = match words.last() {
            Some(&"leaving") => endpoint::State::Leaving,
            Some(&"gone") => endpoint::State::Gone,
            _ => endpoint::State::Live,
        };
        let load = option("load=").map(|it| {
            let (running, slots) = it.split_once('/').unwrap();
            Load {
                running: running.parse().unwrap(),
                waiting: 0,
                slots: slots.parse().unwrap(),
                age: Duration::from_millis(200),
            }
        });
        Event::Endpoint(Update {
            id,
            role,
            distance,
            state,
            load,
        })
    }

    /// `chat 1 customer profile [class=] [pin=] [prefix=] [priority=] [deadline=] [prompt=] [max=]`,
    /// `call 1 customer service [priority=] [deadline=]`
    pub(crate) fn arrival(&self, words: &[&str]) -> Event {
        let option = |prefix: &str| words.iter().find_map(|it| it.strip_prefix(prefix));
        let customer = self.policy.customer(&words[2].into());
        let work = if words[0] == "chat" {
            let pin = option("pin=").map(|it| {
                let version = self.policy.version(&it.into());
                version.map_or(Pin::Gone, Pin::Version)
            });
            let profile = self.policy.profile(&words[3].into());
            Work::Chat(Chat {
                profile: profile.unwrap_or(key::Profile(99)),
                class: key::Class::named(option("class=").unwrap_or("general")),
                prompt_tokens: option("prompt=").map_or(100, |it| it.parse().unwrap()),
                max_tokens: option("max=").map_or(0, |it| it.parse().unwrap()),
                prefix: option("prefix=").map_or(0, |it| it.parse().unwrap()),
                pin,
            })
        } else {
            let service = self.policy.service(&words[3].into());
            Work::Call(Call {
                service: service.unwrap_or(key::Service(99)),
                retry_policy: None,
            })
        };
        Event::Arrive(Arrival {
            request: key::Request(words[1].parse().unwrap()),
            customer: customer.unwrap_or(key::Customer(99)),
            work,
            priority: option("priority=").map(priority),
            deadline: option("deadline=").map(|it| self.now + span(it)),
        })
    }
}

fn attempt(word: &str) -> AttemptId {
    AttemptId(word.trim_start_matches('#').parse().unwrap())
}

fn outcome(words: &[&str]) -> Outcome {
    match words[0] {
        "answered" => Outcome::Answered(Answer {
            confidence: words.get(1).map_or(0.9, |it| it.parse().unwrap()),
            prompt_tokens: 100,
            completion_tokens: words.get(2).map_or(50, |it| it.parse().unwrap()),
        }),
        "served" => Outcome::Served,
        "not-sent" => Outcome::NotSent,
        "failed" => Outcome::Failed,
        "timed-out" => Outcome::TimedOut,
        "cut" => Outcome::Cut,
        "not-loaded" => Outcome::Denied(Denial::NotLoaded),
        "overloaded" => Outcome::Denied(Denial::Overloaded),
        "leaving" => Outcome::Denied(Denial::Leaving),
        "wrong-incarnation" => Outcome::Denied(Denial::WrongIncarnation),
        other => panic!("unknown outcome: {other}"),
    }
}

fn rated(words: &[&str]) -> Event {
    Event::Rated(Rating {
        request: key::Request(words[1].parse().unwrap()),
        version: words[2].into(),
        class: key::Class::default(),
        quality: match words[3] {
            "good" => Quality::Good,
            _ => Quality::Bad,
        },
    })
}

fn demand(words: &[&str]) -> Event {
    let flow = Flow {
        rate: words[3].parse().unwrap(),
        in_flight: 0.0,
    };
    Event::Demand(Demand {
        host: words[1].into(),
        rates: vec![Rate {
            customer: words[2].into(),
            chat: flow,
            calls: flow,
        }],
    })
}

/// Parses a duration like `200ms` or `3s`.
pub(crate) fn span(word: &str) -> Duration {
    match word.strip_suffix("ms") {
        Some(millis) => Duration::from_millis(millis.parse().unwrap()),
        None => Duration::from_secs(word.trim_end_matches('s').parse().unwrap()),
    }
}

fn priority(word: &str) -> Priority {
    match word {
        "urgent" => Priority::Urgent,
        "batch" => Priority::Batch,
        _ => Priority::Interactive,
    }
}

/// Parses a policy with one entry per line. Versions and customers must precede
/// the entries that use them.
pub(crate) fn parse_policy(text: &str) -> Policy {
    let mut it = Policy::default();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        entry(&mut it, &words);
    }
    it
}

fn entry(policy: &mut Policy, words: &[&str]) {
    let option = |prefix: &str| words.iter().find_map(|it| it.strip_prefix(prefix));
    let number = |prefix, default: f64| option(prefix).map_or(default, |it| it.parse().unwrap());
    let retry_policy = if words.contains(&"once") {
        RetryPolicy::AtMostOnce
    } else {
        RetryPolicy::Idempotent
    };
    let priority_or_default = priority(option("priority=").unwrap_or(""));
    let deadline = span(option("deadline=").unwrap_or("30s"));
    match words[0] {
        "revision" => policy.revision = Revision(words[1].parse().unwrap()),
        // `version small@1 price [withdrawn|trial=0.1]`
        "version" => policy.versions.push(policy::Version {
            id: words[1].into(),
            state: match (option("trial="), words.last()) {
                (Some(share), _) => State::Trial(share.parse().unwrap()),
                (None, Some(&"withdrawn")) => State::Withdrawn,
                _ => State::Active,
            },
            prompt_price: Money(words[2].parse::<u64>().unwrap() * 1_000_000),
            completion_price: Money(words[2].parse::<u64>().unwrap() * 4_000_000),
        }),
        "customer" => policy.customers.push(policy::Customer {
            name: words[1].into(),
            rate: number("rate=", 1000.0),
            burst: number("burst=", 1000.0),
            concurrency: option("concurrency=").map_or(1000, |it| it.parse().unwrap()),
            weight: number("weight=", 1.0),
        }),
        // `profile name version,version [target=] [cap=] [priority=] [deadline=] [once] [only=customer]`,
        // for all customers without `only=`
        "profile" => {
            let versions = words[2].split(',').map(|it| policy.version(&it.into()));
            let versions: Vec<_> = versions.flatten().collect();
            let only = option("only=");
            let customers = policy.customers.iter().enumerate();
            let allowed = customers
                .filter(|(_, it)| only.is_none_or(|only| it.name.as_str() == only))
                .map(|(at, _)| Allowance {
                    customer: key::Customer::at(at),
                    versions: versions.clone(),
                });
            policy.profiles.push(Profile {
                name: words[1].into(),
                allowed: allowed.collect(),
                target: number("target=", 0.9),
                cap: option("cap=").map(|it| Money(it.parse().unwrap())),
                retry_policy,
                priority: priority_or_default,
                deadline,
            });
        }
        "service" => policy.services.push(Service {
            name: words[1].into(),
            retry_policy,
            priority: priority_or_default,
            deadline,
            concurrency: option("concurrency=").map_or(1000, |it| it.parse().unwrap()),
        }),
        // `rollout name new [old]`
        "rollout" => policy.rollouts.push(Rollout {
            id: words[1].into(),
            version: policy.version(&words[2].into()).unwrap(),
            replaces: words.get(3).and_then(|it| policy.version(&(*it).into())),
            mode: RolloutMode::Running,
        }),
        other => panic!("unknown policy entry: {other}"),
    }
}
