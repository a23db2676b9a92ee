//! Taking a new incarnation.

use kernel::Incarnation;
use rand::RngExt;

use crate::context::Context;
use crate::service::fleet;

/// A number that no other life of any host has: the clock, the process and
/// chance together, so that even two hosts made from one image differ.
pub(crate) fn incarnation(wall: std::time::Duration) -> Incarnation {
    let nanos = u64::try_from(wall.as_nanos() & u128::from(u64::MAX)).unwrap_or_default();
    let process = u64::from(std::process::id()).rotate_left(32);
    let chance: u64 = rand::rng().random();
    let mixed = nanos.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ process ^ chance;
    Incarnation(mixed.max(1))
}

/// Goes on as a new incarnation, after the old one was fenced or declared dead.
///
/// Failure: the host was frozen or cut off so long that others settled its
/// records. What it held under the old incarnation is theirs; new work is done
/// under a new one, which nobody has settled.
pub(crate) fn renew(cx: &Context) {
    let next = incarnation(cx.host.clock.wall());
    cx.host.renew(next);
    cx.books.handle(ledger::Event::Renew { me: next });
    if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
        // A full queue means that the service hears it with the next fence.
        let _ = fleet.offer(fleet::Message::Renewed);
    }
}
