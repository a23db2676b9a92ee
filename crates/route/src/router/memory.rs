//! The memory of endpoints that this host's requests use.

use super::Router;
use crate::directory::Endpoint;

impl Router {
    /// Returns the tokens for which an endpoint's memory has room beside this host's requests in
    /// flight there. Returns `None` if its service states no memory.
    ///
    /// Requests of other hosts aren't known, so the true room may be less.
    #[must_use]
    pub fn memory_left(&self, it: &Endpoint) -> Option<u64> {
        let service = self.config.as_ref()?.service(&it.entry.service)?;
        let engine = service.engine.as_ref()?;
        Some(engine.memory_tokens.saturating_sub(it.memory_used()))
    }
}
