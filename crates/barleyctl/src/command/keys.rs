//! The command `keys`: generates the keys and certificates of a fleet; see
//! docs/operate/keys.md.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use kernel::HostName;
use link::keys::Authority;

use super::subcommand;
use crate::cli::{arg, verb};
use crate::console::Console;
use crate::error::Error;

const CA_CERTIFICATE: &str = "fleet-ca.pem";
const CA_KEY: &str = "fleet-ca.key";
const OPERATOR_KEY: &str = "operator.key";
const SESSION_KEY: &str = "session.key";

/// The permissions of a file.
#[derive(Clone, Copy, Debug)]
enum Access {
    /// Readable by all users, writable by its owner only.
    Public = 0o644,
    /// Readable and writable by its owner only.
    Private = 0o600,
}

/// Runs a subcommand of `keys`.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Report<Error>> {
    let (verb, matches) = subcommand(matches);
    let directory: &PathBuf = matches
        .get_one(arg::DIRECTORY)
        .expect("the argument has a default");
    match verb {
        verb::INIT => init(matches, directory, console),
        _ => host(matches, directory, console),
    }
}

fn init(
    matches: &ArgMatches,
    directory: &Path,
    console: &mut Console<'_>,
) -> Result<(), Report<Error>> {
    let fleet: &String = matches
        .get_one(arg::FLEET)
        .expect("the argument has a default");
    let authority = Authority::generate(fleet).change_context(Error::Keys)?;
    let files = [
        (CA_KEY, authority.key, Access::Private),
        (CA_CERTIFICATE, authority.certificate, Access::Public),
        (OPERATOR_KEY, random_key(), Access::Private),
        (SESSION_KEY, random_key(), Access::Private),
    ];
    for (name, text, access) in files {
        write(&directory.join(name), &text, access, console)?;
    }
    Ok(())
}

fn host(
    matches: &ArgMatches,
    directory: &Path,
    console: &mut Console<'_>,
) -> Result<(), Report<Error>> {
    let name: &String = matches
        .get_one(arg::NAME)
        .expect("the name is a required argument");
    if name.contains(['/', '\\']) || name.starts_with('.') {
        let fault = format!("{name:?} can't name a host's files");
        return Err(Error::Input(fault).into());
    }
    let authority = Authority {
        certificate: read(&directory.join(CA_CERTIFICATE))?,
        key: read(&directory.join(CA_KEY))?,
    };
    let keys = authority
        .issue(&HostName::from(name.as_str()))
        .change_context(Error::Keys)?;
    let key = directory.join(format!("{name}.key"));
    let certificate = directory.join(format!("{name}.pem"));
    write(&key, &keys.key, Access::Private, console)?;
    write(&certificate, &keys.certificate, Access::Public, console)
}

/// Returns 256 random bits as a line of hexadecimal digits.
fn random_key() -> String {
    let [high, low]: [u128; 2] = rand::random();
    format!("{high:032x}{low:032x}\n")
}

fn read(path: &Path) -> Result<String, Report<Error>> {
    std::fs::read_to_string(path).change_context(Error::ReadFile(path.to_owned()))
}

/// Writes a new file and prints its path.
///
/// Fails if the file exists, so that no key is overwritten. Without the CA's key, no
/// more certificates can be issued that the hosts accept.
fn write(
    path: &Path,
    text: &str,
    access: Access,
    console: &mut Console<'_>,
) -> Result<(), Report<Error>> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(access as u32)
        .open(path)
        .change_context_lazy(|| Error::WriteFile(path.to_owned()))?;
    file.write_all(text.as_bytes())
        .change_context_lazy(|| Error::WriteFile(path.to_owned()))?;
    console.print(&format!("{}\n", path.display()));
    Ok(())
}
