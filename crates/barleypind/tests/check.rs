//! Tests of `barleypind check` and of the command line: output and exit codes.

use std::fs;
use std::path::Path;
use std::process::Command;

use expect_test::{Expect, expect};
use link::keys::Authority;
use tempfile::TempDir;

const VALID: &str = r#"
[host]
name = "entry-1"
data_centre = "dar-1"
region = "dar"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
fleet = "127.0.0.1:0"
[platform]
table = "127.0.0.1:1"
objects = "127.0.0.1:1"
host_list = "127.0.0.1:1"
ratings = "127.0.0.1:1"
[keys]
fleet_ca = "DIR/ca.pem"
host_certificate = "DIR/host.pem"
host_key = "DIR/host.key.pem"
operator_key = "DIR/key"
session_key = "DIR/key"
"#;

fn check(settings: &str, expect: &Expect) {
    let dir = TempDir::new().unwrap();
    fs::write(dir.path().join("key"), "material").unwrap();
    fs::write(dir.path().join("empty"), "\n").unwrap();
    let authority = Authority::generate("test").unwrap();
    let keys = authority.issue(&"entry-1".into()).unwrap();
    fs::write(dir.path().join("ca.pem"), keys.ca).unwrap();
    fs::write(dir.path().join("host.pem"), keys.certificate).unwrap();
    fs::write(dir.path().join("host.key.pem"), keys.key).unwrap();
    let path = dir.path().join("host.toml");
    fs::write(&path, settings.replace("DIR", &display_path(dir.path()))).unwrap();
    expect.assert_eq(&run(
        &["check", "--settings", &display_path(&path)],
        dir.path(),
    ));
}

fn run(args: &[&str], dir: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_barleypind"))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text)
        .unwrap()
        .replace(&display_path(dir), "DIR");
    format!("{text}exit {}\n", output.status.code().unwrap())
}

fn display_path(path: &Path) -> String {
    path.display().to_string()
}

#[test]
fn valid_settings_pass() {
    check(
        VALID,
        &expect![[r"
        DIR/host.toml: no faults
        exit 0
    "]],
    );
}

#[test]
fn all_faults_are_reported_in_one_run() {
    let settings = VALID
        .replace("region = \"dar\"", "regoin = \"dar\"")
        .replace("callers = \"127.0.0.1:0\"", "callers = \"here\"")
        + "[limits]\nmax_connections = 0\n[colours]\n";
    check(
        &settings,
        &expect![[r#"
        DIR/host.toml:2: host.region: missing; expected a name of 1 to 64 letters, digits, `-`, `_` or `.`, the first one a letter or digit
        DIR/host.toml:5: host.regoin: unknown key; did you mean `region`?
        DIR/host.toml:7: listen.callers: "here" is not accepted; expected an IP address and port, such as `127.0.0.1:7000` or `[::1]:7000`
        DIR/host.toml:22: limits.max_connections: 0 is not accepted; expected a whole number from 1 to 1000000
        DIR/host.toml:23: colours: unknown key; known here: host, listen, platform, keys, log, limits, decide, freshness, ledger, http
        exit 2
    "#]],
    );
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    check(
        "[host]\nname = entry 1\n",
        &expect![[r#"
        DIR/host.toml:2: not TOML; string values must be quoted, expected literal string
        DIR/host.toml:2: host.name: "entry 1" is not accepted; expected a name of 1 to 64 letters, digits, `-`, `_` or `.`, the first one a letter or digit
        exit 2
    "#]],
    );
}

#[test]
fn missing_or_empty_key_file_is_reported() {
    check(
        &VALID.replace("operator_key = \"DIR/key\"", "operator_key = \"DIR/none\""),
        &expect![[r"
            key file DIR/none: can't be used
              because: No such file or directory (os error 2)
            exit 2
        "]],
    );
    check(
        &VALID.replace("session_key = \"DIR/key\"", "session_key = \"DIR/empty\""),
        &expect![[r"
            key file DIR/empty: can't be used
              the file is empty
            exit 2
        "]],
    );
}

#[test]
fn invalid_host_key_is_refused() {
    check(
        &VALID.replace("host_key = \"DIR/host.key.pem\"", "host_key = \"DIR/key\""),
        &expect![[r"
            the link to the other hosts can't be set up
              because: the fleet's keys can't be used
              because: no items found
            exit 2
        "]],
    );
}

#[test]
fn missing_settings_file_is_reported() {
    let dir = TempDir::new().unwrap();
    let path = display_path(&dir.path().join("none.toml"));
    expect![[r"
        settings DIR/none.toml: can't be read
          because: No such file or directory (os error 2)
        exit 2
    "]]
    .assert_eq(&run(&["check", "--settings", &path], dir.path()));
    expect![[r"
        settings DIR/none.toml: can't be read
          because: No such file or directory (os error 2)
        exit 2
    "]]
    .assert_eq(&run(&["--settings", &path], dir.path()));
}

#[test]
fn unknown_argument_is_refused() {
    let dir = TempDir::new().unwrap();
    expect![[r"
        error: unexpected argument '--colour' found

        Usage: barleypind --settings <FILE>
               barleypind <COMMAND>

        For more information, try '--help'.
        exit 2
    "]]
    .assert_eq(&run(&["--colour"], dir.path()));
}
