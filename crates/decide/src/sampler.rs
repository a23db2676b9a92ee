//! Which answers are worth a rating.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::bucket::Bucket;
use crate::meter::Meter;

/// How far back ratings are counted to find out what the service can do.
const MEMORY: Duration = Duration::from_mins(2);
/// Samples are sent at so many times the rate at which ratings come, so that
/// the service has all it can do and is never flooded.
const HEADROOM: f64 = 1.5;
/// Samples a second that are sent in any case.
const LEAST: f64 = 0.05;
/// Samples that may be sent at once.
const DEPTH: f64 = 10.0;

/// Chooses the answers that are sent to be rated.
///
/// The rating service takes far fewer than there are. Sent at random, nearly
/// all ratings would fall to the class with the most requests; what is spent
/// and what is unknown elsewhere would stay so.
#[derive(Debug)]
pub(crate) struct Sampler {
    bucket: Bucket,
    returned: Meter,
    /// What the value of an answer is multiplied by to get its chance.
    eagerness: f64,
}

impl Sampler {
    pub(crate) fn new() -> Self {
        Self {
            bucket: Bucket::new(DEPTH, Duration::ZERO),
            returned: Meter::new(MEMORY),
            eagerness: 1.0,
        }
    }

    /// A rating came.
    pub(crate) fn returned(&mut self, now: Duration) {
        self.returned.add(now, 1.0);
    }

    /// Whether to send an answer of this value; `most` a second are allowed.
    pub(crate) fn wants(
        &mut self,
        now: Duration,
        value: f64,
        most: f64,
        random: &mut Pcg64Mcg,
    ) -> bool {
        let rate = (HEADROOM * self.returned.rate(now)).max(LEAST).min(most);
        self.bucket.refill(now, rate, DEPTH);
        if random.random::<f64>() >= self.eagerness * value {
            // There is room for less valuable ones.
            self.eagerness *= 1.0 + 0.02 * self.bucket.filled(DEPTH);
            return false;
        }
        let sent = self.bucket.take(1.0);
        if !sent {
            self.eagerness *= 0.9;
        }
        sent
    }

    /// Sends an answer whatever its value, as long as any may be sent.
    pub(crate) fn insists(&mut self, now: Duration, most: f64) -> bool {
        let rate = (HEADROOM * self.returned.rate(now)).max(LEAST).min(most);
        self.bucket.refill(now, rate, DEPTH);
        self.bucket.take(1.0)
    }
}
