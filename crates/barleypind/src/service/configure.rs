//! Commits changes of the configuration to the table and reads their history.
//!
//! A change is one transaction. It writes the configuration's head at its next revision, a row of
//! the change and a history entry, on condition that the head is still at the version that was
//! read and that the row of the change doesn't exist. See `docs/design/config.md`.

use std::sync::Arc;
use std::time::Duration;

use clients::row::Key;
use clients::{Condition, Error, Transaction, Version};
use config::{ApplyError, Change, Commit, Document};
use gate::operator::{Accepted, Refusal};
use gate::problem::{Problem, Reason, Run};
use kernel::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::event::Event;
use crate::service::fleet;

/// Maximum number of attempts to commit a change, each on a newer head after a conflict.
const MAX_COMMIT_ATTEMPTS: u32 = 16;
/// Maximum number of reads to determine the outcome of a write whose response was lost.
const MAX_OUTCOME_READS: u32 = 3;

/// Commits `change`.
///
/// # Errors
/// Returns the refusal. It says `not_run` only if this request has no effect and never will have
/// one. An earlier request with the same change id may have had one.
pub(crate) async fn commit(cx: &Arc<Context>, change: &Change) -> Result<Accepted, Refusal> {
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let asked = cx.host.now();
        if let Some(committed) = read_committed(cx, &change.id)
            .await
            .map_err(|_| store_unavailable())?
        {
            return committed
                .retry_response(change)
                .ok_or_else(|| committed.reused_id_refusal());
        }
        let (document, version) = head(cx).await?;
        let next = match document.apply(change) {
            Ok(next) => next,
            Err(refused) => return Err(refuse(cx, change, refused)),
        };
        match write(cx, change, &next, version).await {
            Ok(()) => return Ok(report_committed(cx, change, &next, asked).await),
            // Another change was committed first. Apply this one to the new head. That is a
            // conflict only if both edit the same entry.
            Err(Error::Conflict { .. }) => {}
            Err(Error::NotApplied(_)) => return Err(store_unavailable()),
            Err(Error::Unknown(_)) => return resolve_unknown_write(cx, change, next, asked).await,
        }
    }
    Err(Problem::not_run(
        Reason::Overloaded,
        "the configuration changes too fast; repeat with the same change id",
    )
    .into())
}

/// Returns the newest `limit` entries of the history, newest first.
///
/// # Errors
/// Returns a refusal if the table doesn't respond or the head can't be parsed.
pub(crate) async fn history(cx: &Context, limit: usize) -> Result<Vec<Commit>, Refusal> {
    let (document, _) = head(cx).await?;
    let newest = document.revision.0;
    let oldest = newest.saturating_sub(limit as u64);
    let mut commits = Vec::new();
    for revision in ((oldest + 1)..=newest).rev() {
        let key = Key::ConfigHistory(Revision(revision));
        let row = cx.table.get(&key).await.map_err(|_| store_unavailable())?;
        commits.extend(row.and_then(|it| it.value::<Commit>()));
    }
    Ok(commits)
}

/// Returns the committed document and its row's version, or an empty document and `None` before
/// the first change.
async fn head(cx: &Context) -> Result<(Document, Option<Version>), Refusal> {
    let row = cx
        .table
        .get(&Key::ConfigHead)
        .await
        .map_err(|_| store_unavailable())?;
    let Some(row) = row else {
        return Ok((Document::default(), None));
    };
    let document = row.value().ok_or_else(|| {
        cx.host.log.emit(Event::ConfigUnreadable, &[]);
        Refusal::from(Problem::not_run(
            Reason::NotReady,
            "the committed configuration can't be read; nothing was changed",
        ))
    })?;
    Ok((document, Some(row.version)))
}

/// The table row of a committed change.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CommittedChange {
    /// The revision that the change created.
    revision: Revision,
    /// The hash of the edit. Detects a different edit under the same change id, which would
    /// otherwise be taken for a retry and reported as in force.
    edit: String,
}

impl CommittedChange {
    fn new(change: &Change, revision: Revision) -> Self {
        let edit = serde_json::to_vec(&change.edit).expect("an edit has a JSON form");
        Self {
            revision,
            edit: blake3::hash(&edit).to_hex().to_string(),
        }
    }

