//! Submits a change, with a limited number of retries.

use std::time::Duration;

use async_std::task::sleep;
use config::{ChangeMode, Entry, EntryName, diff};
use error_stack::Report;
use gate::operator::{AUTHOR, Accepted, CHANGE, IF_MATCH, MODE, Refusal};
use gate::problem::{Reason, Run};
use http::{Method, Request};
use kernel::{ChangeId, Revision};

use super::{AttemptOutcome, Client, refusal_error};
use crate::error::{Conflict, Error, FailedAttempt};

/// Maximum number of attempts per host.
const MAX_ROUNDS: u32 = 3;

/// Delay between the first two rounds; doubles with each further round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// A change to one entry.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// The change's id, the same for every attempt.
    pub(crate) id: ChangeId,
    /// Whether its id is new.
    pub(crate) submission: Submission,
    /// The revision of the entry on which it is based; zero for a new entry.
    pub(crate) base: Revision,
    /// The author, for the history.
    pub(crate) author: String,
    /// Whether a withdrawal that leaves a profile or one of its customers without a
    /// version is refused.
    pub(crate) mode: ChangeMode,
    /// The name of the entry.
    pub(crate) name: EntryName,
    /// The new content of the entry; `None` removes it.
    pub(crate) entry: Option<Entry>,
}

/// Whether an earlier command may have submitted a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Submission {
    /// The change id is new.
    New,
    /// The command line gives the change id, so an earlier command may have
    /// submitted the change. A refusal that a host gives without looking up the
    /// change id, such as while the store is out, says nothing about the earlier
    /// attempt.
    Retry,
}

impl Client {
    /// Submits a change to the hosts in turn until its outcome is known, in at most
    /// [`MAX_ROUNDS`] rounds.
    ///
    /// If a response is lost, the change may be accepted, and a new change in
    /// its place would conflict with it. Every attempt therefore carries the same
    /// change id, by which a host recognizes a change that is accepted already:
    /// it is accepted at most once. Once an attempt is in doubt, only an
    /// acceptance, a conflict or a refusal with faults settles the outcome.
    ///
    /// # Errors
    /// Fails if the change is refused, if no host received it, or if its outcome
    /// is still unknown after all attempts.
    pub(crate) async fn change(&self, change: &Change) -> Result<Accepted, Report<Error>> {
        let mut attempts = Vec::new();
        let mut in_doubt = change.submission == Submission::Retry;
        let mut last_refusal = None;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                sleep(INITIAL_BACKOFF * 2_u32.pow(round - 1)).await;
            }
            for host in &self.hosts {
                let reason = match self.send(*host, change.to_request()).await {
                    AttemptOutcome::Succeeded(body) => match serde_json::from_slice(&body) {
                        Ok(accepted) => return Ok(accepted),
                        Err(err) => {
                            in_doubt = true;
                            format!("invalid response: {err}")
                        }
                    },
                    AttemptOutcome::Refused(refusal) => match RefusalKind::of(&refusal) {
                        RefusalKind::Final => {
                            return Err(change.to_error(*refusal).into());
                        }
                        RefusalKind::Permanent if !in_doubt => {
                            return Err(refusal_error(*refusal).into());
                        }
                        kind => {
                            in_doubt |= kind == RefusalKind::InDoubt;
                            let detail = refusal.problem.detail.clone();
                            last_refusal = Some(*refusal);
                            detail
                        }
                    },
                    AttemptOutcome::NotSent(reason) => reason,
                    AttemptOutcome::InDoubt(reason) => {
                        in_doubt = true;
                        reason
                    }
                };
                attempts.push(FailedAttempt {
                    host: *host,
                    reason,
                });
            }
        }
        Err(match (in_doubt, last_refusal) {
            (true, _) => Error::Unknown {
                change: change.id.clone(),
                attempts,
            },
            (false, Some(refusal)) => refusal_error(refusal),
            (false, None) => Error::Unreachable(attempts),
        }
        .into())
    }
}

impl Change {
    fn to_request(&self) -> Request {
        let target = format!(
            "/operator/v1/{}/{}",
            self.name.kind().plural(),
            self.name.as_str()
        );
        let request = match &self.entry {
            Some(entry) => Request::new(Method::Put, target).json(entry),
            None => Request::new(Method::Delete, target),
        };
        let mode = match self.mode {
            ChangeMode::Guarded => "guarded",
            ChangeMode::Forced => "forced",
        };
        request
            .header(IF_MATCH, self.base.to_string())
            .header(CHANGE, self.id.to_string())
            .header(AUTHOR, self.author.clone())
            .header(MODE, mode)
    }

    fn to_error(&self, refusal: Refusal) -> Error {
        if refusal.problem.reason != Reason::Conflict {
            return refusal_error(refusal);
        }
        let current = refusal.current.and_then(|value| {
            let body = serde_json::to_vec(&value).ok()?;
            Entry::from_json(self.name.kind(), &body).ok()
        });
        Error::Conflict(Conflict {
            entry: self.name.clone(),
            current_revision: refusal.current_revision.unwrap_or_default(),
            diff: diff::entries(&self.name, current.as_ref(), self.entry.as_ref()),
        })
    }
}

/// Classification of a refusal by whether the change can have been accepted and
/// whether to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalKind {
    /// The host found no change with this id, then rejected the change because of a
    /// conflict or faults.
    Final,
    /// This attempt wasn't accepted, and another one wouldn't be either.
    Permanent,
    /// This attempt wasn't accepted; another host, or a later attempt, may accept
    /// it.
    Transient,
    /// This attempt may have been accepted.
    InDoubt,
}

impl RefusalKind {
    fn of(refusal: &Refusal) -> Self {
        match refusal.problem.reason {
            Reason::Conflict => Self::Final,
            Reason::BadRequest if !refusal.faults.is_empty() => Self::Final,
            _ if refusal.problem.run == Run::Unknown => Self::InDoubt,
            _ if super::is_retryable(&refusal.problem) => Self::Transient,
            _ => Self::Permanent,
        }
    }
}
