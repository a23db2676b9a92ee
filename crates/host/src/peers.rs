//! What the other hosts told.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

use crate::message::News;

/// How long a host may be silent before callers are no longer sent to it: three
/// of its news, so that a lost datagram or two changes nothing.
const SILENCE: Duration = Duration::from_millis(1_600);

/// What the other hosts told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    heard: HashMap<HostName, Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Duration,
    news: News,
}

/// What is known of whether a host lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It was heard lately, and takes callers.
    Ready,
    /// It was heard lately, and takes none.
    Unready,
    /// It was heard once and not lately.
    Silent,
    /// It was never heard.
    Unknown,
}

impl Peers {
    pub(crate) fn hear(&mut self, now: Duration, host: HostName, news: News) {
        self.heard.insert(host, Heard { at: now, news });
    }

    pub(crate) fn life(&self, now: Duration, host: &HostName) -> Life {
        match self.heard.get(host) {
            None => Life::Unknown,
            Some(it) if now.saturating_sub(it.at) > SILENCE => Life::Silent,
            Some(it) if it.news.is_ready => Life::Ready,
            Some(_) => Life::Unready,
        }
    }

    /// How many live hosts have a name before this one.
    pub(crate) fn ready_before(&self, now: Duration, name: &HostName) -> usize {
        self.recent(now)
            .filter(|(host, it)| it.news.is_ready && *host < name)
            .count()
    }

    /// A host with a newer configuration than `version`.
    pub(crate) fn with_newer(&self, now: Duration, version: Option<u64>) -> Option<&HostName> {
        self.recent(now)
            .filter(|(_, it)| it.news.version > version)
            .max_by_key(|(_, it)| it.news.version)
            .map(|(host, _)| host)
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = (&HostName, &Heard)> {
        self.heard
            .iter()
            .filter(move |(_, it)| now.saturating_sub(it.at) <= SILENCE)
    }
}
