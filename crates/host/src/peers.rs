//! What the other hosts told, and what they told of each other.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{HostName, hash};
use serde::{Deserialize, Serialize};

use crate::talk;

/// How long a host may be silent before callers are no longer sent to it: three
/// of its news, so that a lost datagram or two changes nothing.
const SILENCE: Duration = Duration::from_millis(1_600);
/// What each further hop of news adds to that.
const HOP: Duration = Duration::from_millis(600);
/// The step in which heartbeats are told. They are rounded up, to a whole step
/// more at least: an age that shrank on its way would keep a dead host alive by
/// going round between the others.
const STEP: Duration = Duration::from_millis(100);
/// The most heartbeats in one piece of news. With seven pieces twice a second
/// each host still hears of each of 330 hosts more than once a second.
const MOST_TOLD: usize = 64;

/// What the other hosts told, and what they told of each other.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    heard: HashMap<u32, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Duration,
    is_ready: bool,
}

/// That a host was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Stands for the host's name, which is longer than all the rest.
    tag: u32,
    /// How long ago, in steps of 100 ms.
    steps: u8,
    is_ready: bool,
}

/// What is known of whether a host lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
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
    /// Takes what a host told of itself.
    pub fn hear(&mut self, now: Duration, host: &HostName, is_ready: bool) {
        self.heard.insert(tag(host), Heard { at: now, is_ready });
    }

    /// Takes what a host told of the others.
    pub fn hear_of(&mut self, now: Duration, heartbeats: &[Heartbeat]) {
        for it in heartbeats {
            let at = now.saturating_sub(STEP * u32::from(it.steps));
            let known = self.heard.entry(it.tag).or_insert(Heard {
                at,
                is_ready: it.is_ready,
            });
            if at > known.at {
                known.at = at;
                known.is_ready = it.is_ready;
            }
        }
    }

    /// What this host tells of the others: those that it heard last.
    #[must_use]
    pub fn heartbeats(&self, now: Duration) -> Vec<Heartbeat> {
        let mut recent: Vec<_> = self.recent(now).collect();
        recent.sort_by_key(|(tag, it)| (now.saturating_sub(it.at), *tag));
        recent.truncate(MOST_TOLD);
        let heartbeat = |(tag, it): (u32, &Heard)| {
            let steps = now.saturating_sub(it.at).as_millis() / STEP.as_millis() + 1;
            Heartbeat {
                tag,
                steps: u8::try_from(steps).unwrap_or(u8::MAX),
                is_ready: it.is_ready,
            }
        };
        recent.into_iter().map(heartbeat).collect()
    }

    /// Whether a host lives.
    #[must_use]
    pub fn sign(&self, now: Duration, host: &HostName) -> Sign {
        match self.heard.get(&tag(host)) {
            None => Sign::Unknown,
            Some(it) if now.saturating_sub(it.at) > self.silence() => Sign::Silent,
            Some(it) if it.is_ready => Sign::Ready,
            Some(_) => Sign::Unready,
        }
    }

    /// How many live hosts come before this one, in an order that every host
    /// knows. By hashes, since hosts with like names stand side by side.
    #[must_use]
    pub fn rank(&self, now: Duration, name: &HostName) -> usize {
        let own = tag(name);
        self.recent(now)
            .filter(|(tag, it)| it.is_ready && *tag < own)
            .count()
    }

    /// How many other hosts live, as far as this one hears.
    #[must_use]
    pub fn count(&self, now: Duration) -> usize {
        self.recent(now).count()
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = (u32, &Heard)> {
        let silence = self.silence();
        self.heard
            .iter()
            .filter(move |(_, it)| now.saturating_sub(it.at) <= silence)
            .map(|(tag, it)| (*tag, it))
    }

    /// How long a live host may not be heard of. Where news takes several hops
    /// to reach all, each adds to it.
    fn silence(&self) -> Duration {
        SILENCE + HOP * talk::hops(self.heard.len()).saturating_sub(1)
    }
}

fn tag(host: &HostName) -> u32 {
    // The lower half is as good as all of it.
    u32::try_from(hash::of(host.as_str()) & u64::from(u32::MAX)).unwrap_or_default()
}
