//! Commands that all kinds of entries have.

use std::path::PathBuf;

use clap::ArgMatches;
use config::{Commit, Document, Entry, EntryFile, EntryKind, EntryName, diff};
use error_stack::{Report, ResultExt};
use kernel::Revision;
use serde_json::{Value, json};

use crate::cli::arg;
use crate::console::Console;
use crate::error::Error;
use crate::output;
use crate::session::{Session, is_retry, usage_error};

mod columns;

/// Lists the entries of a kind.
pub(super) async fn list(
    kind: EntryKind,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let document = session.client.document().await?.document;
    let entries: Vec<_> = entries_of_kind(&document, kind).collect();
    let rows: Vec<_> = entries
        .iter()
        .map(|(name, entry)| columns::row(name, entry))
        .collect();
    let json = entries
        .iter()
        .map(|(name, entry)| entry_json(name, entry))
        .collect();
    output::print_rows(session, columns::header(kind), &rows, &Value::Array(json));
    Ok(())
}

/// Prints an entry as a file that [`apply`] accepts.
pub(super) async fn show(
    name: &EntryName,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let entry = fetch_entry(name, session).await?;
    output::print_text(
        session,
        &EntryFile::show(name, &entry),
        &entry_json(name, &entry),
    );
    Ok(())
}

/// Replaces or creates an entry with the content of a file.
///
/// The base revision is `--revision`, else the one in the file's first line if the
/// file was printed from this entry.
pub(super) async fn apply(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let (path, file) = read_file(&name, matches, session.console)?;
    let base = match (revision(matches), file.revision, &file.name) {
        (Some(given), _, _) => given,
        (None, Some(revision), Some(header_name)) if *header_name == name => revision,
        (None, Some(_), Some(header_name)) => {
            return Err(usage_error(&format!(
                "{path} was read from {header_name}: give `--revision`, 0 for a new {name}"
            )));
        }
        (None, _, _) => {
            return Err(usage_error(&format!(
                "{path} doesn't say at which revision it was read: \
                 give `--revision`, 0 for a new {name}"
            )));
        }
    };
    session.change(matches, base, name, Some(file.entry)).await
}

/// Prints the diff from the current entry to the content of a file.
pub(super) async fn diff(
    name: &EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let (_, file) = read_file(name, matches, session.console)?;
    let document = session.client.document().await?.document;
    let current = document.entry(name);
    let text = diff::entries(name, current.as_ref(), Some(&file.entry));
    let revision = current.map(|entry| entry.changed());
    let json = json!({"entry": name, "current_revision": revision, "diff": text});
    output::print_text(session, &text, &json);
    Ok(())
}

/// Removes an entry, by default at its current revision.
pub(super) async fn remove(
    name: EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let base = match revision(matches) {
        Some(revision) => revision,
        None => base_for_removal(&name, matches, session).await?,
    };
    session.change(matches, base, name, None).await
}

/// Lists the changes to the entries of a kind, or to those of one name, newest first.
/// Roll-outs are listed with versions.
pub(super) async fn history(
    kind: EntryKind,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let max_commits = *matches
        .get_one::<u32>(arg::LIMIT)
        .expect("the argument has a default") as usize;
    let only_name: Option<&String> = matches.get_one(arg::NAME);
    let is_selected = |commit: &Commit| {
        is_in_history_of(kind, &commit.entry)
            && only_name.is_none_or(|name| commit.entry.as_str() == name)
    };
    let commits = newest_commits(max_commits, is_selected, session).await?;
    let rows: Vec<_> = commits
        .iter()
        .map(|commit| {
            vec![
                commit.revision.to_string(),
                output::format_time(commit.when),
                commit.entry.to_string(),
                commit.action.to_string(),
                commit.author.clone(),
                commit.change.to_string(),
            ]
        })
        .collect();
    let header = ["REVISION", "TIME", "ENTRY", "WHAT", "AUTHOR", "CHANGE"];
    output::print_rows(session, &header, &rows, &json!(commits));
    Ok(())
}

/// Returns the current entry; fails if it doesn't exist.
pub(super) async fn fetch_entry(
    name: &EntryName,
    session: &mut Session<'_, '_>,
) -> Result<Entry, Report<Error>> {
    let document = session.client.document().await?.document;
    let entry = document.entry(name);
    entry.ok_or_else(|| Error::NotFound(name.clone()).into())
}

/// Reads the file that the command line names, or standard input for `-`. Returns
/// its name for error messages and its text.
pub(super) fn read_input(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(String, String), Report<Error>> {
    let path: &PathBuf = matches
        .get_one(arg::FILE)
        .expect("the argument has a default");
    if path.as_os_str() == "-" {
        let shown = "standard input";
        let text = console
            .read_input()
            .change_context(Error::ReadFile(shown.into()))?;
        return Ok((shown.to_owned(), text));
    }
    let text = std::fs::read_to_string(path).change_context(Error::ReadFile(path.clone()))?;
    Ok((path.display().to_string(), text))
}

async fn base_for_removal(
    name: &EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<Revision, Report<Error>> {
    let document = session.client.document().await?.document;
    match document.entry(name) {
        Some(entry) => Ok(entry.changed()),
        None if is_retry(matches) => Ok(Revision(0)),
        None => Err(Error::NotFound(name.clone()).into()),
    }
}

/// Maximum number of commits in a response of a host.
const MAX_HISTORY: usize = 500;

/// Returns the newest commits for which `is_selected` is true, at most
/// `max_commits`, among the newest [`MAX_HISTORY`] commits to all entries.
///
/// The history covers all entries, and each commit costs the host a read, so the
/// requested number grows only while too few commits match.
async fn newest_commits(
    max_commits: usize,
    is_selected: impl Fn(&Commit) -> bool,
    session: &mut Session<'_, '_>,
) -> Result<Vec<Commit>, Report<Error>> {
    let mut limit = max_commits.min(MAX_HISTORY);
    loop {
        let history = session.client.history(limit).await?;
        let is_complete = history.entries.len() < limit || limit == MAX_HISTORY;
        let mut commits = history.entries;
        commits.retain(&is_selected);
        commits.truncate(max_commits);
        if is_complete || commits.len() == max_commits {
            return Ok(commits);
        }
        limit = (limit * 2).min(MAX_HISTORY);
    }
}

/// Returns whether changes to an entry are listed in the history of a kind; those
/// of roll-outs are listed with versions.
fn is_in_history_of(kind: EntryKind, name: &EntryName) -> bool {
    name.kind() == kind || (kind == EntryKind::Version && name.kind() == EntryKind::Rollout)
}

fn read_file(
    name: &EntryName,
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(String, EntryFile), Report<Error>> {
    let (path, text) = read_input(matches, console)?;
    let file = EntryFile::parse(name.kind(), &text, &path).map_err(Error::Faults)?;
    Ok((path, file))
}

fn revision(matches: &ArgMatches) -> Option<Revision> {
    matches.get_one(arg::REVISION).copied().map(Revision)
}

fn entries_of_kind(
    document: &Document,
    kind: EntryKind,
) -> impl Iterator<Item = (EntryName, Entry)> {
    let names = document.names().filter(move |name| name.kind() == kind);
    names.filter_map(|name| {
        let entry = document.entry(&name)?;
        Some((name, entry))
    })
}

fn entry_json(name: &EntryName, entry: &Entry) -> Value {
    json!({"name": name.as_str(), "revision": entry.changed(), "entry": entry})
}
