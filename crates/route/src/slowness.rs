//! How unevenly fast the endpoints of a service are.

/// How many times longer work takes at some of a service's endpoints than at a usual one. See
/// [`Endpoint::slowness`](crate::directory::Endpoint::slowness).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowness {
    /// The value of the fastest endpoint.
    pub fastest: f64,
    /// The median.
    pub median: f64,
    /// The value of the slowest endpoint.
    pub slowest: f64,
}

impl Slowness {
    /// Returns the figures for these values, or `None` if there are none.
    pub(crate) fn of(mut values: Vec<f64>) -> Option<Self> {
        values.sort_by(f64::total_cmp);
        Some(Self {
            fastest: *values.first()?,
            median: values[values.len() / 2],
            slowest: *values.last()?,
        })
    }
}
