//! Invariants over arbitrary sequences of events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use decide::action::{Action, Dispatch};
use decide::arrival::{Call, Chat, Pin, Work};
use decide::endpoint::{Distance, Id, Load, Role, State as EndpointState, Update};
use decide::event::{Quality, Rating};
use decide::outcome::{Answer, Denial};
use decide::policy::{
    Allowance, Customer, Priority, Profile, RetryPolicy, Rollout, RolloutMode, Service, State,
    Version,
};
use decide::refusal::Run;
use decide::{Arrival, Decider, Event, Outcome, Policy, Tuning, key};
use kernel::{AttemptId, HostName, Incarnation, Money, Revision, VersionId};
use proptest::prelude::*;

const VERSIONS: [&str; 4] = ["small@1", "medium@1", "medium@2", "large@1"];
const ENDPOINTS: u64 = 6;

/// A random event.
#[derive(Clone, Debug)]
enum Input {
    Chat {
        once: bool,
        pin: Option<u16>,
        priority: usize,
        customer: u16,
    },
    Call {
        once: bool,
    },
    Start(usize),
    End(usize, Outcome),
    Cancel(usize),
    Rate(usize, bool),
    /// Withdraws the version at this index, or with `false` makes it active.
    SetWithdrawn(usize, bool),
    Endpoint {
        index: u64,
        incarnation: u64,
        state: EndpointState,
        running: u32,
    },
    Advance(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => (0.0..1.0f64).prop_map(|confidence| Outcome::Answered(Answer {
            confidence,
            prompt_tokens: 100,
            completion_tokens: 50,
        })),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::Cut),
        1 => Just(Outcome::Denied(Denial::Overloaded)),
        1 => Just(Outcome::Denied(Denial::NotLoaded)),
        1 => Just(Outcome::Denied(Denial::Leaving)),
        1 => Just(Outcome::Denied(Denial::WrongIncarnation)),
    ]
}

