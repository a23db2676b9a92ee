//! Changes of version within conversations.

use std::collections::BTreeMap;

use fakes::Mark;

use crate::caller::{Call, CallResponse, Outcome};

/// The number of conversations of a run and their changes of version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sessions {
    /// Conversations with more than one response.
    pub conversations: u64,
    /// Changes of version that the host reported to the caller.
    pub reported_moves: u64,
    /// Changes of version that the host did not report.
    pub unreported_moves: u64,
}

impl Sessions {
    /// Counts the conversations by the versions that the engines marked in their responses.
    #[must_use]
    pub fn count(calls: &[Call]) -> Self {
        let mut by_item: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
        for call in calls {
            if let Some((item, _)) = call.name.rsplit_once('.') {
                by_item.entry(item).or_default().push(call);
            }
        }
        let mut sessions = Self::default();
        for turns in by_item.values() {
            sessions.add(turns);
        }
        sessions
    }

    fn add(&mut self, turns: &[&Call]) {
        let responses: Vec<_> = turns
            .iter()
            .filter_map(|it| version_and_response(it))
            .collect();
        self.conversations += u64::from(responses.len() > 1);
        for pair in responses.windows(2) {
            let [(before, _), (after, response)] = pair else {
                continue;
            };
            if before == after {
                continue;
            }
            if response.moved {
                self.reported_moves += 1;
            } else {
                self.unreported_moves += 1;
            }
        }
    }
}

/// Returns the version that generated the response, and the response.
fn version_and_response(call: &Call) -> Option<(String, &CallResponse)> {
    match call.outcome() {
        Outcome::Completed(response) => Some((Mark::parse(&response.text)?.version, response)),
        _ => None,
    }
}
