//! The request rates that endpoints state, and the reports on them to other hosts.

use std::collections::hash_map::Entry as Slot;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use kernel::EndpointId;

use super::Directory;
use crate::endpoint::{Key, ProcessId};
use crate::rate_limit::{Change, Effect, Report, RequestRate};

/// Maximum number of reports in an update. With two updates a second to each neighbour, they take
/// a small part of what a host may send.
const MAX_REPORTS: usize = 16;
/// The least time between two reports of the use of one rate.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// The number of rates whose use can be reported in [`MIN_REFRESH_INTERVAL`].
const REPORTED_RATES: u32 = 64;
/// The interval at which all known rates are reported, for hosts that missed them.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The time for which a lifted limit is still reported, so that outdated reports of it don't
/// count.
const LIFTED_RETENTION: Duration = Duration::from_mins(1);
/// The time for which a report on an endpoint that isn't listed yet is kept.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);

/// The endpoints that state a rate or did recently, and the reports that are due.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    known: BTreeSet<Key>,
    /// Endpoints to report, changes first.
    due: VecDeque<Key>,
    last_full_report: Duration,
    /// Reports on endpoints that this host doesn't list yet. Without them, a host that starts, and
    /// is told the rates before the listing, would send each endpoint requests until the next
    /// report.
    unlisted: HashMap<ProcessId, Unlisted>,
    /// Whether a rate changed since the last [`Directory::take_rate_limit_news`].
    has_news: bool,
}

/// A report on an endpoint that isn't listed yet.
#[derive(Clone, Debug)]
struct Unlisted {
    report: Report,
    received_at: Duration,
}

impl RateLimits {
    fn insert(&mut self, key: Key) {
        self.known.insert(key);
        self.due.retain(|it| *it != key);
        self.due.push_front(key);
        self.has_news = true;
    }

    fn report_use(&mut self, key: Key) {
        if !self.due.contains(&key) {
            self.due.push_back(key);
        }
    }

    /// Keeps a report until its endpoint is listed. Returns the change if the report is newer than
    /// the one that was kept.
    fn keep_unlisted(&mut self, now: Duration, report: &Report) -> Option<Change> {
        let unlisted = Unlisted {
            report: report.clone(),
            received_at: now,
        };
        match self.unlisted.entry(report.process()) {
            Slot::Occupied(kept) if kept.get().report.version >= report.version => return None,
            Slot::Occupied(mut kept) => {
                kept.insert(unlisted);
            }
            Slot::Vacant(free) => {
                free.insert(unlisted);
            }
        }
        Some(report.rate.map_or(Change::Lifted, Change::Stated))
    }

    /// Returns the least time between two reports of the use of one rate, which grows with the
    /// number of rates: reports that come later than expected would let other hosts use the rate
    /// as well.
    fn refresh_interval(&self) -> Duration {
        let known = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        MIN_REFRESH_INTERVAL.max(MIN_REFRESH_INTERVAL * known / REPORTED_RATES)
    }
}

