//! Distribution of the configuration: polling the table, and fetching newer
//! revisions from other hosts.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision};
use wire::{Age, AnnouncedRevision, Document, Fetch};

use crate::configuration::Fetching;
use crate::cx::Cx;
use crate::rendezvous::weight;
use crate::{Action, Fleet, Polled};

impl Fleet {
    /// Returns whether this host is one of those in its data centre that poll the
    /// table.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        let weight_of = |host: &HostName| weight("poll", 0_u8, host.as_str());
        let mine = weight_of(&self.me.identity.host);
        let ahead = self
            .members
            .alive()
            .filter(|it| it.data_centre == self.me.data_centre)
            .filter(|it| weight_of(&it.identity.host) > mine)
            .count();
        ahead < self.tuning.pollers
    }

    pub(super) fn poll_when_due(&mut self, cx: &mut Cx) {
        if cx.now < self.timers.poll {
            return;
        }
        let is_first = self.timers.poll.is_zero();
        self.timers.poll = cx.now + self.tuning.poll_every;
        if is_first {
            self.timers.poll = cx.now + self.jitter(self.tuning.poll_every);
            return cx.push(Action::Poll);
        }
        if self.is_poller() || self.is_isolated(cx.now) {
            return cx.push(Action::Poll);
        }
        self.poll_if_proof_is_old(cx);
    }

    pub(super) fn handle_polled(&mut self, cx: &mut Cx, polled: Polled) {
        let applied = self.configuration.apply_poll(polled);
        self.put_in_force(cx, applied);
    }

    pub(super) fn record_revision_holder(
        &mut self,
        cx: &mut Cx,
        host: &HostName,
        revision: Revision,
    ) {
        if self.configuration.record_holder(host, revision) {
            self.start_fetch(cx);
        }
    }

    pub(super) fn apply_revision(&mut self, cx: &mut Cx, announced: &AnnouncedRevision) {
        self.record_revision_holder(cx, &announced.holder.host, announced.revision);
    }

    pub(super) fn fetch_deadline(&self) -> Option<Duration> {
        let fetching = self.configuration.fetching.as_ref()?;
        Some(fetching.asked + self.tuning.fetch_timeout)
    }

    pub(super) fn fetch_when_due(&mut self, cx: &mut Cx) {
        if self.fetch_deadline().is_some_and(|it| it <= cx.now) {
            self.configuration.fetching = None;
            self.start_fetch(cx);
        }
    }

    pub(super) fn handle_fetch(&mut self, cx: &mut Cx, from: &HostName, fetch: &Fetch) {
        let Some(json) = self.configuration.json() else {
            return;
        };
        let Some(requester) = self.members.find(from) else {
            return;
        };
        if fetch.newer_than >= self.configuration.revision() {
            return;
        }
        let document = Document {
            sequence: fetch.sequence,
            revision: self.configuration.revision(),
            age: self.configuration.proof_age(cx.now).map(Age),
            json: json.to_vec(),
        };
        cx.send(&requester.member, document);
    }

    pub(super) fn handle_document(&mut self, cx: &mut Cx, document: Document) {
        let applied = self.configuration.apply_document(document);
        self.put_in_force(cx, applied);
    }

    /// Polls the table if this host's proof is old. Otherwise requests would be
    /// refused needlessly if all pollers of the data centre hang or lose their
    /// connection to the table. The interval is long, so that an outage of the
    /// table doesn't make all hosts poll it every second.
    fn poll_if_proof_is_old(&mut self, cx: &mut Cx) {
        let old = self.tuning.poll_when_older;
        if self.proof_age(cx.now).is_none_or(|it| it > old) {
            self.timers.poll = cx.now + old / 2 + self.jitter(old);
            cx.push(Action::Poll);
        }
    }

    fn start_fetch(&mut self, cx: &mut Cx) {
        if self.configuration.fetching.is_some() {
            return;
        }
        let Some(host) = self.configuration.next_holder() else {
            return;
        };
        let Some(entry) = self.members.find(&host) else {
            return;
        };
        let holder = entry.member.clone();
        let sequence = self.prober.next_sequence();
        let asked = cx.now;
        self.configuration.fetching = Some(Fetching { sequence, asked });
        let fetch = Fetch {
            sequence,
            from: self.me.identity.clone(),
            newer_than: self.configuration.revision(),
        };
        cx.send(&holder, fetch);
    }

    fn put_in_force(&mut self, cx: &mut Cx, applied: Option<Arc<[u8]>>) {
        let Some(json) = applied else { return };
        let revision = self.configuration.revision();
        cx.push(Action::Apply { revision, json });
        self.announce_revision();
        self.start_fetch(cx);
    }
}
