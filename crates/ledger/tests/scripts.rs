//! Scripted failures: each file under `scripts/` lists commands and the expected actions of the
//! hosts. `REWRITE=1 cargo test -p ledger` updates the expectations.

use std::fmt::Write as _;
use std::time::Duration;

use datadriven::TestCase;
use kernel::Customer;
use ledger::{Arrival, End, Fingerprint, RetryPolicy, Tuning, Via};

use crate::sim::{Call, Mode, World, answered, mint};

/// Validity of a ticket.
const TICKET_VALIDITY: Duration = Duration::from_mins(10);
/// Time that passes after a command other than `run` without the option `after`.
const DEFAULT_PAUSE: Duration = Duration::from_millis(20);

#[test]
fn scripted_faults_have_the_expected_actions() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}

#[derive(Default)]
struct Script {
    world: World,
    tickets: std::collections::BTreeMap<String, ledger::Ticket>,
}

impl Script {
    /// Runs the commands of one step, one per line.
    fn run(&mut self, case: &TestCase) -> String {
        assert_eq!(case.directive, "step", "the only directive is `step`");
        for line in case.input.lines() {
            self.command(&Command::parse(line));
        }
        let trace = std::mem::take(&mut self.world.trace);
        if trace.is_empty() {
            "nothing\n".to_owned()
        } else {
            trace
        }
    }

    fn command(&mut self, command: &Command) {
        let world = &mut self.world;
        let mut pause = command.option("after").map_or(DEFAULT_PAUSE, span_of);
        match command.words.as_slice() {
            ["host", name, data_centre] => {
                let mut tuning = Tuning::default();
                if let Some(bound) = command.option("bound") {
                    tuning.held_records = bound.parse().unwrap();
                    tuning.held_copies = tuning.held_records;
                }
                if let Some(keys) = command.option("keys") {
                    tuning.max_keys = keys.parse().unwrap();
                }
                if let Some(linger) = command.option("linger") {
                    tuning.key_retention = span_of(linger);
                }
                world.add(name, data_centre, tuning);
            }
            ["ticket", host] => {
                let expires = world.now + TICKET_VALIDITY;
                let ticket = mint(&world.hosts[world.host(host)], expires);
                self.tickets.insert((*host).to_owned(), ticket);
            }
            ["call", request, "at", host] => self.call(command, host, request),
            ["send", request] => world.send(request),
            ["answer", request] => world.finish(request, answered(request)),
            ["answer", request, "at-length"] => {
                world.finish(request, answered(&"x".repeat(10_000)));
            }
            ["serve", request] => {
                world.send(request);
                world.finish(request, answered(request));
            }
            ["bounce", request] => world.refuse_attempt(request),
            ["fail", request] => world.finish(request, End::Unanswered),
            ["cancel", request] => world.cancel(request),
            ["kill", host] => world.kill(world.host(host)),
            ["restart", host] => world.restart(world.host(host)),
            ["freeze", host] => world.freeze(world.host(host)),
            ["thaw", host] => world.thaw(world.host(host)),
            ["drain", host] => world.drain(world.host(host)),
            ["cut", one, other] => world.disconnect(world.host(one), world.host(other)),
            ["keep-incarnation", host] => {
                let host = world.host(host);
                world.hosts[host].renews_when_fenced = false;
            }
            ["renew", host] => world.renew(world.host(host)),
            ["mend"] => world.reconnect(),
            ["table", "fine"] => world.table.mode = Mode::Fine,
            ["table", "out"] => world.table.mode = Mode::Out,
            ["table", "hanging"] => world.table.mode = Mode::Hanging,
            ["table", "loses", count] => world.table.lost_responses = count.parse().unwrap(),
            ["table", "late", count] => world.table.late_writes = count.parse().unwrap(),
            ["run", span] => pause = span_of(span),
            ["rows"] => self.print(Script::rows),
            ["bills"] => self.print(|script| lines(script.world.bills())),
            ["executions"] => self.print(Script::executions),
            ["status", host] => self.print(|script| script.status(host)),
            words => panic!("unknown command {words:?}"),
        }
        self.world.run(pause);
    }

