//! The service that commits operators' changes.
//!
//! A change is one transaction: the head at its next revision, the change's
//! own row and its line of the history, on the condition that the head is the
//! one that was read and the change's row is absent. See `docs/design/config.md`.

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

/// How often a change is applied again on a head that moved on. Operators make
/// hundreds of changes a day, so even two collisions in a row are rare.
const ROUNDS: u32 = 16;
/// How often the outcome of a write is asked for when its answer was lost.
const SETTLE_ROUNDS: u32 = 3;

/// Commits `change`, or says why not.
///
/// # Errors
/// The refusal, `not_run` only when the change has no effect and won't have one.
pub(crate) async fn commit(cx: &Arc<Context>, change: &Change) -> Result<Accepted, Refusal> {
    for _ in 0..ROUNDS {
        let asked = cx.host.now();
        if let Some(done) = committed(cx, &change.id).await.map_err(|_| out())? {
            return done.repeat(change).ok_or_else(|| done.reused());
        }
        let (document, version) = head(cx).await?;
        let next = match document.apply(change) {
            Ok(next) => next,
            Err(refused) => return Err(refuse(cx, change, refused)),
        };
        match write(cx, change, &next, version).await {
            Ok(()) => return Ok(accept(cx, change, &next, asked).await),
            // Another change came first; this one is applied to its result,
            // and only a change of the same entry is a conflict.
            Err(Error::Conflict { .. }) => {}
            Err(Error::NotApplied(_)) => return Err(out()),
            Err(Error::Unknown(_)) => return settle(cx, change, next, asked).await,
        }
    }
    Err(Problem::not_run(
        Reason::Overloaded,
        "the configuration changes too fast; repeat with the same change id",
    )
    .into())
}

/// Reads the newest lines of the history.
///
/// # Errors
/// A refusal when the table doesn't answer.
pub(crate) async fn history(cx: &Context, limit: usize) -> Result<Vec<Commit>, Refusal> {
    let (document, _) = head(cx).await?;
    let newest = document.revision.0;
    let oldest = newest.saturating_sub(limit as u64);
    let mut commits = Vec::new();
    for revision in ((oldest + 1)..=newest).rev() {
        let key = Key::ConfigHistory(Revision(revision));
        let row = cx.table.get(&key).await.map_err(|_| out())?;
        commits.extend(row.and_then(|it| it.value::<Commit>()));
    }
    Ok(commits)
}

/// The committed document and its row's version, none before the first change.
async fn head(cx: &Context) -> Result<(Document, Option<Version>), Refusal> {
    let row = cx.table.get(&Key::ConfigHead).await.map_err(|_| out())?;
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

/// The row of a committed change.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Done {
    /// The revision that it made.
    revision: Revision,
    /// The hash of its edit.
    ///
    /// Failure: two different edits under one change id. The second would be
    /// taken for a repeat of the first, and its operator would think it in force.
    edit: String,
}

impl Done {
    fn new(change: &Change, revision: Revision) -> Self {
        let edit = serde_json::to_vec(&change.edit).expect("an edit has a JSON form");
        Self {
            revision,
            edit: blake3::hash(&edit).to_hex().to_string(),
        }
    }

    /// The answer to a change that comes again under an id that is committed;
    /// nothing when it is another change.
    fn repeat(&self, change: &Change) -> Option<Accepted> {
        (*self == Self::new(change, self.revision)).then_some(Accepted {
            revision: self.revision,
            repeated: true,
        })
    }

    fn reused(&self) -> Refusal {
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

async fn committed(cx: &Context, change: &ChangeId) -> Result<Option<Done>, Error> {
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
    let changed = Key::ConfigChange(change.id.clone());
    let line = Commit::new(change, next.revision, cx.host.clock.wall());
    let transaction = Transaction::default()
        .when(head)
        .when(Condition::Absent(changed.clone()))
        .put(&Key::ConfigHead, next)
        .put(&changed, &Done::new(change, next.revision))
        .put(&Key::ConfigHistory(next.revision), &line);
    cx.table.transact(&transaction).await.map(|_| ())
}

/// Finds out what became of a write whose answer was lost.
///
/// Failure: the write takes effect, its answer doesn't come. The change's own
/// row tells; while it is absent and the head is unchanged the write may still
/// be on its way, so nothing is concluded from that.
async fn settle(
    cx: &Arc<Context>,
    change: &Change,
    next: Document,
    asked: Duration,
) -> Result<Accepted, Refusal> {
    for _ in 0..SETTLE_ROUNDS {
        match committed(cx, &change.id).await {
            Ok(Some(done)) if done == Done::new(change, next.revision) => {
                return Ok(accept(cx, change, &next, asked).await);
            }
            Ok(Some(done)) => return done.repeat(change).ok_or_else(|| done.reused()),
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

/// The change is committed: this host needs no poll to know.
///
/// `asked` is a time before the write was sent, from which the proof counts
/// that nothing newer was committed.
async fn accept(cx: &Context, change: &Change, next: &Document, asked: Duration) -> Accepted {
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
        // Whoever made the change finds it in force here when it has its answer.
        fleet
            .ask(|reply| fleet::Message::Settle(polled, reply))
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

fn out() -> Refusal {
    Problem::not_run(
        Reason::StoreOut,
        "the table does not answer; nothing was changed",
    )
    .into()
}
