/// The probability of a good response to easy and to hard requests of a class.
///
/// A request is equally hard for each version, so the versions' results for a request are
/// correlated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Accuracy {
    pub(crate) easy: f64,
    pub(crate) hard: f64,
}

impl Accuracy {
    pub(crate) const fn new(easy: f64, hard: f64) -> Self {
        Self { easy, hard }
    }

    pub(crate) fn at(self, hard: bool) -> f64 {
        if hard { self.hard } else { self.easy }
    }

    /// Returns the accuracy when a fault makes this share of the responses bad.
    pub(crate) fn degraded(self, share: f64) -> Self {
        Self {
            easy: self.easy * (1.0 - share),
            hard: self.hard * (1.0 - share),
        }
    }
}
