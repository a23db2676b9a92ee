//! The command `versions rollout`.

use clap::ArgMatches;
use config::{Entry, EntryKind, EntryName, Rollout, RolloutState};
use error_stack::Report;
use kernel::Revision;

use super::{entries, entry_name, subcommand};
use crate::cli::{arg, verb};
use crate::error::Error;
use crate::session::{Session, is_retry};

/// Runs a subcommand of `versions rollout`.
pub(super) async fn run(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let (verb, matches) = subcommand(matches);
    let rollout = || entry_name(EntryKind::Rollout, matches);
    match verb {
        verb::START => start(rollout()?, matches, session).await,
        verb::PAUSE => set_state(rollout()?, RolloutState::Paused, matches, session).await,
        verb::RESUME => set_state(rollout()?, RolloutState::Running, matches, session).await,
        verb::ABORT => set_state(rollout()?, RolloutState::Aborted, matches, session).await,
        _ => entries::list(EntryKind::Rollout, session).await,
    }
}

/// Starts a roll-out at its first step, possibly in place of one that has ended.
async fn start(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let document = session.client.document().await?.document;
    let base = match document.entry(&name) {
        Some(Entry::Rollout(rollout)) if rollout.state.is_open() => {
            base_for_retry(&name, rollout.state, matches)?
        }
        current => current.map_or(Revision(0), |entry| entry.changed()),
    };
    let replaces: &String = matches
        .get_one(arg::REPLACES)
        .expect("the replaced version is a required argument");
    let steps = matches.get_many::<f64>(arg::STEPS);
    let rollout = Rollout {
        replaces: replaces.as_str().into(),
        steps: steps.into_iter().flatten().copied().collect(),
        state: RolloutState::Running,
        step: 0,
        step_revision: Revision(0),
        changed: Revision(0),
    };
    session
        .change(matches, base, name, Some(rollout.into()))
        .await
}

/// Pauses, resumes or aborts a roll-out at its current step.
async fn set_state(
    name: EntryName,
    state: RolloutState,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let entry = entries::fetch_entry(&name, session).await?;
    let Entry::Rollout(rollout) = entry else {
        return Err(Error::NotFound(name).into());
    };
    let base = if rollout.state.is_open() {
        rollout.changed
    } else {
        base_for_retry(&name, rollout.state, matches)?
    };
    let rollout = Rollout { state, ..rollout };
    session
        .change(matches, base, name, Some(rollout.into()))
        .await
}

/// Returns the base revision of a retried change that the roll-out's state
/// doesn't allow; fails if the change is new.
///
/// The first attempt may itself have caused that state. A host that knows the
/// change id reports the change as accepted; otherwise revision 0 is a conflict.
fn base_for_retry(
    name: &EntryName,
    state: RolloutState,
    matches: &ArgMatches,
) -> Result<Revision, Report<Error>> {
    if is_retry(matches) {
        return Ok(Revision(0));
    }
    let fault = format!("the roll-out of {} is {state} already", name.as_str());
    Err(Error::Input(fault).into())
}
