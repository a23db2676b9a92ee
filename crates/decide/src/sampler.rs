//! Selects the responses to send to the rating service.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::meter::Meter;
use crate::token_bucket::TokenBucket;

/// The averaging time of the rate of ratings received. It tells what the rating service can do.
const RATING_AVERAGING_TIME: Duration = Duration::from_mins(2);
/// The ratio of samples sent to ratings received. Above 1, so that the rate can
/// grow up to the capacity of the rating service without overloading it.
const SENT_TO_RATED_RATIO: f64 = 1.5;
/// The minimum rate of samples per second, unless the permitted rate is lower.
const MIN_SAMPLES_PER_SECOND: f64 = 0.05;
/// The maximum burst of samples.
const MAX_BURST: f64 = 10.0;

/// Selects the responses to send to the rating service.
///
/// The service can rate only a small part of the responses. With uniform
/// sampling, the class with the most requests would get nearly all ratings, so
/// samples are selected by the value of their rating.
#[derive(Debug)]
pub(crate) struct Sampler {
    bucket: TokenBucket,
    ratings_received: Meter,
    /// The factor from the value of a rating to the selection probability, adapted
    /// to the permitted rate.
    probability_factor: f64,
}

impl Sampler {
    pub(crate) fn new() -> Self {
        Self {
            bucket: TokenBucket::new(MAX_BURST, Duration::ZERO),
            ratings_received: Meter::new(RATING_AVERAGING_TIME),
            probability_factor: 1.0,
        }
    }

    /// Records the arrival of a rating.
    pub(crate) fn record_rating(&mut self, now: Duration) {
        self.ratings_received.add(now, 1.0);
    }

    /// Returns whether to send a response with this rating value, at up to `max_rate`
    /// samples per second.
    pub(crate) fn admits(
        &mut self,
        now: Duration,
        value: f64,
        max_rate: f64,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let rate = (SENT_TO_RATED_RATIO * self.ratings_received.rate(now))
            .max(MIN_SAMPLES_PER_SECOND)
            .min(max_rate);
        self.bucket.refill(now, rate, MAX_BURST);
        if rng.random::<f64>() >= self.probability_factor * value {
            // Unused tokens permit samples of lower value.
            self.probability_factor *= 1.0 + 0.02 * self.bucket.fill_level(MAX_BURST);
            return false;
        }
        let sent = self.bucket.take(1.0);
        if !sent {
            self.probability_factor *= 0.9;
        }
        sent
    }

    /// Returns whether the rate limit permits a sample, whatever its value.
    pub(crate) fn admits_any(&mut self, now: Duration, max_rate: f64) -> bool {
        let rate = (SENT_TO_RATED_RATIO * self.ratings_received.rate(now))
            .max(MIN_SAMPLES_PER_SECOND)
            .min(max_rate);
        self.bucket.refill(now, rate, MAX_BURST);
        self.bucket.take(1.0)
    }
}
