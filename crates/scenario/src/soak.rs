//! Soak test: injects random faults, drawn from a seed, into real processes, then ends all faults
//! and checks the responses against the stand-ins' records.

mod caller;
mod check;
mod plan;

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::path::Path;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use futures::future;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::defaults::Engines;
use crate::limit::until;
use crate::records;
use crate::world::World;
use caller::{Addresses, Story, now_ms};
use check::Records;
use plan::{Act, HOSTS, State, Step};

/// Timeout for the billing records to reach the table.
const SETTLE: Duration = Duration::from_secs(30);
/// Timeout for a drained host to exit.
const DRAIN: Duration = Duration::from_secs(14);
/// Additional settings of the hosts: a short fence, so that requests of killed hosts are settled
/// during the run.
const EXTRA: &str = "[ledger]\nfence_after_ms = 1500\n";

/// The result of a soak.
#[derive(Debug)]
pub struct Report {
    /// The seed of the soak.
    pub seed: u64,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that got a response, perhaps after retries.
    pub answered: usize,
    /// Number of steps that are not calls: kills, freezes, faults, changes and their ends.
    pub troubles: usize,
    /// The violations, one line each.
    pub faults: Vec<String>,
    script: String,
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            calls,
            answered,
            troubles,
            faults,
            script,
        } = self;
        writeln!(
            f,
            "seed {seed}: {calls} calls, {answered} answered, {troubles} troubles, {} broken promises",
            faults.len()
        )?;
        if faults.is_empty() {
            return Ok(());
        }
        for fault in faults {
            writeln!(f, "{fault}")?;
        }
        write!(f, "\nThe script, with the time of each step:\n{script}")
    }
}

/// Draws a script from `seed`, runs it for `length` on hosts that run `binary`, ends all faults
/// and reports the violations.
///
/// # Panics
/// Panics when a host doesn't start or a stand-in doesn't respond.
#[must_use]
pub fn soak(seed: u64, length: Duration, binary: &Path) -> Report {
    task::block_on(run(seed, length, binary))
}

async fn run(seed: u64, length: Duration, binary: &Path) -> Report {
    let steps = plan::draw(seed, length);
    let script: Vec<_> = steps.iter().map(Step::to_string).collect();
    let mut soak = Soak::start(binary).await;
    for step in &steps {
        soak.wait(step.at).await;
        soak.act(&step.act).await;
    }
    soak.heal().await;
    let stories = future::join_all(std::mem::take(&mut soak.calls)).await;
    let end = now_ms();
    let records = soak.records(&stories).await;
    let spans = check::spans(&soak.changes, &soak.thaws, end);
    Report {
        seed,
        calls: stories.len(),
        answered: stories.iter().filter(|it| it.is_answered()).count(),
        troubles: steps.len() - stories.len(),
        faults: check::faults(&stories, &records, &spans),
        script: script.join("\n"),
    }
}

struct Soak {
    world: World,
    began: Instant,
    addresses: Addresses,
    calls: Vec<JoinHandle<Story>>,
    /// The time, in milliseconds since the Unix epoch, and the new state of each change.
    changes: Vec<(u64, State)>,
    /// The revision that the next change is based on.
    read_at: u64,
    thaws: Vec<u64>,
    drained: Option<&'static str>,
}

impl Soak {
    async fn start(binary: &Path) -> Self {
        let engines = Engines {
            count: 2,
            fences: true,
            load_ms: 0,
        };
        let mut world = World::start(binary, &engines, EXTRA).await;
        for host in HOSTS {
            world.start_host(host).await;
        }
        world.configure_first(&HOSTS).await;
        let addresses = Addresses::default();
        for host in HOSTS {
            addresses.set(host, world.host(host).callers());
        }
        Self {
            world,
            began: Instant::now(),
            addresses,
            calls: Vec::new(),
            changes: Vec::new(),
            read_at: 5,
            thaws: Vec::new(),
            drained: None,
        }
    }

    /// Waits until the time of a step. Returns at once when an earlier step took longer.
    async fn wait(&self, at: Duration) {
        task::sleep(at.saturating_sub(self.began.elapsed())).await;
    }