    /// Returns the response to a retry of this change, or `None` if `change` is a different one.
    fn retry_response(&self, change: &Change) -> Option<Accepted> {
        (*self == Self::new(change, self.revision)).then_some(Accepted {
            revision: self.revision,
            repeated: true,
        })
    }

    fn reused_id_refusal(&self) -> Refusal {
        Problem::not_run(
            Reason::KeyReused,
            format!(
                "barleypin-change: was used for another change, which made revision {}; take a new one",
                self.revision
            ),
        )
        .into()
    }
}

async fn read_committed(cx: &Context, change: &ChangeId) -> Result<Option<CommittedChange>, Error> {
    let row = cx.table.get(&Key::ConfigChange(change.clone())).await?;
    Ok(row.and_then(|it| it.value()))
}

async fn write(
    cx: &Context,
    change: &Change,
    next: &Document,
    version: Option<Version>,
) -> Result<(), Error> {
    let head = match version {
        Some(version) => Condition::At(Key::ConfigHead, version),
        None => Condition::Absent(Key::ConfigHead),
    };
    let change_key = Key::ConfigChange(change.id.clone());
    let history_entry = Commit::new(change, next.revision, cx.host.clock.wall());
    let transaction = Transaction::default()
        .when(head)
        .when(Condition::Absent(change_key.clone()))
        .put(&Key::ConfigHead, next)
        .put(&change_key, &CommittedChange::new(change, next.revision))
        .put(&Key::ConfigHistory(next.revision), &history_entry);
    cx.table.transact(&transaction).await.map(|_| ())
}

/// Determines the outcome of a write whose response was lost.
///
/// The write took effect if the row of the change exists. If it doesn't, the write may still be
/// in flight, so a missing row proves nothing.
async fn resolve_unknown_write(
    cx: &Arc<Context>,
    change: &Change,
    next: Document,
    asked: Duration,
) -> Result<Accepted, Refusal> {
    for _ in 0..MAX_OUTCOME_READS {
        match read_committed(cx, &change.id).await {
            Ok(Some(committed)) if committed == CommittedChange::new(change, next.revision) => {
                return Ok(report_committed(cx, change, &next, asked).await);
            }
            Ok(Some(committed)) => {
                return committed
                    .retry_response(change)
                    .ok_or_else(|| committed.reused_id_refusal());
            }
            Ok(None) | Err(_) => async_std::task::sleep(cx.host.settings.platform.connect).await,
        }
    }
    cx.host
        .log
        .emit(Event::ChangeUnknown, &[("change", &change.id)]);
    Err(Problem::new(
        Reason::StoreOut,
        Run::Unknown,
        "the table did not say whether it took the change; repeat with the same change id",
    )
    .into())
}

/// Reports a committed change to the fleet service, so that it is in force on this host without
/// waiting for a poll.
///
/// `asked` is a time before the write was sent. The age of the proof that no newer revision
/// exists counts from it.
async fn report_committed(
    cx: &Context,
    change: &Change,
    next: &Document,
    asked: Duration,
) -> Accepted {
    let name = change.edit.name();
    cx.host.log.emit(
        Event::ChangeCommitted,
        &[
            ("change", &change.id),
            ("revision", &next.revision),
            ("entry", &name),
        ],
    );
    let polled = ::fleet::Event::Polled(::fleet::Polled {
        asked,
        revision: next.revision,
        json: Some(next.to_json().into_bytes().into()),
    });
    if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
        // Wait until the change is in force here, so that the operator sees it on this host once
        // the response arrives.
        fleet
            .ask(|reply| fleet::Message::EventAndWait(polled, reply))
            .await;
    }
    Accepted {
        revision: next.revision,
        repeated: false,
    }
}

fn refuse(cx: &Context, change: &Change, refused: ApplyError) -> Refusal {
    if let ApplyError::Conflict(conflict) = &refused {
        cx.host.log.emit(
            Event::ChangeConflict,
            &[("change", &change.id), ("entry", &conflict.entry)],
        );
    }
    refused.into()
}

fn store_unavailable() -> Refusal {
    Problem::not_run(
        Reason::StoreOut,
        "the table does not answer; nothing was changed",
    )
    .into()
}
