//! A modelled endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kernel::hash;
use route::Pace;
use route::endpoint::Load;

use crate::prompt::{Prompt, Task};
use crate::scenario::{Machines, Scenario};

/// The models, smallest first, with the seconds of prefill per token.
pub(crate) const MODELS: [(&str, f64); 3] = [
    ("small", 0.002_7e-3),
    ("medium", 0.009e-3),
    ("large", 0.027e-3),
];
/// The waiting requests from which further ones are refused.
const MAX_WAITING: usize = 48;
/// The seconds between two events if hardly any request is running.
const DECODE_BASE: f64 = 0.02;
/// The seconds that each running request adds to this interval.
const DECODE_PER_REQUEST: f64 = 0.000_5;
/// The prefixes that an endpoint keeps. They take less than half of its memory.
const CACHED_PREFIXES: usize = 32;
/// Every endpoint whose number is a multiple of this is fast.
const FAST_INTERVAL: usize = 4;
const FAST_SPEED: f64 = 2.2;

/// An endpoint that either prefills one prompt or decodes one event of each running request.
/// Prompts go first while slots are free.
#[derive(Debug)]
pub(crate) struct Endpoint {
    nr: usize,
    slots: u32,
    machines: Machines,
    /// By priority, then by arrival.
    waiting: BTreeMap<(u8, u64), Prompt>,
    arrivals: u64,
    step: Step,
    /// The running requests with the number of events that each still sends.
    running: Vec<(Task, u32)>,
    /// The subject and model of the prefixes used last, newest last.
    cache: VecDeque<(u64, usize)>,
    /// The load after each change, newest last.
    history: VecDeque<(Duration, Load)>,
}

/// What an endpoint does.
#[derive(Debug)]
enum Step {
    Idle,
    Prefill(Prompt),
    Decode,
}

/// What a step brought about.
#[derive(Debug)]
pub(crate) enum Output {
    /// The first event, after a wait for other requests.
    Started(Task, Duration),
    Completed(Task),
}

/// Returns the work that endpoints can do, in seconds of one of usual speed per second.
pub(crate) fn capacity(endpoints: usize) -> f64 {
    (0..endpoints).map(speed).sum()
}

/// Returns the seconds of an event in a full batch.
pub(crate) fn decode_seconds(slots: u32) -> f64 {
    DECODE_BASE / f64::from(slots) + DECODE_PER_REQUEST
}

fn speed(nr: usize) -> f64 {
    if nr.is_multiple_of(FAST_INTERVAL) {
        FAST_SPEED
    } else {
        1.0
    }
}

impl Endpoint {
    pub(crate) fn new(nr: usize, scenario: &Scenario) -> Self {
        Self {
            nr,
            slots: scenario.customer.slots(),
            machines: scenario.machines,
            waiting: BTreeMap::new(),
            arrivals: 0,
            step: Step::Idle,
            running: Vec::new(),
            cache: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Returns whether it prefills a prompt, whether it could prefill another one at once, and the
    /// number of prompts that wait.
    pub(crate) fn backlog(&self) -> [u32; 3] {
        let is_prefilling = matches!(self.step, Step::Prefill(_));
        let is_free = !is_prefilling && self.waiting.is_empty() && self.has_slot();
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        [u32::from(is_prefilling), u32::from(is_free), waiting]
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Queues a request and returns whether it is accepted.
    pub(crate) fn receive(&mut self, prompt: Prompt) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.arrivals += 1;
        let place = (prompt.priority, self.arrivals);
        self.waiting.insert(place, prompt);
        true
    }

    /// Drops a request. A prefill that has begun is completed.
    pub(crate) fn cancel(&mut self, task: Task) {
        self.waiting.retain(|_, it| it.task != task);
        self.running.retain(|it| it.0 != task);
        if let Step::Prefill(it) = &mut self.step
            && it.task == task
        {
            it.is_cancelled = true;
        }
    }

    /// Begins the next step if none is in progress, and returns how long it takes.
    pub(crate) fn begin_step(&mut self, now: Duration) -> Option<Duration> {
        if !matches!(self.step, Step::Idle) {
            return None;
        }
        let next = self.has_slot().then(|| self.waiting.pop_first()).flatten();
        let seconds = if let Some((_, mut it)) = next {
            it.waited = now.saturating_sub(it.arrived);
            let seconds = self.prefill_seconds(&it);
            self.step = Step::Prefill(it);
            seconds
        } else if self.running.is_empty() {
            return None;
        } else {
            self.step = Step::Decode;
            let running = u32::try_from(self.running.len()).unwrap();
            DECODE_BASE + DECODE_PER_REQUEST * f64::from(running)
        };
        let pace = self.pace(now).unwrap_or(Pace::USUAL).factor();
        Some(Duration::from_secs_f64(seconds * pace / speed(self.nr)))
    }

    pub(crate) fn end_step(&mut self) -> Vec<Output> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => Vec::new(),
            Step::Prefill(it) => self.end_prefill(&it),
            Step::Decode => self.end_decode(),
        }
    }

    fn end_prefill(&mut self, it: &Prompt) -> Vec<Output> {
        if let Some((subject, _)) = it.prefix {
            let prefix = (subject, it.model);
            self.cache.retain(|it| *it != prefix);
            self.cache.push_back(prefix);
            if self.cache.len() > CACHED_PREFIXES {
                self.cache.pop_front();
            }
        }
        if it.is_cancelled {
            return Vec::new();
        }
        self.running.push((it.task, it.events - 1));
        vec![Output::Started(it.task, it.waited)]
    }

    fn end_decode(&mut self) -> Vec<Output> {
        for it in &mut self.running {
            it.1 -= 1;
        }
        let done = self.running.extract_if(.., |it| it.1 == 0);
        done.map(|it| Output::Completed(it.0)).collect()
    }

    /// Returns the seconds that the prefill takes at usual speed.
    pub(crate) fn prefill_seconds(&self, prompt: &Prompt) -> f64 {
        let cached = prompt
            .prefix
            .filter(|it| self.cache.contains(&(it.0, prompt.model)))
            .map_or(0, |it| it.1);
        let tokens = u32::try_from(prompt.tokens - cached).unwrap();
        f64::from(tokens) * MODELS[prompt.model].1
    }

    fn pace(&self, now: Duration) -> Option<Pace> {
        let percent = |tick: u128| 60 + u32::try_from(hash::of(&(self.nr, tick)) % 80).unwrap();
        match self.machines {
            Machines::Exclusive => None,
            Machines::Shared => Pace::from_percent(percent(now.as_millis() / 200)),
        }
    }

    /// Records the load after a change.
    pub(crate) fn record_load(&mut self, now: Duration) {
        let [prefilling, _, waiting] = self.backlog();
        let load = Load {
            running: u32::try_from(self.running.len()).unwrap() + prefilling,
            waiting,
            slots: self.slots,
            pace: None,
        };
        self.history.push_back((now, load));
    }

    /// Returns the load at an earlier time, no earlier than at the previous call.
    pub(crate) fn load_at(&mut self, at: Duration) -> Load {
        while self.history.get(1).is_some_and(|it| it.0 <= at) {
            self.history.pop_front();
        }
        let first = self.history.front().filter(|it| it.0 <= at);
        Load {
            slots: self.slots,
            pace: self.pace(at),
            ..first.map_or_else(Load::default, |it| it.1)
        }
    }
}
