//! The configuration revision in force, the proof that it is current, and the
//! hosts from which a newer one can be fetched.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision};
use wire::{Age, Document, Proof};

use crate::Polled;

/// An offset added to proof times, so that the time of a proof that is older
/// than this process isn't negative.
const PROOF_ORIGIN: Duration = Duration::from_hours(24 * 365 * 100);

/// The maximum number of remembered hosts that hold a newer revision.
const MAX_HOLDERS: usize = 4;

/// The configuration of this host.
#[derive(Default)]
pub(crate) struct Configuration {
    revision: Revision,
    json: Option<Arc<[u8]>>,
    /// The time of the table read that gave the latest proof of the revision in
    /// force, offset by [`PROOF_ORIGIN`].
    proven_at: Option<Duration>,
    /// Hosts that announced a newer revision, in the order to try.
    holders: Vec<Holder>,
    pub(crate) fetching: Option<Fetching>,
}

struct Holder {
    host: HostName,
    revision: Revision,
}

/// A document fetch in progress.
pub(crate) struct Fetching {
    pub(crate) sequence: u32,
    pub(crate) asked: Duration,
}

impl Configuration {
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn json(&self) -> Option<&Arc<[u8]>> {
        self.json.as_ref()
    }

    pub(crate) fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proven_at
            .map(|it| (PROOF_ORIGIN + now).saturating_sub(it))
    }

    /// Returns the proof that this host sends to others.
    pub(crate) fn proof(&self, now: Duration) -> Proof {
        Proof {
            revision: self.revision,
            age: self.proof_age(now).map(Age),
        }
    }

    /// Applies another host's proof from the response to a request sent at `asked`.
    ///
    /// The age counts from the request rather than the response's arrival: a
    /// response that waited in a buffer while this host was frozen would otherwise
    /// pass as a fresh proof, and this host would keep serving a withdrawn version.
    /// The response can't have been written before the request.
    pub(crate) fn accept_proof(&mut self, asked: Duration, proof: Proof) {
        let Some(Age(age)) = proof.age else { return };
        if proof.revision == self.revision {
            self.record_proof(asked, age);
        }
    }

    /// Applies the result of a table read and returns the document if it is newer.
    ///
    /// A lower revision is ignored, so that a table restored from a backup doesn't
    /// revert a host.
    pub(crate) fn apply_poll(&mut self, polled: Polled) -> Option<Arc<[u8]>> {
        if polled.revision < self.revision {
            return None;
        }
        if polled.revision > self.revision {
            let json = polled.json?;
            self.set_current(polled.revision, json.clone());
            self.record_proof(polled.asked, Duration::ZERO);
            return Some(json);
        }
        self.record_proof(polled.asked, Duration::ZERO);
        None
    }

    /// Applies a document received from another host and returns it if it is newer.
    pub(crate) fn apply_document(&mut self, document: Document) -> Option<Arc<[u8]>> {
        let asked = self
            .fetching
            .take_if(|it| it.sequence == document.sequence)
            .map(|it| it.asked);
        let applied = (document.revision > self.revision).then(|| {
            let json: Arc<[u8]> = document.json.into();
            self.set_current(document.revision, json.clone());
            json
        });
        if let Some(asked) = asked {
            let (revision, age) = (document.revision, document.age);
            self.accept_proof(asked, Proof { revision, age });
        }
        applied
    }

    /// Records that a host holds a revision; returns whether the revision is newer
    /// than the one in force.
    pub(crate) fn record_holder(&mut self, host: &HostName, revision: Revision) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.holders.retain(|it| it.host != *host);
        let host = host.clone();
        self.holders.insert(0, Holder { host, revision });
        self.holders.truncate(MAX_HOLDERS);
        true
    }

    /// Returns the host to fetch from next and moves it to the end of the list.
    pub(crate) fn next_holder(&mut self) -> Option<HostName> {
        self.holders.retain(|it| it.revision > self.revision);
        if self.holders.is_empty() {
            return None;
        }
        let holder = self.holders.remove(0);
        let host = holder.host.clone();
        self.holders.push(holder);
        Some(host)
    }

    /// Removes a host from those to fetch from. A fetch in progress continues.
    pub(crate) fn forget_holder(&mut self, host: &HostName) {
        self.holders.retain(|it| it.host != *host);
    }

    fn set_current(&mut self, revision: Revision, json: Arc<[u8]>) {
        self.revision = revision;
        self.json = Some(json);
        self.proven_at = None;
    }

    fn record_proof(&mut self, asked: Duration, age: Duration) {
        let at = (PROOF_ORIGIN + asked).saturating_sub(age);
        self.proven_at = self.proven_at.max(Some(at));
    }
}
