//! Changes of version within conversations.

use std::collections::BTreeMap;

use fakes::Mark;

use crate::caller::{Answer, Call, End};

/// The number of conversations of a run and their changes of version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sessions {
    /// Conversations with more than one response.
    pub conversations: u64,
    /// Changes of version that the host reported to the caller.
    pub moved: u64,
    /// Changes of version that the host did not report.
    pub switched: u64,
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
        let answers: Vec<_> = turns.iter().filter_map(|it| answer(it)).collect();
        self.conversations += u64::from(answers.len() > 1);
        for pair in answers.windows(2) {
            let [(before, _), (after, answer)] = pair else {
                continue;
            };
            if before == after {
                continue;
            }
            if answer.moved {
                self.moved += 1;
            } else {
                self.switched += 1;
            }
        }
    }
}

/// Returns the version that generated the response, and the response.
fn answer(call: &Call) -> Option<(String, &Answer)> {
    match call.end() {
        End::Answered(answer) => Some((Mark::parse(&answer.text)?.version, answer)),
        _ => None,
    }
}
