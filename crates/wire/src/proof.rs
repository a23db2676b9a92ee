//! The proof that a configuration revision is the newest.

use std::time::Duration;

use kernel::Revision;
use serde::{Deserialize, Serialize};

/// The revision in force at a host, and the age of its latest proof that the store held
/// no newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The revision in force.
    pub revision: Revision,
    /// At least the time from the start of the read of the store to the creation of the
    /// frame; `None` if there is no proof.
    pub age: Option<Age>,
}

/// An age, encoded in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(#[serde(with = "crate::millis")] pub Duration);
