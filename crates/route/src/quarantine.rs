//! Quarantine of requests that make endpoint processes exit.

mod end;
mod finished;
mod held;
mod kept;
mod news;
mod proven;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use end::End;
use held::Held;
use proven::Proven;

use crate::Print;
use crate::endpoint::Process;

pub(crate) use finished::{Finished, Outcome};
pub use news::{EndNews, HeldNews, News};

/// Number of process exits after which a suspected request is quarantined. Processes exit for
/// other reasons as well, and every request in flight there is a suspect.
const LIMIT: usize = 3;
/// Number of exits after which it is quarantined even if another request was in flight at all of
/// them.
const CERTAIN: usize = 5;
/// How long a request is quarantined. Its caller is told to retry after that; a release that can
/// handle it may be in use by then.
const HELD: Duration = Duration::from_hours(1);
/// How long after the end of an attempt a process exit may still be caused by it. If the caller
/// leaves, or the response is discarded in favour of a larger model's, the attempt ends although
/// the request may already have done its damage.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Maximum number of remembered exits. Only requests in flight during an exit are stored, so a
/// flood of distinct requests doesn't fill the memory.
const MOST_ENDS: usize = 256;
/// Maximum number of suspects per exit.
const MOST_SUSPECTS: usize = 128;
/// Maximum number of recently finished attempts whose endpoints may still exit.
const MOST_FINISHED: usize = 4_096;
/// Maximum number of quarantined requests; the latest are kept.
const MOST_HELD: usize = 64;

/// Detects requests that make endpoint processes exit, and blocks them.
///
/// Such a request ends each process that begins to run it, along with all other requests there,
/// and is retried with new ids and through other hosts. The processes exit shortly after each
/// start, and most requests to the service fail.
///
/// For each process exit, every host records which requests were in flight there and shares this
/// with the others. A request that is a suspect of several exits is quarantined: it isn't sent to
/// any endpoint. Innocent suspects are excluded in three ways: an exit no longer counts against
/// others once a quarantined request explains it; a request is cleared if an endpoint survives its
/// response; and of two requests that are suspects of the same exits, neither is quarantined until
/// a further exit distinguishes them. See `docs/design/quarantine.md`.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ends: BTreeMap<Process, End>,
    /// The exits of which a request is a suspect.
    found_under: HashMap<Print, BTreeSet<Process>>,
    /// The quarantined requests.
    held: HashMap<Print, Held>,
    /// Requests released from quarantine since the driver last asked.
    released: Vec<Print>,
    /// Recently finished attempts whose endpoints may still exit because of them.
    finished: VecDeque<Finished>,
    /// Requests that an endpoint recently survived.
    proven: Proven,
    /// Requests quarantined since the driver last asked.
    caught: Vec<Print>,
    /// When all quarantined requests were last sent to other hosts.
    retold: Duration,
    /// Whether anything changed since the driver last asked.
    has_news: bool,
}

