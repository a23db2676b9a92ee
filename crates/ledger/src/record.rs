//! The billing record of an answered request.

use derive_more::{Display, From, Into};
use kernel::{Incarnation, Money, ProfileName, RequestKey, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Outcome};

/// The number of a record in the incarnation that made it; it only rises.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Serial(pub u64);

/// What an answered request costs, and by which configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The profile, or none for a plain service.
    pub profile: Option<ProfileName>,
    /// Every version that worked on the answer, in order.
    pub versions: Vec<VersionId>,
    /// The tokens read.
    pub prompt_tokens: u64,
    /// The tokens generated.
    pub completion_tokens: u64,
    /// The amount.
    pub money: Money,
    /// The configuration by which it was priced.
    pub revision: Revision,
}

/// The billing record of an answered request. There is one a [`RequestKey`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its number in the incarnation that holds it.
    pub serial: Serial,
    /// The request; it names the customer.
    pub key: RequestKey,
    /// The incarnation in whose batches it is to stand, or at which the work
    /// ran where it isn't the home. A home never adopts a record of its own:
    /// it has it, or has put it into the table.
    pub maker: Incarnation,
    /// The number from which the home's batches may hold a record of the same key.
    pub floor: Serial,
    /// What is billed.
    pub charge: Charge,
    /// For a call that may not run again, what a repeat is told.
    pub replay: Option<Replay>,
}

/// What a repeat of a non-idempotent call is told when its host is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replay {
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// The answer, unless it was too large to keep.
    pub outcome: Option<Outcome>,
}

impl Record {
    /// The bytes of the answer that is kept with it.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.replay
            .as_ref()
            .and_then(|replay| replay.outcome.as_ref())
            .map_or(0, Outcome::len)
    }

    /// Whether it is of the home's own making.
    pub(crate) fn is_homes_own(&self) -> bool {
        self.maker == self.key.home
    }

    /// Gives up the answer, so that what is billed can still be kept.
    pub(crate) fn drop_outcome(&mut self) {
        if let Some(replay) = &mut self.replay {
            replay.outcome = None;
        }
    }
}