fn input() -> impl Strategy<Value = Input> {
    let state = prop_oneof![4 => Just(EndpointState::Live), 1 => Just(EndpointState::Leaving), 1 => Just(EndpointState::Gone)];
    prop_oneof![
        8 => (any::<bool>(), proptest::option::of(0..5u16), 0..3usize, 0..2u16).prop_map(
            |(once, pin, priority, customer)| Input::Chat { once, pin, priority, customer }
        ),
        3 => any::<bool>().prop_map(|once| Input::Call { once }),
        4 => (0..8usize).prop_map(Input::Start),
        10 => (0..8usize, outcome()).prop_map(|(at, outcome)| Input::End(at, outcome)),
        1 => (0..8usize).prop_map(Input::Cancel),
        3 => (0..8usize, any::<bool>()).prop_map(|(at, good)| Input::Rate(at, good)),
        2 => (0..VERSIONS.len(), any::<bool>()).prop_map(|(at, withdrawn)| Input::SetWithdrawn(at, withdrawn)),
        3 => (0..ENDPOINTS, 1..3u64, state, 0..5u32).prop_map(
            |(index, incarnation, state, running)| Input::Endpoint { index, incarnation, state, running }
        ),
        6 => (1..2000u64).prop_map(Input::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_for_any_events(
        seed in any::<u64>(),
        inputs in proptest::collection::vec(input(), 1..150),
    ) {
        let mut simulation = Simulation::new(seed);
        for input in inputs {
            simulation.apply(&input);
        }
        simulation.finish_all();
    }

    #[test]
    fn decisions_are_deterministic(
        seed in any::<u64>(),
        inputs in proptest::collection::vec(input(), 1..60),
    ) {
        let mut simulations = [Simulation::new(seed), Simulation::new(seed)];
        for input in inputs {
            for simulation in &mut simulations {
                simulation.apply(&input);
            }
        }
        let [one, other] = simulations;
        prop_assert_eq!(one.log, other.log);
    }
}

/// The state of a request as its caller and endpoints observe it.
#[derive(Clone, Debug, Default)]
struct RequestState {
    once: bool,
    is_call: bool,
    customer: u16,
    attempts: u32,
    run: Option<Run>,
    cancelled: bool,
    results: u32,
}

struct Simulation {
    decider: Decider,
    now: Duration,
    policy: Policy,
    live: BTreeSet<Id>,
    leaving: BTreeSet<Id>,
    requests: BTreeMap<key::Request, RequestState>,
    in_flight: BTreeMap<AttemptId, Dispatch>,
    answered: BTreeSet<AttemptId>,
    samples: Vec<(key::Request, VersionId)>,
    log: Vec<Action>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            decider: Decider::new(seed, Tuning::default()),
            now: Duration::ZERO,
            policy: policy(),
            live: BTreeSet::new(),
            leaving: BTreeSet::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            answered: BTreeSet::new(),
            samples: Vec::new(),
            log: Vec::new(),
        };
        simulation.handle(Event::Configure(Arc::new(simulation.policy.clone())));
        for index in 0..ENDPOINTS {
            simulation.endpoint(index, 1, EndpointState::Live, 0);
        }
        simulation
    }

    fn apply(&mut self, input: &Input) {
        match input {
            Input::Chat {
                once,
                pin,
                priority,
                customer,
            } => {
                let pin = pin.map(|it| {
                    if usize::from(it) < VERSIONS.len() {
                        Pin::Version(key::Version(it))
                    } else {
                        Pin::Gone
                    }
                });
                let work = Work::Chat(Chat {
                    profile: key::Profile(u16::from(*once)),
                    class: key::Class::default(),
                    prompt_tokens: 100,
                    max_tokens: 0,
                    prefix: 0,
                    pin,
                });
                self.arrive(work, *once, *customer, Some(Priority::ALL[*priority]));
            }
            Input::Call { once } => {
                let service = key::Service(u16::from(*once));
                let work = Work::Call(Call {
                    service,
                    retry_policy: None,
                });
                self.arrive(work, *once, 0, None);
            }
            Input::Start(at) => {
                if let Some(attempt) = self.nth_in_flight(*at) {
                    self.handle(Event::Started { attempt });
                }
            }
            Input::End(at, outcome) => {
                if let Some(attempt) = self.nth_in_flight(*at) {
                    self.end(attempt, *outcome);
                }
            }
            Input::Cancel(at) => {
                let open = self.requests.iter().filter(|(_, it)| it.results == 0);
                let request = open.map(|it| *it.0).nth(*at);
                if let Some(request) = request {
                    self.requests.get_mut(&request).unwrap().cancelled = true;
                    self.handle(Event::Cancelled { request });
                }
            }
            Input::Rate(at, good) => {
                if let Some((request, version)) = self.samples.get(*at).cloned() {
                    let quality = if *good { Quality::Good } else { Quality::Bad };
                    self.handle(Event::Rated(Rating {
                        request,
                        version,
                        class: key::Class::default(),
                        quality,
                    }));
                }
            }
            Input::SetWithdrawn(at, withdrawn) => {
                self.policy.revision = self.policy.revision.next();
                self.policy.versions[*at].state = if *withdrawn {
                    State::Withdrawn
                } else {
                    State::Active
                };
                self.handle(Event::Configure(Arc::new(self.policy.clone())));
            }
            Input::Endpoint {
                index,
                incarnation,
                state,
                running,
            } => self.endpoint(*index, *incarnation, *state, *running),
            Input::Advance(millis) => {
                self.now += Duration::from_millis(*millis);
                self.handle(Event::Tick);
            }
        }
    }

    /// Ends all attempts in flight and lets all deadlines pass, and checks that
    /// each request had exactly one result, or none if it was cancelled.
    fn finish_all(&mut self) {
        for _ in 0..10_000 {
            let Some(attempt) = self.nth_in_flight(0) else {
                break;
            };
            self.end(attempt, Outcome::Failed);
        }
        for _ in 0..100 {
            self.now += Duration::from_secs(1);
            self.handle(Event::Tick);
            while let Some(attempt) = self.nth_in_flight(0) {
                self.end(attempt, Outcome::Failed);
            }
        }
        assert_eq!(
            self.decider.pending(),
            0,
            "requests are pending after their deadlines"
        );
        for (request, seen) in &self.requests {
            let ends = u32::from(!seen.cancelled);
            assert_eq!(seen.results, ends, "{request} {seen:?}");
        }
    }

    /// Returns the attempt in flight at this index, or the last one.
    fn nth_in_flight(&self, at: usize) -> Option<AttemptId> {
        let at = at.min(self.in_flight.len().saturating_sub(1));
        self.in_flight.keys().nth(at).copied()
    }

    fn arrive(&mut self, work: Work, once: bool, customer: u16, priority: Option<Priority>) {
        let request = key::Request(u64::try_from(self.requests.len()).unwrap());
        let seen = RequestState {
            once,
            is_call: matches!(work, Work::Call(_)),
            customer,
            ..RequestState::default()
        };
        self.requests.insert(request, seen);
        self.handle(Event::Arrive(Arrival {
            request,
            customer: key::Customer(customer),
            work,
            priority,
            deadline: None,
        }));
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let dispatch = self.in_flight.remove(&attempt).unwrap();
        let seen = self.requests.get_mut(&dispatch.request).unwrap();
        let outcome = match outcome {
            Outcome::Answered(_) if seen.is_call => Outcome::Served,
            other => other,
        };
        if !outcome.not_run() {
            seen.run = Some(Run::Unknown);
        }
        if matches!(outcome, Outcome::Answered(_) | Outcome::Served) {
            self.answered.insert(attempt);
        }
        self.handle(Event::Ended { attempt, outcome });
    }

    fn endpoint(&mut self, index: u64, incarnation: u64, state: EndpointState, running: u32) {
        let name = HostName::from(format!("e{index}"));
        let id = Id::new(&name, Incarnation(incarnation));
        self.live.retain(|it| it.host != id.host);
        self.leaving.remove(&id);
        if state == EndpointState::Live {
            self.live.insert(id);
        }
        let versions = VERSIONS.map(VersionId::from);
        let role = if index == ENDPOINTS - 1 {
            Role::Service("holds".into())
        } else {
            Role::Engine(versions.into())
        };
        self.handle(Event::Endpoint(Update {
            id,
            role,
            distance: Distance::DataCentre,
            state,
            load: Some(Load {
                running,
                waiting: 0,
                slots: 4,
                age: Duration::ZERO,
            }),
        }));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.decider.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Dispatch(it) => self.check_dispatch(it),
            Action::Deliver(it) => {
                assert!(
                    self.answered.contains(&it.attempt),
                    "delivered an attempt without a response"
                );
                self.finish(it.request);
            }
            Action::Refuse { request, refusal } => {
                let seen = &self.requests[request];
                if refusal.run == Run::NotRun {
                    assert_eq!(seen.run, None, "refused as not run, but may have run");
                    let is_in_flight = self.in_flight.values().any(|it| it.request == *request);
                    assert!(
                        !is_in_flight,
                        "refused as not run with an attempt in flight"
                    );
                }
                self.finish(*request);
            }
            Action::Cancel { attempt } => {
                let dispatch = self.in_flight.remove(attempt).expect("unknown attempt");
                let seen = self.requests.get_mut(&dispatch.request).unwrap();
                seen.run = Some(Run::Unknown);
            }
            Action::Sample {
                request,
                attempt,
                version,
                ..
            } => {
                assert!(self.answered.contains(attempt));
                let version = self.policy.versions[version.index()].id.clone();
                self.samples.insert(0, (*request, version));
            }
            _ => {}
        }
    }

    fn check_dispatch(&mut self, it: &Dispatch) {
        assert_eq!(it.revision, self.policy.revision);
        assert!(
            self.live.contains(&it.endpoint),
            "dispatched to an endpoint that is not live"
        );
        let max_attempts = self.decider.tuning().max_attempts;
        let seen = self.requests.get_mut(&it.request).unwrap();
        seen.attempts += 1;
        assert!(seen.attempts <= max_attempts, "too many attempts");
        assert_eq!(it.number, seen.attempts);
        assert_eq!(seen.results, 0, "dispatched after its result");
        assert!(!seen.cancelled, "dispatched after its caller cancelled");
        if seen.once {
            assert_eq!(seen.run, None, "at-most-once request sent again");
            let is_in_flight = self
                .in_flight
                .values()
                .any(|that| that.request == it.request);
            assert!(!is_in_flight, "at-most-once request sent twice at once");
        }
        if let Some(version) = it.version {
            let profile = key::Profile(u16::from(seen.once));
            let customer = key::Customer(seen.customer);
            assert!(self.policy.permits(profile, customer, version));
        }
        let earlier = self.in_flight.insert(it.attempt, *it);
        assert!(earlier.is_none(), "duplicate attempt id");
    }

    fn finish(&mut self, request: key::Request) {
        let seen = self.requests.get_mut(&request).unwrap();
        seen.results += 1;
        assert_eq!(seen.results, 1, "more than one result");
        assert!(!seen.cancelled, "result after its caller cancelled");
    }
}

