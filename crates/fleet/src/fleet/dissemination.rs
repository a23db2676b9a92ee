//! Gossip updates: applying, creating and forwarding them.

use std::time::Duration;

use kernel::HostName;
use wire::{
    AnnouncedRevision, Endpoint, GossipMessage, GossipUpdate, Identity, Member, State, Verdict,
};

use crate::cx::Cx;
use crate::members::{Merge, is_accused};
use crate::{Action, Change, Fleet, Ruled};

impl Fleet {
    /// Applies the gossip updates from another host.
    ///
    /// A data centre that was partitioned reports all other hosts as unreachable
    /// once the partition heals, and each of them would have to refute that. So
    /// a host ignores accusations by a host that reaches far fewer members, and
    /// retracts all accusations in its records when a host reaches far more. Neither
    /// applies between hosts on the same side of a partition, whose views are nearly
    /// the same.
    pub(super) fn apply_gossip_message(
        &mut self,
        cx: &mut Cx,
        gossip_message: GossipMessage,
        from: &HostName,
    ) {
        let reach = self.reported_reach(cx.now);
        if is_far_fewer(reach, gossip_message.reach) {
            self.retract_accusations(cx);
        }
        let is_sender_isolated = is_far_fewer(gossip_message.reach, reach);
        for update in gossip_message.updates {
            match update {
                GossipUpdate::Member(member) if is_sender_isolated && is_accused(member.state) => {}
                GossipUpdate::Member(member) => self.apply_member(cx, &member, Some(from)),
                GossipUpdate::Revision(announced) => self.apply_revision(cx, &announced),
                GossipUpdate::Verdict(verdict) => self.apply_verdict(cx, &verdict, Some(from)),
                GossipUpdate::Endpoint(endpoint) => self.apply_endpoint(cx, &endpoint, Some(from)),
            }
        }
    }

    pub(super) fn apply_member(&mut self, cx: &mut Cx, record: &Member, from: Option<&HostName>) {
        if record.identity.host == self.me.identity.host {
            return self.handle_own_record(cx, record);
        }
        match self.members.merge(cx.now, &mut self.view, record) {
            Merge::Known => return,
            Merge::Stale => return self.send_newer_record(cx, &record.identity.host, from),
            Merge::New => report_change(cx, record, None),
            Merge::Changed(before) if before == record.state => {}
            Merge::Changed(before) => report_change(cx, record, Some(before)),
            Merge::Replaced(old) => {
                report_death(cx, old);
                report_change(cx, record, None);
            }
        }
        if record.state > State::Suspect {
            self.configuration.forget_holder(&record.identity.host);
        }
        self.queue_update(GossipUpdate::Member(record.clone()), from);
    }

    /// Retracts all accusations. Correct ones return when views are compared
    /// with other hosts.
    fn retract_accusations(&mut self, cx: &mut Cx) {
        let accused = self.accused_since(Duration::ZERO);
        for host in accused {
            self.retract_accusation(cx, &host);
        }
    }

    /// Returns the accused hosts whose present state was recorded at or after `since`.
    pub(super) fn accused_since(&self, since: Duration) -> Vec<HostName> {
        let accused = self.members.iter().filter(|it| is_accused(it.member.state));
        accused
            .filter(|it| it.since >= since)
            .map(|it| it.member.identity.host.clone())
            .collect()
    }

    pub(super) fn retract_accusation(&mut self, cx: &mut Cx, host: &HostName) {
        let retracted = self
            .members
            .retract_accusation(cx.now, &mut self.view, host);
        if let Some((member, before)) = retracted {
            self.gossip.remove_member(host);
            report_change(cx, &member, Some(before));
        }
    }

    pub(super) fn apply_verdict(
        &mut self,
        cx: &mut Cx,
        verdict: &Verdict,
        from: Option<&HostName>,
    ) {
        if self.announcements.merge_verdict(&mut self.view, verdict) {
            cx.push(Action::Verdict(verdict.clone()));
            self.queue_update(GossipUpdate::Verdict(verdict.clone()), from);
        }
    }

    pub(super) fn apply_endpoint(
        &mut self,
        cx: &mut Cx,
        endpoint: &Endpoint,
        from: Option<&HostName>,
    ) {
        if self
            .announcements
            .merge_endpoint(cx.now, &mut self.view, endpoint)
        {
            cx.push(Action::Endpoint(endpoint.clone()));
            self.queue_update(GossipUpdate::Endpoint(endpoint.clone()), from);
        }
    }

    pub(super) fn publish_verdict(&mut self, cx: &mut Cx, ruled: Ruled) {
        let verdict = Verdict {
            round: self.announcements.next_round(&ruled.version),
            version: ruled.version,
            ruling: ruled.ruling,
            by: self.me.identity.clone(),
            evidence: ruled.evidence,
        };
        self.apply_verdict(cx, &verdict, None);
    }

    /// Advances this host's own state and gossips it; the present or an earlier state
    /// is ignored. The higher refutation number overrides what other hosts report.
    pub(super) fn set_own_state(&mut self, state: State) {
        if self.me.state < state {
            self.update_own_record(self.me.refutation, state);
        }
    }

    /// Changes another member's state on this host's own initiative and gossips it.
    pub(super) fn set_member_state(&mut self, cx: &mut Cx, mut member: Member, state: State) {
        member.state = state;
        self.apply_member(cx, &member, None);
    }