    async fn act(&mut self, act: &Act) {
        match act {
            Act::Call(job) => {
                let client = self.world.client.clone();
                let call = caller::call(client, self.addresses.clone(), job.clone());
                self.calls.push(task::spawn(call));
            }
            Act::Kill(host) => self.world.kill(host),
            Act::Freeze(host) => self.world.signal(host, Signal::STOP),
            Act::Thaw(host) => self.thaw(host),
            Act::Drain(host) => {
                self.world.signal(host, Signal::TERM);
                self.drained = Some(host);
            }
            Act::Start(host) => self.replace(host).await,
            Act::Fault { at, json } => {
                let faults = serde_json::from_str(json).unwrap_or_default();
                self.world.fault(at, &faults).await;
            }
            Act::Change(state) => self.change(*state).await,
        }
    }

    fn thaw(&mut self, host: &str) {
        self.world.signal(host, Signal::CONT);
        self.thaws.push(now_ms());
    }

    async fn replace(&mut self, host: &'static str) {
        if self.drained.take().is_some() {
            // Waits for its exit: killing it now would cut the requests that it still serves.
            self.world.ended(host, DRAIN).await;
        }
        self.world.start_host(host).await;
        self.addresses.set(host, self.world.host(host).callers());
    }

    /// Makes an operator's change, and retries it under the same id at the next host on failure.
    async fn change(&mut self, state: State) {
        let name = match state {
            State::Active => "active",
            State::Withdrawn => "withdrawn",
        };
        let value = json!({
            "state": name,
            "prompt_microcents_per_million": 1_000_000,
            "completion_microcents_per_million": 1_000_000,
        });
        let change = format!("change-{}", self.changes.len());
        for host in HOSTS {
            let sent = now_ms();
            let target = "/operator/v1/versions/big@2";
            let put = self.world.put(host, target, self.read_at, &change, &value);
            let line = put.await;
            let revision = line
                .strip_prefix("accepted revision=")
                .and_then(|it| it.split(' ').next()?.parse().ok());
            if let Some(revision) = revision {
                self.read_at = revision;
                let at = match state {
                    State::Active => sent,
                    State::Withdrawn => now_ms(),
                };
                self.changes.push((at, state));
                return;
            }
        }
        // It isn't known whether the change was accepted, so the check expects no withdrawal.
        self.changes.push((now_ms(), State::Active));
    }

    /// Ends all faults and waits until all hosts are ready.
    async fn heal(&mut self) {
        let none = json!({"outage": false, "delay_ms": 0, "lose_answers": 0});
        self.world.fault("table", &none).await;
        for engine in ["engine-1", "engine-2"] {
            let none =
                json!({"cut": 0.0, "duplicate": 0.0, "errors": 0.0, "refuse": null, "delay_ms": 0});
            self.world.fault(engine, &none).await;
        }
        for seats in ["seats-1", "seats-2"] {
            let none = json!({"lose_answers": 0, "refuse": null, "delay_ms": 0});
            self.world.fault(seats, &none).await;
        }
        for host in HOSTS {
            self.thaw(host);
            let ended = self.world.ended(host, Duration::ZERO).await.is_some();
            if ended || self.drained == Some(host) {
                self.replace(host).await;
            }
        }
        for host in HOSTS {
            self.world.await_ready(host).await;
        }
    }

    /// Reads the stand-ins' records after waiting, up to a timeout, for the billing record of every
    /// call that got a response.
    async fn records(&self, stories: &[Story]) -> Records {
        let world = &self.world;
        let answered = || stories.iter().filter(|it| it.is_answered());
        until(SETTLE, || async move {
            let bills = records::billed(world).await;
            answered()
                .all(|it| bills.contains_key(&it.job.key))
                .then_some(())
        })
        .await;
        let runs = records::runs(world).await;
        let started = |it: &Value| it["started_ms"].as_u64().unwrap_or_default();
        let mut found = Records {
            executions: BTreeMap::new(),
            bills: records::billed(world).await,
            withdrawn_version: Vec::new(),
        };
        for it in &runs {
            let call = it["call"].as_str().unwrap_or_default().to_owned();
            found.executions.entry(call).or_default().push(started(it));
            if it["version"] == "big@2" {
                found.withdrawn_version.push(started(it));
            }
        }
        found
    }
}
