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
use crate::session::{Session, is_repeat, usage};

mod columns;

/// Lists the entries of a kind.
pub(super) async fn list(
    kind: EntryKind,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let document = session.client.document().await?.document;
    let entries: Vec<_> = entries(&document, kind).collect();
    let rows: Vec<_> = entries
        .iter()
        .map(|(name, entry)| columns::row(name, entry))
        .collect();
    let json = entries
        .iter()
        .map(|(name, entry)| as_json(name, entry))
        .collect();
    output::rows(session, columns::head(kind), &rows, &Value::Array(json));
    Ok(())
}

/// Prints an entry as a file that [`apply`] accepts.
pub(super) async fn show(
    name: &EntryName,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let entry = current(name, session).await?;
    output::text(
        session,
        &EntryFile::show(name, &entry),
        &as_json(name, &entry),
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
        (None, Some(revision), Some(of)) if *of == name => revision,
        (None, Some(_), Some(of)) => {
            return Err(usage(&format!(
                "{path} was read from {of}: give `--revision`, 0 for a new {name}"
            )));
        }
        (None, _, _) => {
            return Err(usage(&format!(
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
    output::text(session, &text, &json);
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
        None => removable(&name, matches, session).await?,
    };
    session.change(matches, base, name, None).await
}

/// Lists the changes to the entries of a kind, or to one entry, newest first.
pub(super) async fn history(
    kind: EntryKind,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let wanted = *matches
        .get_one::<u32>(arg::LIMIT)
        .expect("the argument has a default") as usize;
    let only: Option<&String> = matches.get_one(arg::NAME);
    let is_meant = |commit: &Commit| {
        is_of(kind, &commit.entry) && only.is_none_or(|name| commit.entry.as_str() == name)
    };
    let commits = newest(wanted, is_meant, session).await?;
    let rows: Vec<_> = commits
        .iter()
        .map(|commit| {
            vec![
                commit.revision.to_string(),
                output::time(commit.when),
                commit.entry.to_string(),
                commit.action.to_string(),
                commit.author.clone(),
                commit.change.to_string(),
            ]
        })
        .collect();
    let head = ["REVISION", "TIME", "ENTRY", "WHAT", "AUTHOR", "CHANGE"];
    output::rows(session, &head, &rows, &json!(commits));
    Ok(())
}

/// Returns the current entry; fails if it doesn't exist.
pub(super) async fn current(
    name: &EntryName,
    session: &mut Session<'_, '_>,
) -> Result<Entry, Report<Error>> {
    let document = session.client.document().await?.document;
    let entry = document.entry(name);
    entry.ok_or_else(|| Error::Absent(name.clone()).into())
}

/// Reads the file that the command line names, or standard input for `-`. Returns
/// its name for error messages and its text.
pub(super) fn read(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(String, String), Report<Error>> {
    let path: &PathBuf = matches
        .get_one(arg::FILE)
        .expect("the argument has a default");
    if path.as_os_str() == "-" {
        let shown = "standard input";
        let text = console.read().change_context(Error::Read(shown.into()))?;
        return Ok((shown.to_owned(), text));
    }
    let text = std::fs::read_to_string(path).change_context(Error::Read(path.clone()))?;
    Ok((path.display().to_string(), text))
}

async fn removable(
    name: &EntryName,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<Revision, Report<Error>> {
    let document = session.client.document().await?.document;
    match document.entry(name) {
        Some(entry) => Ok(entry.changed()),
        None if is_repeat(matches) => Ok(Revision(0)),
        None => Err(Error::Absent(name.clone()).into()),
    }
}

/// Maximum number of commits in a response of a host.
const MAX_HISTORY: usize = 500;

/// Returns the newest commits for which `is_meant` is true, at most `wanted`.
///
/// The history covers all entries, and each commit costs the host a read, so the
/// requested number grows only while too few commits match.
async fn newest(
    wanted: usize,
    is_meant: impl Fn(&Commit) -> bool,
    session: &mut Session<'_, '_>,
) -> Result<Vec<Commit>, Report<Error>> {
    let mut limit = wanted.min(MAX_HISTORY);
    loop {
        let history = session.client.history(limit).await?;
        let whole = history.entries.len() < limit || limit == MAX_HISTORY;
        let mut commits = history.entries;
        commits.retain(&is_meant);
        commits.truncate(wanted);
        if whole || commits.len() == wanted {
            return Ok(commits);
        }
        limit = (limit * 2).min(MAX_HISTORY);
    }
}

/// Returns whether changes to an entry are listed in the history of a kind; those
/// of roll-outs are listed with versions.
fn is_of(kind: EntryKind, name: &EntryName) -> bool {
    name.kind() == kind || (kind == EntryKind::Version && name.kind() == EntryKind::Rollout)
}

fn read_file(
    name: &EntryName,
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(String, EntryFile), Report<Error>> {
    let (path, text) = read(matches, console)?;
    let file = EntryFile::parse(name.kind(), &text, &path).map_err(Error::Faults)?;
    Ok((path, file))
}

fn revision(matches: &ArgMatches) -> Option<Revision> {
    matches.get_one(arg::REVISION).copied().map(Revision)
}

fn entries(document: &Document, kind: EntryKind) -> impl Iterator<Item = (EntryName, Entry)> {
    let names = document.names().filter(move |name| name.kind() == kind);
    names.filter_map(|name| {
        let entry = document.entry(&name)?;
        Some((name, entry))
    })
}

fn as_json(name: &EntryName, entry: &Entry) -> Value {
    json!({"name": name.as_str(), "revision": entry.changed(), "entry": entry})
}
