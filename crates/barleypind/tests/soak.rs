//! A short soak test. `cargo xtask soak --seed N --for SECONDS` runs longer ones.

use std::path::Path;
use std::time::Duration;

const BARLEYPIND: &str = env!("CARGO_BIN_EXE_barleypind");

/// Calls are made while hosts are killed, frozen or drained, the table fails and an operator
/// withdraws a version. All responses must agree with the records.
#[test]
fn responses_match_records_under_random_faults() {
    let length = Duration::from_secs(6);
    let report = scenario::soak(1, length, Path::new(BARLEYPIND));
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.answered > 0, "{report}");
}
