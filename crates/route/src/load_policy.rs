//! The handling of load that a deployment asks for.

/// The handling of load that a deployment asks for. See `docs/design/hard-load.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadPolicy {
    /// Requests are placed by utilization, and none is refused for lack of room.
    #[default]
    Standard,
    /// Room is short at times, or endpoints are uneven: requests are placed by their expected
    /// delay, and those that can't be served in time are refused.
    Contended,
}
