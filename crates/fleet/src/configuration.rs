//! The revision in force, its proof, and the way to a newer one.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision};
use wire::{Age, Document, Proof};

use crate::Polled;

/// The zero of proof times, far enough back that a proof may be older than
/// this process.
const ORIGIN: Duration = Duration::from_hours(24 * 365 * 100);

/// How many hosts that hold a newer revision are remembered.
const MAX_HOLDERS: usize = 4;

/// This host's configuration.
#[derive(Default)]
pub(crate) struct Configuration {
    revision: Revision,
    json: Option<Arc<[u8]>>,
    /// When the table was asked for the newest proof of the revision in force,
    /// counted from [`ORIGIN`].
    proven: Option<Duration>,
    /// Hosts that said that they hold a newer one, the latest first.
    holders: Vec<Holder>,
    pub(crate) fetching: Option<Fetching>,
}

struct Holder {
    host: HostName,
    revision: Revision,
}

/// A fetch under way.
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
        self.proven.map(|it| (ORIGIN + now).saturating_sub(it))
    }

    /// What this host tells others.
    pub(crate) fn proof(&self, now: Duration) -> Proof {
        Proof {
            revision: self.revision,
            age: self.proof_age(now).map(Age),
        }
    }

    /// Takes in another host's proof that came in answer to a question asked at
    /// `asked`.
    ///
    /// Failure: an answer waits in a buffer while this host is frozen, and on
    /// waking passes for a fresh proof, so a withdrawn version is served as if
    /// it were allowed. The guard counts from this host's own question, before
    /// which the answer can't have been written.
    pub(crate) fn witness(&mut self, asked: Duration, proof: Proof) {
        let Some(Age(age)) = proof.age else { return };
        if proof.revision == self.revision {
            self.prove(asked, age);
        }
    }

    /// Takes in what the table said. A lower revision is neither a proof nor
    /// put in force: a table restored from a copy must not revert a host.
    pub(crate) fn polled(&mut self, polled: Polled) -> Option<Arc<[u8]>> {
        if polled.revision < self.revision {
            return None;
        }
        if polled.revision > self.revision {
            let json = polled.json?;
            self.put_in_force(polled.revision, json.clone());
            self.prove(polled.asked, Duration::ZERO);
            return Some(json);
        }
        self.prove(polled.asked, Duration::ZERO);
        None
    }

    /// Takes in a document from another host, and gives it back when it is newer.
    pub(crate) fn fetched(&mut self, document: Document) -> Option<Arc<[u8]>> {
        let asked = self
            .fetching
            .take_if(|it| it.sequence == document.sequence)
            .map(|it| it.asked);
        let applied = (document.revision > self.revision).then(|| {
            let json: Arc<[u8]> = document.json.into();
            self.put_in_force(document.revision, json.clone());
            json
        });
        if let Some(asked) = asked {
            let (revision, age) = (document.revision, document.age);
            self.witness(asked, Proof { revision, age });
        }
        applied
    }

    /// Notes that a host holds a revision; tells whether it is newer.
    pub(crate) fn heard(&mut self, host: &HostName, revision: Revision) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.holders.retain(|it| it.host != *host);
        let host = host.clone();
        self.holders.insert(0, Holder { host, revision });
        self.holders.truncate(MAX_HOLDERS);
        true
    }

    /// The host to fetch from next; one that doesn't answer goes to the end.
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

    /// Stops asking a host that is gone.
    pub(crate) fn forget_holder(&mut self, host: &HostName) {
        self.holders.retain(|it| it.host != *host);
    }

    fn put_in_force(&mut self, revision: Revision, json: Arc<[u8]>) {
        self.revision = revision;
        self.json = Some(json);
        self.proven = None;
    }

    fn prove(&mut self, asked: Duration, age: Duration) {
        let at = (ORIGIN + asked).saturating_sub(age);
        self.proven = self.proven.max(Some(at));
    }
}
