//! Selection of hosts: for the copies of records, and for callers to connect to.

use std::time::Duration;

use kernel::{DataCentre, HostName, Region};
use rand::RngExt;
use wire::{Identity, Member, State};

use crate::Fleet;
use crate::rendezvous::weight;

/// Number of bands that loads are divided into. Hosts in the same band rank as
/// equally loaded, so that callers don't all choose the least loaded host.
const LOAD_BANDS: u8 = 8;

/// Band of a host whose load is unknown.
const UNKNOWN_BAND: u8 = LOAD_BANDS / 2;

impl Fleet {
    /// Returns the member that stores copies of the records of `of`, or `None`
    /// if no other member is alive or `of` is unknown.
    ///
    /// Prefers a member in another data centre, and then one in the same region,
    /// because the caller waits for the copy. Rendezvous hashing breaks ties, so
    /// that a change of one member moves only the copies stored there.
    #[must_use]
    pub fn partner(&self, of: &Identity) -> Option<&Member> {
        let owner = self.find_member(&of.host)?;
        self.members
            .alive()
            .chain([&self.me])
            .filter(|it| it.identity.host != of.host && it.state == State::Alive)
            .max_by_key(|it| {
                let is_elsewhere = it.data_centre != owner.data_centre;
                let is_near = it.region == owner.region;
                let weight = weight("partner", of.host.as_str(), it.identity.host.as_str());
                (is_elsewhere, is_near, weight)
            })
    }

    /// Returns the hosts that a caller in `data_centre` should use, in the order
    /// to try them: by distance, then by load band. The number of hosts is limited by
    /// [`crate::Tuning::handout`].
    ///
    /// An isolated host lists itself first. Otherwise this host comes first among
    /// hosts of equal distance and band: the caller gets a ticket issued by this
    /// host, and any other host that receives the ticket has to ask this one. Only
    /// hosts in state [`State::Alive`] are included.
    #[must_use]
    pub fn handout(&mut self, now: Duration, data_centre: &DataCentre) -> Vec<Member> {
        let region = self.region_of(data_centre);
        let me = Some(&self.me).filter(|it| it.state == State::Alive);
        let hosts: Vec<_> = self.members.alive().chain(me).cloned().collect();
        let is_isolated = self.is_isolated(now);
        let mut ranked: Vec<_> = hosts
            .into_iter()
            .map(|it| (self.rank(now, &it, data_centre, region.as_ref()), it))
            .collect();
        if is_isolated {
            let mine = &self.me.identity;
            ranked.sort_by_key(|(rank, it)| (it.identity != *mine, *rank));
        } else {
            ranked.sort_by_key(|(rank, _)| *rank);
        }
        ranked.truncate(self.tuning.handout);
        ranked.into_iter().map(|(_, it)| it).collect()
    }

    fn rank(
        &mut self,
        now: Duration,
        host: &Member,
        data_centre: &DataCentre,
        region: Option<&Region>,
    ) -> (u8, u8, bool, u32) {
        let distance = if host.data_centre == *data_centre {
            0
        } else if Some(&host.region) == region {
            1
        } else {
            2
        };
        let load = self.fresh_load(now, &host.identity.host);
        let band = load.map_or(UNKNOWN_BAND, |it| it / (u8::MAX / LOAD_BANDS + 1));
        let is_other = host.identity != self.me.identity;
        (distance, band, is_other, self.rng.random())
    }

    fn fresh_load(&self, now: Duration, host: &HostName) -> Option<u8> {
        if self.me.identity.host == *host {
            return Some(self.load);
        }
        let load = self.members.find(host)?.load?;
        let age = now.saturating_sub(load.at);
        (age <= self.tuning.load_age).then_some(load.level)
    }

    fn region_of(&self, data_centre: &DataCentre) -> Option<Region> {
        let mut members = self.members().chain([&self.me]);
        let member = members.find(|it| it.data_centre == *data_centre)?;
        Some(member.region.clone())
    }

    fn find_member(&self, host: &HostName) -> Option<&Member> {
        if self.me.identity.host == *host {
            return Some(&self.me);
        }
        self.members.find(host).map(|it| &it.member)
    }
}
