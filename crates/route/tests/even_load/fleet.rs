//! A fleet of routers before modelled endpoints, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use route::endpoint::Load;
use route::{Ending, Next, Placement, Router};

use crate::endpoint::{Endpoint, MODELS, Output};
use crate::exchange::{Attempt, Exchange, RESPONSE_START_FRACTION};
use crate::hosts;
use crate::prompt::{Prompt, Task};
use crate::request::Request;
use crate::scenario::Scenario;
use crate::tally::Tally;

/// The time of a message between a host and an endpoint.
const NETWORK_DELAY: Duration = Duration::from_millis(2);

/// A fleet of routers before modelled endpoints.
pub(crate) struct Fleet {
    scenario: Scenario,
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    exchanges: Vec<Exchange>,
    /// By time, then by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    now: Duration,
    /// The endpoints that prefill, those that could prefill another prompt, and waiting prompts.
    backlog: [u32; 3],
    tally: Tally,
}

/// What happens at a time.
#[derive(Debug)]
enum Event {
    Arrival(usize),
    Prompt(usize, Prompt),
    Cancellation(usize, Task),
    StepEnd(usize),
    Start(Task, Load, Duration),
    Refusal(Task, Load),
    End(Task),
    Timeout(Task),
}

impl Fleet {
    /// Plays a scenario until all requests have ended.
    pub(crate) fn run(scenario: Scenario) -> Tally {
        let mut fleet = Self::new(scenario);
        while let Some(((at, _), event)) = fleet.events.pop_first() {
            let [prefilling, free, waiting] = fleet.backlog;
            fleet.tally.advance(at, prefilling, free, waiting);
            fleet.now = at;
            fleet.handle(&event);
        }
        for it in &fleet.exchanges {
            fleet.tally.record(it);
        }
        fleet.tally
    }

