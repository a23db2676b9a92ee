//! The revision in force and how old the proof is that none is newer.

use std::time::Duration;

use kernel::Revision;
use serde::{Deserialize, Serialize};

/// The revision in force at a host, and the age of its newest proof that the
/// table held no newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The revision in force.
    pub revision: Revision,
    /// The age when the frame was written; it counts from the moment at which
    /// the table was asked. Nothing when there never was a proof.
    pub age: Option<Age>,
}

/// An age in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(#[serde(with = "crate::millis")] pub Duration);
