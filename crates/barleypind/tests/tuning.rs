//! Checks that default settings result in the cores' default parameters.

use std::fmt::Debug;

use config::Settings;

/// The settings without a default.
const REQUIRED: &str = r#"
[host]
name = "host"
data_centre = "dar-1"
region = "dar"
[listen]
callers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
fleet = "127.0.0.1:7002"
[platform]
table = "127.0.0.1:7100"
objects = "127.0.0.1:7101"
host_list = "127.0.0.1:7102"
ratings = "127.0.0.1:7103"
[keys]
fleet_ca = "ca.pem"
host_certificate = "host.pem"
host_key = "host.key"
operator_key = "operator.key"
session_key = "session.key"
"#;

// Guards against a default that is changed in a core but not in the settings: the daemon would
// run with other values than the core's tests.
fn check<T: Debug>(tuning: impl Fn(&Settings) -> T, default: &T) {
    let settings = Settings::parse(REQUIRED, "host.toml").unwrap();
    let from_settings = format!("{:#?}", tuning(&settings));
    assert_eq!(from_settings, format!("{default:#?}"));
}

#[test]
fn decide_has_the_defaults_of_the_settings() {
    check(barleypind::tuning::decide, &decide::Tuning::default());
}

#[test]
fn ledger_has_the_defaults_of_the_settings() {
    check(barleypind::tuning::ledger, &ledger::Tuning::default());
}

#[test]
fn fleet_has_the_defaults_of_the_settings() {
    check(barleypind::tuning::fleet, &fleet::Tuning::default());
}
