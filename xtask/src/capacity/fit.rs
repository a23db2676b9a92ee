//! A straight line through measured points, and how they grow.

use derive_more::Display;
use serde::Serialize;

/// Least squares over the points of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at size zero.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The share of the values' variance that the line explains.
    pub r_squared: f64,
    /// The power of the size with which the values grow: 0 constant, 1 linear,
    /// 2 quadratic. Nothing when a value is not above zero.
    pub power: Option<f64>,
}

/// How a series grows, by its power.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// With the logarithm of the size or less.
    #[display("constant")]
    Constant,
    /// Slower than the size.
    #[display("sublinear")]
    Sublinear,
    /// With the size.
    #[display("linear")]
    Linear,
    /// Faster than the size.
    #[display("superlinear")]
    Superlinear,
}

impl Fit {
    /// The fit of `(size, value)` points, at least two of different sizes.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Self {
        let (base, slope) = line(points);
        let mean = mean(points.iter().map(|it| it.1));
        let total: f64 = points.iter().map(|it| (it.1 - mean).powi(2)).sum();
        let rest = points.iter().map(|it| (it.1 - base - slope * it.0).powi(2));
        let rest: f64 = rest.sum();
        let positive = points.iter().all(|it| it.0 > 0.0 && it.1 > 0.0);
        let logs: Vec<_> = points.iter().map(|it| (it.0.ln(), it.1.ln())).collect();
        Self {
            base,
            slope,
            r_squared: if total > 0.0 { 1.0 - rest / total } else { 1.0 },
            power: positive.then(|| line(&logs).1),
        }
    }

    /// The value that the line gives at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// How the values grow.
    #[must_use]
    pub fn growth(&self) -> Option<Growth> {
        Some(match self.power? {
            it if it < 0.2 => Growth::Constant,
            it if it < 0.8 => Growth::Sublinear,
            it if it < 1.2 => Growth::Linear,
            _ => Growth::Superlinear,
        })
    }
}

/// Base and slope of the least-squares line.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let mean_x = mean(points.iter().map(|it| it.0));
    let mean_y = mean(points.iter().map(|it| it.1));
    let products = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y));
    let squares = points.iter().map(|it| (it.0 - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>().max(f64::MIN_POSITIVE);
    (mean_y - slope * mean_x, slope)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len();
    values.sum::<f64>() / f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
