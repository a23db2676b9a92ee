//! The hosts through which a host forwards requests while it reaches no endpoint.

use kernel::hash;
use route::Relay;

use super::{Roster, State};
use crate::Member;

impl Roster {
    /// Returns some hosts that reach endpoints, a bounded number of them in this host's data centre
    /// and elsewhere. Each host has others, so that no host serves all those that are cut off.
    #[must_use]
    pub fn relays(&self) -> Vec<Relay> {
        /// Number of hosts in the same data centre, and of hosts elsewhere.
        const COUNT: usize = 4;
        let own = &self.own().member;
        let others = self
            .live()
            .filter(|it| it.state == State::Ready && it.member.name != own.name);
        let mut order: Vec<_> = others
            .map(|it| (hash::of(&(&own.name, &it.member.name)), &it.member))
            .collect();
        order.sort_unstable_by_key(|it| it.0);
        let (local, remote): (Vec<_>, Vec<_>) = order
            .into_iter()
            .map(|it| it.1)
            .partition(|it| it.data_centre == own.data_centre);
        let local = local.into_iter().take(COUNT);
        let chosen = local.chain(remote.into_iter().take(COUNT));
        let relay = |it: &Member| Relay {
            address: it.front,
            data_centre: it.data_centre.clone(),
        };
        chosen.map(relay).collect()
    }
}
