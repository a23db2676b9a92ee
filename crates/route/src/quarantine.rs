//! Quarantine of requests, and of parts of prompts, that make endpoint processes exit.

mod exit;
mod finished;
mod parts;
mod persistence;
mod quarantined;
mod survived;
mod update;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use exit::Exit;
use quarantined::QuarantinedRequest;
use survived::SurvivedRequests;

use crate::Fingerprint;
use crate::endpoint::ProcessId;

pub(crate) use finished::{FinishedAttempt, Outcome};
pub use update::{ExitReport, QuarantineReport, Update};

/// Number of process exits after which a suspected request is quarantined. Processes exit for
/// other reasons as well, and every request in flight there is a suspect.
const MIN_EXITS: usize = 3;
/// Number of exits after which it is quarantined even if another request is a suspect of all of
/// them.
const MIN_SHARED_EXITS: usize = 5;
/// Duration of a part's quarantine. Shorter than that of a request, since many requests may have
/// the part.
const PART_QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Duration of a request's quarantine. Its caller is told to retry after that; a release that can
/// handle it may be in use by then.
const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// Maximum time between the end of an attempt and a process exit for the exit to be attributed to
/// the request. If the caller disconnects, or the response is discarded in favour of a larger
/// model's, the attempt ends before the process exits.
const MAX_EXIT_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of remembered exits. Only a request during which an endpoint exited takes a
/// place, so a caller that sends a million different ones fills no memory.
const MAX_EXITS: usize = 256;
/// Maximum number of requests, and of parts, that are suspects of an exit.
const MAX_SUSPECTS: usize = 128;
/// Maximum number of recently finished attempts whose endpoints may still exit. Each takes a place
/// for its request and one for each part of its prompt.
const MAX_FINISHED_ATTEMPTS: usize = 12_288;
/// Maximum number of quarantined requests; the latest are kept.
const MAX_QUARANTINED: usize = 64;

/// Detects requests that make endpoint processes exit, and blocks them.
///
/// Such a request ends each process that begins to run it, along with all other requests there,
/// and is retried with new ids and through other hosts. The processes exit shortly after each
/// start, and most requests to the service fail.
///
/// For each process exit, every host records which of its own requests were in flight there at the
/// exit or shortly before, and shares this with the others. A request that is a suspect of several
/// exits is quarantined: it isn't sent to any endpoint. Innocent suspects are excluded in three
/// ways: an exit no longer counts against others once a quarantined request explains it; a request
/// is cleared if a process keeps running after its response; and of two requests that are suspects
/// of the same exits, neither is quarantined until a further exit distinguishes them or they share
/// many exits. See `docs/design/quarantine.md`.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    exits: BTreeMap<ProcessId, Exit>,
    /// The exits of which a request is a suspect.
    exits_by_request: HashMap<Fingerprint, BTreeSet<ProcessId>>,
    /// The quarantined requests.
    quarantined: HashMap<Fingerprint, QuarantinedRequest>,
    /// Requests released from quarantine since the last [`Self::take_released`].
    released: Vec<Fingerprint>,
    /// Recently finished attempts whose endpoints may still exit because of them.
    finished: VecDeque<FinishedAttempt>,
    /// Attempts that ended with an answer and whose parts are cleared if the endpoint keeps running.
    answered_parts: VecDeque<FinishedAttempt>,
    /// Requests after whose response a process recently kept running.
    survived: SurvivedRequests,
    /// Requests quarantined since the last [`Self::take_quarantined`].
    newly_quarantined: Vec<Fingerprint>,
    /// The last time at which exits were evaluated for parts that cause them.
    parts_evaluated: Duration,
    /// The time at which the last periodic update with all quarantined requests was built.
    last_full_update: Duration,
    /// Whether anything changed since the last [`Self::take_changed`].
    has_changes: bool,
}

impl Quarantine {
    /// Returns the time that a request stays quarantined, or `None` if it isn't.
    #[must_use]
    pub fn remaining(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let time_left = self.quarantined.get(&fingerprint)?.time_left(now);
        (!time_left.is_zero()).then_some(time_left)
    }

    /// Returns which of these is quarantined, and for how long.
    pub(crate) fn find(
        &self,
        now: Duration,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) -> Option<(Fingerprint, Duration)> {
        let mut fingerprints = fingerprints.into_iter();
        fingerprints.find_map(|it| Some((it, self.remaining(now, it)?)))
    }

