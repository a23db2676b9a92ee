//! Runs the commands.

mod completions;
mod customers;
mod entries;
mod explain;
mod hosts;
mod keys;
mod place;
mod rollout;
mod status;
mod versions;

use clap::ArgMatches;
use config::{EntryKind, EntryName, Faults};
use error_stack::Report;

use crate::cli::{arg, verb};
use crate::console::Console;
use crate::error::Error;
use crate::session::Session;

/// Runs the command that the command line names.
pub(crate) async fn run(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(), Report<Error>> {
    let (name, matches) = subcommand(matches);
    match name {
        verb::COMPLETIONS => {
            completions::run(matches, console);
            Ok(())
        }
        verb::EXPLAIN => explain::run(matches, console),
        verb::KEYS => keys::run(matches, console),
        verb::STATUS => status::run(&mut Session::open(matches, console)?).await,
        verb::PLACE => place::run(matches, &mut Session::open(matches, console)?).await,
        verb::HOSTS => hosts::run(matches, &mut Session::open(matches, console)?).await,
        plural => {
            let kind =
                EntryKind::from_plural(plural).expect("the command line has no other command");
            run_entry_command(kind, matches, console).await
        }
    }
}

async fn run_entry_command(
    kind: EntryKind,
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(), Report<Error>> {
    let (verb, matches) = subcommand(matches);
    if verb == verb::HASH {
        return customers::hash(matches, console);
    }
    let mut session = Session::open(matches, console)?;
    match verb {
        verb::LIST => entries::list(kind, &mut session).await,
        verb::SHOW => entries::show(&entry_name(kind, matches)?, &mut session).await,
        verb::APPLY | verb::EDIT => {
            entries::apply(entry_name(kind, matches)?, matches, &mut session).await
        }
        verb::DIFF => entries::diff(&entry_name(kind, matches)?, matches, &mut session).await,
        verb::REMOVE => entries::remove(entry_name(kind, matches)?, matches, &mut session).await,
        verb::HISTORY => entries::history(kind, matches, &mut session).await,
        verb::PUT => versions::put(entry_name(kind, matches)?, matches, &mut session).await,
        verb::WITHDRAW => {
            versions::withdraw(entry_name(kind, matches)?, matches, &mut session).await
        }
        verb::ROLLOUT => rollout::run(matches, &mut session).await,
        other => unreachable!("the command line has no command {other}"),
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches
        .subcommand()
        .expect("a subcommand is required at each level")
}

/// Returns the entry name from the command line; fails if hosts wouldn't accept it.
fn entry_name(kind: EntryKind, matches: &ArgMatches) -> Result<EntryName, Report<Error>> {
    let name: &String = matches
        .get_one(arg::NAME)
        .expect("the name is a required argument");
    let name = EntryName::new(kind, name);
    match name.check() {
        Ok(()) => Ok(name),
        Err(fault) => Err(Error::Faults(Faults(vec![fault])).into()),
    }
}
