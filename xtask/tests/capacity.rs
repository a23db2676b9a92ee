//! Tests of the least-squares fit on points with known growth.

use expect_test::{Expect, expect};
use xtask::capacity::Fit;

fn check(points: &[(f64, f64)], expect: &Expect) {
    let fit = Fit::of(points);
    let growth = fit.growth().map(|it| it.to_string());
    let text = format!(
        "{:.2} + {:.2} x, R2 {:.3}, {}",
        fit.base,
        fit.slope,
        fit.r_squared,
        growth.unwrap_or_else(|| "unknown".to_owned())
    );
    expect.assert_eq(&text);
}

#[test]
fn a_line_is_linear() {
    check(
        &[(1.0, 2.0), (2.0, 4.0), (4.0, 8.0), (8.0, 16.0)],
        &expect!["0.00 + 2.00 x, R2 1.000, linear"],
    );
}

#[test]
fn equal_values_are_constant() {
    check(
        &[(1.0, 5.0), (2.0, 5.0), (4.0, 5.0), (8.0, 5.0)],
        &expect!["5.00 + 0.00 x, R2 1.000, constant"],
    );
}

#[test]
fn squares_are_superlinear() {
    check(
        &[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)],
        &expect!["-13.48 + 9.26 x, R2 0.962, superlinear"],
    );
}

#[test]
fn roots_are_sublinear() {
    check(
        &[(1.0, 1.0), (4.0, 2.0), (16.0, 4.0), (64.0, 8.0)],
        &expect!["1.54 + 0.10 x, R2 0.962, sublinear"],
    );
}

#[test]
fn zero_values_have_no_exponent() {
    check(
        &[(1.0, 0.0), (2.0, 0.0)],
        &expect!["0.00 + 0.00 x, R2 1.000, unknown"],
    );
}
