//! Waiting until a change is in force everywhere.

use std::time::{Duration, Instant};

use async_std::task::sleep;
use derive_more::Display;
use gate::operator::State;
use kernel::{HostName, Revision};
use serde::Serialize;

use crate::roster::Roster;
use crate::session::Session;

/// The time between two looks at the hosts.
const POLL: Duration = Duration::from_millis(200);

/// How far a revision has come.
#[derive(Clone, Debug, Default, Display, Serialize)]
#[display("{}", self.describe())]
pub(crate) struct Reach {
    /// The revision.
    pub(crate) revision: Revision,
    /// Whether any host told of the others.
    #[serde(skip)]
    pub(crate) heard: bool,
    /// The hosts that have it or a later one in force.
    pub(crate) in_force: Vec<HostName>,
    /// The live hosts that don't.
    pub(crate) lagging: Vec<Lag>,
    /// The hosts that haven't been heard from. They may be gone; one that
    /// comes back takes the newest revision before it is ready.
    pub(crate) not_heard_from: Vec<HostName>,
}

/// A host that is behind.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{name} (revision {revision})")]
pub(crate) struct Lag {
    /// The host.
    pub(crate) name: HostName,
    /// The revision that it has in force.
    pub(crate) revision: Revision,
}

/// Waits until every live host has `revision` in force, or the session's
/// timeout is over, and tells the progress meanwhile.
pub(crate) async fn in_force(session: &mut Session<'_, '_>, revision: Revision) -> Reach {
    let deadline = Instant::now() + session.timeout();
    let mut told = String::new();
    let mut reach = Reach {
        revision,
        ..Reach::default()
    };
    loop {
        // A host that fails now may answer at the next look, so its failure
        // only ends the wait with the time.
        if let Ok(statuses) = session.client.statuses().await {
            reach = Reach::of(revision, Roster::of(&statuses));
            let progress = reach.progress();
            if progress != told {
                session.console.warn(&format!("{progress}\n"));
                told = progress;
            }
            if reach.lagging.is_empty() {
                return reach;
            }
        }
        if Instant::now() + POLL >= deadline {
            return reach;
        }
        sleep(POLL).await;
    }
}

impl Reach {
    fn of(revision: Revision, roster: Roster) -> Self {
        let mut reach = Self {
            revision,
            heard: true,
            ..Self::default()
        };
        for host in roster.hosts {
            let name = host.name;
            match host.state {
                _ if host.revision >= revision => reach.in_force.push(name),
                State::Suspect => reach.not_heard_from.push(name),
                State::Live | State::Leaving => reach.lagging.push(Lag {
                    name,
                    revision: host.revision,
                }),
            }
        }
        reach
    }

    /// Names of hosts, for people.
    pub(crate) fn names<T: ToString>(hosts: &[T]) -> String {
        let names: Vec<_> = hosts.iter().map(T::to_string).collect();
        names.join(", ")
    }

    fn progress(&self) -> String {
        let reached = self.in_force.len();
        let all = reached + self.lagging.len();
        if self.lagging.is_empty() {
            return format!("in force on {reached} of {all} hosts");
        }
        let lagging = Self::names(&self.lagging);
        format!("in force on {reached} of {all} hosts, waiting for {lagging}")
    }

    fn describe(&self) -> String {
        let revision = self.revision;
        if self.heard {
            let lagging = Self::names(&self.lagging);
            format!("revision {revision} is accepted, but not yet in force on {lagging}")
        } else {
            format!(
                "revision {revision} is accepted, but no host told where it is in force; \
                 see `barleyctl status`"
            )
        }
    }
}