    fn new(scenario: Scenario) -> Self {
        let endpoint = |nr| Endpoint::new(nr, &scenario);
        let requests = Request::traffic(&scenario);
        let mut fleet = Self {
            scenario,
            routers: hosts::routers(&scenario),
            endpoints: (0..scenario.endpoints).map(endpoint).collect(),
            exchanges: requests.into_iter().map(Exchange::new).collect(),
            events: BTreeMap::new(),
            scheduled: 0,
            now: Duration::ZERO,
            backlog: [0, u32::try_from(scenario.endpoints).unwrap(), 0],
            tally: Tally::new(scenario),
        };
        for nr in 0..fleet.exchanges.len() {
            fleet.schedule(fleet.exchanges[nr].request.arrived, Event::Arrival(nr));
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + delay, self.scheduled), event);
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Arrival(nr) => self.admit(nr),
            Event::Prompt(to, prompt) => self.receive(to, prompt),
            Event::Cancellation(to, task) => self.change_endpoint(to, |it| it.cancel(task)),
            Event::StepEnd(nr) => self.end_step(nr),
            Event::Start(task, load, waited) => self.start_response(task, load, waited),
            Event::Refusal(task, load) => self.refuse(task, load),
            Event::End(task) => self.end_response(task),
            Event::Timeout(task) => self.time_out(task),
        }
    }

    fn admit(&mut self, nr: usize) {
        let exchange = &mut self.exchanges[nr];
        let id = format!("q{nr}");
        let router = &mut self.routers[exchange.request.host];
        let call = router.admit(self.now, exchange.request.incoming(&id));
        // A denied request counts as failed.
        exchange.call = call.ok();
        self.place(nr);
    }

    /// Sends the next attempt of a request.
    fn place(&mut self, nr: usize) {
        let exchange = &mut self.exchanges[nr];
        let Some(call) = &mut exchange.call else {
            return;
        };
        let router = &mut self.routers[exchange.request.host];
        let Some(placement) = router.place(self.now, call) else {
            self.tally.unplaced += 1;
            return;
        };
        let in_flight = router.begin_attempt(self.now, call, &placement);
        // The endpoints state no rates, are warm and don't leave.
        let _permit = router.permit(self.now, &in_flight).unwrap();
        exchange.sent += 1;
        exchange.attempt = Some(Attempt {
            in_flight,
            endpoint: placement.id.as_str()[1..].parse().unwrap(),
            number: exchange.sent,
            sent_at: self.now,
            has_started: false,
        });
        self.send(nr, &placement);
    }

    fn send(&mut self, nr: usize, placement: &Placement) {
        let exchange = &self.exchanges[nr];
        let (Some(call), Some(attempt)) = (&exchange.call, &exchange.attempt) else {
            return;
        };
        let task = Task {
            request: nr,
            attempt: attempt.number,
        };
        let to = attempt.endpoint;
        let name = placement.model.as_ref().unwrap().as_str();
        let model = MODELS.iter().position(|it| it.0 == name);
        let arrival = self.now + NETWORK_DELAY;
        let prompt = exchange.prompt(task, model.unwrap(), arrival);
        let mut timeout = call.time_left(self.now);
        if call.attempts() < call.route.attempts && !call.is_retry_denied() {
            let router = &self.routers[exchange.request.host];
            timeout = timeout.min(router.response_timeout(call, RESPONSE_START_FRACTION));
        }
        self.tally
            .record_work(to, self.endpoints[to].prefill_seconds(&prompt));
        self.schedule(NETWORK_DELAY, Event::Prompt(to, prompt));
        self.schedule(timeout, Event::Timeout(task));
    }

    fn receive(&mut self, to: usize, prompt: Prompt) {
        if !self.change_endpoint(to, |it| it.receive(prompt)) {
            self.tally.refused += 1;
            let load = self.load(to);
            self.schedule(NETWORK_DELAY, Event::Refusal(prompt.task, load));
        }
    }

    /// Returns the load that an endpoint reports.
    fn load(&mut self, endpoint: usize) -> Load {
        let at = self.now.saturating_sub(self.scenario.report_age);
        self.endpoints[endpoint].load_at(at)
    }

    /// Changes an endpoint's state, and begins its next step if it has none.
    fn change_endpoint<R>(&mut self, nr: usize, change: impl FnOnce(&mut Endpoint) -> R) -> R {
        let it = &mut self.endpoints[nr];
        let before = it.backlog();
        let result = change(it);
        let step = it.begin_step(self.now);
        it.record_load(self.now);
        let after = it.backlog();
        for (idx, sum) in self.backlog.iter_mut().enumerate() {
            *sum = *sum + after[idx] - before[idx];
        }
        if let Some(took) = step {
            self.schedule(took, Event::StepEnd(nr));
        }
        result
    }

    fn end_step(&mut self, nr: usize) {
        for output in self.change_endpoint(nr, Endpoint::end_step) {
            let event = match output {
                Output::Started(task, waited) => Event::Start(task, self.load(nr), waited),
                Output::Completed(task) => Event::End(task),
            };
            self.schedule(NETWORK_DELAY, event);
        }
    }

    /// Passes on the first event of a response, or discards it to ask a larger model.
    fn start_response(&mut self, task: Task, load: Load, waited: Duration) {
        let exchange = &mut self.exchanges[task.request];
        if !exchange.awaits(task) {
            return;
        }
        let (Some(call), Some(attempt)) = (&mut exchange.call, &mut exchange.attempt) else {
            return;
        };
        let router = &mut self.routers[exchange.request.host];
        attempt.has_started = true;
        exchange.waited += waited;
        router.record_load(self.now, &mut attempt.in_flight, load);
        router.response_started(self.now, call, &mut attempt.in_flight);
        let confidence = Some(exchange.request.confidence);
        if router.try_escalate(self.now, call, confidence) {
            self.cancel(task);
            self.end_attempt(task.request, Ending::LowConfidence);
        } else {
            call.start_stream();
            exchange.latency = Some(self.now.saturating_sub(exchange.request.arrived));
        }
    }

    fn refuse(&mut self, task: Task, load: Load) {
        let exchange = &mut self.exchanges[task.request];
        if !exchange.awaits(task) {
            return;
        }
        if let Some(attempt) = &mut exchange.attempt {
            let router = &mut self.routers[exchange.request.host];
            router.record_load(self.now, &mut attempt.in_flight, load);
        }
        self.end_attempt(task.request, Ending::Refused);
    }

    fn end_response(&mut self, task: Task) {
        let attempt = self.exchanges[task.request].attempt.as_ref();
        if attempt.is_some_and(|it| it.number == task.attempt) {
            self.end_attempt(task.request, Ending::Answered);
        }
    }

    /// Abandons a silent endpoint as `crates/forward/src/attempt.rs` does.
    fn time_out(&mut self, task: Task) {
        let exchange = &mut self.exchanges[task.request];
        if !exchange.awaits(task) {
            return;
        }
        let (Some(call), Some(attempt)) = (&mut exchange.call, &exchange.attempt) else {
            return;
        };
        let router = &mut self.routers[exchange.request.host];
        let left = call.time_left(self.now);
        if left.is_zero() || router.reserve_retry(self.now, call, Ending::TimedOut) {
            exchange.waited += self.now.saturating_sub(attempt.sent_at);
            exchange.abandoned += 1;
            self.cancel(task);
            self.end_attempt(task.request, Ending::TimedOut);
        } else {
            call.deny_retry();
            self.schedule(left, Event::Timeout(task));
        }
    }

    fn cancel(&mut self, task: Task) {
        if let Some(attempt) = &self.exchanges[task.request].attempt {
            self.schedule(NETWORK_DELAY, Event::Cancellation(attempt.endpoint, task));
        }
    }

    fn end_attempt(&mut self, nr: usize, ending: Ending) {
        let exchange = &mut self.exchanges[nr];
        let (Some(call), Some(attempt)) = (&mut exchange.call, exchange.attempt.take()) else {
            return;
        };
        let router = &mut self.routers[exchange.request.host];
        let next = router.end_attempt(self.now, call, attempt.in_flight, ending);
        if ending != Ending::Answered && next == Next::Again {
            self.place(nr);
        }
    }
}
