//! A roll-out.

use std::sync::Arc;

use crate::key;

/// A roll-out of a version. Its present share stands in the version's
/// [`State::Trial`](super::State::Trial), so that any host can carry on with it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Its identifier.
    pub id: Arc<str>,
    /// The version that comes in.
    pub version: key::Version,
    /// The version that it is meant to replace, against which it is judged.
    pub replaces: Option<key::Version>,
    /// Whether it takes steps by itself.
    pub pace: Pace,
}

/// Whether a roll-out takes steps by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// It advances, holds or steps back on evidence.
    Running,
    /// It keeps its share, but still steps back when the version turns bad.
    Paused,
}
