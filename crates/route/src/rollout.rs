//! Progressive roll-out of a release: which requests it gets, and whether it is good or bad.

mod assignment;
mod evidence;
mod history;
mod latency;
mod observation;
mod order;
mod pooled;
mod record;
mod side;
mod update;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kernel::HostName;

use crate::Revision;

pub(crate) use history::History;
use latency::{Baseline, LatencyKind};
use pooled::Pool;

pub use evidence::{Evidence, ResponseCounts};
pub use history::Replaced;
pub use latency::{LatencyRatios, SlowShare};
pub use observation::Observation;
pub use order::{Order, Verdict};
pub use pooled::{PartialSum, Total};
pub use record::Record;
pub use side::Side;
pub use update::{Scope, Update};

/// Earliest completion of the roll-out, as a fraction of its duration. Endpoints of the old release
/// stop immediately at that point, so requests sent to them before the shift must have ended.
const COMPLETE_FRACTION: f64 = 0.86;
/// Minimum number of the old release's responses for a bad verdict, and of the new release's for a
/// good one. A host that has just started has no baseline, and would blame the new release for any
/// other fault.
const MIN_RESPONSES: u32 = 20;
/// Minimum number of failed responses for a bad verdict because of failures. The bound on responses
/// of a release that has proved bad starts at the 50th failure.
const MIN_FAILURES: u32 = 5;
/// Maximum difference between the lower confidence bound of the new release's failure rate and the
/// old release's failure rate. Above it, the new release is judged bad.
const FAILURE_RATE_MARGIN: f64 = 0.05;
/// The new release is judged bad if the geometric mean of the ratios of its times between events to
/// the old release's exceeds this with confidence.
const MAX_EVENT_INTERVAL_RATIO: f64 = 1.6;
/// The same limit for the time until a response starts, on routes that choose the model. It varies
/// most because the new release's caches are empty.
const MAX_RELATIVE_START_RATIO: f64 = 2.2;
/// The same limit for the time until a response starts, on other routes.
const MAX_RESPONSE_START_RATIO: f64 = 1.4;

/// Time during which hosts exchange their active sessions before the new release gets any requests.
/// Updates are sent twice in that time.
const SESSION_EXCHANGE_TIME: Duration = Duration::from_millis(1_200);
/// Minimum time between the announcement of the trial's end and that end, per hop of gossip. Three
/// times what a change takes to reach all hosts, to tolerate lost messages.
const TRIAL_END_NOTICE: Duration = Duration::from_millis(300);
/// Time added to the exchange of sessions for each extra hop that an update needs to reach all
/// hosts.
const EXTRA_HOP_DELAY: Duration = Duration::from_millis(600);
/// Factor by which the number of hosts that an update reaches grows per hop.
const HOSTS_PER_HOP: u32 = 8;

/// The state of a roll-out on this host.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The operator's order.
    pub order: Order,
    /// The current verdict.
    pub verdict: Verdict,
    pub(crate) history: History,
    initial_revision: Revision,
    started: Duration,
    session_exchange: Duration,
    exposure: f64,
    trial_end_notice: Duration,
    trial_end: Option<Duration>,
    pool: Pool,
    /// The old release's latencies, as logarithms, by class of request.
    baselines: HashMap<(u64, LatencyKind), Baseline>,
    /// Sessions that other hosts reported as begun on the old release. They stay on it during the
    /// first half of the roll-out.
    pinned_sessions: HashSet<u64>,
    /// Such sessions, of this host or others, that were already sent to the neighbours.
    announced_sessions: HashSet<u64>,
}

impl Rollout {
    /// Creates a roll-out that began at `started` on a fleet of `hosts` hosts. An unproven release
    /// may get at most the share `exposure` of all requests.
    #[must_use]
    pub fn new(order: Order, started: Duration, exposure: f64, hosts: u32) -> Self {
        let extra_hops = hosts.max(HOSTS_PER_HOP).ilog(HOSTS_PER_HOP) - 1;
        Self {
            session_exchange: SESSION_EXCHANGE_TIME + EXTRA_HOP_DELAY * extra_hops,
            initial_revision: order.revision,
            order,
            verdict: Verdict::Running,
            history: History::default(),
            started,
            exposure,
            trial_end_notice: TRIAL_END_NOTICE * if hosts > 1 { 1 + extra_hops } else { 0 },
            trial_end: None,
            pool: Pool::default(),
            baselines: HashMap::new(),
            pinned_sessions: HashSet::new(),
            announced_sessions: HashSet::new(),
        }
    }

