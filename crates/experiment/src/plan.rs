//! Computes the plan of least cost at a quality target from the true distributions.
//!
//! A plan tries versions one after the other, depending on the confidence of the responses so far,
//! and delivers one of the responses. For a given price of a good response (a Lagrange multiplier),
//! backward induction over the belief about the request's difficulty finds the best plan. A search
//! over the price finds two plans on either side of the target; mixing them meets the target at the
//! least cost over all plans and mixtures.

mod node;
mod problem;
mod search;

pub(crate) use node::Node;
pub use problem::{Choice, Problem};
pub use search::Plan;

/// The number of equal bins into which confidence is quantized.
pub(crate) const BINS: u32 = 16;

/// Returns the bin of a confidence.
pub(crate) fn bin(confidence: f64) -> usize {
    (0..BINS)
        .position(|it| confidence <= upper(it))
        .unwrap_or(usize::try_from(BINS - 1).unwrap_or(0))
}

/// Returns the upper bound of a bin.
pub(crate) fn upper(bin: u32) -> f64 {
    f64::from(bin + 1) / f64::from(BINS)
}
