//! Troubles drawn by a seed over real processes, then everything is healed and
//! each promise is set against the stand-ins' records.

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

/// How long the table may take to have every billing record.
const SETTLE: Duration = Duration::from_secs(30);
/// How long a drained host may take to end.
const DRAIN: Duration = Duration::from_secs(14);
/// The settings that differ from a script's: deaths settle within the run.
const EXTRA: &str = "[ledger]\nfence_after_ms = 1500\n";

/// What a soak found.
#[derive(Debug)]
pub struct Report {
    /// The seed that it was drawn by.
    pub seed: u64,
    /// Calls made.
    pub calls: usize,
    /// Calls that were answered in the end.
    pub answered: usize,
    /// Kills, freezes, outages and the like.
    pub troubles: usize,
    /// The broken promises, in a line each.
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

/// Draws a script by `seed`, runs it for `length` over hosts of the program
/// `binary`, heals everything and tells which promises were broken.
///
/// # Panics
/// When a host doesn't come up, or a stand-in doesn't answer.
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
    /// When a change was accepted.
    changes: Vec<(u64, State)>,
    /// The revision with which the changed version was read.
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

    /// Waits for a step's time; a step that took longer delays the next ones.
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
            // It is waited for: to end it now would cut what it still serves.
            self.world.ended(host, DRAIN).await;
        }
        self.world.start_host(host).await;
        self.addresses.set(host, self.world.host(host).callers());
    }

    /// An operator's change, repeated under its id at one host after the other.
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
        // Whether it was taken isn't known, so nothing is expected from here on.
        self.changes.push((now_ms(), State::Active));
    }

    /// Ends every trouble and waits until all hosts are ready.
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

    /// Reads the records once every answered call's bill is there, or can't be
    /// expected any more.
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