    /// Returns the order's revision when the roll-out began. It identifies the roll-out even after
    /// the order was rewritten.
    #[must_use]
    pub fn initial_revision(&self) -> Revision {
        self.initial_revision
    }

    /// Adopts `order` if it is the current order, written again after the store lost it. Returns
    /// whether it is.
    ///
    /// If it were treated as a new order, a release that was found bad would be tried again, and
    /// sessions that have moved would move back.
    pub(crate) fn adopt_rewritten(&mut self, order: &Order) -> bool {
        let known = &mut self.order;
        let is_same = (&known.release, known.duration) == (&order.release, order.duration);
        let is_rewritten = is_same && order.revision.era > known.revision.era;
        if is_rewritten {
            known.revision = order.revision;
        }
        is_rewritten
    }

    /// Returns the time since the order was first seen by any host, as far as this one knows.
    #[must_use]
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Returns the roll-out as the store keeps it.
    #[must_use]
    pub fn record(&self, now: Duration) -> Record {
        Record {
            service: self.order.service.clone(),
            release: self.order.release.clone(),
            revision: self.order.revision,
            elapsed: self.elapsed(now),
            replaced: self.history.withdrawals(),
        }
    }

    /// Applies the store's record of this service's roll-outs, which was read at `read_at`.
    pub(crate) fn apply_record(&mut self, read_at: Duration, record: &Record) {
        for replaced in record.replaced.iter().cloned() {
            self.history.add(replaced);
        }
        let is_same_release = record.release == self.order.release;
        let is_rewritten = record.revision.era < self.order.revision.era;
        if is_same_release && (record.revision == self.order.revision || is_rewritten) {
            self.started = self.started.min(read_at.saturating_sub(record.elapsed));
        } else if record.revision < self.order.revision {
            // Its verdict is in the store's status, unless the next roll-out has replaced that.
            self.history.add(Replaced {
                release: record.release.clone(),
                revision: record.revision,
                verdict: Verdict::Running,
            });
        }
    }

    /// Returns the verdict that this host reaches from the evidence, if one is due.
    #[must_use]
    pub fn own_verdict(&self, now: Duration) -> Option<Verdict> {
        if self.verdict != Verdict::Running {
            return None;
        }
        if self.is_bad() {
            return Some(Verdict::Reverted);
        }
        (self.progress(now) >= COMPLETE_FRACTION && self.is_good()).then_some(Verdict::Complete)
    }

    /// Records a response, or a failure, of either release.
    pub fn record_response(&mut self, side: Side, observation: &Observation) {
        let counts = match side {
            Side::Old => &mut self.pool.own.old,
            Side::New => &mut self.pool.own.new,
        };
        counts.add(observation.counts());
        if side == Side::New && observation.is_crowded {
            self.pool.own.crowded.add(observation.counts());
        }
        if !observation.failed {
            self.record_latency(
                side,
                (observation.class, LatencyKind::RelativeStart),
                observation.relative_start,
            );
            self.record_latency(
                side,
                (observation.class, LatencyKind::ResponseStart),
                observation.response_start,
            );
            self.record_latency(
                side,
                (observation.class, LatencyKind::EventInterval),
                observation.event_interval,
            );
        }
    }

    /// Adds a latency to the baseline (old release), and compares it with the baseline of its class.
    fn record_latency(&mut self, side: Side, key: (u64, LatencyKind), value: Option<f64>) {
        let Some(value) = value.filter(|it| *it > 0.0).map(f64::ln) else {
            return;
        };
        let baseline = self.baselines.entry(key).or_default();
        if baseline.is_known() {
            let own = &mut self.pool.own;
            // The start of a response on a route that chooses the model depends on caches, which
            // are empty at a new release's endpoints.
            let (ratios, slow) = match key.1 {
                LatencyKind::RelativeStart => (&mut own.relative_start, None),
                LatencyKind::ResponseStart => (&mut own.response_start, Some(&mut own.slow_starts)),
                LatencyKind::EventInterval => {
                    (&mut own.event_interval, Some(&mut own.slow_intervals))
                }
            };
            if let Some(slow) = slow {
                slow.add(side, baseline.is_slow(value));
            }
            if side == Side::New {
                ratios.add(value - baseline.mean);
            }
        }
        if side == Side::Old {
            baseline.add(value);
        }
    }

