//! Waits until a change is in force on every host that isn't suspect.

use std::time::{Duration, Instant};

use async_std::task::sleep;
use derive_more::Display;
use gate::operator::State;
use kernel::{HostName, Revision};
use serde::Serialize;

use crate::roster::Roster;
use crate::session::Session;

/// Interval between polls of the hosts' statuses.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The hosts on which a revision is in force, and those on which it isn't yet.
#[derive(Clone, Debug, Default, Display, Serialize)]
#[display("{}", self.describe())]
pub(crate) struct Propagation {
    /// The revision.
    pub(crate) revision: Revision,
    /// Whether at least one poll got a status.
    #[serde(skip)]
    pub(crate) status_received: bool,
    /// The hosts that have this or a later revision in force.
    pub(crate) in_force: Vec<HostName>,
    /// The live or leaving hosts that aren't known to have it in force.
    pub(crate) lagging: Vec<LaggingHost>,
    /// The suspect hosts that aren't known to have it in force. They may be down or
    /// cut off.
    pub(crate) not_heard_from: Vec<HostName>,
}

/// A host that isn't known to have the revision in force.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{name} (revision {revision})")]
pub(crate) struct LaggingHost {
    /// The host.
    pub(crate) name: HostName,
    /// The latest revision that it is known to have in force; zero if unknown.
    pub(crate) revision: Revision,
}

/// Waits until every host that isn't suspect has `revision` in force or the
/// session's timeout expires, and prints the progress. Returns the last known state.
pub(crate) async fn until_in_force(
    session: &mut Session<'_, '_>,
    revision: Revision,
) -> Propagation {
    let deadline = Instant::now() + session.timeout();
    let mut last_progress = String::new();
    let mut propagation = Propagation {
        revision,
        ..Propagation::default()
    };
    loop {
        // A failed poll is retried until the timeout, since a host may respond
        // to a later one.
        if let Ok(statuses) = session.client.statuses().await {
            propagation = Propagation::from_roster(revision, Roster::merge(&statuses));
            let progress = propagation.progress();
            if progress != last_progress {
                session.console.print_err(&format!("{progress}\n"));
                last_progress = progress;
            }
            if propagation.lagging.is_empty() {
                return propagation;
            }
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return propagation;
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Propagation {
    fn from_roster(revision: Revision, roster: Roster) -> Self {
        let mut propagation = Self {
            revision,
            status_received: true,
            ..Self::default()
        };
        for host in roster.hosts {
            let name = host.name;
            match host.state {
                _ if host.revision >= revision => propagation.in_force.push(name),
                State::Suspect => propagation.not_heard_from.push(name),
                State::Live | State::Leaving => propagation.lagging.push(LaggingHost {
                    name,
                    revision: host.revision,
                }),
            }
        }
        propagation
    }

    /// Joins hosts with commas.
    pub(crate) fn join_names<T: ToString>(hosts: &[T]) -> String {
        let names: Vec<_> = hosts.iter().map(T::to_string).collect();
        names.join(", ")
    }

    fn progress(&self) -> String {
        let reached = self.in_force.len();
        let all = reached + self.lagging.len();
        if self.lagging.is_empty() {
            return format!("in force on {reached} of {all} hosts");
        }
        let lagging = Self::join_names(&self.lagging);
        format!("in force on {reached} of {all} hosts, waiting for {lagging}")
    }

    fn describe(&self) -> String {
        let revision = self.revision;
        if self.status_received {
            let lagging = Self::join_names(&self.lagging);
            format!("revision {revision} is accepted, but not yet in force on {lagging}")
        } else {
            format!(
                "revision {revision} is accepted, but no host reported where it is in force; \
                 see `barleyctl status`"
            )
        }
    }
}
