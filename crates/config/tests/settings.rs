//! Parsing of settings files, and the faults reported for them.

use config::Settings;

/// The settings that have no default.
const REQUIRED: &str = r#"
[host]
name = "e1"
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
host_certificate = "e1.pem"
host_key = "e1.key"
operator_key = "operator.key"
session_key = "session.key"
"#;

fn parse_and_format(text: &str) -> String {
    match Settings::parse(text, "host.toml") {
        Ok(settings) => format!("{settings:#?}\n"),
        Err(faults) => format!("{faults}\n"),
    }
}

#[test]
fn valid_files_are_parsed_and_faults_of_others_are_reported() {
    datadriven::walk("tests/settings", |file| {
        file.run(|case| match case.directive.as_str() {
            "settings" => parse_and_format(&case.input),
            "required" => parse_and_format(&format!("{REQUIRED}{}", case.input)),
            other => panic!("unknown directive {other}"),
        });
    });
}