    /// Returns what this host itself has observed.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        self.pool.own
    }

    /// Builds the update for other hosts. It includes the sessions that stay on the old release:
    /// those of this host, and those that other hosts reported.
    pub fn build_update(
        &mut self,
        now: Duration,
        pinned_sessions: impl Iterator<Item = u64>,
        scope: Scope,
    ) -> Update {
        let mut pinned_sessions: HashSet<u64> = pinned_sessions.collect();
        if self.is_pinning_sessions(now) {
            pinned_sessions.extend(&self.pinned_sessions);
        }
        if scope == Scope::Delta {
            pinned_sessions.retain(|it| self.announced_sessions.insert(*it));
        }
        Update {
            order: self.order.clone(),
            elapsed: self.elapsed(now),
            verdict: self.verdict,
            trial_end: self.trial_end,
            evidence: self.pool.own,
            partial_sums: Vec::new(),
            totals: self.pool.totals(scope),
            pinned_sessions: pinned_sessions.into_iter().collect(),
            replaced: self.history.withdrawals(),
        }
    }

    /// Returns the evidence of this host and of the hosts that report to it, for the aggregating
    /// host `root`.
    #[must_use]
    pub fn partial_sum(&self, now: Duration, root: usize, distance: u8) -> PartialSum {
        self.pool.partial_sum(now, root, distance)
    }

    /// Publishes the fleet's total evidence while the roll-out is running. Called on an
    /// aggregating host: `root` is its index in [`PartialSum`], `aggregator` its ID in [`Total`].
    pub fn publish_total(&mut self, now: Duration, root: usize, aggregator: u64) {
        if self.verdict == Verdict::Running {
            self.pool.publish_total(now, root, aggregator);
        }
    }

    /// Applies another host's update on the same roll-out; its evidence replaces that of the
    /// host's previous update. Returns whether neighbours must be informed at once.
    ///
    /// The caller removes partial sums of hosts that aren't farther from the aggregating host.
    pub fn apply_update(&mut self, now: Duration, host: &HostName, update: &Update) -> bool {
        let known = self.pinned_sessions.len();
        self.pinned_sessions.extend(&update.pinned_sessions);
        // A host that started later saw the order later than the others.
        self.started = self.started.min(now.saturating_sub(update.elapsed));
        let verdict = self.verdict;
        if self.verdict == Verdict::Running {
            self.verdict = update.verdict;
        }
        let earlier = [self.trial_end, update.trial_end]
            .into_iter()
            .flatten()
            .min();
        let has_new_end = earlier != self.trial_end;
        self.trial_end = earlier;
        let has_new_total = self.pool.apply_update(now, host, update);
        let has_new_sessions = self.is_pinning_sessions(now) && self.pinned_sessions.len() > known;
        has_new_sessions || has_new_end || has_new_total || self.verdict != verdict
    }

    /// Returns the elapsed fraction of the roll-out's duration.
    #[must_use]
    pub fn progress(&self, now: Duration) -> f64 {
        self.elapsed(now)
            .div_duration_f64(self.order.duration.max(Duration::from_millis(1)))
    }

    fn is_bad(&self) -> bool {
        let all = self.pooled();
        let max_failure_rate = all.old.failure_rate() + FAILURE_RATE_MARGIN;
        let fails = [all.new, all.crowded]
            .iter()
            .any(|it| it.failures >= MIN_FAILURES && it.min_failure_rate() > max_failure_rate);
        let is_slow = all.event_interval.exceeds(MAX_EVENT_INTERVAL_RATIO)
            || all.relative_start.exceeds(MAX_RELATIVE_START_RATIO)
            || all.response_start.exceeds(MAX_RESPONSE_START_RATIO)
            || all.slow_starts.is_worse()
            || all.slow_intervals.is_worse();
        all.old.responses >= MIN_RESPONSES && (fails || is_slow)
    }

    fn is_good(&self) -> bool {
        !self.is_bad() && self.pooled().new.responses >= MIN_RESPONSES
    }

    /// Returns the evidence of all hosts, as far as this host knows it.
    #[must_use]
    pub fn pooled(&self) -> Evidence {
        self.pool.pooled()
    }
}
