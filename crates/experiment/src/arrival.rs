use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    keyed_rng::{KeyedRng, Purpose},
    scenario::{Fault, Scenario},
    workload::{Call, Class, ClassIdx, Range, World},
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) idx: usize,
    pub(crate) at: Duration,
    pub(crate) customer: usize,
    pub(crate) class: ClassIdx,
    /// The index of the request's session; `None` for classes without sessions.
    pub(crate) session: Option<usize>,
    pub(crate) hard: bool,
    pub(crate) prompt: u32,
    pub(crate) completion: u32,
    /// The service time at a plain service; zero for model requests.
    pub(crate) service: Duration,
}

/// Generates all requests of a scenario, in the order of arrival.
///
/// The turns of a session arrive at times that don't depend on the responses, so that all routers
/// get the same arrivals.
pub(crate) fn arrivals(world: &World, scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    let mut sessions = 0;
    for customer in 0..world.customers.len() {
        for (class_idx, class) in world.classes() {
            let mut stream = Stream::new(world, seed, customer, class_idx, class);
            while let Some(at) = stream.next_start(scenario) {
                stream.push_requests(at, &mut sessions, &mut all);
            }
        }
    }
    all.retain(|it| it.at < scenario.duration);
    all.sort_by_key(|it| (it.at, it.customer, it.class));
    let keyed_rng = KeyedRng::new(seed);
    for (idx, it) in all.iter_mut().enumerate() {
        it.idx = idx;
        it.hard = keyed_rng.draw(Purpose::Difficulty, idx, 0) < hard_share(world.class(it.class));
    }
    all
}

fn hard_share(class: &Class) -> f64 {
    match class.call {
        Call::Model { hard, .. } => hard,
        Call::Plain { .. } => 0.0,
    }
}

/// Generates the requests of one customer and class.
struct Stream<'a> {
    rng: Pcg64Mcg,
    customer: usize,
    class_idx: ClassIdx,
    class: &'a Class,
    /// This customer's new requests or sessions of this class per second, without faults.
    rate: f64,
    now: Duration,
}

impl<'a> Stream<'a> {
    fn new(
        world: &World,
        seed: u64,
        customer: usize,
        class_idx: ClassIdx,
        class: &'a Class,
    ) -> Self {
        let stream_id = (u64::try_from(customer).unwrap_or(0) << 8) | u64::from(class_idx.0);
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9).wrapping_add(stream_id)),
            customer,
            class_idx,
            class,
            rate: class.rate * world.share(customer),
            now: Duration::ZERO,
        }
    }

    fn next_start(&mut self, scenario: &Scenario) -> Option<Duration> {
        let rate = self.rate * self.factor(scenario);
        let draw = self.rng.random::<f64>();
        self.now += Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
        (self.now < scenario.duration).then_some(self.now)
    }

    /// Returns the factor by which active faults multiply the traffic.
    fn factor(&self, scenario: &Scenario) -> f64 {
        scenario
            .active(self.now)
            .map(|event| match event.fault {
                Fault::Surge { times } if self.class.is_model() => times,
                Fault::Flood { customer, times }
                    if customer == self.customer && self.class.is_model() =>
                {
                    times
                }
                _ => 1.0,
            })
            .product()
    }

    fn push_requests(&mut self, start: Duration, sessions: &mut usize, all: &mut Vec<Arrival>) {
        let turns = match self.class.call {
            Call::Model { turns, .. } => self.pick(turns),
            Call::Plain { .. } => 1,
        };
        let has_session = matches!(&self.class.call, Call::Model { turns, .. } if turns.high > 1);
        let mut at = start;
        for _ in 0..turns {
            let session = has_session.then_some(*sessions);
            let arrival = self.request(at, session);
            all.push(arrival);
            at += Duration::from_secs(u64::from(self.pick(Class::TURN_GAP)));
        }
        *sessions += usize::from(has_session);
    }

    fn request(&mut self, at: Duration, session: Option<usize>) -> Arrival {
        let (prompt, completion, service) = match self.class.call {
            Call::Model {
                prompt, completion, ..
            } => (self.pick(prompt), self.pick(completion), 0),
            Call::Plain { millis } => (0, 0, self.pick(millis)),
        };
        Arrival {
            idx: 0,
            at,
            customer: self.customer,
            class: self.class_idx,
            session,
            hard: false,
            prompt,
            completion,
            service: Duration::from_millis(u64::from(service)),
        }
    }

    fn pick(&mut self, range: Range) -> u32 {
        range.pick(self.rng.next_u32())
    }
}
