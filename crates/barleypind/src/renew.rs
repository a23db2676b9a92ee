//! New incarnations of this host.

use std::time::Duration;

use kernel::Incarnation;
use rand::RngExt;

use crate::context::Context;
use crate::service::fleet;

/// Number of low bits that are random. The others are milliseconds since the Unix epoch.
const RANDOM_BITS: u32 = 22;

/// Returns an incarnation number higher than `after`. It is practically unique, and higher than
/// those of earlier runs of this host unless the clock was set back.
///
/// Guards against a new run with a lower number than the last: the other hosts would take its
/// updates for outdated ones and never hand it out. Wall time in the high bits makes numbers
/// increase. If the clock was set back, the host renews its incarnation once the fleet tells it
/// of its later one.
pub(crate) fn incarnation(wall: Duration, after: Incarnation) -> Incarnation {
    let millis = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX >> RANDOM_BITS);
    let random = rand::rng().random_range(0..1_u64 << RANDOM_BITS);
    let number = (millis << RANDOM_BITS) | random;
    Incarnation(number.max(after.0 + 1))
}

/// Continues as a new incarnation after the old one was fenced, or is dead to the fleet or has to
/// be assumed so, for instance because this host was frozen or cut off for long.
///
/// Other hosts may have settled the old incarnation's billing records, so new work must not use it.
pub(crate) fn renew(cx: &Context) {
    let next = incarnation(cx.host.clock.wall(), cx.host.incarnation());
    cx.host.renew(next);
    cx.ledger_handle.handle(ledger::Event::Renew { me: next });
    if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
        // If the queue is full, the fleet service keeps the old incarnation until the next renewal.
        let _ = fleet.offer(fleet::Message::Renewed);
    }
}
