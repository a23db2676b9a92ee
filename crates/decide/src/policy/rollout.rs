//! Roll-outs.

use std::sync::Arc;

use crate::key;

/// A roll-out of a version. The current share is in the version's
/// [`State::Trial`](super::State::Trial), so that any host can continue it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The identifier.
    pub id: Arc<str>,
    /// The version that is rolled out.
    pub version: key::Version,
    /// The version that it replaces and is compared with.
    pub replaces: Option<key::Version>,
    /// Whether it advances automatically.
    pub mode: RolloutMode,
}

/// Whether a roll-out advances automatically.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutMode {
    /// It advances or steps back depending on the evidence.
    Running,
    /// It does not advance, but still steps back if the version degrades.
    Paused,
}
