//! The billing record of a request.

use derive_more::{Display, From, Into};
use kernel::{Incarnation, Money, ProfileName, RequestKey, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Outcome};

/// The serial number of a record in the incarnation that holds it. It only rises.
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

/// The charge for a request, and the configuration that priced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The profile, or `None` for a plain service.
    pub profile: Option<ProfileName>,
    /// The versions that contributed to the response, in order.
    pub versions: Vec<VersionId>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
    /// The amount.
    pub money: Money,
    /// The revision of the configuration that priced it.
    pub revision: Revision,
}

/// The billing record of a request. Several hosts may hold a record of the same [`RequestKey`]; at
/// most one of them is written to the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its serial in the incarnation that holds it.
    pub serial: Serial,
    /// The request key, which includes the customer.
    pub key: RequestKey,
    /// The incarnation that ran the request or, once the home has put the record into its batches,
    /// the home. A home adopts no record of which it is the maker: it still has the record, or has
    /// written it to the table.
    pub maker: Incarnation,
    /// The lowest serial that a record of the same key can have in the home's batches.
    pub floor: Serial,
    /// The charge.
    pub charge: Charge,
    /// The data for retries of an at-most-once call.
    pub replay: Option<Replay>,
}

/// The data from which a retry of an at-most-once call is handled once its host is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replay {
    /// The hash of path and body.
    pub fingerprint: Fingerprint,
    /// The response, or `None` if it isn't stored.
    pub outcome: Option<Outcome>,
}

impl Record {
    /// Returns the size of the stored response in bytes.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.replay
            .as_ref()
            .and_then(|replay| replay.outcome.as_ref())
            .map_or(0, Outcome::len)
    }

    /// Whether its home made it.
    pub(crate) fn is_homes_own(&self) -> bool {
        self.maker == self.key.home
    }

    /// Drops the stored response, so that at least the charge can be stored.
    pub(crate) fn drop_outcome(&mut self) {
        if let Some(replay) = &mut self.replay {
            replay.outcome = None;
        }
    }
}
