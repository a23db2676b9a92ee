//! Evidence: in a small fleet it goes to all; in a larger one through a relay
//! in the data centre to the topics' homes, and from the first home back to all.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{DataCentre, HostName};
use wire::{Delta, Evidence, Member, Reach, State};

use crate::cx::Cx;
use crate::pool::{GROUPS, Pace, Pool, Returning};
use crate::rendezvous::weight;
use crate::{Action, Fleet};

/// How long a home goes by the counts of the relays alone.
const HOME_MEMORY: Duration = Duration::from_secs(20);

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
    /// When this host was last told something as a home, by group.
    homed: BTreeMap<u64, Duration>,
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
        self.returning.clear();
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
            pooling
                .returned
                .deadline(self.pace(self.tuning.evidence_to_relay)),
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
        let due = self.pooling.own.take_due(cx.now, pace);
        if due.is_empty() {
            return;
        }
        if self.is_direct() {
            let deltas: Vec<_> = due.into_iter().flat_map(|it| it.1).collect();
            let members: Vec<_> = self.members.reachable().map(|it| it.1).collect();
            for entry in members {
                let frame = self.evidence(Reach::Direct, deltas.clone());
                cx.send(&entry.member, frame);
            }
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
        let pace = self.pace(self.tuning.evidence_to_relay);
        let due = self.pooling.returned.take_due(cx.now, pace);
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
        for delta in &deltas {
            let group = crate::pool::group_of(&delta.topic);
            self.pooling.homed.insert(group, cx.now);
        }
        if reach == Reach::DataCentre {
            self.pooling.home.add(cx.now, &deltas);
        }
        let others = self.pooling.returning.without_own(deltas);
        report(cx, others);
    }

    /// Takes in the counts of all, but for the groups whose counts came here
    /// already because this host is a home of them.
    fn take_returned(&mut self, cx: &mut Cx, mut deltas: Vec<Delta>) {
        let homed = &self.pooling.homed;
        deltas.retain(|it| {
            let at = homed.get(&crate::pool::group_of(&it.topic));
            at.is_none_or(|it| cx.now.saturating_sub(*it) > HOME_MEMORY)
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
            self.pace(self.tuning.evidence_every)
        } else {
            self.pace(self.tuning.evidence_to_relay)
        }
    }

    fn home_pace(&self) -> Pace {
        Pace {
            urgent: self.tuning.evidence_to_relay,
            usual: self.tuning.evidence_to_all,
        }
    }

    fn pace(&self, usual: Duration) -> Pace {
        let urgent = self.tuning.evidence_every;
        Pace { urgent, usual }
    }

    fn routes(&self, group: u64) -> &Route {
        let index = usize::try_from(group).unwrap_or_default();
        &self.pooling.routes.groups[index]
    }

    /// Chooses relays and homes anew when the members have changed.
    fn route(&mut self) {
        let epoch = Some(self.members.epoch());
        if self.pooling.routes.epoch == epoch {
            return;
        }
        let groups = (0..GROUPS)
            .map(|group| Route {
                relay: self.relay(group, &self.me.data_centre),
                homes: self.homes(group),
            })
            .collect();
        self.pooling.routes = Routes { epoch, groups };
    }

    fn relay(&self, group: u64, data_centre: &DataCentre) -> Member {
        let local = self
            .candidates()
            .filter(|it| it.data_centre == *data_centre);
        let relay = local.max_by_key(|it| weight("relay", group, it.identity.host.as_str()));
        relay.unwrap_or(&self.me).clone()
    }

    /// The relays of a group in all data centres.
    fn relays(&self, group: u64) -> Vec<Member> {
        let mut best: BTreeMap<&DataCentre, (u64, &Member)> = BTreeMap::new();
        for member in self.candidates() {
            let weight = weight("relay", group, member.identity.host.as_str());
            let place = best.entry(&member.data_centre).or_insert((weight, member));
            if place.0 < weight {
                *place = (weight, member);
            }
        }
        best.into_values().map(|it| it.1.clone()).collect()
    }

    fn homes(&self, group: u64) -> Vec<Member> {
        let mut ranked: Vec<_> = self
            .candidates()
            .map(|it| (weight("home", group, it.identity.host.as_str()), it))
            .collect();
        ranked.sort_by_key(|it| std::cmp::Reverse(it.0));
        ranked.truncate(self.tuning.evidence_homes);
        ranked.into_iter().map(|it| it.1.clone()).collect()
    }

    /// This host and those that are alive; one that drains or may be dead
    /// would take counts with it.
    fn candidates(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|it| it.state == State::Alive);
        self.members.alive().chain(me)
    }
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
