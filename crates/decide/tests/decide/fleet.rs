//! Simulates endpoints and raters, for scripts with many requests.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use decide::action::{Action, Dispatch};
use decide::event::{Quality, Rating};
use decide::outcome::{Answer, Denial};
use decide::{Event, Outcome, key};
use kernel::AttemptId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::script::{Script, span};

/// The simulated behaviour of each version; the key `calls` stands for all services.
pub(crate) struct Fleet {
    random: Pcg64Mcg,
    behaviours: BTreeMap<String, Behaviour>,
    next_request: u64,
}

/// The simulated behaviour of a version.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    /// The probability that a response is good.
    good: f64,
    /// The probability of a failure.
    fail: f64,
    /// The probability that the endpoint refuses the request as overloaded.
    full: f64,
    /// The response time.
    time: Duration,
}

/// Requests at a fixed interval.
pub(crate) struct Load {
    number: u64,
    interval: Duration,
    words: Vec<String>,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(3),
            behaviours: BTreeMap::new(),
            next_request: 1000,
        }
    }

    /// `behave version [good=0.9] [fail=0] [full=0] [time=200ms]`
    pub(crate) fn behave(&mut self, words: &[&str]) {
        let option = |prefix: &str| words.iter().find_map(|it| it.strip_prefix(prefix));
        let number =
            |prefix, default: f64| option(prefix).map_or(default, |it| it.parse().unwrap());
        let behaviour = Behaviour {
            good: number("good=", 0.9),
            fail: number("fail=", 0.0),
            full: number("full=", 0.0),
            time: span(option("time=").unwrap_or("200ms")),
        };
        self.behaviours.insert(words[0].to_owned(), behaviour);
    }

    fn attempt(&mut self, version: &str) -> (Duration, Outcome, Quality) {
        let behaviour = self.behaviours[version];
        let mut draw_uniform = || self.random.random::<f64>();
        let [fail, full, good, draw] = [
            draw_uniform(),
            draw_uniform(),
            draw_uniform(),
            draw_uniform(),
        ];
        if full < behaviour.full {
            let denied = Outcome::Denied(Denial::Overloaded);
            return (Duration::from_millis(1), denied, Quality::Bad);
        }
        if fail < behaviour.fail {
            return (behaviour.time, Outcome::Failed, Quality::Bad);
        }
        let good = good < behaviour.good;
        // Good responses tend to high confidence, bad ones to low.
        let power = 1.0 / 2.5;
        let confidence = if good {
            draw.powf(power)
        } else {
            1.0 - (1.0 - draw).powf(power)
        };
        let outcome = if version == "calls" {
            Outcome::Served
        } else {
            Outcome::Answered(Answer {
                confidence,
                prompt_tokens: 100,
                completion_tokens: 50,
            })
        };
        let quality = if good { Quality::Good } else { Quality::Bad };
        (behaviour.time, outcome, quality)
    }
}

impl Load {
    /// `traffic 100 every=50ms chat customer profile …`
    pub(crate) fn parse(words: &[&str]) -> Self {
        let interval = words[1].strip_prefix("every=").unwrap();
        Self {
            number: words[0].parse().unwrap(),
            interval: span(interval),
            words: words[2..].iter().map(|it| (*it).to_owned()).collect(),
        }
    }
}

/// A scheduled event.
enum Scheduled {
    Arrive(u64),
    End(AttemptId, Outcome),
    Rate(Rating),
    Tick,
}

/// A simulation of requests, with the counts of its results.
struct Simulation<'a> {
    script: &'a mut Script,
    schedule: BTreeMap<(Duration, u64), Scheduled>,
    order: u64,
    qualities: BTreeMap<AttemptId, (String, Quality)>,
    counts: BTreeMap<String, u64>,
    text: String,
}

/// Sends the requests and returns the lines of steps, verdicts and last resorts,
/// followed by the counts of results.
pub(crate) fn traffic(script: &mut Script, load: &Load) -> String {
    let first = script.fleet.next_request;
    script.fleet.next_request += load.number;
    let start = script.now;
    let mut simulation = Simulation {
        script,
        schedule: BTreeMap::new(),
        order: 0,
        qualities: BTreeMap::new(),
        counts: BTreeMap::new(),
        text: String::new(),
    };
    let mut at = start;
    for number in first..first + load.number {
        simulation.schedule(at, Scheduled::Arrive(number));
        at += load.interval;
    }
    simulation.schedule(start, Scheduled::Tick);
    simulation.run(load, at + Duration::from_mins(2));
    let mut text = std::mem::take(&mut simulation.text);
    for (what, number) in &simulation.counts {
        writeln!(text, "{what}: {number}").unwrap();
    }
    text
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Duration, next: Scheduled) {
        self.order += 1;
        self.schedule.insert((at, self.order), next);
    }

    fn run(&mut self, load: &Load, end: Duration) {
        while let Some(((at, _), next)) = self.schedule.pop_first() {
            self.script.now = at;
            let event = match next {
                Scheduled::Arrive(number) => {
                    let number = number.to_string();
                    let mut words: Vec<&str> = load.words.iter().map(String::as_str).collect();
                    words.insert(1, &number);
                    self.script.arrival(&words)
                }
                Scheduled::End(attempt, outcome) => Event::Ended { attempt, outcome },
                Scheduled::Rate(rating) => Event::Rated(rating),
                Scheduled::Tick => {
                    if at < end {
                        let tick = self.script.decider.tuning().tick;
                        self.schedule(at + tick, Scheduled::Tick);
                    }
                    Event::Tick
                }
            };
            let mut actions = Vec::new();
            self.script.decider.handle(at, event, &mut actions);
            for action in actions {
                self.apply(&action);
            }
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Dispatch(it) => self.dispatch(it),
            Action::Deliver(it) => {
                let (version, quality) = self.qualities[&it.attempt].clone();
                self.count(&format!("answered by {version}"));
                if quality == Quality::Good && version != "calls" {
                    self.count("good");
                }
            }
            Action::Refuse { refusal, .. } => self.count(&format!("refused {:?}", refusal.reason)),
            Action::Sample {
                request,
                attempt,
                class,
                ..
            } => {
                let (version, quality) = self.qualities[attempt].clone();
                let rating = Rating {
                    request: *request,
                    version: version.as_str().into(),
                    class: *class,
                    quality,
                };
                let at = self.script.now + Duration::from_secs(1);
                self.schedule(at, Scheduled::Rate(rating));
            }
            Action::Step(_) | Action::Version { .. } | Action::LastResort { .. } => {
                let mut line = String::new();
                self.script.write(action, &mut line);
                // Drops a line equal to the previous one: steps are requested until they
                // are taken.
                if !self.text.ends_with(&line) {
                    self.text.push_str(&line);
                }
            }
            Action::Cancel { .. } | Action::Publish(_) | Action::Demand(_) => {}
        }
    }

    fn dispatch(&mut self, it: &Dispatch) {
        self.count("dispatched");
        let version = it.version.map(|it| self.version(it));
        let version = version.unwrap_or_else(|| "calls".to_owned());
        let (time, outcome, quality) = self.script.fleet.attempt(&version);
        self.qualities.insert(it.attempt, (version, quality));
        let at = self.script.now + time.min(it.timeout);
        let outcome = if time > it.timeout {
            Outcome::TimedOut
        } else {
            outcome
        };
        self.schedule(at, Scheduled::End(it.attempt, outcome));
    }

    fn version(&self, key: key::Version) -> String {
        self.script.policy.versions[key.index()].id.to_string()
    }

    fn count(&mut self, what: &str) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
    }
}
