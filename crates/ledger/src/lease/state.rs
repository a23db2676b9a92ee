//! The state machine of one candidate.

use std::time::Duration;

use derive_more::Display;
use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::lease::{Action, Event, Row, Tuning, Written};
use crate::table::{Expect, Unavailable};

/// The fencing number, by which an endpoint rejects orders of earlier holders.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fencing(pub u64);

/// Whether an endpoint checks the fencing numbers of its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingCheck {
    /// It refuses an order with an old number.
    Checks,
    /// It carries out every order.
    Ignores,
}

/// The reason why an order may not be issued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Denied {
    /// This candidate doesn't hold the lease, or the lease expired on its own clock.
    #[display("not held")]
    NotHeld,
    /// An order of the last holder may still be in transit, or the state that it left hasn't been
    /// read back.
    #[display("settling")]
    Settling,
}

/// A candidate for the lease of one job.
///
/// The candidates need no common clock. The holder's lease ends on its own clock, counted from
/// before it sent its last successful renewal. Another candidate takes over a lease that wasn't
/// released only after it has seen the row unchanged for longer than that on its own clock.
#[derive(Debug)]
pub struct Lease {
    me: Incarnation,
    tuning: Tuning,
    seen: Option<Seen>,
    held: Option<Held>,
    /// The write in flight.
    writing: Option<Pending>,
    /// Writes whose responses were lost and that may still be applied.
    lost: Vec<Pending>,
    /// The number of writes, which makes each written row unique.
    write_count: u64,
    reading: bool,
    next_at: Duration,
    stage: Stage,
}

/// Whether the candidate wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Wanting,
    Resigned,
}

/// The row as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    row: Option<(u64, Row)>,
    /// The time at which it was first read in this state.
    since: Duration,
}

/// The state of a held lease.
#[derive(Clone, Debug)]
struct Held {
    version: u64,
    row: Row,
    deadline: Duration,
    settling: Settling,
}

/// The progress of a new holder after a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settling {
    /// Orders of the last holder may be in transit until this time.
    Until(Duration),
    /// The state that they left is being read back.
    ReadingBack,
    /// The takeover is complete.
    Done,
}

/// A write in flight, or one whose response was lost.
#[derive(Clone, Debug)]
struct Pending {
    expect: Expect,
    row: Row,
    /// The time at which it was sent, from which the lease's duration counts.
    started: Duration,
    /// Whether the row that this write replaces names a holder.
    takes_over: bool,
}

