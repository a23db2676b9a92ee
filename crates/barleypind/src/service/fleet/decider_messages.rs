//! Messages between the deciders of hosts.

use std::time::Duration;

use decide::{Demand, Evidence};
use kernel::HostName;
use serde::{Deserialize, Serialize};
use wire::{Frame, Payload, State};

use super::{Actor, is_up};
use crate::host::Phase;

/// Time after which an unanswered request for a digest is repeated.
const DIGEST_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// A message between deciders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum DeciderMessage {
    Evidence(Evidence),
    Demand(Demand),
    /// Requests the receiver's digest. Sent by a host that has started.
    DigestRequest,
    /// The sender's evidence, in response to [`DeciderMessage::DigestRequest`].
    Digest(Evidence),
}

/// Whether this host has requested or received a digest since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DigestState {
    NotRequested,
    Requested(Duration),
    Received,
}

impl Actor {
    pub(super) fn handle_decider_payload(&mut self, from: &HostName, payload: &Payload) {
        let event = match postcard::from_bytes(&payload.bytes) {
            Ok(DeciderMessage::Evidence(evidence)) => decide::Event::Evidence(evidence),
            Ok(DeciderMessage::Demand(demand)) => decide::Event::Demand(demand),
            Ok(DeciderMessage::DigestRequest) => return self.send_digest(from),
            Ok(DeciderMessage::Digest(digest)) => {
                // A second digest would count the same evidence twice.
                if std::mem::replace(&mut self.digest_state, DigestState::Received)
                    == DigestState::Received
                {
                    return;
                }
                decide::Event::Digest(digest)
            }
            Err(_) => return self.bad_frame(from),
        };
        self.cx.decider.handle(event);
    }

    fn send_digest(&self, host: &HostName) {
        let digest = DeciderMessage::Digest(self.cx.decider.digest());
        let mut members = self.core.members();
        let member = members.find(|it| it.identity.host == *host);
        if let (Some(member), Some(payload)) = (member, self.payload(&digest)) {
            self.send(member, &Frame::Decide(payload));
        }
    }

    /// Requests a digest from another host after the start. Retries, since the request or the
    /// response may be lost. Only the first response is used.
    pub(super) fn request_digest(&mut self) {
        let now = self.cx.host.now();
        let due = match self.digest_state {
            DigestState::NotRequested => true,
            DigestState::Requested(at) => now.saturating_sub(at) > DIGEST_RETRY_INTERVAL,
            DigestState::Received => false,
        };
        if !due || self.cx.host.phase() != Phase::Ready {
            return;
        }
        let alive = self.core.members().filter(|it| it.state == State::Alive);
        // Prefer hosts in this data centre; the one that has run longest has the most evidence.
        let own_data_centre = &self.core.me().data_centre;
        let best =
            alive.min_by_key(|it| (it.data_centre != *own_data_centre, it.identity.incarnation));
        if let (Some(member), Some(payload)) = (best, self.payload(&DeciderMessage::DigestRequest))
        {
            self.send(member, &Frame::Decide(payload));
            self.digest_state = DigestState::Requested(now);
        }
    }

    pub(super) fn publish(&self, message: &DeciderMessage) {
        let Some(payload) = self.payload(message) else {
            return;
        };
        let frame = Frame::Decide(payload);
        for member in self.core.members().filter(|it| is_up(it)) {
            self.send(member, &frame);
        }
    }
}
