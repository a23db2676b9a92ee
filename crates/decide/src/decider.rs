//! The state of the decider and the dispatch of its events.

mod arrive;
mod choose;
mod configure;
mod end;
mod evidence;
mod failures;
mod learn;
mod place;
mod plan;
mod tick;
mod wait;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::attempt;
use crate::attempts::Attempts;
use crate::directory::Directory;
use crate::event::Event;
use crate::health::Health;
use crate::knowledge::Knowledge;
use crate::limiter::Limiter;
use crate::outbox::Outbox;
use crate::peer_demand::PeerDemand;
use crate::plan_cache::PlanCache;
use crate::pool::Pools;
use crate::request::{self, Request};
use crate::rollout_controller::RolloutController;
use crate::sampler::Sampler;
use crate::samples::Samples;
use crate::token_bucket::TokenBucket;
use crate::{Action, Evidence, Policy, Tuning, endpoint, key};

/// Initial balance of the retry budget. It allows some before a host has seen any traffic.
const INITIAL_RETRIES: f64 = 5.0;

/// Makes the routing decisions of one entry host.
///
/// Deterministic: the same seed, tuning and events produce the same actions.
pub struct Decider {
    tuning: Tuning,
    rng: Pcg64Mcg,
    policy: Arc<Policy>,
    readiness: Readiness,
    live_hosts: u32,
    directory: Directory,
    requests: SlotMap<request::Key, Request>,
    by_id: HashMap<key::Request, request::Key>,
    attempts: Attempts,
    /// Attempts of urgent idempotent requests that may still be hedged.
    hedgeable: Vec<attempt::Key>,
    pools: Pools,
    knowledge: Knowledge,
    health: Health,
    plans: PlanCache,
    limiters: Vec<Limits>,
    peers: PeerDemand,
    samples: Samples,
    outbox: Outbox,
    /// Truncated responses. They count against the version only if the endpoint turns out to have
    /// survived.
    cut_responses: VecDeque<failures::Failure>,
    rollout_controllers: Vec<RolloutController>,
    /// Last resorts for which [`Action::LastResort`] has been emitted.
    reported_last_resorts: BTreeSet<LastResortKey>,
    retries: TokenBucket,
    sampler: Sampler,
    next_periodic: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    Unconfigured,
    Configured,
}

/// A customer's limiters. Calls of plain services are limited separately, so that a flood of model
/// requests doesn't cause them to be refused.
struct Limits {
    chat: Limiter,
    calls: Limiter,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LastResortKey {
    version: key::Version,
    profile: key::Profile,
    customer: key::Customer,
}

impl Decider {
    /// Creates a decider without a policy or endpoints. It refuses all requests until it has both.
    #[must_use]
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            policy: Arc::default(),
            readiness: Readiness::Unconfigured,
            live_hosts: 1,
            directory: Directory::new(&tuning.host),
            requests: SlotMap::with_key(),
            by_id: HashMap::new(),
            attempts: Attempts::default(),
            hedgeable: Vec::new(),
            pools: Pools::default(),
            knowledge: Knowledge::new(tuning.rating_noise),
            health: Health::default(),
            plans: PlanCache::default(),
            limiters: Vec::new(),
            peers: PeerDemand::default(),
            samples: Samples::default(),
            outbox: Outbox::default(),
            cut_responses: VecDeque::new(),
            rollout_controllers: Vec::new(),
            reported_last_resorts: BTreeSet::new(),
            retries: TokenBucket::new(INITIAL_RETRIES, Duration::ZERO),
            sampler: Sampler::new(),
            next_periodic: Duration::ZERO,
            tuning,
        }
    }

    /// Returns the parameters of the decisions.
    #[must_use]
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Returns the policy in force.
    #[must_use]
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Returns the endpoints that this host sends requests to, which are the only ones whose load
    /// it needs. The list changes with `Configure` and `Endpoint` events, and with `Ended` events
    /// that report a `Denied` outcome other than `Overloaded`.
    #[must_use]
    pub fn watched(&self) -> Vec<endpoint::Id> {
        self.directory.watched()
    }

    /// Returns a summary of what this host has learned, for a starting host to apply as
    /// [`Event::Digest`]. Quarantines aren't included; they are sent as verdicts.
    #[must_use]
    pub fn digest(&self) -> Evidence {
        self.knowledge.digest(&self.policy)
    }

    /// Returns the number of requests that have arrived and not yet ended.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Handles an event at time `now`, which must not decrease between calls, and appends the
    /// resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configure(policy) => self.configure(now, policy, actions),
            Event::Endpoint(update) => self.endpoint(now, &update, actions),
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Started { attempt } => {
                if let Some(key) = self.attempts.find(attempt) {
                    self.response_started(now, key, actions);
                }
            }
            Event::Ended { attempt, outcome } => {
                if let Some(key) = self.attempts.find(attempt) {
                    self.attempt_ended(now, key, outcome, actions);
                }
            }
            Event::Cancelled { request } => self.cancelled(now, request, actions),
            Event::Rated(rating) => self.apply_rating(now, &rating, actions),
            Event::Evidence(evidence) => self.apply_evidence(now, &evidence, actions),
            Event::Digest(digest) => {
                self.knowledge.apply_digest(&self.policy, &digest);
                self.plans.invalidate();
            }
            Event::Verdict { version, verdict } => {
                self.apply_verdict(now, &version, verdict, actions);
            }
            Event::Hosts { live } => {
                self.live_hosts = live.max(1);
                self.directory.live_hosts = self.live_hosts;
            }
            Event::Demand(demand) => self.peers.record(now, &self.policy, &demand),
            Event::Tick => self.tick(now, actions),
        }
    }
}