impl Quarantine {
    /// Returns the time that a request stays quarantined, or `None` if it isn't.
    #[must_use]
    pub fn holds(&self, now: Duration, print: Print) -> Option<Duration> {
        let left = self.held.get(&print)?.left(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a request must not be retried: it is quarantined, or it would be if the
    /// endpoints whose connections broke during its attempts have exited.
    pub(crate) fn stops(&self, now: Duration, print: Print) -> bool {
        if self.holds(now, print).is_some() {
            return true;
        }
        let mut ends = self.counted(print);
        let broken = self.finished.iter().filter(|it| it.is_broken(print));
        ends.extend(broken.map(|it| it.process));
        ends.len() >= LIMIT
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes the requests quarantined since the last call, each with the number of exits of which
    /// it is a suspect, as far as this host knows.
    pub fn take_caught(&mut self) -> Vec<(Print, usize)> {
        let caught = std::mem::take(&mut self.caught);
        let ends = |it: &Print| self.found_under.get(it).map_or(0, BTreeSet::len);
        caught.into_iter().map(|it| (it, ends(&it))).collect()
    }

    /// Returns whether anything changed since the last call that must be sent to other hosts.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Records a finished attempt.
    pub(crate) fn finish(&mut self, now: Duration, finished: Finished) {
        self.age(now);
        if let Some(end) = self.ends.get(&finished.process) {
            let is_close = now.saturating_sub(end.at) <= AFTERMATH;
            if is_close && self.suspect(now, finished.process, finished.print) {
                self.judge(now, finished.process);
            }
            return;
        }
        if self.finished.len() == MOST_FINISHED {
            self.finished.pop_front();
        }
        self.finished.push_back(finished);
    }

    /// Records that an endpoint's process has exited.
    pub(crate) fn end(&mut self, now: Duration, process: Process) {
        self.age(now);
        if self.ends.contains_key(&process) {
            return;
        }
        self.remember(now, process, now);
        self.judge(now, process);
    }

    /// Records that an endpoint's process is alive although connections to it broke.
    pub(crate) fn stands(&mut self, process: Process) {
        let broken = |it: &&mut Finished| it.process == process && it.outcome == Outcome::Broken;
        for it in self.finished.iter_mut().filter(broken) {
            it.outcome = Outcome::Unknown;
        }
    }

    /// Returns whether the process is known to have exited.
    pub(crate) fn knows(&self, process: Process) -> bool {
        self.ends.contains_key(&process)
    }

    /// Expires old state, and clears requests whose endpoints survived them.
    pub fn age(&mut self, now: Duration) {
        while let Some(it) = self.finished.front()
            && now.saturating_sub(it.at) > AFTERMATH
        {
            let (print, outcome) = (it.print, it.outcome);
            self.finished.pop_front();
            if outcome == Outcome::Answered {
                self.proven.prove(now, print);
                self.clear(now, print);
            }
        }
        let is_over = |it: &(&Print, &Held)| it.1.left(now).is_zero();
        let over: Vec<Print> = self.held.iter().filter(is_over).map(|it| *it.0).collect();
        for it in over {
            self.release(it);
        }
    }

    /// Clears a request because an endpoint survived its response.
    fn clear(&mut self, now: Duration, print: Print) {
        let Some(processes) = self.found_under.get(&print) else {
            return;
        };
        for it in processes {
            if let Some(end) = self.ends.get_mut(it) {
                self.has_news |= end.clear(now, print);
            }
        }
        self.release(print);
    }

    fn release(&mut self, print: Print) {
        if self.held.remove(&print).is_some() {
            self.released.push(print);
        }
    }

    /// Adds an exit, with the requests that this host had there until shortly before.
    fn remember(&mut self, now: Duration, process: Process, at: Duration) {
        self.forget_old(now);
        self.ends.insert(process, End::new(at, now));
        self.has_news = true;
        let (here, rest) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition::<VecDeque<_>, _>(|it| it.process == process);
        self.finished = rest;
        for it in here {
            self.suspect(now, process, it.print);
        }
    }

    /// Removes expired exits, and the oldest ones if there is no room for one more.
    fn forget_old(&mut self, now: Duration) {
        while let Some((&process, oldest)) = self.ends.iter().min_by_key(|it| it.1.at)
            && (self.ends.len() >= MOST_ENDS || now.saturating_sub(oldest.at) > HELD)
        {
            self.forget(process);
        }
    }

    fn forget(&mut self, process: Process) {
        let Some(end) = self.ends.remove(&process) else {
            return;
        };
        for print in end.suspects() {
            if let Some(processes) = self.found_under.get_mut(&print) {
                processes.remove(&process);
                if processes.is_empty() {
                    self.found_under.remove(&print);
                }
            }
        }
    }

    /// Adds a request to an exit's suspects. Returns whether it is new there.
    fn suspect(&mut self, now: Duration, process: Process, print: Print) -> bool {
        let is_new = self
            .ends
            .get_mut(&process)
            .is_some_and(|it| it.suspect(now, print));
        if is_new {
            self.found_under.entry(print).or_default().insert(process);
            self.has_news = true;
        }
        if is_new
            && self.proven.contains(now, print)
            && let Some(end) = self.ends.get_mut(&process)
        {
            end.clear(now, print);
        }
        is_new
    }

    /// Quarantines those suspects of an exit that were found at too many exits.
    fn judge(&mut self, now: Duration, process: Process) {
        while let Some(end) = self.ends.get(&process) {
            let worst = end
                .suspects()
                .filter(|it| !self.held.contains_key(it))
                .map(|it| (self.counted(it).len(), it))
                .filter(|&(ends, it)| ends >= CERTAIN || (ends >= LIMIT && !self.has_rival(it)))
                .max();
            let Some((_, print)) = worst else {
                return;
            };
            self.hold(now, print, now);
        }
    }

    fn hold(&mut self, now: Duration, print: Print, since: Duration) {
        if self.held.len() == MOST_HELD
            && let Some((&oldest, _)) = self.held.iter().min_by_key(|it| it.1.since)
        {
            self.release(oldest);
        }
        let held = Held {
            since,
            changed: now,
            is_kept: false,
        };
        self.held.insert(print, held);
        self.caught.push(print);
        self.has_news = true;
        for process in self.found_under.get(&print).into_iter().flatten() {
            if let Some(it) = self.ends.get_mut(process) {
                it.touch(now);
            }
        }
    }

    /// Returns the exits that count against a request: those that no other quarantined request
    /// explains.
    fn counted(&self, print: Print) -> BTreeSet<Process> {
        let found = self.found_under.get(&print);
        let counts = |it: &&Process| {
            self.ends.get(it).is_some_and(|end| {
                end.accuses(print)
                    && !self
                        .held
                        .keys()
                        .any(|held| *held != print && end.accuses(*held))
            })
        };
        found
            .into_iter()
            .flatten()
            .filter(counts)
            .copied()
            .collect()
    }

    /// Returns whether another request is a suspect of all exits that count against this one.
    fn has_rival(&self, print: Print) -> bool {
        let counted = self.counted(print);
        let mut ends = counted.iter().filter_map(|it| self.ends.get(it));
        let Some(first) = ends.next() else {
            return false;
        };
        let mut rivals: BTreeSet<Print> = first.accused().filter(|it| *it != print).collect();
        for end in ends {
            rivals.retain(|it| end.accuses(*it));
        }
        !rivals.is_empty()
    }
}