    pub(super) fn handle_fence(&mut self, cx: &mut Cx, identity: &Identity) {
        if *identity == self.me.identity {
            return self.depose(cx);
        }
        let Some(entry) = self.members.find_incarnation(identity) else {
            return;
        };
        let member = entry.member.clone();
        self.set_member_state(cx, member, State::Dead);
    }

    /// Declares members dead that became unreachable before `before`.
    ///
    /// If they outnumber the reachable hosts, this host was probably the isolated
    /// one and the others have declared it dead, so it is deposed.
    pub(super) fn declare_dead(&mut self, cx: &mut Cx, before: Duration) {
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|it| it.member.state == State::Unreachable && it.since < before)
            .map(|it| it.member.clone())
            .collect();
        if expired.len() > self.size() {
            return self.depose(cx);
        }
        for member in expired {
            self.set_member_state(cx, member, State::Dead);
        }
    }

    /// Gossips that this host has the document of the revision in force.
    pub(super) fn announce_revision(&mut self) {
        let update = GossipUpdate::Revision(AnnouncedRevision {
            revision: self.configuration.revision(),
            holder: self.me.identity.clone(),
        });
        self.queue_update(update, None);
    }

    pub(super) fn push_updates(&mut self, cx: &mut Cx) {
        let Some(due) = self.push_deadline() else {
            return;
        };
        let is_final = self.me.state == State::Dead;
        if cx.now < due && !is_final {
            return;
        }
        let reach = self.reported_reach(cx.now);
        let push = self.gossip.take_push(cx.now, self.tuning.news_bytes);
        for key in self.neighbours.all() {
            let Some(entry) = self.members.get(*key) else {
                continue;
            };
            let updates = push.updates_for(&entry.member.identity.host);
            if !updates.is_empty() {
                cx.send(&entry.member, GossipMessage { reach, updates });
            }
        }
    }

    /// Returns the time of the next push, or `None` if all updates were pushed or
    /// there are no neighbours.
    pub(super) fn push_deadline(&self) -> Option<Duration> {
        let deadline = self.gossip.deadline(&self.tuning);
        deadline.filter(|_| !self.neighbours.all().is_empty())
    }

    /// Returns the number of reachable hosts, including this one.
    pub(super) fn size(&self) -> usize {
        1 + self.members.reachable().count()
    }

    /// Returns [`Self::size`], or 1 while this host is isolated, so that other hosts
    /// ignore its accusations.
    pub(super) fn reported_reach(&self, now: Duration) -> u32 {
        let reach = if self.is_isolated(now) {
            1
        } else {
            self.size()
        };
        u32::try_from(reach).unwrap_or(u32::MAX)
    }

    /// Returns the binary logarithm of the fleet's size, rounded up and at least
    /// one. The suspicion timeout is proportional to it.
    pub(super) fn log_size(&self) -> u32 {
        self.size().next_power_of_two().ilog2().max(1)
    }

    fn queue_update(&mut self, update: GossipUpdate, from: Option<&HostName>) {
        self.gossip
            .add(update, from, self.tuning.piggybacks_per_update);
    }

    /// Handles another host's record of this host, and refutes it if it is wrong.
    /// Death is final: this incarnation is deposed when it learns of its own
    /// death, or of a later incarnation of this host, unless it announced its own
    /// death.
    fn handle_own_record(&mut self, cx: &mut Cx, record: &Member) {
        let theirs = record.identity.incarnation;
        let mine = self.me.identity.incarnation;
        if theirs > mine || (theirs == mine && record.state == State::Dead) {
            if self.me.state != State::Dead {
                self.depose(cx);
            }
            return;
        }
        let is_not_older = theirs == mine && record.refutation >= self.me.refutation;
        if is_not_older && record != &self.me {
            self.update_own_record(record.refutation, self.me.state);
        } else if theirs < mine {
            self.queue_update(GossipUpdate::Member(self.me.clone()), None);
        }
    }

    /// Sets this host's state with a refutation number above `refutation`, and gossips
    /// the record.
    fn update_own_record(&mut self, refutation: u32, state: State) {
        self.view.toggle_member(&self.me);
        self.me.state = state;
        self.me.refutation = self.me.refutation.max(refutation.saturating_add(1));
        self.view.toggle_member(&self.me);
        self.queue_update(GossipUpdate::Member(self.me.clone()), None);
    }

    /// Sends the newer record to a host that forwarded an outdated one.
    fn send_newer_record(&mut self, cx: &mut Cx, about: &HostName, from: Option<&HostName>) {
        let Some(entry) = self.members.find(about) else {
            return;
        };
        let Some(to) = from.and_then(|it| self.members.find(it)) else {
            return;
        };
        let gossip_message = GossipMessage {
            reach: self.reported_reach(cx.now),
            updates: vec![GossipUpdate::Member(entry.member.clone())],
        };
        cx.send(&to.member, gossip_message);
    }
}

/// Returns whether `few` is at most two thirds of `many`. A host that reaches so
/// few is more likely to be isolated than one that reaches `many`.
fn is_far_fewer(few: u32, many: u32) -> bool {
    u64::from(few) * 3 <= u64::from(many) * 2
}

fn report_change(cx: &mut Cx, member: &Member, before: Option<State>) {
    let member = member.clone();
    cx.push(Action::Member(Change { member, before }));
}

/// Reports the death of an incarnation that a later one replaces.
fn report_death(cx: &mut Cx, mut old: Member) {
    let before = old.state;
    if before != State::Dead {
        old.state = State::Dead;
        report_change(cx, &old, Some(before));
    }
}
