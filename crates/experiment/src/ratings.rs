use std::time::Duration;

use crate::{
    attempt::AttemptKey,
    coin::{Coin, Purpose},
    scenario::{Fault, Scenario},
    truth::VersionIdx,
};

/// The share of all responses that the rating service can rate.
const CAPACITY: f64 = 0.05;

/// Maximum responses that the rating service accepts in a burst.
const BURST: f64 = 10.0;

/// The share of accepted responses that are never rated.
const LOST: f64 = 0.10;

/// The bounds of the share of ratings that are wrong. The share depends on the seed.
const FLIPPED: [f64; 2] = [0.05, 0.10];

/// The bounds of a rating's delay, in seconds.
const DELAY: [f64; 2] = [60.0, 300.0];

/// The simulated rating service, whose ratings are few, late and partly wrong.
#[derive(Debug)]
pub(crate) struct Ratings {
    coin: Coin,
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

impl Ratings {
    pub(crate) fn new(coin: Coin) -> Self {
        let part = coin.toss(Purpose::Noise, 0, 0);
        Self {
            coin,
            flipped: FLIPPED[0] + (FLIPPED[1] - FLIPPED[0]) * part,
            tokens: 1.0,
        }
    }

    /// Adds the capacity that another response earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + CAPACITY).min(BURST);
    }

    /// Returns the rating of a response and the time at which the host receives it; `None` if the
    /// service doesn't rate the response.
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
        let own = usize::try_from(attempt.number).unwrap_or(0);
        let toss = |purpose| self.coin.toss(purpose, rating.request, own);
        if toss(Purpose::Rating) < LOST {
            return None;
        }
        let delay = DELAY[0] + (DELAY[1] - DELAY[0]) * toss(Purpose::Delay);
        let flipped = toss(Purpose::Flip) < self.flipped;
        rating.good ^= flipped;
        let late = scenario.active(now).find_map(|it| match it.fault {
            Fault::RatingsLate { by } => Some(by),
            _ => None,
        });
        let at = now + Duration::from_secs_f64(delay) + late.unwrap_or_default();
        Some((at, rating))
    }
}
