//! Which release requests and endpoints belong to during a roll-out.

use std::time::Duration;

use kernel::{Release, hash};

use super::{Rollout, Side, Verdict};

/// Fraction of the allowed exposure that the release gets during its trial. The rest is a margin
/// for differences between hosts' counts at the start and end of the trial.
const TRIAL_EXPOSURE_FRACTION: f64 = 0.5;
/// Earliest end of the trial, as a fraction of the roll-out's duration. After the trial, one
/// endpoint of the new release is filled to capacity until the shift of traffic starts. Some faults
/// show only when most of an endpoint's slots are in use, which may not happen in a trial under
/// light load.
const TRIAL_END_FRACTION: f64 = 0.5;
/// Share of requests that the new release gets while one endpoint is filled, as a multiple of the
/// allowed exposure. With the largest model's responses this fills an endpoint of 48 slots in a
/// second and a half, and with the trial it stays at three quarters of what is allowed in all.
const FILL_EXPOSURE_FACTOR: f64 = 4.0;
/// Start of the shift of traffic to the new release, as a fraction of the roll-out's duration.
const SHIFT_START_FRACTION: f64 = 0.62;
/// End of the shift of traffic, as a fraction of the roll-out's duration.
const SHIFT_END_FRACTION: f64 = 0.74;

impl Rollout {
    /// Returns the share of requests that goes to the new release.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Running if self.is_exchanging_sessions(now) => 0.0,
            Verdict::Running => {
                // Bad evidence limits exposure at once; the caller sets the verdict later, from
                // `own_verdict`.
                if !self.has_left_trial(now) || self.is_bad() {
                    return self.trial_share();
                }
                let progress = self.progress(now);
                // After the trial the share doesn't decrease unless the release turns out bad, so
                // sessions that have moved stay.
                let fill_share = (self.exposure * FILL_EXPOSURE_FACTOR).min(1.0);
                let shifted =
                    (progress - SHIFT_START_FRACTION) / (SHIFT_END_FRACTION - SHIFT_START_FRACTION);
                fill_share + shifted.clamp(0.0, 1.0) * (1.0 - fill_share)
            }
        }
    }

    /// Chooses the release for a request without a session, or with one that this host doesn't
    /// know. `session` is the hash of the session or, without one, of the request's ID.
    #[must_use]
    pub(crate) fn side_for_new_session(&self, now: Duration, session: u64) -> Side {
        if self.is_pinning_sessions(now) && self.pinned_sessions.contains(&session) {
            return Side::Old;
        }
        if session_position(session) < self.share(now) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Chooses the release for a request whose session is already on `release`.
    ///
    /// Until a verdict, sessions on the new release stay there. Sessions on the old release stay
    /// during the first half of the roll-out; after that they are assigned like new sessions.
    #[must_use]
    pub(crate) fn side_for_known_session(
        &self,
        now: Duration,
        release: &Release,
        session: u64,
    ) -> Side {
        match self.verdict {
            Verdict::Complete => Side::New,
            Verdict::Reverted => Side::Old,
            Verdict::Running if *release == self.order.release => Side::New,
            Verdict::Running if self.is_pinning_sessions(now) => Side::Old,
            Verdict::Running => self.side_for_new_session(now, session),
        }
    }

    /// Returns whether the session would be on the new release if it hadn't started on the old
    /// one. The other hosts must be informed of such sessions.
    pub(crate) fn is_drawn_for_trial(&self, session: u64) -> bool {
        session_position(session) < self.trial_share()
    }

    fn trial_share(&self) -> f64 {
        self.exposure * TRIAL_EXPOSURE_FRACTION
    }

    fn is_exchanging_sessions(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < self.session_exchange
    }

    /// Returns whether sessions that started on the old release stay there.
    pub(super) fn is_pinning_sessions(&self, now: Duration) -> bool {
        const FIRST_HALF: f64 = 0.5;
        self.progress(now) < FIRST_HALF
    }

    /// Returns whether one endpoint of the new release is being filled to capacity.
    #[must_use]
    pub(crate) fn is_filling(&self, now: Duration) -> bool {
        let is_running = self.verdict == Verdict::Running;
        is_running && self.has_left_trial(now) && self.progress(now) < SHIFT_START_FRACTION
    }

    /// Schedules the end of the trial if it is due and the release has proved good. Returns
    /// whether other hosts must be informed.
    ///
    /// If each host decided by the evidence it has received, some would end the trial earlier than
    /// others, and a session that changes hosts would alternate between the releases. Instead,
    /// hosts announce a time in advance, and the earliest announced time applies.
    pub fn try_end_trial(&mut self, now: Duration) -> bool {
        let elapsed = self.elapsed(now);
        let planned_end = self.order.duration.mul_f64(TRIAL_END_FRACTION);
        let is_due =
            self.verdict == Verdict::Running && elapsed + self.trial_end_notice >= planned_end;
        if self.trial_end.is_some() || !is_due || !self.is_good() {
            return false;
        }
        self.trial_end = Some(planned_end.max(elapsed + self.trial_end_notice));
        true
    }

    fn has_left_trial(&self, now: Duration) -> bool {
        self.trial_end.is_some_and(|it| self.elapsed(now) >= it)
    }

    /// Returns the side that an endpoint with this release serves. `None` if the release was
    /// withdrawn before this order: its endpoints get no requests, however late they leave.
    #[must_use]
    pub fn side_of(&self, release: &Release) -> Option<Side> {
        if *release == self.order.release {
            Some(Side::New)
        } else {
            (!self.history.is_withdrawn(release)).then_some(Side::Old)
        }
    }

    /// Returns whether the release gets no more requests: it was withdrawn, or the roll-out of the
    /// other one is complete.
    #[must_use]
    pub(crate) fn is_out_of_use(&self, release: &Release) -> bool {
        match self.side_of(release) {
            Some(Side::New) => self.verdict == Verdict::Reverted,
            Some(Side::Old) => self.verdict == Verdict::Complete,
            None => true,
        }
    }
}

/// Maps a session to a number in `0..1` that decides which release it gets. The service is chosen
/// by other bits of the same hash: with the same bits, one service would get all requests on
/// trial.
fn session_position(session: u64) -> f64 {
    hash::unit(session.rotate_left(32))
}
