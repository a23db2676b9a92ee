//! A simulation of several ledgers, the table, a service that counts executions, and the network,
//! on one virtual clock.

mod call;
mod faults;
mod holders;
mod host;
mod table;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use kernel::{Incarnation, Money, Revision};
use ledger::table::{Op, Transaction, Written};
use ledger::{Action, Charge, End, Event, Message, Outcome, Run, Ticket, Tuning};

pub(crate) use call::{Call, Execution, Reply};
pub(crate) use holders::Holders;
pub(crate) use host::{Host, RunState};
pub(crate) use table::{Mode, Table};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const TABLE_DELAY: Duration = Duration::from_millis(2);
/// Timeout of the table's client.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after which a late write is applied, from when the table received it.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(4);

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Scheduled {
    Event(Incarnation, Event),
    Message(Incarnation, Incarnation, Message),
    Write(Incarnation, Op, Transaction),
    LateWrite(Transaction),
    Tick(Incarnation),
    UpdateView(usize),
    ForwardTimeout(String),
    /// A step of a call, handled by the test driver.
    Step(String, u32),
    /// The start of a job or fault, handled by the test driver.
    Plan(usize),
}

/// The result of advancing the simulation by one event.
#[derive(Clone, Debug)]
pub(crate) enum Next {
    /// No event is due within the time.
    Nothing,
    /// The simulation handled an event.
    Done,
    /// The test driver must handle the event.
    Driver(Scheduled),
}

/// The state of the simulation.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) now: Duration,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    pub(crate) hosts: Vec<Host>,
    pub(crate) table: Table,
    pub(crate) calls: BTreeMap<String, Call>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) disconnected: BTreeSet<(usize, usize)>,
    pub(crate) trace: String,
    last_incarnation: u64,
    pub(crate) holders: Holders,
    /// Requests permitted since the test driver last took them.
    pub(crate) permitted: Vec<String>,
    /// Requests that ended since the test driver last took them.
    pub(crate) ended: Vec<String>,
}

impl World {
    /// Adds a host and tells all hosts of it at once.
    pub(crate) fn add(&mut self, name: &str, data_centre: &str, tuning: Tuning) -> usize {
        self.last_incarnation += 1;
        let host = Host::new(
            name,
            data_centre,
            Incarnation(self.last_incarnation),
            tuning,
        );
        self.hosts.push(host);
        self.update_all_views();
        self.hosts.len() - 1
    }

    pub(crate) fn host(&self, name: &str) -> usize {
        self.hosts
            .iter()
            .rposition(|host| host.name == name)
            .unwrap_or_else(|| panic!("unknown host {name}"))
    }

    fn name(&self, incarnation: Incarnation) -> String {
        self.hosts
            .iter()
            .find(|host| host.incarnation == incarnation)
            .map_or_else(|| format!("#{incarnation}"), |host| host.name.clone())
    }

