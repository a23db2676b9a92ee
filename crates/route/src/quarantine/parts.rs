//! Quarantine of parts of prompts.
//!
//! No two requests with such a part need be alike, so the parts that are in flight at exits are
//! suspects like requests. They differ from requests in that sound requests share them: one answer
//! shows that a part was sound until then, and an exit of several endpoints at the same moment has
//! all parts in use as suspects.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Exit, Fingerprint, Quarantine};

/// Number of exits after which a part is quarantined.
const MIN_PART_EXITS: usize = 5;
/// Number of different moments of these exits. Endpoints that lose power together exit at one.
const MIN_MOMENTS: usize = 4;
/// The time between two moments.
const MIN_MOMENT_GAP: Duration = Duration::from_millis(150);
/// The age from which exits count against parts. By then the other hosts' suspects have arrived,
/// and answers that were complete at the exit show which parts are sound.
const MIN_EXIT_AGE: Duration = Duration::from_millis(1_500);
/// The time after an answer for which a process must keep running to show that the parts were
/// sound. A part makes processes exit when they begin to answer, so it hardly gets a whole answer.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);
/// The age up to which exits count against parts.
const MAX_EXIT_AGE: Duration = Duration::from_mins(1);
/// Interval of evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

impl Quarantine {
    /// Quarantines the parts that explain most exits, if enough time has passed since the last
    /// evaluation.
    pub(super) fn quarantine_parts(&mut self, now: Duration) {
        if self.exits.is_empty() || now < self.parts_evaluated + EVALUATION_INTERVAL {
            return;
        }
        self.parts_evaluated = now;
        while let Some(part) = self.worst_part(now) {
            self.add_quarantined(now, part, now);
            self.release_explained();
        }
    }

    /// Returns the part that is a suspect of the most exits that no quarantined part explains, if
    /// they are enough. Of parts with as many, the one that comes last in prompts: a part before it
    /// is a suspect of all exits that it causes.
    fn worst_part(&self, now: Duration) -> Option<Fingerprint> {
        let is_counted = |it: &&Exit| {
            let age = now.saturating_sub(it.at);
            (MIN_EXIT_AGE..=MAX_EXIT_AGE).contains(&age) && !self.is_explained_by_part(it)
        };
        let counted: Vec<_> = self.exits.values().filter(is_counted).collect();
        let mut times: BTreeMap<Fingerprint, Vec<Duration>> = BTreeMap::new();
        for exit in &counted {
            for part in exit.uncleared_suspects().filter(|it| it.is_part()) {
                times.entry(part).or_default().push(exit.at);
            }
        }
        let all: Vec<_> = counted.iter().map(|it| it.at).collect();
        times
            .into_iter()
            .filter(|it| may_be_cause(&it.1, &all))
            .map(|(part, times)| (times.len(), part.position(), part))
            .max()
            .map(|it| it.2)
    }

    /// Clears the parts of requests that were answered by endpoints which kept running.
    pub(super) fn clear_answered_parts(&mut self, now: Duration) {
        while let Some(it) = self.answered_parts.front()
            && now.saturating_sub(it.at) > SURVIVAL_TIME
        {
            let (at, part) = (it.at, it.fingerprint);
            self.answered_parts.pop_front();
            self.survived.record(at, part);
            self.clear_part(now, part, at);
        }
    }

    /// Records that a part was sound until `at`: an endpoint kept running after its answer.
    fn clear_part(&mut self, now: Duration, part: Fingerprint, at: Duration) {
        let Some(processes) = self.exits_by_request.get(&part) else {
            return;
        };
        for it in processes {
            if let Some(exit) = self.exits.get_mut(it).filter(|it| it.at <= at) {
                self.has_changes |= exit.clear(now, part);
            }
        }
        self.release_cleared_part(part);
    }

    /// Releases a part if too few exits count against it that aren't cleared.
    pub(super) fn release_cleared_part(&mut self, part: Fingerprint) {
        let processes = self.exits_by_request.get(&part).into_iter().flatten();
        let exits = processes.filter_map(|it| self.exits.get(it));
        let (uncleared, cleared): (Vec<_>, Vec<_>) = exits.partition(|it| it.is_suspect(part));
        if !cleared.is_empty() && uncleared.len() < MIN_PART_EXITS {
            self.release(part);
        }
    }

    /// Releases the requests that were in flight only at exits that quarantined parts explain.
    fn release_explained(&mut self) {
        let requests = self.quarantined.keys().copied();
        let explained: Vec<_> = requests.filter(|it| self.is_explained(*it)).collect();
        for it in explained {
            self.release(it);
        }
    }

    /// Returns whether quarantined parts explain all exits of which a request is a suspect.
    pub(super) fn is_explained(&self, request: Fingerprint) -> bool {
        let Some(processes) = self.exits_by_request.get(&request) else {
            return false;
        };
        let mut exits = processes.iter().filter_map(|it| self.exits.get(it));
        !request.is_part() && exits.all(|it| self.is_explained_by_part(it))
    }

    fn is_explained_by_part(&self, exit: &Exit) -> bool {
        let mut parts = self.quarantined.keys().filter(|it| it.is_part());
        parts.any(|it| exit.is_suspect(*it))
    }
}

/// Returns whether exits at these times are enough to conclude that something which was in flight
/// at all of them is their cause. `all` are the times of these and other exits.
///
/// Of exits that have other causes, a part that few requests have is a suspect of some by chance;
/// a cause is one of most exits from its first to its last.
fn may_be_cause(times: &[Duration], all: &[Duration]) -> bool {
    let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
        return false;
    };
    let between = all.iter().filter(|it| (first..=last).contains(it)).count();
    times.len() >= MIN_PART_EXITS && 3 * times.len() >= 2 * between && moments(times) >= MIN_MOMENTS
}

/// Returns the number of moments at which these events happened.
fn moments(times: &[Duration]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut last: Option<Duration> = None;
    let mut count = 0;
    for at in times {
        if last.is_none_or(|it| at >= it + MIN_MOMENT_GAP) {
            last = Some(at);
            count += 1;
        }
    }
    count
}
