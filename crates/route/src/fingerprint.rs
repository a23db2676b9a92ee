//! Fingerprints of requests and of parts of prompts.

use std::cmp::Ordering;
use std::hash::{Hash, Hasher};

use derive_more::Display;
use kernel::{Customer, hash};
use serde::{Deserialize, Serialize};

use crate::PartId;

/// Number of bits that aren't part of the hash: zero for a request, else the position of the part,
/// from 1. Positions that don't fit have the highest number.
const POSITION_BITS: u32 = 2;
const MAX_POSITION: u64 = (1 << POSITION_BITS) - 1;

/// A hash of what may make endpoints' processes exit: a request, which is identified by its path,
/// customer and body, or a part of prompts.
///
/// Identifies the same request when it comes again, also at another host: each retry of a
/// caller has a new request ID. All hosts compute the same value. A part is the same at any
/// position of a prompt.
#[derive(Clone, Copy, Debug, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// A placeholder that belongs to no request.
    pub(crate) const NONE: Self = Self(0);

    /// Parses the hexadecimal form.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(path: &str, customer: Option<&Customer>, body: &[u8]) -> Self {
        Self(hash::of(&(path, customer, body)) & !MAX_POSITION)
    }

    /// Returns the fingerprint of a part of a prompt. `index` is its position, from 0.
    #[must_use]
    pub fn of_part(id: PartId, index: usize) -> Self {
        let position = u64::try_from(index)
            .unwrap_or(MAX_POSITION)
            .saturating_add(1);
        Self(hash::of(&("part", id)) & !MAX_POSITION | position.min(MAX_POSITION))
    }

    /// Returns whether this is the fingerprint of a part.
    #[must_use]
    pub fn is_part(self) -> bool {
        self.position() > 0
    }

    /// Returns the position of a part, from 1. A later part is shared by fewer requests.
    pub(crate) fn position(self) -> u64 {
        self.0 & MAX_POSITION
    }

    fn identity(self) -> u64 {
        self.0 >> POSITION_BITS
    }
}

impl PartialEq for Fingerprint {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for Fingerprint {}

impl PartialOrd for Fingerprint {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Fingerprint {
    fn cmp(&self, other: &Self) -> Ordering {
        self.identity().cmp(&other.identity())
    }
}

impl Hash for Fingerprint {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}
