//! A change, repeated safely until its outcome is known.

use std::time::Duration;

use async_std::task::sleep;
use config::{ChangeMode, Entry, EntryName, diff};
use error_stack::Report;
use gate::operator::{AUTHOR, Accepted, CHANGE, IF_MATCH, MODE, Refusal};
use gate::problem::{Reason, Run};
use http::{Method, Request};
use kernel::{ChangeId, Revision};

use super::{Client, Tried, refused};
use crate::error::{Attempt, Conflict, Error};

/// How often each host is tried before the outcome counts as unknown.
const ROUNDS: u32 = 3;

/// The pause after the first round; it doubles with each one.
const PAUSE: Duration = Duration::from_millis(200);

/// A change to one entry.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// Its id, the same at every try.
    pub(crate) id: ChangeId,
    /// Whether an earlier command may have made it.
    pub(crate) history: History,
    /// The revision of the entry that it was made from.
    pub(crate) base: Revision,
    /// Who makes it.
    pub(crate) author: String,
    /// Whether the guards against accidents apply.
    pub(crate) mode: ChangeMode,
    /// The entry.
    pub(crate) name: EntryName,
    /// What the entry becomes; nothing when it is removed.
    pub(crate) entry: Option<Entry>,
}

/// Whether an earlier command may have made a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum History {
    /// The id is new.
    New,
    /// It repeats the command whose outcome isn't known. A host that can't
    /// reach the table says of this try that it changed nothing, which says
    /// nothing of the earlier one.
    Repeat,
}

impl Client {
    /// Makes a change, at any host.
    ///
    /// An answer that is lost leaves it open whether the change was accepted:
    /// the operator would see an error after a change that is in force. So the
    /// same change goes to the next host under the same id, by which a host
    /// knows a change that is accepted already, and it is accepted once at
    /// most. Once a try is in doubt, only an answer that was given in
    /// knowledge of the change's id settles it.
    pub(crate) async fn change(&self, change: &Change) -> Result<Accepted, Report<Error>> {
        let mut attempts = Vec::new();
        let mut in_doubt = change.history == History::Repeat;
        let mut last_refusal = None;
        for round in 0..ROUNDS {
            if round > 0 {
                sleep(PAUSE * 2_u32.pow(round - 1)).await;
            }
            for host in &self.hosts {
                let outcome = match self.send(*host, change.request()).await {
                    Tried::Answered(body) => match serde_json::from_slice(&body) {
                        Ok(accepted) => return Ok(accepted),
                        Err(err) => {
                            in_doubt = true;
                            format!("not an answer of this protocol: {err}")
                        }
                    },
                    Tried::Refused(refusal) => match Verdict::of(&refusal) {
                        Verdict::Settled => return Err(change.refused(*refusal).into()),
                        Verdict::Final if !in_doubt => return Err(refused(*refusal).into()),
                        verdict => {
                            in_doubt |= verdict == Verdict::InDoubt;
                            let detail = refusal.problem.detail.clone();
                            last_refusal = Some(*refusal);
                            detail
                        }
                    },
                    Tried::NotSent(outcome) => outcome,
                    Tried::InDoubt(outcome) => {
                        in_doubt = true;
                        outcome
                    }
                };
                attempts.push(Attempt {
                    host: *host,
                    outcome,
                });
            }
        }
        Err(match (in_doubt, last_refusal) {
            (true, _) => Error::Unknown {
                change: change.id.clone(),
                attempts,
            },
            (false, Some(refusal)) => refused(refusal),
            (false, None) => Error::Unreachable(attempts),
        }
        .into())
    }
}

impl Change {
    fn request(&self) -> Request {
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

    fn refused(&self, refusal: Refusal) -> Error {
        if refusal.problem.reason != Reason::Conflict {
            return refused(refusal);
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

/// What a refusal says about the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The change isn't accepted, also not by an earlier try: the host looked
    /// its id up before it compared and checked the entry.
    Settled,
    /// This try isn't accepted, and no other one would be.
    Final,
    /// This try isn't accepted; another host or moment may do better.
    Passing,
    /// This try may have been accepted.
    InDoubt,
}

impl Verdict {
    fn of(refusal: &Refusal) -> Self {
        match refusal.problem.reason {
            Reason::Conflict => Self::Settled,
            Reason::BadRequest if !refusal.faults.is_empty() => Self::Settled,
            _ if refusal.problem.run == Run::Unknown => Self::InDoubt,
            _ if super::may_differ_elsewhere(&refusal.problem) => Self::Passing,
            _ => Self::Final,
        }
    }
}
