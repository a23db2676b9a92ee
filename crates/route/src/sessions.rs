//! Which release sessions are on.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Release, SessionId};

/// How often sessions that have ended are forgotten.
const SWEEP: Duration = Duration::from_secs(2);

/// Which release the sessions are on that this host has seen lately.
///
/// A session that began before a roll-out would otherwise be moved to a release
/// on trial in its middle, when the roll-out's share comes to include it. Every
/// host chooses alike for a session that it doesn't know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    seen: HashMap<SessionId, Seen>,
    swept: Duration,
}

#[derive(Clone, Debug)]
struct Seen {
    release: Release,
    at: Duration,
}

impl Sessions {
    /// The release of a session whose last request is no longer ago than `gap`.
    pub(crate) fn release(&self, now: Duration, id: &SessionId, gap: Duration) -> Option<&Release> {
        let seen = self.seen.get(id)?;
        (now.saturating_sub(seen.at) <= gap).then_some(&seen.release)
    }

    /// The sessions under way that are on any release but this one.
    pub(crate) fn others_than(
        &self,
        now: Duration,
        release: &Release,
        gap: Duration,
    ) -> impl Iterator<Item = &SessionId> {
        self.seen
            .iter()
            .filter(move |(_, it)| it.release != *release && now.saturating_sub(it.at) <= gap)
            .map(|(id, _)| id)
    }

    /// Takes a session's request that goes to this release.
    pub(crate) fn note(&mut self, now: Duration, id: &SessionId, release: &Release, gap: Duration) {
        if now.saturating_sub(self.swept) > SWEEP {
            self.swept = now;
            self.seen.retain(|_, it| now.saturating_sub(it.at) <= gap);
        }
        let seen = Seen {
            release: release.clone(),
            at: now,
        };
        self.seen.insert(id.clone(), seen);
    }

    /// Renews a session whose request is still being answered.
    pub(crate) fn renew(&mut self, now: Duration, id: &SessionId) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.at = now;
        }
    }
}