impl Lease {
    /// Creates a candidate that hasn't read the row yet.
    #[must_use]
    pub fn new(me: Incarnation, tuning: Tuning) -> Self {
        Self {
            me,
            tuning,
            seen: None,
            held: None,
            writing: None,
            lost: Vec::new(),
            write_count: 0,
            reading: false,
            next_at: Duration::ZERO,
            stage: Stage::Wanting,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        match event {
            Event::Tick => {}
            Event::Read(result) => self.read(now, result, actions),
            Event::Written(result) => self.written(now, result, actions),
            Event::ReadBack => self.read_back(),
            Event::Resign => self.resign(actions),
        }
        self.begin_read_back(now, actions);
        self.advance(now, actions);
        if self.stage == Stage::Wanting {
            actions.push(Action::Wake { at: self.wake(now) });
        }
    }

    /// Returns the fencing number for an order that is issued now.
    ///
    /// Must be called before each order with the current time: a holder that was frozen then finds
    /// its lease expired before it has handled any event.
    ///
    /// # Errors
    /// [`Denied`] if no order may be issued.
    pub fn order(&self, now: Duration, check: FencingCheck) -> Result<Fencing, Denied> {
        let held = self
            .held
            .as_ref()
            .filter(|held| now < held.deadline)
            .ok_or(Denied::NotHeld)?;
        match (check, held.settling) {
            (FencingCheck::Checks, _) | (FencingCheck::Ignores, Settling::Done) => {
                Ok(held.row.fencing)
            }
            (FencingCheck::Ignores, _) => Err(Denied::Settling),
        }
    }

    /// Gives up a lease that expired on this host's clock.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.held.as_ref().is_some_and(|held| now >= held.deadline) {
            self.drop_lease(actions);
        }
    }

    fn drop_lease(&mut self, actions: &mut Vec<Action>) {
        if self.held.take().is_some() {
            actions.push(Action::Lost);
        }
    }

    /// Handles the result of a read.
    fn read(
        &mut self,
        now: Duration,
        result: Result<Option<(u64, Row)>, Unavailable>,
        actions: &mut Vec<Action>,
    ) {
        self.reading = false;
        let Ok(row) = result else {
            self.next_at = now + self.retry_delay();
            return;
        };
        if let Some((version, found)) = &row
            && let Some(index) = self.lost.iter().position(|it| it.row == *found)
        {
            // The write was applied and its response was lost.
            let pending = self.lost.swap_remove(index);
            return self.acquire(now, *version, pending, actions);
        }
        let expect = row
            .as_ref()
            .map_or(Expect::Absent, |(version, _)| Expect::Version(*version));
        self.lost.retain(|it| it.expect == expect);
        let replaced = self.held.as_ref().is_some_and(|held| {
            row.as_ref()
                .is_none_or(|(version, _)| *version != held.version)
        });
        if replaced {
            self.drop_lease(actions);
        }
        if self.seen.as_ref().is_none_or(|seen| seen.row != row) {
            self.seen = Some(Seen { row, since: now });
        }
        if self.held.is_none() && self.takeover(now).is_some() {
            self.next_at = now;
        }
    }

    fn written(&mut self, now: Duration, result: Written, actions: &mut Vec<Action>) {
        // After a resignation all results are ignored: those of the release and of a write that was
        // in flight.
        let Some(pending) = self.writing.take() else {
            return;
        };
        match result {
            Written::Applied { version } => self.acquire(now, version, pending, actions),
            // Another candidate wrote, or an earlier write of this one was applied late. Reading
            // the row tells which.
            Written::Failed => {
                self.next_at = now;
                self.request_read(actions);
            }
            Written::NotApplied => self.next_at = now + self.retry_delay(),
            Written::Unknown => {
                self.lost.push(pending);
                self.next_at = now;
                self.request_read(actions);
            }
        }
    }

    /// Takes or renews the lease after a successful write. Its duration counts from before the
    /// write was sent, because other candidates may have read the row from that time on.
    fn acquire(
        &mut self,
        now: Duration,
        version: u64,
        pending: Pending,
        actions: &mut Vec<Action>,
    ) {
        let deadline = pending.started + self.tuning.duration.saturating_sub(self.tuning.margin);
        self.lost.clear();
        let settling = match &self.held {
            Some(held) if held.row.fencing == pending.row.fencing => held.settling,
            _ if pending.takes_over => Settling::Until(now + self.tuning.order_timeout),
            _ => Settling::Done,
        };
        self.seen = Some(Seen {
            row: Some((version, pending.row.clone())),
            since: now,
        });
        self.next_at = pending.started + self.tuning.renew_interval;
        self.held = Some(Held {
            version,
            row: pending.row,
            deadline,
            settling,
        });
        self.expire(now, actions);
    }

    /// Requests the read-back once no order of the last holder can be in transit.
    fn begin_read_back(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(held) = &mut self.held else {
            return;
        };
        if let Settling::Until(until) = held.settling
            && now >= until
        {
            held.settling = Settling::ReadingBack;
            actions.push(Action::ReadBack);
        }
    }

    fn read_back(&mut self) {
        if let Some(held) = &mut self.held
            && held.settling == Settling::ReadingBack
        {
            held.settling = Settling::Done;
        }
    }

    /// Renews the lease, takes it over or reads the row, if that is due.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let busy = self.reading || self.writing.is_some();
        if now < self.next_at || busy || self.stage == Stage::Resigned {
            return;
        }
        self.next_at = now + self.tuning.renew_interval;
        if let Some(held) = &self.held {
            let (expect, fencing) = (Expect::Version(held.version), held.row.fencing);
            return self.write(now, expect, fencing, false, actions);
        }
        if let Some((expect, fencing, takes_over)) = self.takeover(now) {
            return self.write(now, expect, fencing, takes_over, actions);
        }
        self.next_at = self
            .next_at
            .min(self.safe_expiry().unwrap_or(self.next_at).max(now));
        self.request_read(actions);
    }

    /// The time at which the lease of the holder that was last seen has surely expired.
    fn safe_expiry(&self) -> Option<Duration> {
        let seen = self.seen.as_ref()?;
        Some(seen.since + self.tuning.duration + self.tuning.margin)
    }

    /// Returns the condition and the fencing number of a takeover, and whether the row names a
    /// holder, if the lease is free.
    fn takeover(&self, now: Duration) -> Option<(Expect, Fencing, bool)> {
        let seen = self.seen.as_ref()?;
        let Some((version, row)) = &seen.row else {
            return Some((Expect::Absent, Fencing(1), false));
        };
        let expired = self.safe_expiry().is_some_and(|at| now >= at);
        let free = match row.holder {
            None => true,
            Some(holder) => holder == self.me || expired,
        };
        let next = Fencing(row.fencing.0 + 1);
        free.then(|| (Expect::Version(*version), next, row.holder.is_some()))
    }

    fn write(
        &mut self,
        now: Duration,
        expect: Expect,
        fencing: Fencing,
        takes_over: bool,
        actions: &mut Vec<Action>,
    ) {
        self.write_count += 1;
        let row = Row {
            holder: Some(self.me),
            fencing,
            renewal: self.write_count,
        };
        self.writing = Some(Pending {
            expect,
            row: row.clone(),
            started: now,
            takes_over,
        });
        actions.push(Action::Write { expect, row });
    }

    fn request_read(&mut self, actions: &mut Vec<Action>) {
        if !self.reading {
            self.reading = true;
            actions.push(Action::Read);
        }
    }

    /// Releases the lease, so that the next holder need not wait. No order may be in transit any
    /// more.
    fn resign(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Resigned;
        self.writing = None;
        let Some(held) = self.held.take() else {
            return;
        };
        let row = Row {
            holder: None,
            renewal: self.write_count + 1,
            ..held.row
        };
        let expect = Expect::Version(held.version);
        actions.push(Action::Lost);
        actions.push(Action::Write { expect, row });
    }

    fn retry_delay(&self) -> Duration {
        self.tuning.renew_interval / 4
    }

    fn wake(&self, now: Duration) -> Duration {
        let held = self.held.as_ref();
        let settling = held.and_then(|held| match held.settling {
            Settling::Until(until) => Some(until),
            Settling::ReadingBack | Settling::Done => None,
        });
        let deadline = held.map(|held| held.deadline);
        let soonest = now + self.retry_delay();
        [Some(self.next_at.max(now)), deadline, settling]
            .into_iter()
            .flatten()
            .min()
            .map_or(soonest, |at| if at > now { at } else { soonest })
    }
}
