//! The core itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{DataCentre, HostName, Revision};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::{Document, Frame, Identity, Member, State};

use crate::{Action, Change, Event, Polled, Tuning, rendezvous};

/// This host's view of the fleet.
pub struct Fleet {
    me: Member,
    tuning: Tuning,
    _rng: Pcg64,
    members: BTreeMap<HostName, Member>,
    revision: Revision,
    json: Option<Arc<[u8]>>,
    proven: Option<Duration>,
    next_poll: Duration,
}

impl Fleet {
    /// A host that knows nobody but itself.
    #[must_use]
    pub fn new(me: Member, seed: u64, tuning: Tuning) -> Self {
        Self {
            me,
            tuning,
            _rng: Pcg64::seed_from_u64(seed),
            members: BTreeMap::new(),
            revision: Revision(0),
            json: None,
            proven: None,
            next_poll: Duration::ZERO,
        }
    }

    /// Takes in what happened and appends what to do.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Hosts(hosts) => self.find(hosts, actions),
            Event::Frame { from, frame } => self.receive(&from, frame, actions),
            Event::Polled(polled) => self.polled(polled, actions),
            Event::Leave => self.me.state = State::Leaving,
            Event::Endpoint(endpoint) => actions.push(Action::Endpoint(endpoint)),
            Event::PollFailed
            | Event::Evidence(_)
            | Event::Ruled(_)
            | Event::Load(_)
            | Event::Goodbye
            | Event::Fenced(_)
            | Event::Drain(_) => {}
        }
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.next_poll
    }

    /// This host's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All other members, whatever their state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The revision in force; zero when there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How old the last proof is that no newer revision was committed.
    #[must_use]
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|it| now.saturating_sub(it))
    }

    /// Whether a configuration is in force; without one no request is taken.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.json.is_some()
    }

    /// The member that holds copies of the records of `of`: in another data
    /// centre if there is one.
    #[must_use]
    pub fn partner(&self, of: &Identity) -> Option<&Member> {
        let home = self.find_member(&of.host).map(|it| &it.data_centre);
        self.members
            .values()
            .chain([&self.me])
            .filter(|it| it.identity.host != of.host && it.state == State::Alive)
            .max_by_key(|it| {
                let elsewhere = Some(&it.data_centre) != home;
                let weight = rendezvous::weight("partner", of, it.identity.host.as_str());
                (elsewhere, weight)
            })
    }

    /// The hosts that a caller in `data_centre` should use, in the order to try.
    #[must_use]
    pub fn handout(&mut self, _now: Duration, data_centre: &DataCentre) -> Vec<Member> {
        let mut hosts: Vec<_> = self
            .members
            .values()
            .chain([&self.me])
            .filter(|it| it.state == State::Alive)
            .cloned()
            .collect();
        hosts.sort_by_key(|it| it.data_centre != *data_centre);
        hosts
    }

    fn find_member(&self, host: &HostName) -> Option<&Member> {
        if self.me.identity.host == *host {
            return Some(&self.me);
        }
        self.members.get(host)
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.next_poll {
            self.next_poll = now + self.tuning.poll_every;
            actions.push(Action::Poll);
        }
    }

    fn find(&mut self, hosts: Vec<Member>, actions: &mut Vec<Action>) {
        for host in hosts {
            let name = host.identity.host.clone();
            if name == self.me.identity.host {
                continue;
            }
            if self.members.insert(name, host.clone()).is_none() {
                let before = None;
                actions.push(Action::Member(Change {
                    member: host,
                    before,
                }));
            }
        }
    }

    fn receive(&mut self, from: &HostName, frame: Frame, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(from) else {
            return;
        };
        match frame {
            Frame::Fetch(fetch) if fetch.newer_than < self.revision => {
                let Some(json) = &self.json else { return };
                actions.push(Action::Send {
                    host: from.clone(),
                    address: member.fleet_address,
                    frame: Frame::Document(Document {
                        sequence: fetch.sequence,
                        revision: self.revision,
                        age: None,
                        json: json.to_vec(),
                    }),
                });
            }
            Frame::Evidence(evidence) => actions.push(Action::Evidence(evidence.deltas)),
            _ => {}
        }
    }

    fn polled(&mut self, polled: Polled, actions: &mut Vec<Action>) {
        if polled.revision >= self.revision {
            self.proven = self.proven.max(Some(polled.asked));
        }
        let Some(json) = polled.json else { return };
        if polled.revision > self.revision {
            self.revision = polled.revision;
            self.json = Some(json.clone());
            actions.push(Action::Apply {
                revision: polled.revision,
                json,
            });
        }
    }
}
