//! What only versions have.

use clap::ArgMatches;
use config::{Entry, EntryName, Version, VersionState};
use error_stack::Report;
use kernel::{Money, Revision};

use super::entries;
use crate::cli::arg;
use crate::error::Error;
use crate::session::Session;

/// Puts an active version with its prices, new or as it is now.
pub(super) async fn put(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let document = session.client.document().await?.document;
    let base = document.entry(&name).map_or(Revision(0), |it| it.changed());
    let price = |arg| {
        Money(
            *matches
                .get_one(arg)
                .expect("the command line asks for prices"),
        )
    };
    let version = Version {
        state: VersionState::Active,
        prompt: price(arg::PROMPT),
        completion: price(arg::COMPLETION),
        changed: Revision(0),
    };
    session
        .change(matches, base, name, Some(version.into()))
        .await
}

/// Withdraws a version.
pub(super) async fn withdraw(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let entry = entries::current(&name, session).await?;
    let base = entry.changed();
    let entry = match entry {
        Entry::Version(version) => Entry::Version(Version {
            state: VersionState::Withdrawn,
            ..version
        }),
        other => other,
    };
    session.change(matches, base, name, Some(entry)).await
}
