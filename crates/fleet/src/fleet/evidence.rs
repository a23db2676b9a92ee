//! Distribution of evidence. In a small fleet each host sends its counts to all
//! others. In a larger one a relay in the data centre collects them and sends
//! them to the homes of each group of topics, the hosts that aggregate the
//! group's counts. The first home sends the sums since its last sending to all hosts
//! via the relays.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{DataCentre, HostName};
use wire::{Delta, Evidence, Hop, Member, State};

use crate::cx::Cx;
use crate::pool::{BatchDelays, GROUPS, OwnContributions, Pool, group_of};
use crate::rendezvous::weight;
use crate::{Action, Fleet};

/// Delay at a relay before it forwards counts returned by homes. It is short because
/// it only serves to combine counts that several homes send at the same time.
const RETURN_DELAYS: BatchDelays = BatchDelays {
    urgent: Duration::from_millis(100),
    usual: Duration::from_millis(100),
};

/// Evidence that waits on this host to be sent.
#[derive(Default)]
pub(super) struct EvidenceQueues {
    /// Counts by this host.
    own: Pool,
    /// As a relay: counts from the hosts of the data centre.
    relayed: Pool,
    /// As a group's first home: counts from all data centres.
    home: Pool,
    /// As a relay: counts returned by homes.
    returned: Pool,
    own_contributions: OwnContributions,
    routes: Routes,
}

/// The relay and homes of each group, cached until the other members change.
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

impl EvidenceQueues {
    pub(super) fn forget(&mut self) {
        self.own_contributions.forget();
    }
}

impl Fleet {
    pub(super) fn add_evidence(&mut self, cx: &mut Cx, deltas: &[Delta]) {
        self.evidence.own.add(cx.now, deltas);
    }

    pub(super) fn handle_evidence(&mut self, cx: &mut Cx, evidence: Evidence) {
        let deltas = evidence.deltas;
        match evidence.hop {
            Hop::Direct => report_evidence(cx, deltas),
            Hop::Host => self.evidence.relayed.add(cx.now, &deltas),
            Hop::DataCentre => self.handle_as_home(cx, deltas, Hop::DataCentre),
            Hop::Standby => self.handle_as_home(cx, deltas, Hop::Standby),
            Hop::Fleet => {
                self.evidence.returned.add(cx.now, &deltas);
                self.report_returned(cx, deltas);
            }
            Hop::Final => self.report_returned(cx, deltas),
        }
    }

    pub(super) fn evidence_deadline(&self) -> Option<Duration> {
        let queues = &self.evidence;
        let stages = [
            queues.own.deadline(self.own_delays()),
            queues
                .relayed
                .deadline(self.delays(self.tuning.evidence_to_home)),
            queues.home.deadline(self.home_delays()),
            queues.returned.deadline(RETURN_DELAYS),
        ];
        stages.into_iter().flatten().min()
    }

    pub(super) fn send_evidence_when_due(&mut self, cx: &mut Cx) {
        self.send_own(cx);
        self.send_relayed(cx);
        self.send_home(cx);
        self.send_returned(cx);
    }

    fn send_own(&mut self, cx: &mut Cx) {
        let delays = self.own_delays();
        if self.is_direct() {
            let deltas = self.evidence.own.take_all_if_due(cx.now, delays);
            if deltas.is_empty() {
                return;
            }
            let members: Vec<_> = self.members.reachable().map(|it| it.1).collect();
            for entry in members {
                let frame = self.build_evidence(Hop::Direct, deltas.clone());
                cx.send(&entry.member, frame);
            }
            return;
        }
        let due = self.evidence.own.take_due(cx.now, delays);
        if due.is_empty() {
            return;
        }
        self.refresh_routes();
        let mut frames = OutgoingFrames::default();
        for (group, deltas) in due {
            self.evidence.own_contributions.add(&deltas);
            frames.add(&self.route_of(group).relay, deltas);
        }
        self.dispatch(cx, frames, Hop::Host);
    }

    fn send_relayed(&mut self, cx: &mut Cx) {
        let delays = self.delays(self.tuning.evidence_to_home);
        let due = self.evidence.relayed.take_due(cx.now, delays);
        if due.is_empty() {
            return;
        }
        self.refresh_routes();
        let mut first = OutgoingFrames::default();
        let mut others = OutgoingFrames::default();
        for (group, deltas) in due {
            for (index, home) in self.route_of(group).homes.iter().enumerate() {
                let frames = if index == 0 { &mut first } else { &mut others };
                frames.add(home, deltas.clone());
            }
        }
        self.dispatch(cx, first, Hop::DataCentre);
        self.dispatch(cx, others, Hop::Standby);
    }

    fn send_home(&mut self, cx: &mut Cx) {
        let delays = self.home_delays();
        let due = self.evidence.home.take_due(cx.now, delays);
        let mut frames = OutgoingFrames::default();
        for (group, deltas) in due {
            for relay in self.relays(group) {
                frames.add(&relay, deltas.clone());
            }
        }
        self.dispatch(cx, frames, Hop::Fleet);
    }

