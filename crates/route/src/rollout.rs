//! Progressive roll-out of a release: which requests it gets, and whether it is good or bad.

mod drift;
mod evidence;
mod news;
mod order;
mod pooled;
mod side;
mod sighting;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kernel::{HostName, Release, hash};

use crate::Revision;

use drift::{Mean, Pace};
use pooled::Pool;

pub use drift::Drift;
pub use evidence::{Evidence, Tally};
pub use news::{News, Scope};
pub use order::{Order, Verdict};
pub use pooled::{Sum, Total};
pub use side::Side;
pub use sighting::Sighting;

/// Fraction of the allowed exposure that the release gets during its trial. The rest is a reserve
/// for requests that hosts count differently at the edges.
const TRIAL_PART: f64 = 0.5;
/// When the trial ends and one endpoint of the new release is filled to capacity, as a fraction of
/// the roll-out's duration. A release may fail only when most of an endpoint's slots are in use,
/// which a trial under light load doesn't show.
const FILL_AT: f64 = 0.5;
/// Share of requests that the new release gets while one endpoint is filled, as a multiple of the
/// allowed exposure. That phase is short, so the whole roll-out stays within the allowed exposure.
const FILL_PART: f64 = 4.0;
/// When traffic starts to shift to the new release, as a fraction of the roll-out's duration.
const MOVE_AT: f64 = 0.62;
/// When all traffic has shifted.
const MOVED_AT: f64 = 0.74;
/// When the roll-out is complete. Endpoints of the old release stop immediately at that point, so
/// requests sent to them before the shift must have ended.
const COMPLETE_AT: f64 = 0.86;
/// Minimum number of the old release's responses for a bad verdict, and of the new release's for a
/// good one. A host that has just started has no baseline, and would blame the new release for any
/// other fault.
const MIN_ANSWERS: u32 = 20;
/// Minimum number of failed responses for a bad verdict because of failures.
const MIN_BAD: u32 = 5;
/// How far the lower confidence bound of the new release's failure rate may exceed the old
/// release's rate.
const MARGIN: f64 = 0.05;
/// Latency ratios between the new and the old release (geometric mean) above which the new one is
/// judged bad: between events of a stream, until a stream starts, and until a complete response
/// starts. The start of a stream varies most because the new release's caches are empty.
const SLOW_STEP: f64 = 1.6;
const SLOW_FIRST: f64 = 2.2;
const SLOW_WHOLE: f64 = 1.4;

/// How long hosts exchange which sessions are active before the new release gets any requests.
/// Updates are sent twice in that time.
const GATHERING: Duration = Duration::from_millis(1_200);
/// How long before the end of the trial it is announced, once plus once for each extra hop of
/// gossip. Several times the propagation delay, to tolerate lost messages.
const NOTICE: Duration = Duration::from_millis(300);
/// Time added for each extra hop that an update needs to reach all hosts, and the factor by which
/// the number of reached hosts grows per hop.
const FURTHER: Duration = Duration::from_millis(600);
const REACHED: u32 = 8;

/// The state of a roll-out on this host.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The operator's order.
    pub order: Order,
    /// The current verdict.
    pub verdict: Verdict,
    began_as: Revision,
    started: Duration,
    gathering: Duration,
    exposure: f64,
    notice: Duration,
    moves_on: Option<Duration>,
    pool: Pool,
    /// Moving means of the old release's latencies, as logarithms, by class of request.
    usual: HashMap<(u64, Pace), Mean>,
    /// Sessions that began on the old release and stay on it during the trial.
    held: HashSet<u64>,
    /// Those of these sessions that were already sent to the neighbours.
    told: HashSet<u64>,
}

impl Rollout {
    /// Creates a roll-out that began at `started` on a fleet of `hosts` hosts. An unproven release
    /// may get at most the share `exposure` of all requests.
    #[must_use]
    pub fn new(order: Order, started: Duration, exposure: f64, hosts: u32) -> Self {
        let further = hosts.max(REACHED).ilog(REACHED) - 1;
        Self {
            gathering: GATHERING + FURTHER * further,
            began_as: order.revision,
            order,
            verdict: Verdict::Running,
            started,
            exposure,
            notice: NOTICE * if hosts > 1 { 1 + further } else { 0 },
            moves_on: None,
            pool: Pool::default(),
            usual: HashMap::new(),
            held: HashSet::new(),
            told: HashSet::new(),
        }
    }

    /// Returns the order's revision when the roll-out began. It identifies the roll-out even after
    /// the order was rewritten.
    #[must_use]
    pub fn began_as(&self) -> Revision {
        self.began_as
    }

