//! One host before endpoints of unequal speed, in simulated time.

use std::sync::Arc;
use std::time::Duration;

use kernel::Incarnation;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::config::{Config, Limits, ResponseKind, Route};
use route::directory::{Absence, Endpoint};
use route::endpoint::{Entry, Load};
use route::{Call, Ending, InFlight, LoadPolicy, Pace, Router, Settings};

use crate::harness;

const STEP: Duration = Duration::from_millis(10);
/// The usual interval between the events of a stream in seconds.
const INTERVAL: f64 = 0.025;
/// The range of the random factor of a stream's interval. Batches are unequally full.
const NOISE: std::ops::Range<f64> = 0.7..1.4;
/// The events of a stream.
const EVENTS: std::ops::Range<u32> = 29..43;

/// The pace that an endpoint reports.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Report {
    /// None.
    Absent,
    /// That of its machine.
    True,
    /// Always this percentage.
    Constant(u32),
}

/// An endpoint as it is.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    /// The factor of the time that its work takes.
    pub(crate) factor: f64,
    pub(crate) report: Report,
    /// The times at which its machine becomes slow.
    pub(crate) slow_from: Vec<Duration>,
    pub(crate) incarnation: u64,
}

/// One host before endpoints that it sends streams to in turn, whatever it knows of them.
pub(crate) struct Fleet {
    pub(crate) router: Router,
    pub(crate) models: Vec<Model>,
    pub(crate) now: Duration,
    pub(crate) rng: Pcg32,
    running: Vec<Running>,
    next: usize,
}

struct Running {
    ends: Duration,
    events: u32,
    call: Call,
    in_flight: InFlight,
}

impl Model {
    /// How many times longer work takes while a machine is slow, and for how long it is.
    pub(crate) const SLOW: (f64, Duration) = (2.5, Duration::from_millis(600));

    pub(crate) fn new(factor: f64, report: Report) -> Self {
        Self {
            factor,
            report,
            slow_from: Vec::new(),
            incarnation: 1,
        }
    }

    /// Returns how many times longer work takes on its machine now.
    pub(crate) fn pace(&self, now: Duration) -> f64 {
        let is_slow = |it: &Duration| *it <= now && now < *it + Self::SLOW.1;
        if self.slow_from.iter().any(is_slow) {
            Self::SLOW.0
        } else {
            1.0
        }
    }

    fn reported(&self, now: Duration) -> Option<Pace> {
        match self.report {
            Report::Absent => None,
            Report::True if self.pace(now) > 1.0 => Pace::from_percent(250),
            Report::True => Some(Pace::USUAL),
            Report::Constant(percent) => Pace::from_percent(percent),
        }
    }

    /// Returns when work that usually takes `seconds` ends.
    fn end_of(&self, start: Duration, seconds: f64) -> Duration {
        const SLICE: Duration = Duration::from_millis(5);
        let (mut now, mut left) = (start, seconds);
        while left > 0.0 {
            left -= SLICE.as_secs_f64() / (self.factor * self.pace(now));
            now += SLICE;
        }
        now
    }
}

impl Fleet {
    pub(crate) fn new(policy: LoadPolicy, models: Vec<Model>) -> Self {
        let now = Duration::from_secs(100);
        let mut router = harness::router(None, 1);
        router.set_settings(Settings {
            load_policy: policy,
            ..router.settings().clone()
        });
        router.configure(Arc::new(stream_config(&router)));
        let mut fleet = Self {
            router,
            models,
            now,
            rng: Pcg32::seed_from_u64(1),
            running: Vec::new(),
            next: 0,
        };
        fleet.list();
        fleet
    }

    /// Reads the listing of endpoints.
    pub(crate) fn list(&mut self) {
        let entry = |(nr, it): (usize, &Model)| Entry {
            incarnation: Some(Incarnation(it.incarnation)),
            ..harness::entry(&format!("e-{nr}"), "v1", Duration::ZERO)
        };
        let entries = self.models.iter().enumerate().map(entry).collect();
        self.router.update_listing(self.now, entries, Absence::Gone);
    }

