//! The configuration in force, and how old the proof is that it is the newest.

use std::cmp::Ordering as Order;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use config::Document;
use decide::Policy;
use kernel::{Customer, Revision, VersionId};

use crate::policy;

/// One revision, ready for use.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// As committed.
    pub(crate) document: Document,
    /// As the decider takes it.
    pub(crate) policy: Arc<Policy>,
    customers: HashMap<String, Customer>,
}

impl Snapshot {
    fn new(document: Document) -> Self {
        let customers = document
            .customers
            .iter()
            .map(|(name, it)| (it.key_blake3.clone(), name.clone()))
            .collect();
        Self {
            policy: Arc::new(policy::compile(&document)),
            document,
            customers,
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.document.revision
    }

    /// The customer whose bearer key this is. Hashes are compared, so the time
    /// taken tells nothing of the key.
    pub(crate) fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(&config::Customer::hash(key.as_bytes()))
    }

    /// Whether new work may go to `version` at all.
    pub(crate) fn in_service(&self, version: &VersionId) -> bool {
        self.document
            .versions
            .get(version)
            .is_some_and(config::Version::is_active)
    }
}

/// The configuration in force. Its revision only rises.
#[derive(Debug, Default)]
pub(crate) struct Current {
    snapshot: RwLock<Arc<Snapshot>>,
    /// Microseconds of the clock at which the table was asked for the newest
    /// proof; zero without one.
    proven: AtomicU64,
}

/// What came of putting a document in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adopted {
    /// It is in force now.
    Newer,
    /// It was in force already.
    Same,
    /// A higher revision is in force, which stays: an accepted change never reverts.
    Lower,
}

impl Current {
    /// What is in force.
    pub(crate) fn get(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.read();
        Arc::clone(&snapshot.unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `document` in force unless a higher revision is.
    pub(crate) fn adopt(&self, document: Document) -> Adopted {
        let next = Arc::new(Snapshot::new(document));
        let mut snapshot = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match next.revision().cmp(&snapshot.revision()) {
            Order::Less => Adopted::Lower,
            Order::Equal => Adopted::Same,
            Order::Greater => {
                *snapshot = next;
                Adopted::Newer
            }
        }
    }

    /// Notes when the table was asked for the newest proof.
    pub(crate) fn prove(&self, at: Duration) {
        let micros = u64::try_from(at.as_micros()).unwrap_or(u64::MAX).max(1);
        self.proven.fetch_max(micros, Ordering::Relaxed);
    }

    /// The age of the newest proof; nothing when there never was one.
    pub(crate) fn proof_age(&self, now: Duration) -> Option<Duration> {
        match self.proven.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }
}
