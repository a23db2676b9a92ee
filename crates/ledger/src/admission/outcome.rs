//! Lookup of the responses of earlier runs in the table.

use crate::admission::Admission;
use crate::calls::{CallKey, Stage};
use crate::context::{Context, Purpose};
use crate::rows::Claim;
use crate::table::{Row, Unavailable};
use crate::{Action, Reason, Run, rows};

impl Admission {
    /// Reads the claim's row for the response of an earlier run.
    pub(super) fn read_outcome(&mut self, cx: &mut Context, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.stage = Stage::Reading;
        let row = rows::claim_key(&call.key);
        if cx.table_recently_failed() {
            return self.respond_without_row(cx, key);
        }
        cx.read(Purpose::ReadOutcome(key), row);
    }

    /// Handles the row that was read.
    pub(crate) fn handle_outcome_row(
        &mut self,
        cx: &mut Context,
        key: CallKey,
        result: Result<Option<Row>, Unavailable>,
    ) {
        let row = result.ok().flatten();
        let claim = row.and_then(|row| serde_json::from_str::<Claim>(&row.value).ok());
        match claim {
            Some(claim) => self.respond_from_row(cx, key, Some(&claim), Reason::HolderGone),
            None => self.respond_without_row(cx, key),
        }
    }

    fn respond_without_row(&mut self, cx: &mut Context, key: CallKey) {
        let is_remembered = self.calls.get(key).is_some_and(|call| call.entry.is_some());
        let reason = if is_remembered {
            Reason::AnswerCut
        } else {
            Reason::HolderGone
        };
        self.respond_from_row(cx, key, None, reason);
    }

    /// Responds to a call according to its key's row, or refuses it with `missing` if the row
    /// decides nothing.
    pub(super) fn respond_from_row(
        &mut self,
        cx: &mut Context,
        key: CallKey,
        claim: Option<&Claim>,
        missing: Reason,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if claim.is_some_and(|claim| claim.fingerprint() != call.fingerprint) {
            return self.refuse(cx, key, Reason::KeyReused, Run::NotRun);
        }
        match claim {
            Some(Claim::Answered {
                outcome: Some(outcome),
                ..
            }) => {
                let request = call.request.clone();
                self.calls.remove(key);
                cx.shared.counters.replays += 1;
                cx.push(Action::Replay {
                    request,
                    outcome: outcome.clone(),
                });
            }
            Some(Claim::Answered { outcome: None, .. }) => {
                self.refuse(cx, key, Reason::AnswerCut, Run::Unknown);
            }
            Some(Claim::Unknown { .. }) => {
                self.refuse(cx, key, Reason::UpstreamFailed, Run::Unknown);
            }
            Some(Claim::Claimed { .. }) | None => self.refuse(cx, key, missing, Run::Unknown),
        }
    }
}
