//! Messages between the deciders of hosts.

use std::time::Duration;

use decide::{Demand, Evidence};
use kernel::HostName;
use serde::{Deserialize, Serialize};
use wire::{Frame, Payload, State};

use super::{Actor, is_up};
use crate::host::Phase;

/// Time after which an unanswered request for a digest is repeated.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// A message between deciders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Told {
    Evidence(Evidence),
    Demand(Demand),
    /// A request for a digest from a host that has started.
    Ask,
    /// The sender's evidence, in response to [`Told::Ask`].
    Digest(Evidence),
}

/// Whether this host has received another host's evidence since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taught {
    NotYet,
    Asked(Duration),
    Yes,
}

impl Actor {
    pub(super) fn decider_said(&mut self, from: &HostName, payload: &Payload) {
        let event = match postcard::from_bytes(&payload.bytes) {
            Ok(Told::Evidence(evidence)) => decide::Event::Evidence(evidence),
            Ok(Told::Demand(demand)) => decide::Event::Demand(demand),
            Ok(Told::Ask) => return self.teach(from),
            Ok(Told::Digest(digest)) => {
                // A second digest would count the same evidence twice.
                if std::mem::replace(&mut self.taught, Taught::Yes) == Taught::Yes {
                    return;
                }
                decide::Event::Digest(digest)
            }
            Err(_) => return self.bad_frame(from),
        };
        self.cx.decide.handle(event);
    }

    fn teach(&self, host: &HostName) {
        let digest = Told::Digest(self.cx.decide.digest());
        let mut members = self.core.members();
        let member = members.find(|it| it.identity.host == *host);
        if let (Some(member), Some(payload)) = (member, self.payload(&digest)) {
            self.send(member, &Frame::Decide(payload));
        }
    }

    /// Requests a digest from another host after the start. Retries, since the request or the
    /// response may be lost. Only the first response is used.
    pub(super) fn ask_once(&mut self) {
        let now = self.cx.host.now();
        let due = match self.taught {
            Taught::NotYet => true,
            Taught::Asked(at) => now.saturating_sub(at) > ASK_AGAIN,
            Taught::Yes => false,
        };
        if !due || self.cx.host.phase() != Phase::Ready {
            return;
        }
        let alive = self.core.members().filter(|it| it.state == State::Alive);
        // Prefer hosts in this data centre; the one that has run longest has the most evidence.
        let me = &self.core.me().data_centre;
        let best = alive.min_by_key(|it| (it.data_centre != *me, it.identity.incarnation));
        if let (Some(member), Some(payload)) = (best, self.payload(&Told::Ask)) {
            self.send(member, &Frame::Decide(payload));
            self.taught = Taught::Asked(now);
        }
    }

    pub(super) fn publish(&self, told: &Told) {
        let Some(payload) = self.payload(told) else {
            return;
        };
        let frame = Frame::Decide(payload);
        for member in self.core.members().filter(|it| is_up(it)) {
            self.send(member, &frame);
        }
    }
}
