//! The pace of the machine that an endpoint runs on.

/// The time that work takes on an endpoint's machine at a moment, relative to the usual time.
///
/// Endpoints that share their machine with other programs report it. It changes within
/// milliseconds, so a report is outdated sooner than the rest of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace {
    percent: u32,
}

impl Pace {
    /// The pace of a machine on which work takes as long as usual.
    pub const USUAL: Self = Self { percent: 100 };

    /// Creates a pace from a percentage of the usual time. Returns `None` for zero.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Option<Self> {
        match percent {
            0 => None,
            _ => Some(Self { percent }),
        }
    }

    /// Returns the percentage of the usual time that work takes.
    #[must_use]
    pub const fn percent(self) -> u32 {
        self.percent
    }

    /// Returns the time that work takes as a multiple of the usual time, from 0.1 to 10. An
    /// endpoint may report any number, and a single report must not outweigh everything else.
    #[must_use]
    pub fn factor(self) -> f64 {
        (f64::from(self.percent) / 100.0).clamp(0.1, 10.0)
    }
}
