//! Services whose endpoints exit when they refuse many requests for want of room.
//!
//! Such an endpoint may shorten its queue, and each host sees only its own requests there. So its
//! slots are divided among the hosts: what all of them have in flight needs no queue. See
//! `docs/design/brittle-endpoints.md`.

use std::collections::HashMap;
use std::time::Duration;

use kernel::ServiceName;

/// The time after the last statement for which a service counts as brittle. All responses of its
/// endpoints state it.
const TTL: Duration = Duration::from_secs(5);

/// The services whose endpoints recently stated that they are brittle.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrittleServices {
    expires: HashMap<ServiceName, Duration>,
}

impl BrittleServices {
    /// Records that an endpoint of the service stated that it is brittle. Returns whether that is
    /// new of the service.
    pub(crate) fn record(&mut self, now: Duration, service: &ServiceName) -> bool {
        let before = self.expires.insert(service.clone(), now + TTL);
        before.is_none_or(|it| it <= now)
    }

    pub(crate) fn contains(&self, now: Duration, service: &ServiceName) -> bool {
        self.expires.get(service).is_some_and(|it| now < *it)
    }
}
