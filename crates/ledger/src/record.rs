//! The billing record of an answered request.

use derive_more::{Display, From, Into};
use kernel::{Money, ProfileName, RequestKey, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::Outcome;

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
    /// Its number in the incarnation that owns it.
    pub serial: Serial,
    /// The request; it names the customer.
    pub key: RequestKey,
    /// What is billed.
    pub charge: Charge,
    /// The answer of a non-idempotent call, so that a repeat gets it when this host is gone.
    pub outcome: Option<Outcome>,
}
