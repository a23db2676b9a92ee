use std::time::Duration;

use crate::{
    attempt::AttemptKey,
    ground_truth::VersionIdx,
    keyed_rng::{KeyedRng, Purpose},
    scenario::{Fault, Scenario},
};

/// The share of all responses that the rating service can rate.
const RATED_SHARE: f64 = 0.05;

/// Maximum responses that the rating service accepts in a burst.
const MAX_BURST: f64 = 10.0;

/// The share of accepted responses that are never rated.
const LOST_SHARE: f64 = 0.10;

/// The bounds of the share of ratings that are wrong. The share depends on the seed.
const FLIPPED_SHARE_BOUNDS: [f64; 2] = [0.05, 0.10];

/// The bounds of a rating's delay, in seconds.
const DELAY_SECONDS_BOUNDS: [f64; 2] = [60.0, 300.0];

/// The simulated rating service, whose ratings are few, late and partly wrong.
#[derive(Debug)]
pub(crate) struct RatingService {
    keyed_rng: KeyedRng,
    flipped: f64,
    tokens: f64,
}

/// A rating for the host that sent the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rating {
    pub(crate) host: usize,
    pub(crate) request: usize,
    pub(crate) version: VersionIdx,
    pub(crate) good: bool,
}

impl RatingService {
    pub(crate) fn new(keyed_rng: KeyedRng) -> Self {
        let part = keyed_rng.draw(Purpose::FlippedShare, 0, 0);
        Self {
            keyed_rng,
            flipped: FLIPPED_SHARE_BOUNDS[0]
                + (FLIPPED_SHARE_BOUNDS[1] - FLIPPED_SHARE_BOUNDS[0]) * part,
            tokens: 1.0,
        }
    }

    /// Adds the capacity that another response earns.
    pub(crate) fn add_capacity(&mut self) {
        self.tokens = (self.tokens + RATED_SHARE).min(MAX_BURST);
    }

    /// Returns the rating of a response and the time at which the host receives it; `None` if the
    /// service doesn't rate the response.
    ///
    /// `rating` holds the response's true quality; the returned one may be inverted.
    pub(crate) fn rate(
        &mut self,
        now: Duration,
        scenario: &Scenario,
        attempt: AttemptKey,
        mut rating: Rating,
    ) -> Option<(Duration, Rating)> {
        let out = scenario.active(now).any(|it| it.fault == Fault::RatingsOut);
        if out || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        let attempt_number = usize::try_from(attempt.number).unwrap_or(0);
        let draw = |purpose| self.keyed_rng.draw(purpose, rating.request, attempt_number);
        if draw(Purpose::Rating) < LOST_SHARE {
            return None;
        }
        let delay = DELAY_SECONDS_BOUNDS[0]
            + (DELAY_SECONDS_BOUNDS[1] - DELAY_SECONDS_BOUNDS[0]) * draw(Purpose::Delay);
        let flipped = draw(Purpose::RatingFlip) < self.flipped;
        rating.good ^= flipped;
        let late = scenario.active(now).find_map(|it| match it.fault {
            Fault::RatingsLate { by } => Some(by),
            _ => None,
        });
        let at = now + Duration::from_secs_f64(delay) + late.unwrap_or_default();
        Some((at, rating))
    }
}
