//! The session: console, client and output format of a command that calls hosts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use config::{ChangeMode, Entry, EntryName};
use error_stack::{Report, ResultExt};
use kernel::{ChangeId, Revision};

use crate::cli::arg;
use crate::client::{Change, Client, Submission};
use crate::console::Console;
use crate::error::Error;
use crate::output::{self, Format};
use crate::wait;

/// Timeout of a request to one host; the next host is tried after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum length of an author that hosts accept, in bytes.
const MAX_AUTHOR_BYTES: usize = 64;

/// State shared by the commands that call hosts.
pub(crate) struct Session<'a, 'b> {
    /// The standard streams.
    pub(crate) console: &'a mut Console<'b>,
    /// The client for the hosts.
    pub(crate) client: Client,
    /// The output format.
    pub(crate) format: Format,
    timeout: Duration,
}

impl<'a, 'b> Session<'a, 'b> {
    /// Creates a session with the hosts and the key file that the command line names.
    ///
    /// # Errors
    /// Fails if one of them is missing or the key file is unreadable or invalid.
    pub(crate) fn open(
        matches: &ArgMatches,
        console: &'a mut Console<'b>,
    ) -> Result<Self, Report<Error>> {
        let hosts = matches.get_many::<SocketAddr>(arg::HOST);
        let hosts: Vec<_> = hosts.into_iter().flatten().copied().collect();
        if hosts.is_empty() {
            return Err(usage_error("this command needs `--host ADDRESS`"));
        }
        let path: &PathBuf = matches
            .get_one(arg::KEY_FILE)
            .ok_or_else(|| usage_error("this command needs `--key-file FILE`"))?;
        let timeout = *matches
            .get_one::<Duration>(arg::TIMEOUT)
            .expect("the argument has a default");
        let client = Client::new(hosts, &read_key(path)?, RESPONSE_TIMEOUT.min(timeout));
        Ok(Self {
            console,
            client,
            format: Format::from_matches(matches),
            timeout,
        })
    }

    /// Submits a change, waits until it is in force on every host that isn't suspect
    /// and prints the result.
    ///
    /// # Errors
    /// Fails if the change isn't accepted, if its outcome is unknown, or if it
    /// isn't in force when the timeout expires.
    pub(crate) async fn change(
        &mut self,
        matches: &ArgMatches,
        base: Revision,
        name: EntryName,
        entry: Option<Entry>,
    ) -> Result<(), Report<Error>> {
        let change = Change {
            id: change_id(matches),
            submission: if is_retry(matches) {
                Submission::Retry
            } else {
                Submission::New
            },
            base,
            author: author(matches),
            mode: mode(matches),
            name,
            entry,
        };
        // Printed before the first attempt, so that the operator can retry the
        // change by its id even if this process is killed.
        self.console.print_err(&format!("change {}\n", change.id));
        let accepted = self.client.change(&change).await?;
        let by_earlier_attempt = if accepted.repeated {
            ", by an earlier try"
        } else {
            ""
        };
        self.console.print_err(&format!(
            "accepted as revision {}{by_earlier_attempt}\n",
            accepted.revision
        ));
        let propagation = wait::until_in_force(self, accepted.revision).await;
        if !propagation.lagging.is_empty() || !propagation.status_received {
            return Err(Error::Lagging(Box::new(propagation)).into());
        }
        output::print_accepted(self, &change, &accepted, &propagation);
        Ok(())
    }

    /// Returns the timeout of the wait for a change to be in force.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }
}

pub(crate) fn usage_error(text: &str) -> Report<Error> {
    Error::Usage(text.to_owned()).into()
}

/// Reads a key from a file. It isn't accepted as an argument, since
/// process lists and shell histories expose command lines.
pub(crate) fn read_key(path: &Path) -> Result<String, Report<Error>> {
    let text = std::fs::read_to_string(path).change_context(Error::ReadFile(path.to_owned()))?;
    let key = text.trim();
    let is_valid = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let text = format!("{} holds no key: expected one line of text", path.display());
        return Err(Error::Input(text).into());
    }
    Ok(key.to_owned())
}

/// Returns whether the command line gives a change id, and so may repeat an earlier
/// change.
///
/// The change may then be committed already, so checks of a new change against
/// the entry's current state don't apply. The host recognizes it by its id.
pub(crate) fn is_retry(matches: &ArgMatches) -> bool {
    matches.contains_id(arg::CHANGE)
}

fn change_id(matches: &ArgMatches) -> ChangeId {
    match matches.get_one::<String>(arg::CHANGE) {
        Some(id) => id.as_str().into(),
        None => format!("{:032x}", rand::random::<u128>()).into(),
    }
}

fn author(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>(arg::AUTHOR).cloned();
    let author = given.or_else(|| std::env::var("USER").ok());
    let printable = |it: &char| it.is_ascii_graphic() || *it == ' ';
    let author = author.unwrap_or_default();
    author
        .chars()
        .filter(printable)
        .take(MAX_AUTHOR_BYTES)
        .collect()
}

fn mode(matches: &ArgMatches) -> ChangeMode {
    match matches.try_get_one::<bool>(arg::FORCE) {
        Ok(Some(true)) => ChangeMode::Forced,
        _ => ChangeMode::Guarded,
    }
}