    fn print(&mut self, what: impl Fn(&Self) -> String) {
        let shown = what(self);
        self.world.trace.push_str(&shown);
    }

    fn call(&mut self, command: &Command, host: &str, request: &str) {
        let host = self.world.host(host);
        let retry_policy = match command.option("repeat") {
            Some("harmless") => RetryPolicy::Idempotent,
            _ => RetryPolicy::AtMostOnce,
        };
        let mut ticket = command.option("ticket").map(|name| self.tickets[name]);
        if let (Some(ticket), Some(remaining)) = (&mut ticket, command.option("remaining")) {
            ticket.expires = self.world.now + span_of(remaining);
        }
        let body = command
            .option("body")
            .map_or(1, |body| body.parse().unwrap());
        let arrival = Arrival {
            request: request.into(),
            customer: Customer::from("kivuli"),
            key: command.option("key").map(Into::into),
            ticket,
            fingerprint: Fingerprint(body),
            retry_policy,
            via: Via::Caller,
        };
        self.world.call(Call {
            arrival,
            host,
            relays: None,
            permitted: None,
            result: None,
        });
    }

    fn rows(&self) -> String {
        let mut shown = String::new();
        for (key, (_, value)) in &self.world.table.rows {
            let value: serde_json::Value = serde_json::from_str(value).unwrap();
            let records = value["records"].as_array().map(Vec::len);
            let what = match (records, value["state"].as_str()) {
                (Some(records), _) => format!("{records} records"),
                (None, Some(state)) => state.to_owned(),
                (None, None) => String::new(),
            };
            let _ = writeln!(shown, "{}", format!("{key} {what}").trim_end());
        }
        if shown.is_empty() {
            shown.push_str("none\n");
        }
        shown
    }

    fn executions(&self) -> String {
        lines(
            self.world
                .executions
                .iter()
                .map(|it| format!("{} by {}", it.key, it.request)),
        )
    }

    fn status(&self, host: &str) -> String {
        let status = self.world.hosts[self.world.host(host)].ledger.status();
        let counters = format!("{:?}", status.counters);
        let counters: Vec<&str> = counters
            .trim_start_matches("Counters { ")
            .trim_end_matches(" }")
            .split(", ")
            .filter(|it| !it.ends_with(": 0"))
            .collect();
        let (held, copies, keys) = (status.held, status.copies, status.keys);
        let counted = counters.join(", ");
        let shown = format!("held {held}, copies {copies}, keys {keys}, {counted}");
        shown.trim_end_matches(", ").to_owned() + "\n"
    }
}

fn lines(lines: impl IntoIterator<Item = String>) -> String {
    let lines: Vec<String> = lines.into_iter().collect();
    if lines.is_empty() {
        return "none\n".to_owned();
    }
    lines.join("\n") + "\n"
}

fn span_of(text: &str) -> Duration {
    if let Some(millis) = text.strip_suffix("ms") {
        return Duration::from_millis(millis.parse().unwrap());
    }
    Duration::from_secs(text.trim_end_matches('s').parse().unwrap())
}

/// A command: words and `name=value` options.
struct Command<'a> {
    words: Vec<&'a str>,
    options: Vec<(&'a str, &'a str)>,
}

impl<'a> Command<'a> {
    fn parse(line: &'a str) -> Self {
        let parts = line.split_whitespace();
        let (options, words): (Vec<&str>, Vec<&str>) = parts.partition(|it| it.contains('='));
        let options = options.iter().filter_map(|it| it.split_once('=')).collect();
        Self { words, options }
    }

    fn option(&self, name: &str) -> Option<&'a str> {
        let mut options = self.options.iter();
        options.find(|(it, _)| *it == name).map(|(_, value)| *value)
    }
}