    /// Returns whether a request must not be retried: it or a part of its prompt is quarantined, or
    /// `MIN_EXITS` exits would count against it if the endpoints whose connections broke during its
    /// attempts have exited.
    pub(crate) fn blocks_retry(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) -> bool {
        let all = [fingerprint].into_iter().chain(parts.iter().copied());
        if self.find(now, all).is_some() {
            return true;
        }
        let mut exits = self.counted_exits(fingerprint);
        let broken = self
            .finished
            .iter()
            .filter(|it| it.broke_connection(fingerprint));
        exits.extend(broken.map(|it| it.process));
        exits.len() >= MIN_EXITS
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns whether no request is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Takes the requests quarantined since the last call, each with the number of exits of which
    /// it is a suspect, as far as this host knows.
    pub fn take_quarantined(&mut self) -> Vec<(Fingerprint, usize)> {
        let newly_quarantined = std::mem::take(&mut self.newly_quarantined);
        let exits = |it: &Fingerprint| self.exits_by_request.get(it).map_or(0, BTreeSet::len);
        newly_quarantined
            .into_iter()
            .map(|it| (it, exits(&it)))
            .collect()
    }

    /// Returns whether anything changed since the last call that must be sent to other hosts.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changes)
    }

    /// Records a finished attempt.
    pub(crate) fn record_attempt(&mut self, now: Duration, finished: FinishedAttempt) {
        self.expire(now);
        if let Some(exit) = self.exits.get(&finished.process) {
            let is_close = now.saturating_sub(exit.at) <= MAX_EXIT_DELAY;
            if is_close && self.add_suspect(now, finished.process, finished.fingerprint) {
                self.quarantine_suspects(now, finished.process);
            }
            return;
        }
        let is_answered_part =
            finished.fingerprint.is_part() && finished.outcome == Outcome::Answered;
        let queue = if is_answered_part {
            &mut self.answered_parts
        } else {
            &mut self.finished
        };
        if queue.len() == MAX_FINISHED_ATTEMPTS {
            queue.pop_front();
        }
        queue.push_back(finished);
    }

    /// Records that an endpoint's process has exited.
    pub(crate) fn record_exit(&mut self, now: Duration, process: ProcessId) {
        self.expire(now);
        if self.exits.contains_key(&process) {
            return;
        }
        self.add_exit(now, process, now);
        self.quarantine_suspects(now, process);
    }

    /// Records that an endpoint's process is alive although connections to it broke.
    pub(crate) fn record_alive(&mut self, process: ProcessId) {
        let broken =
            |it: &&mut FinishedAttempt| it.process == process && it.outcome == Outcome::Broken;
        for it in self.finished.iter_mut().filter(broken) {
            it.outcome = Outcome::Unknown;
        }
    }

    /// Returns whether the process is known to have exited.
    pub(crate) fn has_exited(&self, process: ProcessId) -> bool {
        self.exits.contains_key(&process)
    }

    /// Ends quarantines that are over, and clears requests after whose response
    /// the process kept running.
    pub fn expire(&mut self, now: Duration) {
        while let Some(it) = self.finished.front()
            && now.saturating_sub(it.at) > MAX_EXIT_DELAY
        {
            let (fingerprint, outcome) = (it.fingerprint, it.outcome);
            self.finished.pop_front();
            if outcome == Outcome::Answered {
                self.survived.record(now, fingerprint);
                self.clear(now, fingerprint);
            }
        }
        self.clear_answered_parts(now);
        self.quarantine_parts(now);
        let is_over = |it: &(&Fingerprint, &QuarantinedRequest)| it.1.time_left(now).is_zero();
        let over: Vec<Fingerprint> = self
            .quarantined
            .iter()
            .filter(is_over)
            .map(|it| *it.0)
            .collect();
        for it in over {
            self.release(it);
        }
    }

    /// Clears a request because a process kept running after its response.
    fn clear(&mut self, now: Duration, fingerprint: Fingerprint) {
        let Some(processes) = self.exits_by_request.get(&fingerprint) else {
            return;
        };
        for it in processes {
            if let Some(exit) = self.exits.get_mut(it) {
                self.has_changes |= exit.clear(now, fingerprint);
            }
        }
        self.release(fingerprint);
    }

    fn release(&mut self, fingerprint: Fingerprint) {
        if self.quarantined.remove(&fingerprint).is_some() {
            self.released.push(fingerprint);
        }
    }

    /// Adds an exit, with the requests that this host had there until shortly before.
    fn add_exit(&mut self, now: Duration, process: ProcessId, at: Duration) {
        self.evict_exits(now);
        self.exits.insert(process, Exit::new(at, now));
        self.has_changes = true;
        let (here, rest) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition::<VecDeque<_>, _>(|it| it.process == process);
        self.finished = rest;
        let answered = std::mem::take(&mut self.answered_parts);
        let (answered, rest) = answered
            .into_iter()
            .partition::<VecDeque<_>, _>(|it| it.process == process);
        self.answered_parts = rest;
        for it in here.into_iter().chain(answered) {
            self.add_suspect(now, process, it.fingerprint);
        }
    }

