//! Execution of the commands of a script.

mod counts;
mod misuse;
mod rollout;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use async_std::task::{self, JoinHandle};
use datadriven::TestCase;
use futures::future;
use rustix::process::Signal;
use serde_json::Value;

use crate::call::{Call, Outcome};
use crate::command::{ArgumentMap, Arguments, parse_line};
use crate::defaults::{self, CUSTOMER, Engines, KEY_PREFIX};
use crate::environment::Environment;
use crate::load::Load;
use crate::records;
use crate::wait::wait_until;

/// Runs the commands of a script.
pub struct ScriptRunner {
    binary: PathBuf,
    env: Option<Environment>,
    pending_calls: BTreeMap<String, JoinHandle<Outcome>>,
    load: Option<Load>,
    tickets: BTreeMap<String, String>,
    sessions: BTreeMap<String, String>,
}

impl ScriptRunner {
    /// Creates a runner without processes; `binary` is the program of the entry hosts.
    #[must_use]
    pub fn new(binary: &Path) -> Self {
        Self {
            binary: binary.to_owned(),
            env: None,
            pending_calls: BTreeMap::new(),
            load: None,
            tickets: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }

    /// Runs a command and returns its output, to be compared with the golden text.
    ///
    /// # Panics
    /// Panics when the script is invalid or a host doesn't start.
    pub fn run(&mut self, case: &TestCase) -> String {
        let mut text = task::block_on(self.dispatch(case));
        text.push('\n');
        text
    }

    async fn dispatch(&mut self, case: &TestCase) -> String {
        let args = Arguments::new(&case.args);
        match case.directive.as_str() {
            "start" => self.start(&args, &case.input).await,
            "start-host" => self.start_host(&args).await,
            "kill" => self.kill(&args),
            "freeze" => self.signal(&args, Signal::STOP),
            "thaw" => self.signal(&args, Signal::CONT),
            "drain" => self.signal(&args, Signal::TERM),
            "ended" => self.ended(&args).await,
            "ready" => self.ready(&args).await,
            "fault" => self.fault(&args, &case.input).await,
            "put" => self.put(&args, &case.input).await,
            "in-force" => self.in_force(&args).await,
            "ticket" => self.ticket(&args).await,
            "hand-out" => self.hand_out(&args).await,
            "call" => self.call(&args).await,
            "together" => self.together(&case.input).await,
            "calls" => self.calls(&args).await,
            "begin-load" => self.begin_load(&case.args),
            "end-load" => self.end_load().await,
            "cut" => self.cut(&args),
            "executions-at" => self.executions_at(&args).await,
            "begin" => self.begin(&args),
            "end" => self.end(&args).await,
            "executions" => self.executions(&args).await,
            "of-version" => self.of_version(&args).await,
            "bills" => self.bills(&args).await,
            "refusals-at" => self.refusals_at(&args).await,
            "put-together" => self.put_together(&case.input).await,
            "list" => self.list(&case.input).await,
            "stranger" => self.stranger(&args).await,
            "operate" => self.operate(&args).await,
            "raw" => self.raw(&args, &case.input).await,
            "metric" => self.metric(&args).await,
            "lease" => self.lease(&args).await,
            "orders" => self.orders(&args).await,
            "history" => self.history(&args).await,
            other => panic!("unknown command {other}; docs/scripts.md lists the commands"),
        }
    }

    async fn start(&mut self, args: &Arguments<'_>, extra_settings: &str) -> String {
        let engines = Engines {
            count: args.parsed("engines", 3),
            fences: args.parsed("fences", true),
            load_ms: args.parsed("load_ms", 0),
        };
        let mut env = Environment::start(&self.binary, &engines, extra_settings).await;
        let hosts = args.values("hosts");
        for host in &hosts {
            env.start_host(host).await;
        }
        env.apply_default_configuration(&hosts).await;
        let revision = env.revision(hosts[0]).await;
        self.env = Some(env);
        format!("ready at revision {}", revision.unwrap_or_default())
    }

    async fn start_host(&mut self, args: &Arguments<'_>) -> String {
        let host = args.required("host");
        let env = self.env_mut();
        env.start_host(host).await;
        if args.has("unready") {
            return "started".to_owned();
        }
        env.await_ready(host).await;
        "ready".to_owned()
    }

    fn kill(&mut self, args: &Arguments<'_>) -> String {
        self.env_mut().kill(args.required("host"));
        "killed".to_owned()
    }

    fn signal(&mut self, args: &Arguments<'_>, signal: Signal) -> String {
        self.env_mut().signal(args.required("host"), signal);
        "sent".to_owned()
    }

    async fn ended(&mut self, args: &Arguments<'_>) -> String {
        let status = self
            .env_mut()
            .exit_status(args.required("host"), args.timeout())
            .await;
        match status.map(|it| it.code()) {
            Some(Some(code)) => format!("ended with exit code {code}"),
            Some(None) => "ended by a signal".to_owned(),
            None => "still running".to_owned(),
        }
    }

    async fn ready(&mut self, args: &Arguments<'_>) -> String {
        let ready = self.env().is_ready(args.required("host"), args.timeout());
        if ready.await { "ready" } else { "not ready" }.to_owned()
    }

    async fn fault(&mut self, args: &Arguments<'_>, input: &str) -> String {
        let faults = read_json(input);
        for stand_in in args.values("at") {
            self.env().set_faults(stand_in, &faults).await;
        }
        "switched".to_owned()
    }

    async fn put(&mut self, args: &Arguments<'_>, input: &str) -> String {
        let target = format!(
            "/operator/v1/{}/{}",
            args.required("kind"),
            args.joined("name")
        );
        let read_at = args.parsed("read_at", 0);
        let (host, change) = (args.required("host"), args.required("change"));
        let value = defaults::with_key(read_json(input));
        self.env().put(host, &target, read_at, change, &value).await
    }

    async fn in_force(&mut self, args: &Arguments<'_>) -> String {
        let revision = args.parsed("revision", 0);
        let hosts = args.values("hosts");
        let lagging_hosts = self
            .env()
            .lagging_hosts(&hosts, revision, args.timeout())
            .await;
        match lagging_hosts.as_slice() {
            [] => format!("in force on {}", hosts.join(" ")),
            lagging_hosts => format!("not in force on {}", lagging_hosts.join(" ")),
        }
    }

    /// Takes a ticket from a host and stores it under `as=`, by default the host's name.
    async fn ticket(&mut self, args: &Arguments<'_>) -> String {
        let host = args.required("host");
        let response = self.request_host_list(host).await;
        let ticket = response["ticket"].as_str().map(str::to_owned);
        let name = args.optional("as").unwrap_or(host).to_owned();
        match ticket {
            Some(ticket) => {
                self.tickets.insert(name, ticket);
                "kept".to_owned()
            }
            None => "none".to_owned(),
        }
    }

    /// Waits until a host's list for callers contains exactly the given hosts, in any order.
    async fn hand_out(&mut self, args: &Arguments<'_>) -> String {
        let host = args.required("host");
        let mut wanted = args.values("hosts");
        wanted.sort_unstable();
        let this = &*self;
        let wanted = &wanted;
        let reached = wait_until(args.timeout(), || async move {
            let response = this.request_host_list(host).await;
            (listed_host_names(&response) == *wanted).then_some(())
        });
        if reached.await.is_some() {
            return format!("hands out {}", wanted.join(" "));
        }
        format!(
            "hands out {}",
            listed_host_names(&self.request_host_list(host).await).join(" ")
        )
    }

    async fn call(&mut self, args: &Arguments<'_>) -> String {
        let perform = || self.prepare(args).perform(self.env().client.clone());
        let outcome = if args.has("until_answered") {
            let call_if_answered =
                || async { Some(perform().await).filter(|it| it.line.starts_with("200")) };
            wait_until(args.timeout(), call_if_answered).await
        } else if args.has("until_refused") {
            let call_if_refused =
                || async { Some(perform().await).filter(|it| !it.line.starts_with("200")) };
            wait_until(args.timeout(), call_if_refused).await
        } else if let Some(word) = args.optional("until") {
            let call_if_contains =
                || async { Some(perform().await).filter(|it| it.line.contains(word)) };
            wait_until(args.timeout(), call_if_contains).await
        } else {
            Some(perform().await)
        };
        let line = match outcome {
            Some(it) => self.keep_session(args, it),
            None => "not so within the bound".to_owned(),
        };
        let Some(call) = args.optional("called") else {
            return line;
        };
        let ran = records::executions(self.env(), call).await;
        format!("{line}, ran {ran} times")
    }

    /// Makes concurrent calls; each line of the input has the arguments of a `call`, of which
    /// `until…` and `keep_session=` have no effect and `called=` adds no count.
    async fn together(&self, input: &str) -> String {
        let lines = input.lines().filter(|it| !it.trim().is_empty());
        let given: Vec<_> = lines.map(parse_line).collect();
        let calls = given.iter().map(|it| self.prepare(&Arguments::new(it)));
        let client = &self.env().client;
        let calls = calls.map(|it| it.perform(client.clone()));
        let mut outcomes: Vec<_> = future::join_all(calls)
            .await
            .into_iter()
            .map(|it| it.line)
            .collect();
        // The order of concurrent calls is random; the sorted outcomes are deterministic.
        outcomes.sort();
        outcomes.join("\n")
    }

    /// Makes the same call `count=` times in sequence; returns each distinct outcome with its
    /// count.
    async fn calls(&mut self, args: &Arguments<'_>) -> String {
        let mut outcomes = BTreeMap::new();
        for _ in 0..args.parsed("count", 1) {
            let call = self.prepare(args).perform(self.env().client.clone());
            *outcomes.entry(call.await.line).or_insert(0) += 1;
        }
        let lines = outcomes
            .iter()
            .map(|(line, count)| format!("{count} {line}"));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn begin_load(&mut self, given: &ArgumentMap) -> String {
        let host = Arguments::new(given).required("host");
        let first_address = self.env().host(host).callers_address();
        self.load = Some(Load::start(&self.env().client, given, first_address));
        "begun".to_owned()
    }

    async fn end_load(&mut self) -> String {
        let load = self
            .load
            .take()
            .expect("`end-load` needs an earlier `begin-load`");
        load.stop().await
    }

    /// Cuts a host's connection to the table service.
    fn cut(&mut self, args: &Arguments<'_>) -> String {
        self.env().cut_from_table(args.required("host"));
        "cut".to_owned()
    }

    fn begin(&mut self, args: &Arguments<'_>) -> String {
        let call = self.prepare(args).perform(self.env().client.clone());
        let name = args.required("as").to_owned();
        self.pending_calls.insert(name, task::spawn(call));
        "begun".to_owned()
    }

    async fn end(&mut self, args: &Arguments<'_>) -> String {
        let name = args.required("as");
        let call = self.pending_calls.remove(name);
        let call = call.unwrap_or_else(|| panic!("no call was begun as {name}"));
        let outcome = call.await;
        self.keep_session(args, outcome)
    }

    fn prepare(&self, args: &Arguments<'_>) -> Call {
        let to = self.env().host(args.required("host")).callers_address();
        let ticket = args.optional("ticket").map(|it| {
            let ticket = self.tickets.get(it);
            ticket
                .unwrap_or_else(|| panic!("no ticket is stored as {it}"))
                .clone()
        });
        let session = args.optional("session").map(|it| {
            let session = self.sessions.get(it);
            session
                .unwrap_or_else(|| panic!("no session is stored as {it}"))
                .clone()
        });
        Call::new(args, to, ticket, session)
    }

    fn keep_session(&mut self, args: &Arguments<'_>, outcome: Outcome) -> String {
        if let (Some(name), Some(session)) = (args.optional("keep_session"), outcome.session) {
            self.sessions.insert(name.to_owned(), session);
        }
        outcome.line
    }

    async fn request_host_list(&self, host: &str) -> Value {
        let key = format!("{KEY_PREFIX}{CUSTOMER}");
        let to = self.env().host(host).callers_address();
        let response = self.env().client.get(to, "/v1/hosts", &key).await;
        response.unwrap_or_default()
    }

    fn env(&self) -> &Environment {
        self.env.as_ref().expect("a script begins with `start`")
    }

    fn env_mut(&mut self) -> &mut Environment {
        self.env.as_mut().expect("a script begins with `start`")
    }
}

fn listed_host_names(host_list: &Value) -> Vec<&str> {
    let hosts = host_list["hosts"].as_array().into_iter().flatten();
    let mut names: Vec<_> = hosts.filter_map(|it| it["name"].as_str()).collect();
    names.sort_unstable();
    names
}

fn read_json(input: &str) -> Value {
    serde_json::from_str(input).unwrap_or_else(|err| panic!("invalid JSON in the script: {err}"))
}
