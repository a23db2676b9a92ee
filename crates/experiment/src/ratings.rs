use std::time::Duration;

use crate::{
    attempt::AttemptKey,
    coin::{Coin, Purpose},
    scenario::{Fault, Scenario},
    truth::VersionIdx,
};

/// The share of all answers that the rating service can rate.
const CAPACITY: f64 = 0.05;

/// The most answers that it takes at once.
const BURST: f64 = 10.0;

/// The share of answers taken that are never rated.
const LOST: f64 = 0.10;

/// The least and the most share of ratings that are wrong; each seed has its own,
/// so that no constant can be tuned to it.
const FLIPPED: [f64; 2] = [0.05, 0.10];

/// The least and the most seconds until a rating comes.
const DELAY: [f64; 2] = [60.0, 300.0];

/// The fake of the rating service: few ratings, late, noisy and sometimes out.
#[derive(Debug)]
pub(crate) struct Ratings {
    coin: Coin,
    flipped: f64,
    tokens: f64,
}

/// A rating on its way to the host that asked.
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

    /// Another answer was made, of which the service can rate a part.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + CAPACITY).min(BURST);
    }

    /// When the rating of an answer comes; none when the service doesn't give one.
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
