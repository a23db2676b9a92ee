//! The plan of least cost at a quality target for who knows every distribution.
//!
//! A plan asks versions in turn, each time knowing the confidence of the
//! answers so far, and delivers one of them. With a price `lambda` on a good
//! answer, the best plan is found by backward induction over the belief of how
//! hard the request is. The price is then raised until the target is met; two
//! plans on either side of the target are mixed, which is the least cost at
//! the target over all plans and their mixtures.

mod node;
mod problem;
mod search;

pub(crate) use node::Node;
pub use problem::{Choice, Problem};
pub use search::Plan;

/// Confidence is seen in this many equal steps.
pub(crate) const BINS: u32 = 16;

/// The step in which a confidence lies.
pub(crate) fn bin(confidence: f64) -> usize {
    (0..BINS)
        .position(|it| confidence <= upper(it))
        .unwrap_or(usize::try_from(BINS - 1).unwrap_or(0))
}

/// The upper bound of a step.
pub(crate) fn upper(bin: u32) -> f64 {
    f64::from(bin + 1) / f64::from(BINS)
}
