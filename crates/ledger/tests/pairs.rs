//! Runs with two random faults, during which callers retry. Invariants are checked at the end.
//!
//! A failure names its seed; `LEDGER_SEEDS=17..18` runs that seed alone, and a longer range is a
//! soak test.

mod check;
mod fault;
mod job;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ledger::{End, Tuning};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::sim::{Call, Next, Reply, RunState, Scheduled, World, answered};
use fault::Fault;
use job::Job;

const SEEDS: std::ops::Range<u64> = 0..240;
const HOSTS: [(&str, &str); 4] = [
    ("a", "dar-1"),
    ("b", "dar-2"),
    ("c", "dar-3"),
    ("d", "dar-4"),
];
const JOBS: usize = 50;
/// Jobs and faults start within this time.
const START_WINDOW: Duration = Duration::from_secs(10);
/// End of the retries and the faults.
const FAULT_PERIOD: Duration = Duration::from_mins(1);
/// Time allowed for settling everything after the faults have ended.
const SETTLE_PERIOD: Duration = Duration::from_mins(3);
/// Time after which a caller stops waiting and retries.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_RETRIES: u32 = 6;

/// Steps of a call, as [`Scheduled::Step`] carries them.
const SEND: u32 = 0;
const REFUSE: u32 = 1;
const RESPOND: u32 = 2;
const FAIL: u32 = 3;
const GIVE_UP: u32 = 4;

