//! The current verdicts on versions and states of endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{HostName, VersionId};
use wire::{Endpoint, EndpointState, GossipUpdate, Verdict};

use crate::view::{View, bucket_of};

/// The latest verdict on each version and the latest state of each endpoint.
#[derive(Default)]
pub(crate) struct Announcements {
    verdicts: BTreeMap<VersionId, Verdict>,
    endpoints: BTreeMap<HostName, EndpointEntry>,
}

/// The latest update on an endpoint.
struct EndpointEntry {
    endpoint: Endpoint,
    at: Duration,
    /// Whether it is part of view comparisons. Older updates aren't, as the host
    /// list covers them.
    is_compared: bool,
}

impl Announcements {
    /// Returns the round for a new verdict on the version.
    pub(crate) fn next_round(&self, version: &VersionId) -> u64 {
        self.verdicts.get(version).map_or(1, |it| it.round + 1)
    }

    /// Stores the verdict if it supersedes the known one; returns whether it did.
    /// Of two verdicts of the same round the stricter wins, so that callers don't
    /// reach a bad version.
    pub(crate) fn merge_verdict(&mut self, view: &mut View, news: &Verdict) -> bool {
        let rank = |it: &Verdict| (it.round, it.ruling, it.by.clone());
        let known = self.verdicts.get(&news.version);
        if known.is_some_and(|it| rank(it) >= rank(news)) {
            return false;
        }
        if let Some(known) = known {
            view.toggle_verdict(known);
        }
        view.toggle_verdict(news);
        self.verdicts.insert(news.version.clone(), news.clone());
        true
    }

    /// Stores the endpoint update if it is later than the known one; returns whether
    /// it was.
    pub(crate) fn merge_endpoint(
        &mut self,
        now: Duration,
        view: &mut View,
        news: &Endpoint,
    ) -> bool {
        let rank = |it: &Endpoint| (it.incarnation, it.state);
        let known = self.endpoints.get(&news.host);
        if known.is_some_and(|it| rank(&it.endpoint) >= rank(news)) {
            return false;
        }
        if let Some(known) = known.filter(|it| it.is_compared) {
            view.toggle_endpoint(&known.endpoint);
        }
        view.toggle_endpoint(news);
        let entry = EndpointEntry {
            endpoint: news.clone(),
            at: now,
            is_compared: true,
        };
        self.endpoints.insert(news.host.clone(), entry);
        true
    }

    /// Excludes endpoint updates received before `before` from view comparisons, and
    /// removes endpoints that have been gone since before `gone_before`.
    pub(crate) fn expire(&mut self, view: &mut View, before: Duration, gone_before: Duration) {
        for entry in self.endpoints.values_mut() {
            if entry.is_compared && entry.at < before {
                entry.is_compared = false;
                view.toggle_endpoint(&entry.endpoint);
            }
        }
        self.endpoints.retain(|_, it| {
            it.endpoint.state != EndpointState::Gone || it.at >= gone_before || it.is_compared
        });
    }

    /// Returns the compared records of the buckets for which `wanted` returns true.
    pub(crate) fn records(&self, wanted: impl Fn(u8) -> bool) -> Vec<GossipUpdate> {
        let verdicts = self
            .verdicts
            .values()
            .filter(|it| wanted(bucket_of(it.version.as_str())))
            .map(|it| GossipUpdate::Verdict(it.clone()));
        let endpoints = self
            .endpoints
            .values()
            .filter(|it| it.is_compared && wanted(bucket_of(it.endpoint.host.as_str())))
            .map(|it| GossipUpdate::Endpoint(it.endpoint.clone()));
        verdicts.chain(endpoints).collect()
    }

    /// Estimates the memory that the records take, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let verdict = size_of::<(VersionId, Verdict)>();
        let endpoint = size_of::<(HostName, EndpointEntry)>();
        let opaque: usize = self.verdicts.values().map(|it| it.evidence.len()).sum();
        self.verdicts.len() * verdict + self.endpoints.len() * endpoint + opaque
    }
}