    pub(crate) fn schedule(&mut self, after: Duration, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), scheduled);
    }

    /// Handles all events that are due within `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while !matches!(self.next(end), Next::Nothing) {}
        self.now = end;
    }

    /// Handles the next event that is due by `end`, or returns it if it is the test driver's.
    pub(crate) fn next(&mut self, end: Duration) -> Next {
        let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= end) else {
            return Next::Nothing;
        };
        let ((at, _), scheduled) = entry.remove_entry();
        self.now = self.now.max(at);
        match scheduled {
            Scheduled::Event(to, event) => self.feed(to, event),
            Scheduled::Message(from, to, message) => {
                if self.connected(from, to) {
                    self.holders.observe(from, to, &message);
                    self.feed(to, Event::Received { from, message });
                }
            }
            Scheduled::Write(from, op, transaction) => self.write(from, op, &transaction),
            Scheduled::LateWrite(transaction) => {
                self.table.transact(&transaction);
            }
            Scheduled::Tick(to) => self.feed(to, Event::Tick),
            Scheduled::UpdateView(host) => self.update_view(host),
            Scheduled::ForwardTimeout(request) => self.forward_failed(&request),
            it @ (Scheduled::Step(..) | Scheduled::Plan(_)) => return Next::Driver(it),
        }
        Next::Done
    }

    pub(crate) fn find(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts
            .iter()
            .position(|host| host.incarnation == incarnation)
    }

    fn connected(&self, from: Incarnation, to: Incarnation) -> bool {
        match (self.find(from), self.find(to)) {
            (Some(from), Some(to)) => {
                !self.disconnected.contains(&(from, to)) && !self.disconnected.contains(&(to, from))
            }
            _ => false,
        }
    }

    /// Passes an event to a host. A frozen host handles it when it resumes.
    pub(crate) fn feed(&mut self, to: Incarnation, event: Event) {
        let Some(idx) = self.find(to) else {
            return;
        };
        match self.hosts[idx].run_state {
            RunState::Running => self.handle(idx, event),
            RunState::Frozen => self.hosts[idx].inbox.push(event),
            RunState::Exited | RunState::Killed => {}
        }
    }

    pub(crate) fn handle(&mut self, idx: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[idx].ledger.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(idx, action);
        }
    }

    fn perform(&mut self, idx: usize, action: Action) {
        let me = self.hosts[idx].incarnation;
        match action {
            Action::Permit { request } => {
                self.log(idx, format_args!("permits {request}"));
                let now = self.now;
                if let Some(call) = self.calls.get_mut(request.as_str()) {
                    call.permitted = Some(now);
                }
                self.permitted.push(request.to_string());
            }
            Action::Replay { request, outcome } => {
                self.log(idx, format_args!("replays {request}: {}", outcome.body));
                self.end(&request, Reply::Response);
            }
            Action::Refuse { request, refusal } => {
                let (reason, run) = (refusal.reason, refusal.run);
                self.log(idx, format_args!("refuses {request}: {reason}, {run}"));
                let reason = Some(reason);
                self.end(&request, Reply::Refusal { reason, run });
            }
            Action::Close { request, run } => {
                self.log(idx, format_args!("closes {request}: {run}"));
                self.end(&request, Reply::Refusal { reason: None, run });
            }
            Action::Release {
                request,
                durability,
            } => {
                self.log(idx, format_args!("releases {request}: {durability:?}"));
                self.end(&request, Reply::Response);
            }
            Action::Forward { request, home } => self.forward(idx, &request, home),
            Action::Send { to, message } => {
                self.schedule(NETWORK_DELAY, Scheduled::Message(me, to, message));
            }
            Action::Transact { op, transaction } => {
                self.schedule(TABLE_DELAY, Scheduled::Write(me, op, transaction));
            }
            Action::Read { op, key } => {
                let result = self.table.read(&key);
                self.schedule(
                    2 * TABLE_DELAY,
                    Scheduled::Event(me, Event::Read { op, result }),
                );
            }
            Action::Scan {
                op,
                prefix,
                after,
                limit,
            } => {
                let result = self.table.scan(&prefix, &after, limit);
                self.schedule(
                    2 * TABLE_DELAY,
                    Scheduled::Event(me, Event::Scanned { op, result }),
                );
            }
            Action::Retire { .. } => {
                self.log(idx, format_args!("was fenced"));
                if self.hosts[idx].renews_when_fenced {
                    self.renew(idx);
                }
            }
            Action::Drained => {
                self.log(idx, format_args!("is drained"));
                self.hosts[idx].run_state = RunState::Exited;
                self.schedule_view_updates();
            }
            Action::Wake { at } => {
                let after = at.saturating_sub(self.now);
                self.schedule(after, Scheduled::Tick(me));
            }
        }
    }

    fn write(&mut self, from: Incarnation, op: Op, transaction: &Transaction) {
        let (result, after) = match self.table.mode {
            Mode::Out => (Written::NotApplied, TABLE_DELAY),
            Mode::Hanging => (Written::Unknown, TABLE_TIMEOUT),
            Mode::Fine if self.table.late_writes > 0 => {
                self.table.late_writes -= 1;
                self.schedule(LATE_WRITE_DELAY, Scheduled::LateWrite(transaction.clone()));
                (Written::Unknown, TABLE_TIMEOUT)
            }
            Mode::Fine if self.table.lost_responses > 0 => {
                self.table.lost_responses -= 1;
                self.table.transact(transaction);
                (Written::Unknown, TABLE_TIMEOUT)
            }
            Mode::Fine => (self.table.transact(transaction), TABLE_DELAY),
        };
        self.schedule(
            after,
            Scheduled::Event(from, Event::Transacted { op, result }),
        );
    }

    fn log(&mut self, idx: usize, what: std::fmt::Arguments) {
        let name = self.hosts[idx].name.clone();
        let _ = writeln!(self.trace, "{name} {what}");
    }

    /// Returns the keys of all billing records in the table, including those in batches.
    pub(crate) fn bills(&self) -> Vec<String> {
        let key = |record: &serde_json::Value| {
            let key = &record["key"];
            let text = |field: &str| key[field].as_str().unwrap_or("?").to_owned();
            format!("{}/{}/{}", text("customer"), key["home"], text("key"))
        };
        let mut bills = Vec::new();
        for (row, (_, value)) in &self.table.rows {
            let value: serde_json::Value = serde_json::from_str(value).unwrap();
            if row.contains("/key/") {
                bills.push(key(&value));
            } else if row.starts_with("bill/") {
                bills.extend(value["records"].as_array().unwrap().iter().map(key));
            }
        }
        bills.sort();
        bills
    }
}

/// A complete response with this body, and its charge.
pub(crate) fn answered(body: &str) -> End {
    End::Answered {
        outcome: Some(Outcome {
            status: 200,
            media_type: "text/plain".into(),
            body: body.into(),
        }),
        charge: Charge {
            profile: None,
            versions: Vec::new(),
            prompt_tokens: 3,
            completion_tokens: 5,
            money: Money(7),
            revision: Revision(1),
        },
    }
}

/// Mints a ticket at a host.
pub(crate) fn mint(host: &Host, expires: Duration) -> Ticket {
    Ticket {
        home: host.incarnation,
        floor: host.ledger.floor(),
        expires,
    }
}

/// Whether the result is a refusal that says "not run".
pub(crate) fn is_not_run(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Refusal {
            run: Run::NotRun,
            ..
        }
    )
}