    /// Sends this many streams a second for this time.
    pub(crate) fn run(&mut self, per_second: u32, time: Duration) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.end_streams(self.now);
            due += f64::from(per_second) * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let nr = self.next % self.models.len();
                self.next += 1;
                self.send(nr);
            }
        }
    }

    /// Ends all streams in flight, without the start of others.
    pub(crate) fn finish(&mut self) {
        let last = self.running.iter().map(|it| it.ends).max();
        self.now = self.now.max(last.unwrap_or_default());
        self.end_streams(self.now);
    }

    /// Starts a stream at an endpoint.
    pub(crate) fn send(&mut self, nr: usize) {
        let now = self.now;
        let mut call = self.router.admit(now, harness::request("q")).unwrap();
        let mut placement = self.router.place(now, &mut call).unwrap();
        let service = "pool".into();
        let mut endpoints = self.router.directory().endpoints_of(&service);
        let is_chosen =
            |it: &Endpoint| it.takes_work() && it.entry.id.as_str() == format!("e-{nr}");
        placement.endpoint = endpoints.find(|(_, it)| is_chosen(it)).unwrap().0;
        drop(endpoints);
        let mut in_flight = self.router.begin_attempt(now, &mut call, &placement);
        let load = load(self.models[nr].reported(now));
        self.router.record_load(now, &mut in_flight, load);
        self.router.response_started(now, &call, &mut in_flight);
        let events = self.rng.random_range(EVENTS);
        let seconds = f64::from(events - 1) * INTERVAL * self.rng.random_range(NOISE);
        self.running.push(Running {
            ends: self.models[nr].end_of(now, seconds),
            events,
            call,
            in_flight,
        });
    }

    /// Receives a late load report of this pace in each stream in flight.
    pub(crate) fn report_late(&mut self, percent: u32) {
        for it in &mut self.running {
            let load = load(Pace::from_percent(percent));
            self.router.record_load(self.now, &mut it.in_flight, load);
        }
    }

    fn end_streams(&mut self, now: Duration) {
        let (mut ended, running): (Vec<_>, _) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it| it.ends <= now);
        self.running = running;
        ended.sort_by_key(|it| it.ends);
        for mut it in ended {
            it.in_flight.events(it.ends, it.events);
            self.router
                .end_attempt(now, &mut it.call, it.in_flight, Ending::Answered);
        }
    }

    /// Returns what the host knows of an endpoint's current process.
    pub(crate) fn slowness(&self, nr: usize, now: Duration) -> f64 {
        let service = "pool".into();
        let mut endpoints = self.router.directory().endpoints_of(&service);
        let is_it = |it: &Endpoint| it.takes_work() && it.entry.id.as_str() == format!("e-{nr}");
        endpoints.find(|(_, it)| is_it(it)).unwrap().1.slowness(now)
    }

    /// Returns the slowness of an endpoint without a fresh report.
    pub(crate) fn learned(&self, nr: usize) -> f64 {
        self.slowness(nr, self.now + Duration::from_millis(400))
    }
}

fn load(pace: Option<Pace>) -> Load {
    Load {
        running: 1,
        waiting: 0,
        slots: 10,
        pace,
    }
}

/// Returns the configuration of a router of the harness, with a model and streams on its route.
fn stream_config(router: &Router) -> Config {
    let old = router.config().unwrap();
    let service = old.service(&"pool".into()).unwrap().as_ref().clone();
    let route = Route {
        response: ResponseKind::Stream {
            pause: Duration::from_millis(800),
        },
        models: vec!["small".into()],
        ..old.route("shop", "/").unwrap().as_ref().clone()
    };
    Config::new(2, Limits::default(), vec![service], Vec::new(), vec![route])
}