#[test]
fn two_random_faults_violate_no_invariant() {
    let mut responses = 0;
    let mut lost = 0;
    for seed in seeds() {
        let mut run = Run::new(seed);
        run.run();
        let report = check::check(&run);
        assert!(
            report.violations.is_empty(),
            "seed {seed}, {:?}\n{}\n{}",
            run.faults,
            report.violations.join("\n"),
            run.world.trace
        );
        responses += report.responses;
        lost += report.lost;
    }
    // A record is lost if all hosts that hold it die. The conditions are stated in
    // docs/design/ledger.md; this prints the count.
    println!("{responses} responses, {lost} records lost with all their holders");
    assert!(responses > 1000, "too few calls got a response");
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("LEDGER_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("LEDGER_SEEDS=from..to");
    from.parse().unwrap()..to.parse().unwrap()
}

/// One simulation run with its callers and two faults.
struct Run {
    world: World,
    rng: Pcg64Mcg,
    faults: Vec<(Duration, Fault)>,
    jobs: Vec<Job>,
    /// The remaining steps of each permitted call, each with its delay.
    plans: BTreeMap<String, VecDeque<(Duration, u32)>>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::default();
        let tuning = draw_tuning(&mut rng);
        for (name, data_centre) in HOSTS {
            world.add(name, data_centre, tuning.clone());
        }
        let mut faults: Vec<_> = (0..2)
            .map(|_| {
                (
                    span(&mut rng, Duration::ZERO, START_WINDOW),
                    Fault::draw(&mut rng),
                )
            })
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        Self {
            world,
            rng,
            faults,
            jobs: Vec::new(),
            plans: BTreeMap::new(),
        }
    }

    fn run(&mut self) {
        for idx in 0..JOBS {
            let start = span(&mut self.rng, Duration::ZERO, START_WINDOW);
            self.jobs.push(Job::draw(&mut self.rng, idx));
            self.world.schedule(start, Scheduled::Plan(idx));
        }
        for (idx, (at, _)) in self.faults.iter().enumerate() {
            self.world.schedule(*at, Scheduled::Plan(JOBS + idx));
        }
        self.run_until(FAULT_PERIOD);
        fault::end_all(&mut self.world);
        self.run_until(FAULT_PERIOD + SETTLE_PERIOD);
    }

    fn run_until(&mut self, end: Duration) {
        loop {
            match self.world.next(end) {
                Next::Nothing => break,
                Next::Driver(Scheduled::Plan(idx)) if idx < JOBS => self.start(idx),
                Next::Driver(Scheduled::Plan(idx)) => self.toggle_fault(idx - JOBS),
                Next::Driver(Scheduled::Step(request, step)) => self.step(&request, step),
                Next::Driver(_) | Next::Done => {}
            }
            self.handle_results();
        }
        self.world.now = end;
    }

    fn toggle_fault(&mut self, idx: usize) {
        let fault = self.faults[idx].1.clone();
        match fault.duration() {
            None if idx < 2 => fault.begin(&mut self.world),
            Some(span) if idx < 2 => {
                fault.begin(&mut self.world);
                let end = JOBS + self.faults.len();
                self.faults.push((self.world.now + span, fault));
                self.world.schedule(span, Scheduled::Plan(end));
            }
            _ => fault.finish(&mut self.world),
        }
    }

    /// Sends a job's call, for the first time or as a retry.
    fn start(&mut self, idx: usize) {
        let job = &mut self.jobs[idx];
        if job.done || job.arrivals > MAX_RETRIES || self.world.now >= FAULT_PERIOD {
            return;
        }
        let hosts: Vec<usize> = (0..self.world.hosts.len())
            .filter(|it| !self.world.hosts[*it].is_gone())
            .filter(|it| self.world.hosts[*it].state == ledger::PeerState::Live)
            .collect();
        if job.arrivals == 0 {
            job.get_ticket(&mut self.rng, &self.world, &hosts);
        }
        let twice = job.arrivals == 0 && job.is_keyed() && self.rng.random_bool(0.2);
        for _ in 0..=u32::from(twice) {
            let host = hosts[self.rng.random_range(0..hosts.len())];
            let arrival = self.jobs[idx].next_arrival();
            let request = arrival.request.to_string();
            self.world
                .schedule(CALLER_TIMEOUT, Scheduled::Step(request, GIVE_UP));
            self.world.call(Call {
                arrival,
                host,
                relays: None,
                permitted: None,
                result: None,
            });
        }
    }

    /// Dispatches calls that were permitted, and retries jobs whose calls were refused or lost.
    fn handle_results(&mut self) {
        for request in std::mem::take(&mut self.world.permitted) {
            self.dispatch(&request);
        }
        for request in std::mem::take(&mut self.world.ended) {
            let call = &self.world.calls[&request];
            if call.relays.is_some() {
                continue;
            }
            let idx = job::index(&request);
            if matches!(call.result, Some((_, Reply::Response))) {
                self.jobs[idx].done = true;
            } else {
                self.schedule_retry(idx);
            }
        }
    }

    fn schedule_retry(&mut self, idx: usize) {
        if self.jobs[idx].is_keyed() {
            let after = span(
                &mut self.rng,
                Duration::from_millis(200),
                Duration::from_secs(2),
            );
            self.world.schedule(after, Scheduled::Plan(idx));
        }
    }

    /// Draws the steps of a permitted call.
    fn dispatch(&mut self, request: &str) {
        let millis = |rng: &mut Pcg64Mcg, from, to| {
            span(rng, Duration::from_millis(from), Duration::from_millis(to))
        };
        let mut plan = VecDeque::new();
        if self.rng.random_bool(0.15) {
            plan.push_back((millis(&mut self.rng, 0, 5), REFUSE));
        }
        let first = millis(&mut self.rng, 0, 5);
        match self.rng.random_range(0..20) {
            0 => plan.push_back((first, FAIL)),
            1 | 2 => {
                plan.push_back((first, SEND));
                plan.push_back((Duration::from_millis(500), FAIL));
            }
            3 => {
                plan.push_back((first, SEND));
                plan.push_back((millis(&mut self.rng, 4_000, 15_000), RESPOND));
            }
            _ => {
                plan.push_back((first, SEND));
                plan.push_back((millis(&mut self.rng, 2, 300), RESPOND));
            }
        }
        self.plans.insert(request.to_owned(), plan);
        self.schedule_next_step(request);
    }

    /// Schedules the next step of a permitted call.
    fn schedule_next_step(&mut self, request: &str) {
        let next = self.plans.get_mut(request).and_then(VecDeque::pop_front);
        if let Some((after, step)) = next {
            let scheduled = Scheduled::Step(request.to_owned(), step);
            self.world.schedule(after, scheduled);
        }
    }

    fn step(&mut self, request: &str, step: u32) {
        let call = &self.world.calls[request];
        match self.world.hosts[call.host].run_state {
            RunState::Exited | RunState::Killed => return,
            RunState::Frozen if step != GIVE_UP => {
                let retry = Scheduled::Step(request.to_owned(), step);
                return self.world.schedule(Duration::from_millis(200), retry);
            }
            _ => {}
        }
        match step {
            SEND | REFUSE if call.result.is_some() => {}
            SEND => self.world.send(request),
            REFUSE => self.world.refuse_attempt(request),
            RESPOND => self.world.finish(request, answered(request)),
            FAIL => self.world.finish(request, End::Unanswered),
            _ if call.result.is_none() => {
                if call.permitted.is_none() {
                    self.world.cancel(request);
                }
                self.schedule_retry(job::index(request));
            }
            _ => {}
        }
        if step != GIVE_UP {
            self.schedule_next_step(request);
        }
    }
}

/// Returns the defaults in half of the runs, and limits low enough to be reached in the others.
fn draw_tuning(rng: &mut Pcg64Mcg) -> Tuning {
    if rng.random_bool(0.5) {
        return Tuning::default();
    }
    Tuning {
        batch_records: rng.random_range(1..20),
        held_records: rng.random_range(4..100),
        held_copies: rng.random_range(4..100),
        copy_window: rng.random_range(1..4),
        max_keys: rng.random_range(8..100),
        key_retention: Duration::from_secs(rng.random_range(1..10)),
        max_outcome_bytes: rng.random_range(1..30),
        max_total_outcome_bytes: rng.random_range(20..200),
        max_waiters: rng.random_range(0..4),
        fence_after: Duration::from_secs(rng.random_range(1..30)),
        ..Tuning::default()
    }
}

fn span(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Duration {
    from + to.saturating_sub(from).mul_f64(rng.random::<f64>())
}
