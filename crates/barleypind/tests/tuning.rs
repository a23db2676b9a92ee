//! A host that leaves a setting out runs with what the cores were measured with.

use std::fmt::Debug;

use config::Settings;

/// What a host needs that has no default.
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

// Story: a default is changed in a core after a measurement, and not in the
// settings. The daemon goes on with the old one, and the figures of the docs
// are those of a host that nobody runs.
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
