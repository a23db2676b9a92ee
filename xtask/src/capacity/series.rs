//! Series of measured values at several sizes.

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::capacity::Fit;

/// The result of the runs at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// The median of the runs; for an even number of runs, the upper one of the two middle values.
    pub value: f64,
    /// The minimum and maximum of the runs.
    pub range: (f64, f64),
}

/// A quantity measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// The measured quantity.
    pub name: String,
    /// The unit of the values.
    pub unit: &'static str,
    /// The things that the size counts, such as hosts.
    #[serde(rename = "against")]
    pub size_unit: &'static str,
    /// The size at the target deployment.
    pub target: f64,
    /// The samples in the order of their measurement.
    pub samples: Vec<Sample>,
    /// The fit of the samples.
    pub fit: Fit,
    /// The value of the fit at the target size.
    pub at_target: f64,
}

impl Sample {
    /// Computes the median and the range of the runs at one size.
    #[must_use]
    pub fn of(size: f64, mut runs: Vec<f64>) -> Self {
        runs.sort_by(f64::total_cmp);
        let value = runs.get(runs.len() / 2).copied().unwrap_or_default();
        let lowest = runs.first().copied().unwrap_or_default();
        let highest = runs.last().copied().unwrap_or_default();
        Self {
            size,
            value,
            range: (lowest, highest),
        }
    }
}

impl Series {
    /// Creates a series and fits its samples.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        unit: &'static str,
        size_unit: &'static str,
        target: f64,
        samples: Vec<Sample>,
    ) -> Self {
        let points: Vec<_> = samples.iter().map(|it| (it.size, it.value)).collect();
        let fit = Fit::of(&points);
        Self {
            name: name.into(),
            unit,
            size_unit,
            target,
            samples,
            at_target: fit.at(target),
            fit,
        }
    }
}

/// Renders the series as a Markdown table.
pub(crate) fn table(all: &[Series]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "measured",
        "unit",
        "against",
        "size: median (range)",
        "base",
        "slope",
        "R2",
        "power",
        "growth",
        "at target",
    ]);
    for series in all {
        let fit = &series.fit;
        let growth = fit.growth().map(|it| it.to_string());
        table.add_row([
            series.name.clone(),
            series.unit.to_owned(),
            series.size_unit.to_owned(),
            samples(&series.samples),
            number(fit.base),
            number(fit.slope),
            format!("{:.3}", fit.r_squared),
            fit.power.map_or_else(String::new, |it| format!("{it:.2}")),
            growth.unwrap_or_default(),
            format!("{} at {}", number(series.at_target), series.target),
        ]);
    }
    table
}

fn samples(samples: &[Sample]) -> String {
    let text = samples.iter().map(|it| {
        let (low, high) = it.range;
        let (value, low, high) = (number(it.value), number(low), number(high));
        if low == high {
            format!("{}: {value}", it.size)
        } else {
            format!("{}: {value} ({low}..{high})", it.size)
        }
    });
    text.collect::<Vec<_>>().join("; ")
}

fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        it if it >= 100.0 => format!("{value:.0}"),
        it if it >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
