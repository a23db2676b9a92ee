use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{
    End, Input, Kind, Output,
    oracle::{Guide, Next, Oracle},
    view::{View, place},
};
use crate::{
    arrival::Arrival,
    attempt::{AttemptKey, Relay},
    coin::{Coin, Purpose},
    configuration::Configuration,
    truth::{Truth, VersionIdx},
    workload::World,
};

/// The confidence below which the static cascade tries the next version.
const THRESHOLD: f64 = 0.6;

/// Maximum attempts at one version, after which the request is refused.
const MOST_TRIES: u32 = 3;

/// A router that chooses versions by a fixed rule or by the oracle's plan, and endpoints by load.
pub(crate) struct Baseline<'a> {
    kind: Kind,
    world: &'a World,
    coin: Coin,
    oracle: Oracle<'a>,
    configuration: Configuration,
    views: Vec<View>,
    requests: BTreeMap<usize, Request>,
    attempts: BTreeMap<AttemptKey, usize>,
    numbers: u64,
}

#[derive(Debug)]
struct Request {
    host: usize,
    arrival: Arrival,
    pin: Option<VersionIdx>,
    guide: Option<Rc<Guide>>,
    asked: Vec<Asked>,
    current: Option<VersionIdx>,
    tries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    version: VersionIdx,
    attempt: AttemptKey,
    confidence: f64,
}

impl<'a> Baseline<'a> {
    pub(crate) fn new(kind: Kind, truth: Truth<'a>) -> Self {
        Self {
            kind,
            world: truth.world,
            coin: truth.coin,
            oracle: Oracle::new(truth),
            configuration: Configuration::new(),
            views: vec![View::new(truth.world); truth.world.hosts],
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            numbers: 0,
        }
    }

    pub(crate) fn replace(&mut self, host: usize) {
        self.requests.retain(|_, it| it.host != host);
        self.attempts.retain(|it, _| it.host != host);
        self.views[host] = View::new(self.world);
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
            Input::Ended { attempt, end } => self.end(now, *attempt, *end, outputs),
            Input::Cancelled { request } => self.cancel(*request, outputs),
            Input::Load { endpoint, load, .. } => self.views[host].report(*endpoint, *load),
            Input::Endpoint { endpoint, up, .. } => self.views[host].set_up(*endpoint, *up),
            Input::Configured(configuration) => self.configuration = (*configuration).clone(),
            Input::Started { .. }
            | Input::Rated { .. }
            | Input::News(_)
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
        let plans = self.kind == Kind::Oracle && self.world.class(arrival.class).is_model();
        let guide = plans.then(|| self.oracle.guide(now, arrival, &self.configuration));
        let request = Request {
            host,
            arrival: arrival.clone(),
            pin: pin.filter(|it| self.configuration.takes_work(*it)),
            guide,
            asked: Vec::new(),
            current: None,
            tries: 0,
        };
        self.requests.insert(arrival.idx, request);
        self.go_on(now, arrival.idx, outputs);
    }

    /// Dispatches the request to the next version or delivers a response.
    fn go_on(&mut self, now: Duration, idx: usize, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&idx) else {
            return;
        };
        if !self.world.class(request.arrival.class).is_model() {
            self.dispatch(now, idx, None, outputs);
            return;
        }
        match self.next(request) {
            Next::Ask(version) => self.dispatch(now, idx, Some(version), outputs),
            Next::Deliver(place) => {
                let attempt = request.asked[place].attempt;
                self.requests.remove(&idx);
                outputs.push(Output::Deliver {
                    request: idx,
                    attempt,
                });
            }
        }
    }

    fn next(&self, request: &Request) -> Next {
        if let (Some(pin), []) = (request.pin, request.asked.as_slice()) {
            return Next::Ask(pin);
        }
        if let (Some(guide), None) = (&request.guide, request.pin) {
            let seen = request.asked.iter().map(|it| it.confidence);
            return guide.next(self.coin, &request.arrival, &seen.collect::<Vec<_>>());
        }
        let active = World::ACTIVE.map(|it| self.configuration.takes_work(it).then_some(it));
        let active = active.into_iter().flatten().collect::<Vec<_>>();
        let place = request.asked.len();
        let Some(last) = request.asked.last() else {
            return Next::Ask(self.first(request, &active));
        };
        let higher = active.iter().find(|it| **it > last.version);
        match higher {
            Some(next)
                if self.kind == Kind::StaticCascade
                    && request.pin.is_none()
                    && last.confidence < THRESHOLD =>
            {
                Next::Ask(*next)
            }
            _ => Next::Deliver(place - 1),
        }
    }

    fn first(&self, request: &Request, active: &[VersionIdx]) -> VersionIdx {
        let once = !self.world.class(request.arrival.class).idempotent;
        let idx = match self.kind {
            // A request that isn't idempotent can't be sent to a second version.
            Kind::StaticCascade if once => active.len() - 1,
            Kind::StaticCascade => 0,
            Kind::Random => place(
                self.coin.toss(Purpose::Choice, request.arrival.idx, 0),
                active.len(),
            ),
            Kind::Strongest | Kind::Oracle | Kind::Core => active.len() - 1,
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
        request.tries += 1;
        request.current = version;
        let host = request.host;
        let Some(endpoint) = self.views[host].pick(self.coin, now, idx, version) else {
            return self.refuse(idx, "no_endpoint", outputs);
        };
        let class = self.world.class(request.arrival.class);
        let last = match self.kind {
            _ if !class.idempotent => true,
            Kind::Strongest | Kind::Random => true,
            Kind::StaticCascade => request.pin.is_some() || version == Some(VersionIdx::LARGE),
            Kind::Oracle | Kind::Core => request.pin.is_some(),
        };
        self.numbers += 1;
        let attempt = AttemptKey {
            host,
            life: 0,
            number: self.numbers,
        };
        self.attempts.insert(attempt, idx);
        outputs.push(Output::Dispatch {
            attempt,
            request: idx,
            endpoint,
            version,
            priority: class.priority,
            relay: if last { Relay::Now } else { Relay::AfterCheck },
            timeout: None,
        });
    }

    fn end(&mut self, now: Duration, attempt: AttemptKey, end: End, outputs: &mut Vec<Output>) {
        let Some(idx) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&idx) else {
            return;
        };
        let idempotent = self.world.class(request.arrival.class).idempotent;
        match (end, request.current) {
            (End::Answered { confidence, .. }, Some(version)) => {
                request.tries = 0;
                request.asked.push(Asked {
                    version,
                    attempt,
                    confidence,
                });
                self.go_on(now, idx, outputs);
            }
            (End::Served | End::Answered { .. }, _) => {
                self.requests.remove(&idx);
                outputs.push(Output::Deliver {
                    request: idx,
                    attempt,
                });
            }
            (End::Refused | End::Unreachable, version) if request.tries < MOST_TRIES => {
                self.dispatch(now, idx, version, outputs);
            }
            (End::Refused | End::Unreachable, _) => self.refuse(idx, "overloaded", outputs),
            (_, version) if idempotent && request.tries < MOST_TRIES => {
                self.dispatch(now, idx, version, outputs);
            }
            _ => self.refuse(idx, "upstream_failed", outputs),
        }
    }

    fn cancel(&mut self, idx: usize, outputs: &mut Vec<Output>) {
        let mine = self.attempts.extract_if(.., |_, it| *it == idx);
        outputs.extend(mine.map(|(attempt, _)| Output::Cancel { attempt }));
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