    fn send_returned(&mut self, cx: &mut Cx) {
        let due = self.evidence.returned.take_due(cx.now, RETURN_DELAYS);
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
            cx.send(&member, self.build_evidence(Hop::Final, deltas.clone()));
        }
    }

    /// Sends one frame to each host. Evidence for this host is handled directly.
    fn dispatch(&mut self, cx: &mut Cx, frames: OutgoingFrames, hop: Hop) {
        for (host, (member, deltas)) in frames.by_host {
            let evidence = self.build_evidence(hop, deltas);
            if host == self.me.identity.host {
                self.handle_evidence(cx, evidence);
            } else {
                cx.send(&member, evidence);
            }
        }
    }

    /// Handles counts as a home; the first home also queues them for their return to
    /// all hosts. This host's decision core gets them at once, so that a bad version
    /// is detected before the totals are returned.
    fn handle_as_home(&mut self, cx: &mut Cx, deltas: Vec<Delta>, hop: Hop) {
        if hop == Hop::DataCentre {
            self.evidence.home.add(cx.now, &deltas);
        }
        let others = self.evidence.own_contributions.subtract_own(deltas);
        report_evidence(cx, others);
    }

    /// Reports returned counts to the decision core. Skips groups that this host
    /// is a home of, because it has already received their counts.
    fn report_returned(&mut self, cx: &mut Cx, mut deltas: Vec<Delta>) {
        self.refresh_routes();
        deltas.retain(|it| {
            let homes = &self.route_of(group_of(&it.topic)).homes;
            homes.iter().all(|it| it.identity != self.me.identity)
        });
        let others = self.evidence.own_contributions.subtract_own(deltas);
        report_evidence(cx, others);
    }

    fn build_evidence(&self, hop: Hop, deltas: Vec<Delta>) -> Evidence {
        Evidence {
            from: self.me.identity.clone(),
            hop,
            deltas,
        }
    }

    fn is_direct(&self) -> bool {
        self.size() <= self.tuning.evidence_direct
    }

    fn own_delays(&self) -> BatchDelays {
        if self.is_direct() {
            self.delays(self.tuning.evidence_to_members)
        } else {
            self.delays(self.tuning.evidence_to_relay)
        }
    }

    /// Returns the delays with which a home returns counts. Urgent counts wait as
    /// long as others: the home's decision core has already evaluated them, and
    /// verdicts spread as gossip updates. A large fleet nearly always has some error,
    /// so urgent sending would defeat batching.
    fn home_delays(&self) -> BatchDelays {
        let usual = self.tuning.evidence_to_all;
        BatchDelays {
            urgent: usual,
            usual,
        }
    }

    fn delays(&self, usual: Duration) -> BatchDelays {
        let urgent = self.tuning.evidence_urgent;
        BatchDelays { urgent, usual }
    }

    fn route_of(&self, group: usize) -> &Route {
        &self.evidence.routes.groups[group]
    }

    /// Recomputes relays and homes if the other members have changed.
    fn refresh_routes(&mut self) {
        let epoch = Some(self.members.epoch());
        if self.evidence.routes.epoch == epoch {
            return;
        }
        let groups = (0..)
            .zip(self.homes())
            .map(|(group, homes)| Route {
                relay: self.relay(group, &self.me.data_centre),
                homes,
            })
            .collect();
        self.evidence.routes = Routes { epoch, groups };
    }

    /// Returns a group's relay in a data centre. Groups are assigned round-robin,
    /// which spreads the load evenly. Consistent hashing isn't needed, because a
    /// relay has no state that would have to move.
    fn relay(&self, group: usize, data_centre: &DataCentre) -> Member {
        let local = self
            .candidates()
            .filter(|it| it.data_centre == *data_centre);
        assign_round_robin(local.collect(), group)
            .unwrap_or(&self.me)
            .clone()
    }

    /// Returns the relays of a group in all data centres.
    fn relays(&self, group: usize) -> Vec<Member> {
        let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
        for member in self.candidates() {
            let local = by_data_centre.entry(&member.data_centre).or_default();
            local.push(member);
        }
        let relays = by_data_centre.into_values();
        relays
            .filter_map(|local| assign_round_robin(local, group).cloned())
            .collect()
    }

    /// Returns the homes of all groups. Each group in turn takes the host with
    /// the highest weight among those not yet taken, which spreads the load. Once all
    /// hosts are taken, the next group gets none in this round, and then all hosts are
    /// available again. A group may therefore have fewer homes, or none.
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

    /// Returns the hosts in state [`State::Alive`], which may include this one.
    /// Hosts that drain or may be dead are excluded, because counts sent there
    /// could be lost.
    fn candidates(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|it| it.state == State::Alive);
        self.members.alive().chain(me)
    }
}

/// Returns the member that `group` is assigned to, round-robin in an order that
/// all hosts compute alike.
fn assign_round_robin(mut local: Vec<&Member>, group: usize) -> Option<&Member> {
    local.sort_by_key(|it| weight("relay", 0_u8, it.identity.host.as_str()));
    let position = group.checked_rem(local.len())?;
    local.get(position).copied()
}

/// Deltas grouped by destination, so that each host gets one frame.
#[derive(Default)]
struct OutgoingFrames {
    by_host: BTreeMap<HostName, (Member, Vec<Delta>)>,
}

impl OutgoingFrames {
    fn add(&mut self, to: &Member, deltas: Vec<Delta>) {
        let host = to.identity.host.clone();
        let entry = self
            .by_host
            .entry(host)
            .or_insert_with(|| (to.clone(), Vec::new()));
        entry.1.extend(deltas);
    }
}

fn report_evidence(cx: &mut Cx, deltas: Vec<Delta>) {
    if !deltas.is_empty() {
        cx.push(Action::Evidence(deltas));
    }
}
