//! A roll-out: which requests try the new release, and what it is found to be.

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

/// The part of the allowed exposure that a release gets while it is unproven.
/// The rest is for requests that hosts count differently at the edges.
const TRIAL_PART: f64 = 0.5;
/// When the trial ends and one endpoint of the new release is filled, as a part
/// of the time that the order gives. A release may be bad only while most of an
/// endpoint's places are taken, which a trial in a calm service never shows.
const FILL_AT: f64 = 0.5;
/// The part of the allowed exposure that the release gets meanwhile, of the
/// requests of that time: with the largest model's answers it fills an endpoint
/// of 48 places in a second and a half, and with the trial it stays at three
/// quarters of what is allowed of all.
const FILL_PART: f64 = 4.0;
/// When traffic moves.
const MOVE_AT: f64 = 0.62;
/// When all traffic has moved.
const MOVED_AT: f64 = 0.74;
/// When the roll-out is complete. Endpoints of the old release stop at once
/// then, so what was sent to them before the move must have ended.
const COMPLETE_AT: f64 = 0.86;
/// Answers of either release without which the new one is not judged. A host
/// that has just started has none of the old one to compare with, and whatever
/// befell the fleet would be put down to the new one.
const MIN_ANSWERS: u32 = 20;
/// Bad answers of the new release below which it is never judged bad. The
/// bound on answers after a release has shown itself bad starts at the 50th.
const MIN_BAD: u32 = 5;
/// How much greater than the old release's share of bad answers the new one's
/// may be, at the least that it can be.
const MARGIN: f64 = 0.05;
/// How many times as long as the old release's the new one's answers take, on
/// the geometric mean, for it to be bad: from one event to the next, until a
/// stream begins, and until a whole answer does. Streams vary most in that,
/// since the new one's caches are empty.
const SLOW_STEP: f64 = 1.6;
const SLOW_FIRST: f64 = 2.2;
const SLOW_WHOLE: f64 = 1.4;

/// How long hosts tell each other which sessions are under way before the new
/// release gets any. News comes twice in that time.
const GATHERING: Duration = Duration::from_millis(1_200);
/// How long before a release leaves its trial all hosts are told so, and as long again
/// for each time that it has to be told on: three times what a change takes to reach
/// all, so that lost messages are made up for.
const NOTICE: Duration = Duration::from_millis(300);
/// What is added for each time that news has to be told on to reach all hosts,
/// and how many more hosts it reaches then.
const FURTHER: Duration = Duration::from_millis(600);
const REACHED: u32 = 8;

/// A roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// What was asked for.
    pub order: Order,
    /// What it has come to.
    pub verdict: Verdict,
    /// The order's revision when the roll-out began.
    began_as: Revision,
    started: Duration,
    gathering: Duration,
    exposure: f64,
    notice: Duration,
    moves_on: Option<Duration>,
    pool: Pool,
    /// The old release's usual times, as logarithms.
    usual: HashMap<(u64, Pace), Mean>,
    /// Sessions that began on the old release and stay there while it is on trial.
    held: HashSet<u64>,
    /// Those of them that were told to the neighbours.
    told: HashSet<u64>,
}

impl Rollout {
    /// A roll-out over so many hosts that began at `started`, which may expose an
    /// unproven release to this share of requests.
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

    /// The order's revision when the roll-out began: what tells it from others, also
    /// after the order was written again.
    #[must_use]
    pub fn began_as(&self) -> Revision {
        self.began_as
    }

    /// Takes an order that is the same one, written again after the store came back
    /// without it, and says whether it is.
    ///
    /// Taken for a new one, a release that was found bad would be tried again, and
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

    /// The share of requests that goes to the new release.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Running if self.is_gathering(now) => 0.0,
            Verdict::Running => {
                // This host's own verdict comes with its next look at the roll-out.
                if !self.has_moved_on(now) || self.is_bad() {
                    return self.trial_share();
                }
                let progress = self.progress(now);
                // Never less than before: sessions that have moved stay.
                let filled = (self.exposure * FILL_PART).min(1.0);
                let moved = (progress - MOVE_AT) / (MOVED_AT - MOVE_AT);
                filled + moved.clamp(0.0, 1.0) * (1.0 - filled)
            }
        }
    }

    /// The release for a request of a session that this host doesn't know.
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

    /// The release for a request of a session that is on `release` already.
    ///
    /// It stays there. Only in the later half, when the new release has proved
    /// good, do sessions move to it with all other traffic.
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

    /// Whether a session would be on the new release if it weren't on the old
    /// one already: the other hosts have to be told of it.
    pub(crate) fn is_contested(&self, session: u64) -> bool {
        lot(session) < self.trial_share()
    }

    fn trial_share(&self) -> f64 {
        self.exposure * TRIAL_PART
    }

    fn is_gathering(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < self.gathering
    }

    /// Whether sessions stay on the old release that began there.
    fn is_trial(&self, now: Duration) -> bool {
        const FIRST_HALF: f64 = 0.5;
        self.progress(now) < FIRST_HALF
    }

    /// Whether one endpoint of the new release is being filled.
    #[must_use]
    pub(crate) fn is_filling(&self, now: Duration) -> bool {
        let is_running = self.verdict == Verdict::Running;
        is_running && self.has_moved_on(now) && self.progress(now) < MOVE_AT
    }

    /// Has the release leave its trial, if it is time and it has proved good; says
    /// whether the others are to hear of that.
    ///
    /// Failure: each host decided for itself, by what it had heard of the others'
    /// answers. Among hundreds some knew enough a second before the others; a session
    /// that went from one to the other was answered by the new release and by the old
    /// one in turns. So one host proposes a moment that all hear of before it comes.
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

    /// Whether an endpoint of this release may take a request of this side.
    #[must_use]
    pub fn fits(&self, side: Side, release: &Release) -> bool {
        (side == Side::New) == (*release == self.order.release)
    }

    /// What this host finds, if it is time to say so.
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

    /// Takes an answer, or a failure, of either release.
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

    /// Sets a time of the new release against the old one's of the same class.
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

    /// What this host has seen.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        self.pool.own
    }

    /// What this host tells the others, with the sessions that stay on the old
    /// release: its own, and those that it heard of.
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

    /// What this host has seen and those who tell it, for one who gathers it.
    #[must_use]
    pub fn sum(&self, now: Duration, root: usize, distance: u8) -> Sum {
        self.pool.sum(now, root, distance)
    }

    /// Has this host, which gathers what all have seen, say what that is while it can
    /// decide something. It tells so as `gatherer`.
    pub fn gather(&mut self, now: Duration, root: usize, gatherer: u64) {
        if self.verdict == Verdict::Running {
            self.pool.gather(now, root, gatherer);
        }
    }

    /// Takes what another host tells of the same roll-out; its evidence replaces what
    /// it told before. Says whether neighbours are to hear of it at once.
    pub fn hear(&mut self, now: Duration, host: &HostName, news: &News) -> bool {
        let known = self.held.len();
        self.held.extend(&news.held);
        // A host that has started since saw the order later than the others.
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

    /// How much of the time that the order gives has passed.
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

    /// What all hosts have seen, as far as this one knows.
    #[must_use]
    pub fn pooled(&self) -> Evidence {
        self.pool.pooled()
    }
}

/// The number by which a session falls to a release. Other bits of the hash
/// choose the service: with the same ones, one service would get all the trials.
fn lot(session: u64) -> f64 {
    hash::unit(session.rotate_left(32))
}
