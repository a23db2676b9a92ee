//! The properties of requests that placement depends on.

use std::sync::Arc;

use kernel::SessionId;

use crate::PartId;

/// The properties of a request that placement depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub output_tokens: u64,
    /// The longest prefix of the prompt that is shared with other requests: the ID of its last
    /// part, and its length in tokens.
    pub shared_prefix: Option<(u64, u64)>,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: Arc<[PartId]>,
    /// The session that the request belongs to.
    pub session: Option<SessionId>,
}

impl RequestProfile {
    /// Returns the tokens that the request holds in an endpoint's memory at most. Each count is
    /// capped at 32 bits, because callers may send any number.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        let capped = |it: u64| it.min(u32::MAX.into());
        capped(self.prompt_tokens) + capped(self.output_tokens)
    }
}
