/// The distribution of a version's confidence, for good and for bad responses.
///
/// The cumulative distribution is `c^k` for good responses and `1 - (1-c)^k` for bad ones, where
/// `k` is the sharpness. With `k = 1` both are the same; the higher `k`, the better the confidence
/// separates good responses from bad ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConfidenceDistribution {
    pub(crate) sharpness: f64,
}

impl ConfidenceDistribution {
    /// Returns the confidence at the quantile `draw` of the good or the bad responses.
    pub(crate) fn quantile(self, good: bool, draw: f64) -> f64 {
        let power = 1.0 / self.sharpness;
        if good {
            draw.powf(power)
        } else {
            1.0 - (1.0 - draw).powf(power)
        }
    }

    /// Returns the probability that the confidence is at most `c`.
    pub(crate) fn cumulative(self, good: bool, c: f64) -> f64 {
        if good {
            c.powf(self.sharpness)
        } else {
            1.0 - (1.0 - c).powf(self.sharpness)
        }
    }
}