    /// Adopts `order` if it is the current order, written again after the store lost it. Returns
    /// whether it is.
    ///
    /// If it were treated as a new order, a release that was found bad would be tried again, and
    /// sessions that have moved would move back.
    pub(crate) fn renew(&mut self, order: &Order) -> bool {
        let known = &mut self.order;
        let is_same = (&known.release, known.over) == (&order.release, order.over);
        let is_again = is_same && order.revision.era > known.revision.era;
        if is_again {
            known.revision = order.revision;
        }
        is_again
    }

    /// Returns the share of requests that goes to the new release.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Running if self.is_gathering(now) => 0.0,
            Verdict::Running => {
                // Bad evidence limits exposure at once; the verdict follows at the next poll.
                if !self.has_moved_on(now) || self.is_bad() {
                    return self.trial_share();
                }
                let progress = self.progress(now);
                // The share never decreases, so sessions that have moved stay.
                let filled = (self.exposure * FILL_PART).min(1.0);
                let moved = (progress - MOVE_AT) / (MOVED_AT - MOVE_AT);
                filled + moved.clamp(0.0, 1.0) * (1.0 - filled)
            }
        }
    }

    /// Chooses the release for a request whose session this host doesn't know.
    #[must_use]
    pub(crate) fn side(&self, now: Duration, session: u64) -> Side {
        if self.is_trial(now) && self.held.contains(&session) {
            return Side::Old;
        }
        if lot(session) < self.share(now) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Chooses the release for a request whose session is already on `release`.
    ///
    /// The session stays there during the first half of the roll-out. In the second half, when the
    /// new release has proved good, sessions move to it with all other traffic.
    #[must_use]
    pub(crate) fn keep(&self, now: Duration, release: &Release, session: u64) -> Side {
        match self.verdict {
            Verdict::Complete => Side::New,
            Verdict::Reverted => Side::Old,
            Verdict::Running if *release == self.order.release => Side::New,
            Verdict::Running if self.is_trial(now) => Side::Old,
            Verdict::Running => self.side(now, session),
        }
    }

    /// Returns whether the session would be on the new release if it hadn't started on the old
    /// one. The other hosts must be informed of such sessions.
    pub(crate) fn is_contested(&self, session: u64) -> bool {
        lot(session) < self.trial_share()
    }

    fn trial_share(&self) -> f64 {
        self.exposure * TRIAL_PART
    }

    fn is_gathering(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < self.gathering
    }

    /// Returns whether sessions that started on the old release stay there.
    fn is_trial(&self, now: Duration) -> bool {
        const FIRST_HALF: f64 = 0.5;
        self.progress(now) < FIRST_HALF
    }

    /// Returns whether one endpoint of the new release is being filled to capacity.
    #[must_use]
    pub(crate) fn is_filling(&self, now: Duration) -> bool {
        let is_running = self.verdict == Verdict::Running;
        is_running && self.has_moved_on(now) && self.progress(now) < MOVE_AT
    }

    /// Schedules the end of the trial if it is due and the release has proved good. Returns
    /// whether other hosts must be informed.
    ///
    /// If each host decided by the evidence it has received, some would end the trial earlier than
    /// others, and a session that changes hosts would alternate between the releases. Instead, one
    /// host proposes a time that all learn before it comes.
    pub fn advance(&mut self, now: Duration) -> bool {
        let elapsed = self.elapsed(now);
        let fills = self.order.over.mul_f64(FILL_AT);
        let is_due = self.verdict == Verdict::Running && elapsed + self.notice >= fills;
        if self.moves_on.is_some() || !is_due || !self.is_good() {
            return false;
        }
        self.moves_on = Some(fills.max(elapsed + self.notice));
        true
    }

    fn has_moved_on(&self, now: Duration) -> bool {
        self.moves_on.is_some_and(|it| self.elapsed(now) >= it)
    }

    fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Returns whether an endpoint that runs `release` may take a request of this side.
    #[must_use]
    pub fn fits(&self, side: Side, release: &Release) -> bool {
        (side == Side::New) == (*release == self.order.release)
    }

    /// Returns the verdict that this host reaches from the evidence, if one is due.
    #[must_use]
    pub fn finding(&self, now: Duration) -> Option<Verdict> {
        if self.verdict != Verdict::Running {
            return None;
        }
        if self.is_bad() {
            return Some(Verdict::Reverted);
        }
        (self.progress(now) >= COMPLETE_AT && self.is_good()).then_some(Verdict::Complete)
    }

    /// Records a response, or a failure, of either release.
    pub fn answer(&mut self, side: Side, sighting: &Sighting) {
        let tally = match side {
            Side::Old => &mut self.pool.own.old,
            Side::New => &mut self.pool.own.new,
        };
        tally.add(sighting.tally());
        if side == Side::New && sighting.is_crowded {
            self.pool.own.crowded.add(sighting.tally());
        }
        if !sighting.failed {
            self.compare(side, (sighting.class, Pace::First), sighting.first);
            self.compare(side, (sighting.class, Pace::Whole), sighting.whole);
            self.compare(side, (sighting.class, Pace::Step), sighting.step);
        }
    }

    /// Adds a latency to the baseline (old release), or compares it with the baseline of its class
    /// (new release).
    fn compare(&mut self, side: Side, key: (u64, Pace), value: Option<f64>) {
        let Some(value) = value.filter(|it| *it > 0.0).map(f64::ln) else {
            return;
        };
        let usual = self.usual.entry(key).or_default();
        match side {
            Side::Old => usual.add(value),
            Side::New if usual.is_known() => {
                let drift = match key.1 {
                    Pace::First => &mut self.pool.own.first,
                    Pace::Whole => &mut self.pool.own.whole,
                    Pace::Step => &mut self.pool.own.step,
                };
                drift.add(value - usual.value);
            }
            Side::New => {}
        }
    }

    /// Returns what this host itself has observed.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        self.pool.own
    }

    /// Builds the update for other hosts. It includes the sessions that stay on the old release:
    /// those of this host, and those that other hosts reported.
    pub fn news(&mut self, now: Duration, held: impl Iterator<Item = u64>, scope: Scope) -> News {
        let mut held: HashSet<u64> = held.collect();
        if self.is_trial(now) {
            held.extend(&self.held);
        }
        if scope == Scope::Fresh {
            held.retain(|it| self.told.insert(*it));
        }
        News {
            order: self.order.clone(),
            elapsed: self.elapsed(now),
            verdict: self.verdict,
            moves_on: self.moves_on,
            evidence: self.pool.own,
            sums: Vec::new(),
            totals: self.pool.totals(scope),
            held: held.into_iter().collect(),
        }
    }

    /// Returns the evidence of this host and of the hosts that report to it, for the aggregating
    /// host `root`.
    #[must_use]
    pub fn sum(&self, now: Duration, root: usize, distance: u8) -> Sum {
        self.pool.sum(now, root, distance)
    }

    /// Publishes the fleet's total evidence while the roll-out is running. Called on an
    /// aggregating host, identified by `gatherer`.
    pub fn gather(&mut self, now: Duration, root: usize, gatherer: u64) {
        if self.verdict == Verdict::Running {
            self.pool.gather(now, root, gatherer);
        }
    }

    /// Applies another host's update on the same roll-out; its evidence replaces that of the
    /// host's previous update. Returns whether neighbours must be informed at once.
    pub fn hear(&mut self, now: Duration, host: &HostName, news: &News) -> bool {
        let known = self.held.len();
        self.held.extend(&news.held);
        // A host that started later saw the order later than the others.
        self.started = self.started.min(now.saturating_sub(news.elapsed));
        let verdict = self.verdict;
        if self.verdict == Verdict::Running {
            self.verdict = news.verdict;
        }
        let earlier = [self.moves_on, news.moves_on].into_iter().flatten().min();
        let is_agreed = earlier != self.moves_on;
        self.moves_on = earlier;
        let is_pooled = self.pool.hear(now, host, news);
        let is_held = self.is_trial(now) && self.held.len() > known;
        is_held || is_agreed || is_pooled || self.verdict != verdict
    }

    /// Returns the elapsed fraction of the roll-out's duration.
    #[must_use]
    pub fn progress(&self, now: Duration) -> f64 {
        self.elapsed(now)
            .div_duration_f64(self.order.over.max(Duration::from_millis(1)))
    }

    fn is_bad(&self) -> bool {
        let all = self.pooled();
        let usual = all.old.bad_share() + MARGIN;
        let fails = [all.new, all.crowded]
            .iter()
            .any(|it| it.bad >= MIN_BAD && it.least_bad_share() > usual);
        let is_slow = all.step.exceeds(SLOW_STEP)
            || all.first.exceeds(SLOW_FIRST)
            || all.whole.exceeds(SLOW_WHOLE);
        all.old.answers >= MIN_ANSWERS && (fails || is_slow)
    }

    fn is_good(&self) -> bool {
        !self.is_bad() && self.pooled().new.answers >= MIN_ANSWERS
    }

    /// Returns the evidence of all hosts, as far as this host knows it.
    #[must_use]
    pub fn pooled(&self) -> Evidence {
        self.pool.pooled()
    }
}

/// Maps a session to a number in `0..1` that decides which release it gets. The service is chosen
/// by other bits of the same hash: with the same bits, one service would get all requests on
/// trial.
fn lot(session: u64) -> f64 {
    hash::unit(session.rotate_left(32))
}
