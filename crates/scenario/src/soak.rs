//! Soak test: injects random faults, drawn from a seed, into real processes, then ends all faults
//! and checks the responses against the stand-ins' records.

mod caller;
mod check;
mod steps;

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::path::Path;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use futures::future;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::defaults::Engines;
use crate::environment::Environment;
use crate::records;
use crate::wait::wait_until;
use caller::{Addresses, CallHistory, now_ms};
use check::Records;
use steps::{Action, HOSTS, State, Step};

/// Timeout for the billing records to reach the table.
const BILLING_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for a drained host to exit.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(14);
/// Additional settings of the hosts: a short time until a missing host is fenced, so that requests
/// of killed hosts are settled during the run.
const EXTRA_SETTINGS: &str = "[ledger]\nfence_after_ms = 1500\n";

/// The result of a soak.
#[derive(Debug)]
pub struct Report {
    /// The seed of the soak.
    pub seed: u64,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that succeeded, perhaps after retries.
    pub answered: usize,
    /// Number of steps that are not calls: faults, their ends, and operators' changes.
    pub other_steps: usize,
    /// The violations, one line each.
    pub violations: Vec<String>,
    steps_text: String,
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            calls,
            answered,
            other_steps,
            violations,
            steps_text,
        } = self;
        writeln!(
            f,
            "seed {seed}: {calls} calls, {answered} answered, {other_steps} other steps, \
             {} violations",
            violations.len()
        )?;
        if violations.is_empty() {
            return Ok(());
        }
        for violation in violations {
            writeln!(f, "{violation}")?;
        }
        write!(f, "\nThe steps, with the time of each:\n{steps_text}")
    }
}

/// Draws steps from `seed`, runs them for `length` on hosts that run `binary`, ends all faults and
/// reports the violations.
///
/// # Panics
/// Panics when a host doesn't start or a stand-in doesn't respond.
#[must_use]
pub fn soak(seed: u64, length: Duration, binary: &Path) -> Report {
    task::block_on(run(seed, length, binary))
}

async fn run(seed: u64, length: Duration, binary: &Path) -> Report {
    let steps = steps::draw(seed, length);
    let step_lines: Vec<_> = steps.iter().map(Step::to_string).collect();
    let mut soak = Soak::start(binary).await;
    for step in &steps {
        soak.wait(step.at).await;
        soak.perform(&step.action).await;
    }
    soak.end_faults().await;
    let histories = future::join_all(std::mem::take(&mut soak.calls)).await;
    let end = now_ms();
    let records = soak.records(&histories).await;
    let spans = check::spans(&soak.changes, &soak.thaws, end);
    Report {
        seed,
        calls: histories.len(),
        answered: histories.iter().filter(|it| it.has_succeeded()).count(),
        other_steps: steps.len() - histories.len(),
        violations: check::violations(&histories, &records, &spans),
        steps_text: step_lines.join("\n"),
    }
}

struct Soak {
    env: Environment,
    began: Instant,
    addresses: Addresses,
    calls: Vec<JoinHandle<CallHistory>>,
    /// The time, in milliseconds since the Unix epoch, and the new state of each change.
    changes: Vec<(u64, State)>,
    /// The revision of the last accepted change of version `big@2`, on which the next one is based.
    /// The default configuration sets `big@2` at revision 5.
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
        let mut env = Environment::start(binary, &engines, EXTRA_SETTINGS).await;
        for host in HOSTS {
            env.start_host(host).await;
        }
        env.apply_default_configuration(&HOSTS).await;
        let addresses = Addresses::default();
        for host in HOSTS {
            addresses.set(host, env.host(host).callers_address());
        }
        Self {
            env,
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

    async fn perform(&mut self, action: &Action) {
        match action {
            Action::Call(spec) => {
                let client = self.env.client.clone();
                let call = caller::call(client, self.addresses.clone(), spec.clone());
                self.calls.push(task::spawn(call));
            }
            Action::Kill(host) => self.env.kill(host),
            Action::Freeze(host) => self.env.signal(host, Signal::STOP),
            Action::Thaw(host) => self.thaw(host),
            Action::Drain(host) => {
                self.env.signal(host, Signal::TERM);
                self.drained = Some(host);
            }
            Action::Start(host) => self.replace(host).await,
            Action::Fault { at, json } => {
                let faults = serde_json::from_str(json).unwrap_or_default();
                self.env.set_faults(at, &faults).await;
            }
            Action::Change(state) => self.change(*state).await,
        }
    }

    fn thaw(&mut self, host: &str) {
        self.env.signal(host, Signal::CONT);
        self.thaws.push(now_ms());
    }

    async fn replace(&mut self, host: &'static str) {
        if self.drained.take().is_some() {
            // Waits for its exit: killing it now would cut the requests that it still serves.
            self.env.exit_status(host, DRAIN_TIMEOUT).await;
        }
        self.env.start_host(host).await;
        self.addresses
            .set(host, self.env.host(host).callers_address());
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
            let put = self.env.put(host, target, self.read_at, &change, &value);
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
        // No host accepted the change, but it may have taken effect, so the check expects no
        // withdrawal.
        self.changes.push((now_ms(), State::Active));
    }

    /// Ends all faults and waits until all hosts are ready.
    async fn end_faults(&mut self) {
        let none = json!({"outage": false, "delay_ms": 0, "lose_answers": 0});
        self.env.set_faults("table", &none).await;
        for engine in ["engine-1", "engine-2"] {
            let none =
                json!({"cut": 0.0, "duplicate": 0.0, "errors": 0.0, "refuse": null, "delay_ms": 0});
            self.env.set_faults(engine, &none).await;
        }
        for seats in ["seats-1", "seats-2"] {
            let none = json!({"lose_answers": 0, "refuse": null, "delay_ms": 0});
            self.env.set_faults(seats, &none).await;
        }
        for host in HOSTS {
            self.thaw(host);
            let exited = self.env.exit_status(host, Duration::ZERO).await.is_some();
            if exited || self.drained == Some(host) {
                self.replace(host).await;
            }
        }
        for host in HOSTS {
            self.env.await_ready(host).await;
        }
    }

    /// Reads the stand-ins' records after waiting, up to a timeout, for the billing record of every
    /// call that succeeded.
    async fn records(&self, histories: &[CallHistory]) -> Records {
        let env = &self.env;
        let answered = || histories.iter().filter(|it| it.has_succeeded());
        wait_until(BILLING_TIMEOUT, || async move {
            let bills = records::billing_records_by_key(env).await;
            answered()
                .all(|it| bills.contains_key(&it.spec.key))
                .then_some(())
        })
        .await;
        let execution_list = records::all_executions(env).await;
        let start_ms = |it: &Value| it["started_ms"].as_u64().unwrap_or_default();
        let mut stand_in_records = Records {
            executions: BTreeMap::new(),
            bills: records::billing_records_by_key(env).await,
            withdrawn_version_starts: Vec::new(),
        };
        for it in &execution_list {
            let call = it["call"].as_str().unwrap_or_default().to_owned();
            stand_in_records
                .executions
                .entry(call)
                .or_default()
                .push(start_ms(it));
            if it["version"] == "big@2" {
                stand_in_records.withdrawn_version_starts.push(start_ms(it));
            }
        }
        stand_in_records
    }
}