fn policy() -> Policy {
    let prices = [10, 55, 60, 300];
    let versions = VERSIONS.iter().zip(prices).map(|(id, price)| Version {
        id: (*id).into(),
        state: if *id == "medium@2" {
            State::Trial(0.5)
        } else {
            State::Active
        },
        prompt_price: Money(price * 1_000_000),
        completion_price: Money(price * 4_000_000),
    });
    let allowance = |customer: u16, last: u16| Allowance {
        customer: key::Customer(customer),
        versions: (0..last).map(key::Version).collect(),
    };
    let profile = |name: &str, retry_policy| Profile {
        name: name.into(),
        allowed: vec![allowance(0, 4), allowance(1, 2)],
        target: 0.9,
        cap: None,
        retry_policy,
        priority: Priority::Interactive,
        deadline: Duration::from_secs(30),
    };
    let customer = |name: &str| Customer {
        name: name.into(),
        rate: 1000.0,
        burst: 1000.0,
        concurrency: 1000,
        weight: 1.0,
    };
    let service = |name: &str, retry_policy| Service {
        name: name.into(),
        retry_policy,
        priority: Priority::Urgent,
        deadline: Duration::from_secs(3),
        concurrency: 4,
    };
    Policy {
        revision: Revision(1),
        versions: versions.collect(),
        profiles: vec![
            profile("often", RetryPolicy::Idempotent),
            profile("once", RetryPolicy::AtMostOnce),
        ],
        customers: vec![customer("a"), customer("b")],
        services: vec![
            service("scans", RetryPolicy::Idempotent),
            service("holds", RetryPolicy::AtMostOnce),
        ],
        rollouts: vec![Rollout {
            id: "next".into(),
            version: key::Version(2),
            replaces: Some(key::Version(1)),
            mode: RolloutMode::Running,
        }],
    }
}
