//! The configuration in force, and the age of the last proof that it is the newest.

use std::cmp::Ordering as Order;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use config::Document;
use decide::Policy;
use kernel::{Customer, Revision, VersionId};

use crate::policy;

/// One revision of the configuration, prepared for use.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The document as committed.
    pub(crate) document: Document,
    /// The policy compiled from the document for the decider.
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

    /// Returns the customer with this bearer key. Looks up the key's hash, so the time taken
    /// reveals nothing about the key.
    pub(crate) fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(&config::Customer::hash(key.as_bytes()))
    }

    /// Returns whether the version is active, so that new attempts may use it.
    pub(crate) fn is_active_version(&self, version: &VersionId) -> bool {
        self.document
            .versions
            .get(version)
            .is_some_and(config::Version::is_active)
    }
}

/// The configuration in force. Its revision never decreases.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfig {
    snapshot: RwLock<Arc<Snapshot>>,
    /// The time, in microseconds of the host's clock, at which the table read behind the newest
    /// proof was sent. Zero without a proof.
    proven_at_micros: AtomicU64,
}

/// The result of [`CurrentConfig::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adopted {
    /// The document is now in force.
    Newer,
    /// This revision was already in force.
    Same,
    /// A higher revision is in force and stays so, since a committed change is never reverted.
    Lower,
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub(crate) fn get(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.read();
        Arc::clone(&snapshot.unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `document` in force unless its revision or a higher one already is.
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

    /// Records a proof from a table read that was sent at `at`.
    pub(crate) fn record_proof(&self, at: Duration) {
        let micros = u64::try_from(at.as_micros()).unwrap_or(u64::MAX).max(1);
        self.proven_at_micros.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns the age of the newest proof, or `None` without one.
    pub(crate) fn proof_age(&self, now: Duration) -> Option<Duration> {
        match self.proven_at_micros.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }
}
