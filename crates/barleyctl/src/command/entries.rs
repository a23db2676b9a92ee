//! What entries of all kinds have in common.

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

/// Prints an entry as a file that [`apply`] takes.
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

/// Puts what a file says.
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

/// Shows what a file would change.
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

/// Removes an entry, as it is now unless a revision is given.
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

/// Lists the changes of a kind's entries, or of one, newest first.
pub(super) async fn history(
    kind: EntryKind,
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let wanted = *matches
        .get_one::<u32>(arg::LIMIT)
        .expect("it has a default") as usize;
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

/// The entry as it is in the document.
pub(super) async fn current(
    name: &EntryName,
    session: &mut Session<'_, '_>,
) -> Result<Entry, Report<Error>> {
    let document = session.client.document().await?.document;
    let entry = document.entry(name);
    entry.ok_or_else(|| Error::Absent(name.clone()).into())
}

/// The text of the file that the command line names, and what errors call it.
pub(super) fn read(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<(String, String), Report<Error>> {
    let path: &PathBuf = matches.get_one(arg::FILE).expect("it has a default");
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

/// The most commits that a host tells of in one answer.
const MAX_HISTORY: usize = 500;

/// The newest commits that are meant, at most as many as wanted.
///
/// The history is one for all entries and each commit costs the host a read,
/// so it is asked for more of them only while too few are found.
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

/// The history of versions is also that of their roll-outs.
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