impl Directory {
    /// Records what the response to a request sent at `sent_at` states.
    pub(crate) fn record_rate_limit(
        &mut self,
        now: Duration,
        sent_at: Duration,
        key: Key,
        stated: Option<RequestRate>,
    ) -> Option<Change> {
        let it = self.endpoints.get_mut(key)?;
        let change = it.rate_limit.record(now, sent_at, stated)?;
        self.rate_limits.insert(key);
        self.refresh_rate_limit(key);
        Some(change)
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn record_limited_send(&mut self, now: Duration, key: Key) {
        let refresh_interval = self.rate_limits.refresh_interval();
        let Some(it) = self.endpoints.get_mut(key) else {
            return;
        };
        if it.rate_limit.record_send(now, refresh_interval) {
            self.rate_limits.report_use(key);
        }
    }

    /// Returns whether a rate changed since the last call that other hosts must be told of.
    pub(crate) fn take_rate_limit_news(&mut self) -> bool {
        std::mem::take(&mut self.rate_limits.has_news)
    }

    /// Returns the reports to send in one update.
    pub(crate) fn rate_limit_reports(&mut self, now: Duration) -> Vec<Report> {
        self.queue_full_report(now);
        let count = self.rate_limits.due.len().min(MAX_REPORTS);
        let due: Vec<Key> = self.rate_limits.due.drain(..count).collect();
        let endpoints = due.iter().filter_map(|it| self.endpoints.get(*it));
        endpoints
            .map(|it| it.rate_limit.report(now, &it.entry))
            .collect()
    }

    fn queue_full_report(&mut self, now: Duration) {
        let is_due = now >= self.rate_limits.last_full_report + FULL_REPORT_INTERVAL;
        if !is_due || !self.rate_limits.due.is_empty() {
            return;
        }
        self.rate_limits.last_full_report = now;
        let endpoints = &self.endpoints;
        self.rate_limits.known.retain(|it| {
            let limit = endpoints.get(*it).map(|it| it.rate_limit);
            limit.is_some_and(|it| it.rate().is_some() || now < it.changed_at() + LIFTED_RETENTION)
        });
        self.rate_limits.due.extend(&self.rate_limits.known);
        let is_recent = |it: &Unlisted| now < it.received_at + UNLISTED_RETENTION;
        self.rate_limits.unlisted.retain(|_, it| is_recent(it));
    }

    /// Returns the reports on all rates, for a host that starts.
    pub(crate) fn all_rate_limit_reports(&self, now: Duration) -> Vec<Report> {
        let known = self.rate_limits.known.iter();
        let endpoints = known.filter_map(|it| self.endpoints.get(*it));
        endpoints
            .map(|it| it.rate_limit.report(now, &it.entry))
            .collect()
    }

    /// Applies another host's reports, and returns the endpoints whose rate changed.
    pub(crate) fn apply_rate_limit_reports(
        &mut self,
        now: Duration,
        reports: &[Report],
    ) -> Vec<(EndpointId, Change)> {
        let mut changes = Vec::new();
        for it in reports {
            if let Some(change) = self.apply_rate_limit_report(now, it) {
                changes.push((it.endpoint.clone(), change));
            }
        }
        changes
    }

    fn apply_rate_limit_report(&mut self, now: Duration, report: &Report) -> Option<Change> {
        let Some(key) = self.process(report) else {
            return self.rate_limits.keep_unlisted(now, report);
        };
        let refresh_interval = self.rate_limits.refresh_interval();
        let it = self.endpoints.get_mut(key)?;
        match it.rate_limit.apply(now, report, refresh_interval) {
            Effect::Changed(change) => {
                self.rate_limits.insert(key);
                self.refresh_rate_limit(key);
                change
            }
            Effect::Used => {
                self.rate_limits.report_use(key);
                None
            }
            Effect::Nothing => None,
        }
    }

    /// Returns the listed process that a report is about.
    fn process(&self, report: &Report) -> Option<Key> {
        let key = *self.by_id.get(&report.endpoint)?;
        let it = self.endpoints.get(key)?;
        (it.entry.incarnation == report.incarnation).then_some(key)
    }

    /// Applies the report that was kept for an endpoint which is listed from now on.
    pub(super) fn apply_kept_report(&mut self, key: Key) {
        let process = self.endpoints.get(key).map(|it| it.entry.process());
        let kept = process.and_then(|it| self.rate_limits.unlisted.remove(&it));
        if let Some(it) = kept {
            self.apply_rate_limit_report(it.received_at, &it.report);
        }
    }

    /// Divides the rates anew, after the hosts changed.
    pub(super) fn refresh_rate_limits(&mut self) {
        for key in self.rate_limits.known.clone() {
            self.refresh_rate_limit(key);
        }
    }

    fn refresh_rate_limit(&mut self, key: Key) {
        let refresh_interval = self.rate_limits.refresh_interval();
        if let Some(it) = self.endpoints.get_mut(key) {
            let process = it.entry.process();
            it.rate_limit
                .divide(process, self.peers.as_ref(), refresh_interval);
        }
    }

    /// Returns the number of endpoints that take requests and state a limit on their rate.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let known = self.rate_limits.known.iter();
        let endpoints = known.filter_map(|it| self.endpoints.get(*it));
        endpoints
            .filter(|it| it.takes_work() && it.rate_limit.rate().is_some())
            .count()
    }
}
