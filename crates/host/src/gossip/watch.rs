//! Which of those who should be heard have fallen silent.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

/// How long a host may say nothing before it is asked whether it lives: two pieces
/// of its news, so that one lost datagram changes nothing.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long a host that contradicted isn't taken for silent again by this one: the
/// path between the two is broken, and others hear it.
const CONTRADICTED: Duration = Duration::from_secs(10);

/// Which of those who should be heard have fallen silent.
#[derive(Debug, Default)]
pub(super) struct Watch {
    expected: HashMap<HostName, Expected>,
}

#[derive(Clone, Copy, Debug)]
struct Expected {
    /// When it was heard last, or began to be expected.
    heard: Duration,
    /// When it was asked whether it lives, while no answer has come.
    asked: Option<Duration>,
    /// Until when nothing is concluded from its silence.
    spared: Duration,
}

impl Watch {
    /// Takes who tells this host from now on.
    pub(super) fn expect<'a>(&mut self, now: Duration, hosts: impl Iterator<Item = &'a HostName>) {
        let mut expected = HashMap::new();
        for it in hosts {
            let known = self.expected.get(it).copied();
            // It is told of the change as well, and speaks within one of its periods.
            let fresh = Expected {
                heard: now.saturating_sub(SILENCE / 2),
                asked: None,
                spared: Duration::ZERO,
            };
            expected.insert(it.clone(), known.unwrap_or(fresh));
        }
        self.expected = expected;
    }

    pub(super) fn hear(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.heard = it.heard.max(now);
        }
    }

    /// The hosts to ask; each is asked once until the answer is told.
    pub(super) fn suspects(&mut self, now: Duration) -> Vec<HostName> {
        let mut suspects = Vec::new();
        for (name, it) in &mut self.expected {
            if it.asked.is_none() && now >= it.heard + SILENCE && now >= it.spared {
                it.asked = Some(now);
                suspects.push(name.clone());
            }
        }
        suspects.sort_unstable();
        suspects
    }

    pub(super) fn answered(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.asked = None;
            it.heard = it.heard.max(now);
        }
    }

    /// Takes that a host didn't answer, and says what follows from it.
    pub(super) fn unanswered(&mut self, now: Duration, host: &HostName) -> Finding {
        /// Neighbours speak twice a second: one that lives did in this time before the
        /// question, or while an answer was waited for.
        const BEFORE: Duration = Duration::from_millis(200);
        let Some(it) = self.expected.get_mut(host) else {
            return Finding::Heard;
        };
        let Some(asked) = it.asked.take() else {
            return Finding::Heard;
        };
        if now < it.heard + SILENCE {
            return Finding::Heard;
        }
        let is_heard = |it: &Expected| it.heard + BEFORE > asked;
        if !self.expected.values().any(is_heard) {
            return Finding::Deaf;
        }
        Finding::Silent
    }

    /// Has nothing concluded from a host's silence for a while, after it was found.
    pub(super) fn spare(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.spared = now + CONTRADICTED;
        }
    }
}

/// What follows from a host's not answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// It was heard meanwhile, or isn't expected any more.
    Heard,
    /// It is silent, and others aren't.
    Silent,
    /// All are.
    Deaf,
}
