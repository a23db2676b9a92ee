//! Failure detection: direct and indirect probes, suspicion and refutation.

use std::time::Duration;

use kernel::HostName;
use rand::RngExt;
use wire::{Ack, Bulletin, Identity, Load, Member, News, Probe, ProbeRequest, State};

use crate::Fleet;
use crate::cx::Cx;
use crate::members::{Level, MemberKey};
use crate::prober::{Helping, Waiting};

/// With fewer other hosts than this, an isolated host may still suspect members:
/// if it is wrong, their refutations cost little.
const SMALL: usize = 16;

/// Number of probe intervals without any response after which random members
/// are probed instead of neighbours.
const SILENT_PROBES: u32 = 4;

impl Fleet {
    /// Returns whether this host is probably isolated: it reaches no member, or
    /// hasn't received a response for a long time. Its view is then out of date,
    /// and its updates reach no other host.
    #[must_use]
    pub fn is_alone(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.prober.answered);
        self.members.reachable().next().is_none() || silence > self.tuning.alone_after
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
        if self.prober.is_waiting_for(&member.identity.host) {
            return;
        }
        let sequence = self.prober.next_sequence();
        self.prober.wait(sequence, member.identity.clone(), cx.now);
        self.send_probe(cx, &member, sequence);
    }

    /// Returns the next neighbour, or a random member after some time without a
    /// response: that distinguishes the simultaneous failure of all neighbours
    /// from the isolation of this host.
    fn next_target(&mut self, now: Duration) -> Option<MemberKey> {
        let silence = now.saturating_sub(self.prober.answered);
        if silence <= self.tuning.probe_every * SILENT_PROBES {
            return self.prober.next_target(self.neighbours.successors());
        }
        let all = self.members.reachable().map(|it| it.0).collect();
        self.sample(all, 1).pop()
    }

    /// Handles probes that timed out: first by indirect probes, then by suspicion.
    pub(super) fn judge_probes(&mut self, cx: &mut Cx) {
        let overdue: Vec<_> = self
            .prober
            .iter()
            .filter(|(_, it)| it.due(self.tuning.probe_timeout) <= cx.now)
            .map(|(sequence, it)| (sequence, it.clone()))
            .collect();
        for (sequence, waiting) in overdue {
            let Some(entry) = self.members.find_life(&waiting.target) else {
                self.prober.give_up(sequence);
                continue;
            };
            let member = entry.member.clone();
            if !waiting.is_helped {
                self.ask_for_help(cx, sequence, &member);
                continue;
            }
            self.prober.give_up(sequence);
            if self.may_judge(cx.now, &waiting) {
                self.suspect(cx, member);
            }
        }
    }

    pub(super) fn judge_suspects(&mut self, cx: &mut Cx) {
        let patience = self.suspicion_time();
        let expired: Vec<_> = self
            .members
            .suspects()
            .filter(|it| it.since + patience <= cx.now)
            .map(|it| it.member.clone())
            .collect();
        for member in expired {
            self.judge(cx, member, State::Unreachable);
        }
    }

    pub(super) fn probing_deadline(&self) -> Option<Duration> {
        let timeout = self.tuning.probe_timeout;
        let probes = self.prober.iter().map(|(_, it)| it.due(timeout));
        let patience = self.suspicion_time();
        let suspects = self.members.suspects().map(|it| it.since + patience);
        probes.chain(suspects).min()
    }

    pub(super) fn probed(&mut self, cx: &mut Cx, from: &HostName, probe: Probe) {
        if probe.from.host != *from {
            return;
        }
        let asker = self.members.find_life(&probe.from);
        let known = asker.map(|it| it.member.clone());
        let accusation = known.clone().filter(|it| it.state >= State::Suspect);
        let ack = Ack {
            sequence: probe.sequence,
            from: self.me.identity.clone(),
            proof: self.configuration.proof(cx.now),
            view: self.view.fingerprint(),
            bulletin: self.carry(cx.now, accusation),
            loads: self.carry_loads(cx.now),
        };
        cx.push(crate::Action::Send {
            host: from.clone(),
            address: probe.address,
            frame: ack.into(),
        });
        self.note_loads(cx.now, &probe.loads);
        self.learn(cx, probe.bulletin, from);
        self.hear_revision(cx, from, probe.proof.revision);
        if known.is_some() {
            self.see_view(cx, from, probe.view);
        } else {
            self.introduce(cx, from, probe.address);
        }
    }

    pub(super) fn acked(&mut self, cx: &mut Cx, from: &HostName, ack: Ack) {
        if let Some(helping) = self.prober.helped(ack.sequence, &ack.from) {
            return Self::relay_ack(cx, helping, ack);
        }
        let Some(waiting) = self.prober.answer(ack.sequence, &ack.from) else {
            return;
        };
        self.hear_answer(cx);
        let host = &ack.from.host;
        self.note_loads(cx.now, &ack.loads);
        self.learn(cx, ack.bulletin, from);
        self.hear_revision(cx, host, ack.proof.revision);
        self.configuration.witness(waiting.sent, ack.proof);
        let Some(entry) = self.members.find_life(&ack.from) else {
            return self.meet_successor_life(cx, &waiting.target);
        };
        let member = entry.member.clone();
        if member.state >= State::Suspect {
            self.tell_of_accusation(cx, &member);
        }
        self.see_view(cx, host, ack.view);
    }

    pub(super) fn asked_to_probe(&mut self, cx: &mut Cx, from: &HostName, request: ProbeRequest) {
        let Some(asker) = self.members.find(from) else {
            return;
        };
        let asker = (from.clone(), asker.member.fleet_address);
        if request.target == self.me.identity {
            return;
        }
        let mut target = self.me.clone();
        target.identity = request.target.clone();
        target.fleet_address = request.address;
        let sequence = self.prober.next_sequence();
        let helping = Helping::new(cx.now, asker, request.sequence, request.target);
        self.prober.help(sequence, helping);
        self.send_probe(cx, &target, sequence);
    }

    /// Returns a random fraction of `of`, so that hosts that start together don't
    /// act in step.
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
            bulletin: self.carry(cx.now, accusation),
            loads: self.carry_loads(cx.now),
        };
        cx.send(to, probe);
    }

    /// Probes the target again, directly and through other hosts, so that a
    /// broken path or a lost frame isn't mistaken for a dead host.
    fn ask_for_help(&mut self, cx: &mut Cx, sequence: u32, target: &Member) {
        self.prober.set_helped(sequence);
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
    /// The timeout leaves time for a response to the next probe, and the target
    /// is probed again in its turn. Without other members, and in a small fleet
    /// after a long time without a response, no such response is required.
    fn may_judge(&self, now: Duration, waiting: &Waiting) -> bool {
        let witnesses = self
            .members
            .reachable()
            .filter(|(_, it)| it.member.identity != waiting.target)
            .count();
        if witnesses == 0 || self.prober.answered > waiting.sent {
            return true;
        }
        let is_small = witnesses < SMALL;
        is_small && self.is_alone(now)
    }

    /// Records that a host responded. If this host was isolated until now, no
    /// other host believed its accusations, so it retracts those
    /// made in the meantime.
    fn hear_answer(&mut self, cx: &mut Cx) {
        let last = std::mem::replace(&mut self.prober.answered, cx.now);
        if cx.now.saturating_sub(last) <= self.tuning.alone_after {
            return;
        }
        for host in self.accused_since(last) {
            self.acquit(cx, &host);
        }
    }

    fn suspect(&mut self, cx: &mut Cx, member: Member) {
        if member.state >= State::Suspect {
            return;
        }
        let identity = member.identity.clone();
        self.judge(cx, member, State::Suspect);
        if let Some(entry) = self.members.find_life(&identity) {
            let member = entry.member.clone();
            self.tell_of_accusation(cx, &member);
        }
    }

    /// Sends an accusation to the accused host first, so that it can refute it.
    fn tell_of_accusation(&self, cx: &mut Cx, accused: &Member) {
        let bulletin = Bulletin {
            reach: self.stated_reach(cx.now),
            news: vec![News::Member(accused.clone())],
        };
        cx.send(accused, bulletin);
    }

    fn suspicion_time(&self) -> Duration {
        self.tuning.suspicion * self.log_size()
    }

    fn carry(&mut self, now: Duration, first: Option<Member>) -> Bulletin {
        let reach = self.stated_reach(now);
        let mut news = self.gossip.take_carried(self.tuning.news_bytes);
        news.extend(first.map(News::Member));
        Bulletin { reach, news }
    }

    fn carry_loads(&mut self, now: Duration) -> Vec<Load> {
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

    fn note_loads(&mut self, now: Duration, loads: &[Load]) {
        for load in loads {
            let at = now.saturating_sub(load.age);
            let level = load.level;
            self.members.note_load(&load.host, Level { level, at });
        }
    }

    /// Forwards the ack of an indirect probe with the requester's sequence number.
    fn relay_ack(cx: &mut Cx, helping: Helping, mut ack: Ack) {
        ack.sequence = helping.sequence;
        ack.bulletin.news.clear();
        ack.loads.clear();
        cx.push(crate::Action::Send {
            host: helping.host,
            address: helping.address,
            frame: ack.into(),
        });
    }

    /// Compares views with a host that responded as another incarnation than the
    /// probed one. The host sends its new record itself.
    fn meet_successor_life(&mut self, cx: &mut Cx, target: &Identity) {
        let Some(entry) = self.members.find(&target.host) else {
            return;
        };
        let (host, address) = (target.host.clone(), entry.member.fleet_address);
        self.introduce(cx, &host, address);
    }
}

impl Waiting {
    /// Returns when the probe next times out.
    fn due(&self, timeout: Duration) -> Duration {
        self.sent + if self.is_helped { timeout * 3 } else { timeout }
    }
}
