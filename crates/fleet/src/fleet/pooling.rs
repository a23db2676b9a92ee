//! Evidence: in a small fleet it goes to all; in a larger one through a relay
//! in the data centre to the topics' homes, and from the first home back to all.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{DataCentre, HostName};
use wire::{Delta, Evidence, Member, Reach, State};

use crate::cx::Cx;
use crate::pool::{GROUPS, Pace, Pool, Returning, group_of};
use crate::rendezvous::weight;
use crate::{Action, Fleet};

/// A relay passes on at once what a home has batched, but for what comes from
/// several homes at the same moment.
const RETURN_PACE: Pace = Pace {
    urgent: Duration::from_millis(100),
    usual: Duration::from_millis(100),
};

/// Evidence on its way through this host.
#[derive(Default)]
pub(super) struct Pooling {
    /// Of this host.
    own: Pool,
    /// Of the hosts of the data centre, at a relay.
    relayed: Pool,
    /// Of all data centres, at a group's first home.
    home: Pool,
    /// Of all, at a relay on the way back.
    returned: Pool,
    returning: Returning,
    routes: Routes,
}

/// Who relays and who is home, as long as the members stay the same.
#[derive(Default)]
struct Routes {
    epoch: Option<u64>,
    groups: Vec<Route>,
}

#[derive(Clone)]
struct Route {
    relay: Member,
    homes: Vec<Member>,
}

impl Pooling {
    pub(super) fn forget(&mut self) {
        self.returning.forget();
    }
}

impl Fleet {
    pub(super) fn pool_own(&mut self, cx: &mut Cx, deltas: &[Delta]) {
        self.pooling.own.add(cx.now, deltas);
    }

    pub(super) fn pool(&mut self, cx: &mut Cx, evidence: Evidence) {
        let deltas = evidence.deltas;
        match evidence.reach {
            Reach::Direct => report(cx, deltas),
            Reach::Host => self.pooling.relayed.add(cx.now, &deltas),
            Reach::DataCentre => self.pool_at_home(cx, deltas, Reach::DataCentre),
            Reach::Standby => self.pool_at_home(cx, deltas, Reach::Standby),
            Reach::Fleet => {
                self.pooling.returned.add(cx.now, &deltas);
                self.take_returned(cx, deltas);
            }
            Reach::Final => self.take_returned(cx, deltas),
        }
    }

    pub(super) fn pooling_deadline(&self) -> Option<Duration> {
        let pooling = &self.pooling;
        let stages = [
            pooling.own.deadline(self.own_pace()),
            pooling
                .relayed
                .deadline(self.pace(self.tuning.evidence_to_home)),
            pooling.home.deadline(self.home_pace()),
            pooling.returned.deadline(RETURN_PACE),
        ];
        stages.into_iter().flatten().min()
    }

    pub(super) fn pool_when_due(&mut self, cx: &mut Cx) {
        self.send_own(cx);
        self.send_relayed(cx);
        self.send_home(cx);
        self.send_returned(cx);
    }

    fn send_own(&mut self, cx: &mut Cx) {
        let pace = self.own_pace();
        if self.is_direct() {
            let deltas = self.pooling.own.take_all_if_due(cx.now, pace);
            if deltas.is_empty() {
                return;
            }
            let members: Vec<_> = self.members.reachable().map(|it| it.1).collect();
            for entry in members {
                let frame = self.evidence(Reach::Direct, deltas.clone());
                cx.send(&entry.member, frame);
            }
            return;
        }
        let due = self.pooling.own.take_due(cx.now, pace);
        if due.is_empty() {
            return;
        }
        self.route();
        let mut frames = Bundles::default();
        for (group, deltas) in due {
            self.pooling.returning.add(&deltas);
            frames.add(&self.routes(group).relay, deltas);
        }
        self.dispatch(cx, frames, Reach::Host);
    }

    fn send_relayed(&mut self, cx: &mut Cx) {
        let pace = self.pace(self.tuning.evidence_to_home);
        let due = self.pooling.relayed.take_due(cx.now, pace);
        if due.is_empty() {
            return;
        }
        self.route();
        let mut first = Bundles::default();
        let mut others = Bundles::default();
        for (group, deltas) in due {
            for (index, home) in self.routes(group).homes.iter().enumerate() {
                let frames = if index == 0 { &mut first } else { &mut others };
                frames.add(home, deltas.clone());
            }
        }
        self.dispatch(cx, first, Reach::DataCentre);
        self.dispatch(cx, others, Reach::Standby);
    }

    fn send_home(&mut self, cx: &mut Cx) {
        let pace = self.home_pace();
        let due = self.pooling.home.take_due(cx.now, pace);
        let mut frames = Bundles::default();
        for (group, deltas) in due {
            for relay in self.relays(group) {
                frames.add(&relay, deltas.clone());
            }
        }
        self.dispatch(cx, frames, Reach::Fleet);
    }

    fn send_returned(&mut self, cx: &mut Cx) {
        let due = self.pooling.returned.take_due(cx.now, RETURN_PACE);
        let deltas: Vec<_> = due.into_iter().flat_map(|it| it.1).collect();
        if deltas.is_empty() {
            return;
        }
        let local: Vec<_> = self
            .members
            .reachable()
            .map(|it| &it.1.member)
            .filter(|it| it.data_centre == self.me.data_centre)
            .cloned()
            .collect();
        for member in local {
            cx.send(&member, self.evidence(Reach::Final, deltas.clone()));
        }
    }

