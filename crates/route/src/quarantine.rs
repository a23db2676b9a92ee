//! Requests that end the endpoints that run them, and are sent to no more of them.

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

/// Under how many ends of endpoints a request is found before it is held. Endpoints end
/// for other reasons too, and whatever runs there is under way then.
const LIMIT: usize = 3;
/// Under how many it is held although another request was under way at all of them, too.
const CERTAIN: usize = 5;
/// How long a request is held. Its caller is told to come back after that; a release
/// that can run it may be in use by then.
const HELD: Duration = Duration::from_hours(1);
/// How long after a request's end at an endpoint the endpoint may end because of it. A
/// caller that leaves, or an answer that is dropped for a larger model's, ends the
/// attempt while the harm is already done.
const AFTERMATH: Duration = Duration::from_secs(1);
/// The most ends that are remembered. Only a request under which an endpoint ended takes a
/// place, so whoever sends a million different ones fills no memory.
const MOST_ENDS: usize = 256;
/// The most requests that are remembered of one end.
const MOST_SUSPECTS: usize = 128;
/// The most attempts of the last moments whose endpoints may yet end.
const MOST_FINISHED: usize = 4_096;
/// The most requests that are held at a time; of more, the latest.
const MOST_HELD: usize = 64;

/// Which requests end the endpoints that run them.
///
/// Failure: a request ends each endpoint that begins to run it, and comes again, under
/// other names and at other hosts. Endpoints end within moments of their start, and with
/// them all else that they run. It shows as stretches in which the requests of a whole
/// service fail.
///
/// Every host remembers of each endpoint that ended which requests were under way there,
/// and tells the others. A request found under three ends is held: it goes nowhere.
/// Others that were there as well are not: an end counts against nobody else once a
/// held request accounts for it, a request whose endpoint outlives its answer is
/// cleared of all, and of two that were at the same ends neither is held before a
/// further end tells them apart. See `docs/design/quarantine.md`.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ends: BTreeMap<Process, End>,
    /// The ends under which a request was found.
    found_under: HashMap<Print, BTreeSet<Process>>,
    /// The requests that are held.
    held: HashMap<Print, Held>,
    /// Requests that are no longer held, of which the driver hasn't been told.
    released: Vec<Print>,
    /// Attempts that are over, whose endpoints may yet end because of them.
    finished: VecDeque<Finished>,
    /// Requests that endpoints have lately outlived.
    proven: Proven,
    /// Requests that were held since the driver last asked.
    caught: Vec<Print>,
    /// When all that are held were last told.
    retold: Duration,
    /// Whether anything was learned since the driver last asked.
    has_news: bool,
}

impl Quarantine {
    /// How much longer a request is held; nothing if it isn't.
    #[must_use]
    pub fn holds(&self, now: Duration, print: Print) -> Option<Duration> {
        let left = self.held.get(&print)?.left(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a request that is under way may go to no further endpoint: it is held, or
    /// would be if the endpoints at which it broke off have ended.
    pub(crate) fn stops(&self, now: Duration, print: Print) -> bool {
        if self.holds(now, print).is_some() {
            return true;
        }
        let mut ends = self.counted(print);
        let broken = self.finished.iter().filter(|it| it.is_broken(print));
        ends.extend(broken.map(|it| it.process));
        ends.len() >= LIMIT
    }

    /// How many requests are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Requests that were held since the last call, and how many endpoints had ended
    /// under each, as far as this host knows.
    pub fn take_caught(&mut self) -> Vec<(Print, usize)> {
        let caught = std::mem::take(&mut self.caught);
        let ends = |it: &Print| self.found_under.get(it).map_or(0, BTreeSet::len);
        caught.into_iter().map(|it| (it, ends(&it))).collect()
    }

    /// Whether anything was learned since the last call that others are to hear of.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Takes the end of an attempt.
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

    /// Takes that an endpoint's process has ended.
    pub(crate) fn end(&mut self, now: Duration, process: Process) {
        self.age(now);
        if self.ends.contains_key(&process) {
            return;
        }
        self.remember(now, process, now);
        self.judge(now, process);
    }

    /// Takes that an endpoint's process goes on although connections to it broke.
    pub(crate) fn stands(&mut self, process: Process) {
        let broken = |it: &&mut Finished| it.process == process && it.outcome == Outcome::Broken;
        for it in self.finished.iter_mut().filter(broken) {
            it.outcome = Outcome::Unknown;
        }
    }

    /// Whether it is known that an endpoint's process has ended.
    pub(crate) fn knows(&self, process: Process) -> bool {
        self.ends.contains_key(&process)
    }

    /// Forgets what is over, and clears requests whose endpoints have outlived them.
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

    /// Takes that a request ends no endpoint: one outlived its answer.
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

    /// Remembers an end, with the requests that this host had there until just now.
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

    /// Makes room for one more end.
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

    /// Finds a request under an end, and says whether that is new.
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

    /// Holds those of an end's requests that were found under too many.
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

    /// The ends that count against a request: no other one that is held accounts for them.
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

    /// Whether another request was at all the ends that count against this one.
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
