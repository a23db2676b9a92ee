//! The lease `orders`, as seen by this host.

use clients::row::Key;
use clients::{Condition, Error, Transaction};
use ledger::lease::{Action, Denied, Event, Fencing, FencingCheck, Lease, Row, Tuning, Written};
use ledger::table::{Expect, Unavailable};

use crate::context::Context;
use crate::event::Event as Logged;

const LEASE_NAME: &str = "orders";

/// The lease's state machine. Its reads and writes go to the table.
pub(crate) struct OrdersLease {
    lease: Lease,
    held: Held,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Yes,
    No,
}

impl OrdersLease {
    pub(crate) fn new(cx: &Context) -> Self {
        Self {
            lease: Lease::new(cx.host.incarnation(), Tuning::default()),
            held: Held::No,
        }
    }

    /// Returns whether this host holds the lease now, by its own clock.
    pub(crate) fn holds(&self, cx: &Context) -> bool {
        self.lease
            .order(cx.host.now(), FencingCheck::Checks)
            .is_ok()
    }

    /// Returns the fencing number for an order that is sent now.
    pub(crate) fn fencing_number(
        &self,
        cx: &Context,
        endpoint: FencingCheck,
    ) -> Result<Fencing, Denied> {
        self.lease.order(cx.host.now(), endpoint)
    }

    pub(crate) async fn tick(&mut self, cx: &Context) {
        self.handle(cx, Event::Tick).await;
    }

    /// Releases the lease if this host holds it.
    pub(crate) async fn release(&mut self, cx: &Context) {
        if self.held == Held::Yes {
            self.handle(cx, Event::Resign).await;
        }
    }

    async fn handle(&mut self, cx: &Context, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.lease.handle(cx.host.now(), event, &mut actions);
            for action in actions {
                events.extend(perform(cx, action).await);
            }
        }
        self.log(cx);
    }

    fn log(&mut self, cx: &Context) {
        let held = if self.holds(cx) { Held::Yes } else { Held::No };
        if held != self.held {
            let event = match held {
                Held::Yes => Logged::LeaseTaken,
                Held::No => Logged::LeaseLost,
            };
            cx.host.log.emit(event, &[("lease", &LEASE_NAME)]);
            self.held = held;
        }
    }
}

async fn perform(cx: &Context, action: Action) -> Option<Event> {
    match action {
        Action::Read => Some(Event::Read(read(cx).await)),
        Action::Write { expect, row } => Some(Event::Written(write(cx, expect, &row).await)),
        Action::ReadBack => {
            cx.endpoints.poll().await;
            Some(Event::ReadBack)
        }
        // The service checks the lease at a fixed interval anyway.
        Action::Lost | Action::Wake { .. } => None,
    }
}

async fn read(cx: &Context) -> Result<Option<(u64, Row)>, Unavailable> {
    let row = cx.table.get(&key()).await.map_err(|_| Unavailable)?;
    let Some(row) = row else {
        return Ok(None);
    };
    let value = row.value().ok_or(Unavailable)?;
    Ok(Some((row.version.into(), value)))
}

async fn write(cx: &Context, expect: Expect, row: &Row) -> Written {
    let condition = match expect {
        Expect::Absent => Condition::Absent(key()),
        Expect::Version(version) => Condition::At(key(), version.into()),
    };
    let transaction = Transaction::default().when(condition).put(&key(), row);
    match cx.table.transact(&transaction).await {
        Ok(versions) => match versions.get(&key()) {
            Some(version) => Written::Applied {
                version: version.into(),
            },
            None => Written::Unknown,
        },
        Err(Error::Conflict { .. }) => Written::Failed,
        Err(Error::NotApplied(_)) => Written::NotApplied,
        Err(Error::Unknown(_)) => Written::Unknown,
    }
}

fn key() -> Key {
    Key::Lease(LEASE_NAME.into())
}