    /// Sends what is bundled; what is for this host takes the short way.
    fn dispatch(&mut self, cx: &mut Cx, frames: Bundles, reach: Reach) {
        for (host, (member, deltas)) in frames.by_host {
            let evidence = self.evidence(reach, deltas);
            if host == self.me.identity.host {
                self.pool(cx, evidence);
            } else {
                cx.send(&member, evidence);
            }
        }
    }

    /// A home's own decision core gets the counts at once, so that a bad
    /// version is judged without the way back.
    fn pool_at_home(&mut self, cx: &mut Cx, deltas: Vec<Delta>, reach: Reach) {
        if reach == Reach::DataCentre {
            self.pooling.home.add(cx.now, &deltas);
        }
        let others = self.pooling.returning.without_own(deltas);
        report(cx, others);
    }

    /// Takes in the counts of all, but for the groups whose counts come here
    /// anyway because this host is a home of them.
    fn take_returned(&mut self, cx: &mut Cx, mut deltas: Vec<Delta>) {
        self.route();
        deltas.retain(|it| {
            let homes = &self.routes(group_of(&it.topic)).homes;
            homes.iter().all(|it| it.identity != self.me.identity)
        });
        let others = self.pooling.returning.without_own(deltas);
        report(cx, others);
    }

    fn evidence(&self, reach: Reach, deltas: Vec<Delta>) -> Evidence {
        Evidence {
            from: self.me.identity.clone(),
            reach,
            deltas,
        }
    }

    fn is_direct(&self) -> bool {
        self.size() <= self.tuning.evidence_direct
    }

    fn own_pace(&self) -> Pace {
        if self.is_direct() {
            self.pace(self.tuning.evidence_to_members)
        } else {
            self.pace(self.tuning.evidence_to_relay)
        }
    }

    /// On the way back nothing is urgent: what is bad was judged at the home,
    /// and the verdict travels as news. In a large fleet there is always some
    /// error, so that urgency here would defeat the batches.
    fn home_pace(&self) -> Pace {
        let usual = self.tuning.evidence_to_all;
        Pace {
            urgent: usual,
            usual,
        }
    }

    fn pace(&self, usual: Duration) -> Pace {
        let urgent = self.tuning.evidence_urgent;
        Pace { urgent, usual }
    }

    fn routes(&self, group: usize) -> &Route {
        &self.pooling.routes.groups[group]
    }

    /// Chooses relays and homes anew when the members have changed.
    fn route(&mut self) {
        let epoch = Some(self.members.epoch());
        if self.pooling.routes.epoch == epoch {
            return;
        }
        let groups = (0..)
            .zip(self.homes())
            .map(|(group, homes)| Route {
                relay: self.relay(group, &self.me.data_centre),
                homes,
            })
            .collect();
        self.pooling.routes = Routes { epoch, groups };
    }

    /// A group's relay in a data centre. The groups are dealt out one by one,
    /// because a relay holds nothing that would have to move, and a host that
    /// got several by chance would spend a multiple of the others.
    fn relay(&self, group: usize, data_centre: &DataCentre) -> Member {
        let local = self
            .candidates()
            .filter(|it| it.data_centre == *data_centre);
        deal(local.collect(), group).unwrap_or(&self.me).clone()
    }

    /// The relays of a group in all data centres.
    fn relays(&self, group: usize) -> Vec<Member> {
        let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
        for member in self.candidates() {
            let local = by_data_centre.entry(&member.data_centre).or_default();
            local.push(member);
        }
        let relays = by_data_centre.into_values();
        relays
            .filter_map(|local| deal(local, group).cloned())
            .collect()
    }

    /// The homes of all groups: each takes the host with the highest weight
    /// that no earlier one took, so that no host carries several by chance.
    fn homes(&self) -> Vec<Vec<Member>> {
        let mut free: Vec<_> = self.candidates().collect();
        let mut homes = vec![Vec::new(); GROUPS];
        for place in 0..self.tuning.evidence_homes {
            for (group, homes) in homes.iter_mut().enumerate() {
                let weigh =
                    |it: &&Member| weight("home", (group, place), it.identity.host.as_str());
                let Some(best) = (0..free.len()).max_by_key(|it| weigh(&free[*it])) else {
                    free = self.candidates().collect();
                    continue;
                };
                homes.push(free.swap_remove(best).clone());
            }
        }
        homes
    }

    /// This host and those that are alive; one that drains or may be dead
    /// would take counts with it.
    fn candidates(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|it| it.state == State::Alive);
        self.members.alive().chain(me)
    }
}

/// The member whose turn it is, in an order that all hosts agree on.
fn deal(mut local: Vec<&Member>, group: usize) -> Option<&Member> {
    local.sort_by_key(|it| weight("relay", 0_u8, it.identity.host.as_str()));
    let turn = group.checked_rem(local.len())?;
    local.get(turn).copied()
}

/// Deltas by the host that they go to, so that each gets one frame.
#[derive(Default)]
struct Bundles {
    by_host: BTreeMap<HostName, (Member, Vec<Delta>)>,
}

impl Bundles {
    fn add(&mut self, to: &Member, deltas: Vec<Delta>) {
        let host = to.identity.host.clone();
        let bundle = self
            .by_host
            .entry(host)
            .or_insert_with(|| (to.clone(), Vec::new()));
        bundle.1.extend(deltas);
    }
}

fn report(cx: &mut Cx, deltas: Vec<Delta>) {
    if !deltas.is_empty() {
        cx.push(Action::Evidence(deltas));
    }
}
