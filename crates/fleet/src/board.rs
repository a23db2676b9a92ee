//! The verdicts and the news of endpoints that count at present.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{HostName, VersionId};
use wire::{Endpoint, EndpointState, News, Verdict};

use crate::view::{View, bucket_of};

/// What is known of versions and endpoints.
#[derive(Default)]
pub(crate) struct Board {
    verdicts: BTreeMap<VersionId, Verdict>,
    endpoints: BTreeMap<HostName, Noted>,
}

/// An endpoint's latest news.
struct Noted {
    endpoint: Endpoint,
    at: Duration,
    /// Whether hosts still compare it; later the host list shows it anyway.
    is_compared: bool,
}

impl Board {
    /// The round that a new verdict on the version gets.
    pub(crate) fn next_round(&self, version: &VersionId) -> u64 {
        self.verdicts.get(version).map_or(1, |it| it.round + 1)
    }

    /// Whether the verdict is later than the known one. Of two that were made
    /// at once the stricter counts, so that a bad version stays away from callers.
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

    /// Whether the news of the endpoint is later than what is known.
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
        let noted = Noted {
            endpoint: news.clone(),
            at: now,
            is_compared: true,
        };
        self.endpoints.insert(news.host.clone(), noted);
        true
    }

    /// Stops comparing endpoints that were heard of long ago, and forgets
    /// those that ended before `gone_before`.
    pub(crate) fn age(&mut self, view: &mut View, before: Duration, gone_before: Duration) {
        for noted in self.endpoints.values_mut() {
            if noted.is_compared && noted.at < before {
                noted.is_compared = false;
                view.toggle_endpoint(&noted.endpoint);
            }
        }
        self.endpoints.retain(|_, it| {
            it.endpoint.state != EndpointState::Gone || it.at >= gone_before || it.is_compared
        });
    }

    /// What hosts compare of the buckets that `wanted` names.
    pub(crate) fn news(&self, wanted: impl Fn(u8) -> bool) -> Vec<News> {
        let verdicts = self
            .verdicts
            .values()
            .filter(|it| wanted(bucket_of(it.version.as_str())))
            .map(|it| News::Verdict(it.clone()));
        let endpoints = self
            .endpoints
            .values()
            .filter(|it| it.is_compared && wanted(bucket_of(it.endpoint.host.as_str())))
            .map(|it| News::Endpoint(it.endpoint.clone()));
        verdicts.chain(endpoints).collect()
    }

    /// An estimate of the memory that it takes.
    pub(crate) fn bytes(&self) -> usize {
        let verdict = size_of::<(VersionId, Verdict)>();
        let endpoint = size_of::<(HostName, Noted)>();
        let opaque: usize = self.verdicts.values().map(|it| it.evidence.len()).sum();
        self.verdicts.len() * verdict + self.endpoints.len() * endpoint + opaque
    }
}
