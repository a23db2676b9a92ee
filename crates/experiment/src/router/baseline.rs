use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{
    AttemptOutcome, Input, Output, RouterKind,
    load_view::{LoadView, pick_index},
    oracle::{NextStep, Oracle, VersionPlan},
};
use crate::{
    arrival::Arrival,
    attempt::{AttemptKey, Relay},
    configuration::Configuration,
    ground_truth::{GroundTruth, VersionIdx},
    keyed_rng::{KeyedRng, Purpose},
    workload::World,
};

/// The confidence below which the static cascade tries the next version.
const CONFIDENCE_THRESHOLD: f64 = 0.6;

/// Maximum attempts at a version or the plain service that end without a response. A request that
/// isn't idempotent is refused after the first one that may have run.
const MAX_ATTEMPTS_PER_VERSION: u32 = 3;

/// A router that chooses versions by a fixed rule or by the oracle's plan, and endpoints by load.
pub(crate) struct Baseline<'a> {
    kind: RouterKind,
    world: &'a World,
    keyed_rng: KeyedRng,
    oracle: Oracle<'a>,
    configuration: Configuration,
    views: Vec<LoadView>,
    requests: BTreeMap<usize, Request>,
    attempts: BTreeMap<AttemptKey, usize>,
    last_number: u64,
}

#[derive(Debug)]
struct Request {
    host: usize,
    arrival: Arrival,
    pin: Option<VersionIdx>,
    version_plan: Option<Rc<VersionPlan>>,
    tried: Vec<TriedVersion>,
    current: Option<VersionIdx>,
    attempt_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct TriedVersion {
    version: VersionIdx,
    attempt: AttemptKey,
    confidence: f64,
}

impl<'a> Baseline<'a> {
    pub(crate) fn new(kind: RouterKind, truth: GroundTruth<'a>) -> Self {
        Self {
            kind,
            world: truth.world,
            keyed_rng: truth.keyed_rng,
            oracle: Oracle::new(truth),
            configuration: Configuration::new(),
            views: vec![LoadView::new(truth.world); truth.world.hosts],
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(crate) fn replace(&mut self, host: usize) {
        self.requests.retain(|_, it| it.host != host);
        self.attempts.retain(|it, _| it.host != host);
        self.views[host] = LoadView::new(self.world);
    }

    pub(crate) fn handle(
        &mut self,
        now: Duration,
        host: usize,
        input: &Input<'_>,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::Arrive { arrival, pin } => self.arrive(now, host, arrival, *pin, outputs),
            Input::Ended { attempt, outcome } => self.ended(now, *attempt, *outcome, outputs),
            Input::Cancelled { request } => self.cancel(*request, outputs),
            Input::Load { endpoint, load, .. } => self.views[host].report(*endpoint, *load),
            Input::Endpoint { endpoint, up, .. } => self.views[host].set_up(*endpoint, *up),
            Input::Configured(configuration) => self.configuration = (*configuration).clone(),
            Input::Started { .. }
            | Input::Rated { .. }
            | Input::Gossip(_)
            | Input::Hosts { .. }
            | Input::Tick => {}
        }
    }

    fn arrive(
        &mut self,
        now: Duration,
        host: usize,
        arrival: &Arrival,
        pin: Option<VersionIdx>,
        outputs: &mut Vec<Output>,
    ) {
        let uses_plan =
            self.kind == RouterKind::Oracle && self.world.class(arrival.class).is_model();
        let version_plan =
            uses_plan.then(|| self.oracle.version_plan(now, arrival, &self.configuration));
        let request = Request {
            host,
            arrival: arrival.clone(),
            pin: pin.filter(|it| self.configuration.accepts_requests(*it)),
            version_plan,
            tried: Vec::new(),
            current: None,
            attempt_count: 0,
        };
        self.requests.insert(arrival.idx, request);
        self.advance(now, arrival.idx, outputs);
    }

    /// Dispatches the request to the next version or delivers a response.
    fn advance(&mut self, now: Duration, idx: usize, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&idx) else {
            return;
        };
        if !self.world.class(request.arrival.class).is_model() {
            self.dispatch(now, idx, None, outputs);
            return;
        }
        match self.next(request) {
            NextStep::Try(version) => self.dispatch(now, idx, Some(version), outputs),
            NextStep::Deliver(position) => {
                let attempt = request.tried[position].attempt;
                self.requests.remove(&idx);
                outputs.push(Output::Deliver {
                    request: idx,
                    attempt,
                });
            }
        }
    }

