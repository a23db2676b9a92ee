//! The releases that sessions use.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Release, SessionId};

/// The interval at which expired sessions are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// The releases that recent sessions use.
///
/// Without it, a session that began before a roll-out could switch to the new release
/// when that release's share grows. For unknown sessions all hosts make the same choice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    seen: HashMap<SessionId, Seen>,
    last_sweep: Duration,
}

#[derive(Clone, Debug)]
struct Seen {
    release: Release,
    at: Duration,
}

impl Sessions {
    /// Returns the session's release if the session was active within the last `gap`.
    pub(crate) fn release(&self, now: Duration, id: &SessionId, gap: Duration) -> Option<&Release> {
        let seen = self.seen.get(id)?;
        (now.saturating_sub(seen.at) <= gap).then_some(&seen.release)
    }

    /// Returns the sessions active within the last `gap` that use another release.
    pub(crate) fn on_other_releases(
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

    /// Records that a session's request is sent to `release`.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        id: &SessionId,
        release: &Release,
        gap: Duration,
    ) {
        if now.saturating_sub(self.last_sweep) > SWEEP_INTERVAL {
            self.last_sweep = now;
            self.seen.retain(|_, it| now.saturating_sub(it.at) <= gap);
        }
        let seen = Seen {
            release: release.clone(),
            at: now,
        };
        self.seen.insert(id.clone(), seen);
    }

    /// Records activity of a session.
    pub(crate) fn touch(&mut self, now: Duration, id: &SessionId) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.at = now;
        }
    }
}
