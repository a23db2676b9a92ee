//! Least-squares fit of measured points and classification of their growth.

use derive_more::Display;
use serde::Serialize;

/// The least-squares line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The intercept: the value at size zero.
    pub base: f64,
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The coefficient of determination; 1 for equal values.
    pub r_squared: f64,
    /// The exponent of a power law through the points: 0 constant, 1 linear, 2 quadratic.
    /// `None` if a size or value is not positive.
    pub power: Option<f64>,
}

/// The growth class of a series, by its exponent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// An exponent below 0.2.
    #[display("constant")]
    Constant,
    /// An exponent from 0.2 to below 0.8.
    #[display("sublinear")]
    Sublinear,
    /// An exponent from 0.8 to below 1.2.
    #[display("linear")]
    Linear,
    /// An exponent of 1.2 or more.
    #[display("superlinear")]
    Superlinear,
}

impl Fit {
    /// Fits `(size, value)` points, of which at least two have different sizes.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Self {
        let (base, slope) = least_squares(points);
        let mean = mean(points.iter().map(|it| it.1));
        let total: f64 = points.iter().map(|it| (it.1 - mean).powi(2)).sum();
        let residual = points.iter().map(|it| (it.1 - base - slope * it.0).powi(2));
        let residual: f64 = residual.sum();
        let positive = points.iter().all(|it| it.0 > 0.0 && it.1 > 0.0);
        let logs: Vec<_> = points.iter().map(|it| (it.0.ln(), it.1.ln())).collect();
        Self {
            base,
            slope,
            r_squared: if total > 0.0 {
                1.0 - residual / total
            } else {
                1.0
            },
            power: positive.then(|| least_squares(&logs).1),
        }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Returns the growth class, or `None` without an exponent.
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

/// Returns the intercept and slope of the least-squares line.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
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