    fn next(&self, request: &Request) -> NextStep {
        if let (Some(pin), []) = (request.pin, request.tried.as_slice()) {
            return NextStep::Try(pin);
        }
        if let (Some(version_plan), None) = (&request.version_plan, request.pin) {
            let seen = request.tried.iter().map(|it| it.confidence);
            return version_plan.next(self.keyed_rng, &request.arrival, &seen.collect::<Vec<_>>());
        }
        let active = World::ACTIVE.map(|it| self.configuration.accepts_requests(it).then_some(it));
        let active = active.into_iter().flatten().collect::<Vec<_>>();
        let position = request.tried.len();
        let Some(last) = request.tried.last() else {
            return NextStep::Try(self.first_version(request, &active));
        };
        let higher = active.iter().find(|it| **it > last.version);
        match higher {
            Some(next)
                if self.kind == RouterKind::StaticCascade
                    && request.pin.is_none()
                    && last.confidence < CONFIDENCE_THRESHOLD =>
            {
                NextStep::Try(*next)
            }
            _ => NextStep::Deliver(position - 1),
        }
    }

    fn first_version(&self, request: &Request, active: &[VersionIdx]) -> VersionIdx {
        let at_most_once = !self.world.class(request.arrival.class).idempotent;
        let idx = match self.kind {
            // A request that isn't idempotent can't be sent to a second version.
            RouterKind::StaticCascade if at_most_once => active.len() - 1,
            RouterKind::StaticCascade => 0,
            RouterKind::Random => pick_index(
                self.keyed_rng.draw(Purpose::Choice, request.arrival.idx, 0),
                active.len(),
            ),
            RouterKind::Strongest | RouterKind::Oracle | RouterKind::Core => active.len() - 1,
        };
        active[idx]
    }

    fn dispatch(
        &mut self,
        now: Duration,
        idx: usize,
        version: Option<VersionIdx>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&idx) else {
            return;
        };
        request.attempt_count += 1;
        request.current = version;
        let host = request.host;
        let Some(endpoint) = self.views[host].pick(self.keyed_rng, now, idx, version) else {
            return self.refuse(idx, "no_endpoint", outputs);
        };
        let class = self.world.class(request.arrival.class);
        let is_final = match self.kind {
            _ if !class.idempotent => true,
            RouterKind::Strongest | RouterKind::Random => true,
            RouterKind::StaticCascade => {
                request.pin.is_some() || version == Some(VersionIdx::LARGE)
            }
            RouterKind::Oracle | RouterKind::Core => request.pin.is_some(),
        };
        self.last_number += 1;
        let attempt = AttemptKey {
            host,
            incarnation: 0,
            number: self.last_number,
        };
        self.attempts.insert(attempt, idx);
        outputs.push(Output::Dispatch {
            attempt,
            request: idx,
            endpoint,
            version,
            priority: class.priority,
            relay: if is_final {
                Relay::Now
            } else {
                Relay::AfterCheck
            },
            timeout: None,
        });
    }

    fn ended(
        &mut self,
        now: Duration,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
        outputs: &mut Vec<Output>,
    ) {
        let Some(idx) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&idx) else {
            return;
        };
        let idempotent = self.world.class(request.arrival.class).idempotent;
        match (outcome, request.current) {
            (AttemptOutcome::Answered { confidence, .. }, Some(version)) => {
                request.attempt_count = 0;
                request.tried.push(TriedVersion {
                    version,
                    attempt,
                    confidence,
                });
                self.advance(now, idx, outputs);
            }
            (AttemptOutcome::Served | AttemptOutcome::Answered { .. }, _) => {
                self.requests.remove(&idx);
                outputs.push(Output::Deliver {
                    request: idx,
                    attempt,
                });
            }
            (AttemptOutcome::Refused | AttemptOutcome::Unreachable, version)
                if request.attempt_count < MAX_ATTEMPTS_PER_VERSION =>
            {
                self.dispatch(now, idx, version, outputs);
            }
            (AttemptOutcome::Refused | AttemptOutcome::Unreachable, _) => {
                self.refuse(idx, "overloaded", outputs);
            }
            (_, version) if idempotent && request.attempt_count < MAX_ATTEMPTS_PER_VERSION => {
                self.dispatch(now, idx, version, outputs);
            }
            _ => self.refuse(idx, "upstream_failed", outputs),
        }
    }

    fn cancel(&mut self, idx: usize, outputs: &mut Vec<Output>) {
        let attempts = self.attempts.extract_if(.., |_, it| *it == idx);
        outputs.extend(attempts.map(|(attempt, _)| Output::Cancel { attempt }));
        self.requests.remove(&idx);
    }

    fn refuse(&mut self, idx: usize, reason: &'static str, outputs: &mut Vec<Output>) {
        self.requests.remove(&idx);
        outputs.push(Output::Refuse {
            request: idx,
            reason,
        });
    }
}