    /// Removes expired exits, and the oldest ones if there is no room for one more.
    fn evict_exits(&mut self, now: Duration) {
        while let Some((&process, oldest)) = self.exits.iter().min_by_key(|it| it.1.at)
            && (self.exits.len() >= MAX_EXITS || now.saturating_sub(oldest.at) > QUARANTINE_TIME)
        {
            self.remove_exit(process);
        }
    }

    fn remove_exit(&mut self, process: ProcessId) {
        let Some(exit) = self.exits.remove(&process) else {
            return;
        };
        for fingerprint in exit.suspects() {
            if let Some(processes) = self.exits_by_request.get_mut(&fingerprint) {
                processes.remove(&process);
                if processes.is_empty() {
                    self.exits_by_request.remove(&fingerprint);
                }
            }
        }
    }

    /// Adds a request to an exit's suspects. Returns whether it is new there.
    fn add_suspect(&mut self, now: Duration, process: ProcessId, fingerprint: Fingerprint) -> bool {
        let is_new = self
            .exits
            .get_mut(&process)
            .is_some_and(|it| it.add_suspect(now, fingerprint));
        if is_new {
            self.exits_by_request
                .entry(fingerprint)
                .or_default()
                .insert(process);
            self.has_changes = true;
        }
        if is_new && let Some(exit) = self.exits.get_mut(&process) {
            let is_sound = if fingerprint.is_part() {
                let sound_until = self.survived.latest(fingerprint);
                sound_until.is_some_and(|it| it >= exit.at)
            } else {
                self.survived.contains(now, fingerprint)
            };
            if is_sound {
                exit.clear(now, fingerprint);
            }
        }
        is_new
    }

    /// Quarantines the suspects of an exit that have at least `MIN_EXITS` counted exits and no
    /// rival, or at least `MIN_SHARED_EXITS` counted exits.
    fn quarantine_suspects(&mut self, now: Duration, process: ProcessId) {
        while let Some(exit) = self.exits.get(&process) {
            let worst = exit
                .suspects()
                .filter(|it| !it.is_part() && !self.quarantined.contains_key(it))
                .map(|it| (self.counted_exits(it).len(), it))
                .filter(|&(n, it)| n >= MIN_SHARED_EXITS || (n >= MIN_EXITS && !self.has_rival(it)))
                .max();
            let Some((_, fingerprint)) = worst else {
                return;
            };
            self.add_quarantined(now, fingerprint, now);
        }
    }

    fn add_quarantined(&mut self, now: Duration, fingerprint: Fingerprint, since: Duration) {
        if self.quarantined.len() == MAX_QUARANTINED
            && let Some((&oldest, _)) = self.quarantined.iter().min_by_key(|it| it.1.since)
        {
            self.release(oldest);
        }
        let quarantined = QuarantinedRequest {
            since,
            changed: now,
            duration: quarantine_time(fingerprint),
            is_persisted: false,
        };
        self.quarantined.insert(fingerprint, quarantined);
        self.newly_quarantined.push(fingerprint);
        self.has_changes = true;
        for process in self
            .exits_by_request
            .get(&fingerprint)
            .into_iter()
            .flatten()
        {
            if let Some(it) = self.exits.get_mut(process) {
                it.touch(now);
            }
        }
    }

    /// Returns the exits that count against a request: those that no other quarantined request
    /// explains.
    fn counted_exits(&self, fingerprint: Fingerprint) -> BTreeSet<ProcessId> {
        let found = self.exits_by_request.get(&fingerprint);
        let counts = |it: &&ProcessId| {
            self.exits.get(it).is_some_and(|exit| {
                exit.is_suspect(fingerprint)
                    && !self.quarantined.keys().any(|quarantined| {
                        *quarantined != fingerprint && exit.is_suspect(*quarantined)
                    })
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
    fn has_rival(&self, fingerprint: Fingerprint) -> bool {
        let counted_exits = self.counted_exits(fingerprint);
        let mut exits = counted_exits.iter().filter_map(|it| self.exits.get(it));
        let Some(first) = exits.next() else {
            return false;
        };
        let mut rivals: BTreeSet<Fingerprint> = first
            .uncleared_suspects()
            .filter(|it| *it != fingerprint && !it.is_part())
            .collect();
        for exit in exits {
            rivals.retain(|it| exit.is_suspect(*it));
        }
        !rivals.is_empty()
    }
}

/// Returns for how long a request or part is quarantined.
fn quarantine_time(fingerprint: Fingerprint) -> Duration {
    if fingerprint.is_part() {
        PART_QUARANTINE_TIME
    } else {
        QUARANTINE_TIME
    }
}
