//! Failure detection: direct and indirect probes, suspicion and refutation.

use std::time::Duration;

use kernel::HostName;
use rand::RngExt;
use wire::{Ack, GossipMessage, GossipUpdate, Identity, Load, Member, Probe, ProbeRequest, State};

use crate::Fleet;
use crate::cx::Cx;
use crate::members::{LoadReport, MemberKey};
use crate::prober::{PendingProbe, RelayedProbe};

/// Number of reachable members besides the target below which an isolated host may
/// suspect the target. In a small fleet a wrong suspicion causes few refutations.
const MIN_WITNESSES_REQUIRING_RESPONSE: usize = 16;

/// Number of probe intervals without any response after which random members
/// are probed instead of neighbours.
const MAX_SILENT_INTERVALS: u32 = 4;

impl Fleet {
    /// Returns whether this host is probably isolated: it reaches no member, or
    /// hasn't received a response for a long time. Its view may then be out of
    /// date, and its updates may not reach other hosts.
    #[must_use]
    pub fn is_isolated(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.prober.last_response);
        self.members.reachable().next().is_none() || silence > self.tuning.isolated_after
    }

    pub(super) fn probe_when_due(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.probe {
            return;
        }
        let first = self.timers.probe.is_zero();
        self.timers.probe = cx.now + self.tuning.probe_every;
        if first {
            self.timers.probe = cx.now + self.jitter(self.tuning.probe_every);
        }
        let target = self.next_target(cx.now);
        let Some(member) = target.and_then(|it| self.members.get(it)) else {
            return;
        };
        let member = member.member.clone();
        if self.prober.is_probing(&member.identity.host) {
            return;
        }
        let sequence = self.prober.next_sequence();
        self.prober.begin(sequence, member.identity.clone(), cx.now);
        self.send_probe(cx, &member, sequence);
    }

    /// Returns the next neighbour, or a random member after some time without a
    /// response: that distinguishes the simultaneous failure of all neighbours
    /// from the isolation of this host.
    fn next_target(&mut self, now: Duration) -> Option<MemberKey> {
        let silence = now.saturating_sub(self.prober.last_response);
        if silence <= self.tuning.probe_every * MAX_SILENT_INTERVALS {
            return self.prober.next_target(self.neighbours.successors());
        }
        let all = self.members.reachable().map(|it| it.0).collect();
        self.sample(all, 1).pop()
    }

    /// Handles probes that timed out: first by indirect probes, then by suspicion.
    pub(super) fn check_probe_timeouts(&mut self, cx: &mut Cx) {
        let overdue: Vec<_> = self
            .prober
            .iter()
            .filter(|(_, it)| it.due(self.tuning.probe_timeout) <= cx.now)
            .map(|(sequence, it)| (sequence, it.clone()))
            .collect();
        for (sequence, pending_probe) in overdue {
            let Some(entry) = self.members.find_incarnation(&pending_probe.target) else {
                self.prober.cancel(sequence);
                continue;
            };
            let member = entry.member.clone();
            if !pending_probe.is_indirect_requested {
                self.probe_indirectly(cx, sequence, &member);
                continue;
            }
            self.prober.cancel(sequence);
            if self.may_suspect(cx.now, &pending_probe) {
                self.suspect(cx, member);
            }
        }
    }

    pub(super) fn check_suspicion_timeouts(&mut self, cx: &mut Cx) {
        let timeout = self.suspicion_timeout();
        let expired: Vec<_> = self
            .members
            .suspects()
            .filter(|it| it.since + timeout <= cx.now)
            .map(|it| it.member.clone())
            .collect();
        for member in expired {
            self.set_member_state(cx, member, State::Unreachable);
        }
    }

    pub(super) fn probe_deadline(&self) -> Option<Duration> {
        let probe_timeout = self.tuning.probe_timeout;
        let probes = self.prober.iter().map(|(_, it)| it.due(probe_timeout));
        let suspicion_timeout = self.suspicion_timeout();
        let suspects = self
            .members
            .suspects()
            .map(|it| it.since + suspicion_timeout);
        probes.chain(suspects).min()
    }

    pub(super) fn handle_probe(&mut self, cx: &mut Cx, from: &HostName, probe: Probe) {
        if probe.from.host != *from {
            return;
        }
        let requester = self.members.find_incarnation(&probe.from);
        let known = requester.map(|it| it.member.clone());
        let accusation = known.clone().filter(|it| it.state >= State::Suspect);
        let ack = Ack {
            sequence: probe.sequence,
            from: self.me.identity.clone(),
            proof: self.configuration.proof(cx.now),
            view: self.view.fingerprint(),
            gossip_message: self.piggyback_updates(cx.now, accusation),
            loads: self.piggyback_loads(cx.now),
        };
        cx.push(crate::Action::Send {
            host: from.clone(),
            address: probe.address,
            frame: ack.into(),
        });
        self.record_loads(cx.now, &probe.loads);
        self.apply_gossip_message(cx, probe.gossip_message, from);
        self.record_revision_holder(cx, from, probe.proof.revision);
        if known.is_some() {
            self.check_fingerprint(cx, from, probe.view);
        } else {
            self.send_digest(cx, from, probe.address);
        }
    }

    pub(super) fn handle_ack(&mut self, cx: &mut Cx, from: &HostName, ack: Ack) {
        if let Some(relayed_probe) = self.prober.complete_relayed(ack.sequence, &ack.from) {
            return Self::relay_ack(cx, relayed_probe, ack);
        }
        let Some(pending_probe) = self.prober.complete(ack.sequence, &ack.from) else {
            return;
        };
        self.record_response(cx);
        let host = &ack.from.host;
        self.record_loads(cx.now, &ack.loads);
        self.apply_gossip_message(cx, ack.gossip_message, from);
        self.record_revision_holder(cx, host, ack.proof.revision);
        self.configuration
            .accept_proof(pending_probe.sent, ack.proof);
        let Some(entry) = self.members.find_incarnation(&ack.from) else {
            return self.compare_with_new_incarnation(cx, &pending_probe.target);
        };
        let member = entry.member.clone();
        if member.state >= State::Suspect {
            self.notify_accused(cx, &member);
        }
        self.check_fingerprint(cx, host, ack.view);
    }

    pub(super) fn handle_probe_request(
        &mut self,
        cx: &mut Cx,
        from: &HostName,
        request: ProbeRequest,
    ) {
        let Some(requester) = self.members.find(from) else {
            return;
        };
        let requester = (from.clone(), requester.member.fleet_address);
        if request.target == self.me.identity {
            return;
        }
        let mut target = self.me.clone();
        target.identity = request.target.clone();
        target.fleet_address = request.address;
        let sequence = self.prober.next_sequence();
        let relayed_probe = RelayedProbe::new(cx.now, requester, request.sequence, request.target);
        self.prober.begin_relayed(sequence, relayed_probe);
        self.send_probe(cx, &target, sequence);
    }

    /// Returns 5 % to 100 % of `of`, chosen at random, so that hosts that start
    /// together don't act at the same times.
    pub(super) fn jitter(&mut self, of: Duration) -> Duration {
        of.mul_f64(self.rng.random_range(0.05..1.0))
    }

    fn send_probe(&mut self, cx: &mut Cx, to: &Member, sequence: u32) {
        let accusation = Some(to.clone()).filter(|it| it.state >= State::Suspect);
        let probe = Probe {
            sequence,
            from: self.me.identity.clone(),
            address: self.me.fleet_address,
            proof: self.configuration.proof(cx.now),
            view: self.view.fingerprint(),
            gossip_message: self.piggyback_updates(cx.now, accusation),
            loads: self.piggyback_loads(cx.now),
        };
        cx.send(to, probe);
    }

    /// Probes the target again, directly and through other hosts, so that a
    /// broken path or a lost frame isn't mistaken for a dead host.
    fn probe_indirectly(&mut self, cx: &mut Cx, sequence: u32, target: &Member) {
        self.prober.mark_indirect_requested(sequence);
        self.send_probe(cx, target, sequence);
        let neighbours: Vec<_> = self
            .neighbours
            .all()
            .iter()
            .filter_map(|it| self.members.get(*it))
            .map(|it| it.member.clone())
            .filter(|it| it.state < State::Suspect && it.identity != target.identity)
            .collect();
        for helper in self.sample(neighbours, self.tuning.helpers) {
            let request = ProbeRequest {
                sequence,
                from: self.me.identity.clone(),
                target: target.identity.clone(),
                address: target.fleet_address,
            };
            cx.send(&helper, request);
        }
    }

    /// Returns whether a timed-out probe justifies suspecting its target: some
    /// host must have responded since the probe was sent.
    ///
    /// Otherwise a host that lost its own connection would suspect all others.
    /// With the default tuning, the timeout is longer than the probe interval, so
    /// another host normally responds to a later probe in time; if none does, a later
    /// probe of the target decides. Without other members, and in a small fleet
    /// after a long time without a response, no such response is required.
    fn may_suspect(&self, now: Duration, pending_probe: &PendingProbe) -> bool {
        let witnesses = self
            .members
            .reachable()
            .filter(|(_, it)| it.member.identity != pending_probe.target)
            .count();
        if witnesses == 0 || self.prober.last_response > pending_probe.sent {
            return true;
        }
        let is_small = witnesses < MIN_WITNESSES_REQUIRING_RESPONSE;
        is_small && self.is_isolated(now)
    }

    /// Records that a host responded. If this host was isolated until now, no
    /// other host believed its accusations, so it retracts those made in the
    /// meantime.
    fn record_response(&mut self, cx: &mut Cx) {
        let last = std::mem::replace(&mut self.prober.last_response, cx.now);
        if cx.now.saturating_sub(last) <= self.tuning.isolated_after {
            return;
        }
        for host in self.accused_since(last) {
            self.retract_accusation(cx, &host);
        }
    }

    fn suspect(&mut self, cx: &mut Cx, member: Member) {
        if member.state >= State::Suspect {
            return;
        }
        let identity = member.identity.clone();
        self.set_member_state(cx, member, State::Suspect);
        if let Some(entry) = self.members.find_incarnation(&identity) {
            let member = entry.member.clone();
            self.notify_accused(cx, &member);
        }
    }

    /// Sends an accusation to the accused host, so that it can refute it.
    fn notify_accused(&self, cx: &mut Cx, accused: &Member) {
        let gossip_message = GossipMessage {
            reach: self.reported_reach(cx.now),
            updates: vec![GossipUpdate::Member(accused.clone())],
        };
        cx.send(accused, gossip_message);
    }

    fn suspicion_timeout(&self) -> Duration {
        self.tuning.suspicion * self.log_size()
    }

    fn piggyback_updates(&mut self, now: Duration, accusation: Option<Member>) -> GossipMessage {
        let reach = self.reported_reach(now);
        let mut updates = self.gossip.take_carried(self.tuning.news_bytes);
        updates.extend(accusation.map(GossipUpdate::Member));
        GossipMessage { reach, updates }
    }

    fn piggyback_loads(&mut self, now: Duration) -> Vec<Load> {
        let fresh: Vec<_> = self
            .members
            .iter()
            .filter(|it| it.member.data_centre == self.me.data_centre)
            .filter_map(|it| {
                let load = it.load?;
                let age = now.saturating_sub(load.at);
                (age < self.tuning.load_age / 2).then(|| Load {
                    host: it.member.identity.host.clone(),
                    level: load.level,
                    age,
                })
            })
            .collect();
        let mut loads = self.sample(fresh, self.tuning.loads);
        loads.push(Load {
            host: self.me.identity.host.clone(),
            level: self.load,
            age: Duration::ZERO,
        });
        loads
    }

    fn record_loads(&mut self, now: Duration, loads: &[Load]) {
        for load in loads {
            let at = now.saturating_sub(load.age);
            let level = load.level;
            self.members
                .record_load(&load.host, LoadReport { level, at });
        }
    }

    /// Forwards the ack of an indirect probe with the requester's sequence number.
    fn relay_ack(cx: &mut Cx, relayed_probe: RelayedProbe, mut ack: Ack) {
        ack.sequence = relayed_probe.sequence;
        ack.gossip_message.updates.clear();
        ack.loads.clear();
        cx.push(crate::Action::Send {
            host: relayed_probe.host,
            address: relayed_probe.address,
            frame: ack.into(),
        });
    }

    /// Compares views with a host whose ack came from another incarnation than the
    /// known one. The host's response contains its present record.
    fn compare_with_new_incarnation(&mut self, cx: &mut Cx, target: &Identity) {
        let Some(entry) = self.members.find(&target.host) else {
            return;
        };
        let (host, address) = (target.host.clone(), entry.member.fleet_address);
        self.send_digest(cx, &host, address);
    }
}

impl PendingProbe {
    /// Returns the time of the probe's next timeout.
    fn due(&self, timeout: Duration) -> Duration {
        self.sent
            + if self.is_indirect_requested {
                timeout * 3
            } else {
                timeout
            }
    }
}
