//! Commands that only `versions` has.

use clap::ArgMatches;
use config::{Entry, EntryName, Version, VersionState};
use error_stack::Report;
use kernel::{Money, Revision};

use super::entries;
use crate::cli::arg;
use crate::error::Error;
use crate::session::Session;

/// Creates a version or replaces it at its current revision, active and with the
/// prices given.
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
                .expect("the prices are required arguments"),
        )
    };
    let version = Version {
        state: VersionState::Active,
        prompt: price(arg::PROMPT_PRICE),
        completion: price(arg::COMPLETION_PRICE),
        changed: Revision(0),
    };
    session
        .change(matches, base, name, Some(version.into()))
        .await
}

/// Withdraws a version at its current revision.
pub(super) async fn withdraw(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let entry = entries::fetch_entry(&name, session).await?;
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
