//! Gossip updates on process exits and quarantined requests.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{HELD, Quarantine};
use crate::Print;
use crate::endpoint::Process;
use crate::rollout::Scope;

/// How often all quarantined requests are sent again, for hosts that missed them during a network
/// partition.
const RETELL: Duration = Duration::from_secs(5);
/// How long a change is sent: in several updates, because each may be lost.
const FRESH: Duration = Duration::from_millis(1_200);
/// Maximum number of exits in one update; the latest are sent.
const MOST_ENDS: usize = 16;

/// One host's update on process exits and quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Process exits.
    pub ends: Vec<EndNews>,
    /// Quarantined requests.
    pub held: Vec<HeldNews>,
}

/// The exit of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNews {
    /// The process.
    pub process: Process,
    /// How long ago it was detected.
    pub age: Duration,
    /// The requests in flight there.
    pub suspects: Vec<Print>,
    /// Requests that an endpoint survived.
    pub cleared: Vec<Print>,
}

/// A quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNews {
    /// The request.
    pub print: Print,
    /// How long it has been quarantined.
    pub age: Duration,
    /// Whether the store contains it.
    pub is_kept: bool,
}

impl News {
    /// Returns whether the update contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.held.is_empty()
    }
}

impl Quarantine {
    /// Builds an update for other hosts: recent changes, or all quarantined requests and the
    /// latest exits.
    pub fn news(&mut self, now: Duration, scope: Scope) -> News {
        self.age(now);
        let is_told = |at: Duration| scope == Scope::All || now.saturating_sub(at) <= FRESH;
        let mut ends: Vec<_> = self
            .ends
            .iter()
            .filter(|(_, it)| is_told(it.changed()))
            .collect();
        ends.sort_by_key(|(_, it)| Reverse(it.changed()));
        let ends = ends
            .into_iter()
            .take(MOST_ENDS)
            .map(|(process, it)| EndNews {
                process: *process,
                age: now.saturating_sub(it.at),
                suspects: it.suspects().collect(),
                cleared: it.cleared().collect(),
            });
        let retells = now.saturating_sub(self.retold) >= RETELL;
        if retells {
            self.retold = now;
        }
        let tells_all = retells || scope == Scope::All;
        let is_fresh = |at: Duration| now.saturating_sub(at) <= FRESH;
        let held = self.held.iter();
        let held = held.filter(|(_, it)| tells_all || is_fresh(it.changed));
        let held = held.map(|(print, it)| HeldNews {
            print: *print,
            age: now.saturating_sub(it.since),
            is_kept: it.is_kept,
        });
        News {
            ends: ends.collect(),
            held: held.collect(),
        }
    }

    /// Applies another host's update.
    pub fn hear(&mut self, now: Duration, news: &News) {
        self.age(now);
        for it in &news.ends {
            self.hear_end(now, it);
        }
        for it in &news.held {
            self.hear_held(now, it);
        }
    }

    fn hear_end(&mut self, now: Duration, news: &EndNews) {
        if news.age > HELD {
            return;
        }
        let mut is_news = !self.ends.contains_key(&news.process);
        if is_news {
            self.remember(now, news.process, now.saturating_sub(news.age));
        }
        for print in &news.cleared {
            if let Some(end) = self.ends.get_mut(&news.process)
                && end.clear(now, *print)
            {
                is_news = true;
                self.has_news = true;
                self.release(*print);
            }
        }
        for print in &news.suspects {
            is_news |= self.suspect(now, news.process, *print);
        }
        if is_news {
            self.judge(now, news.process);
        }
    }

    fn hear_held(&mut self, now: Duration, news: &HeldNews) {
        let is_known = self.held.contains_key(&news.print);
        if news.age < HELD && !is_known && !self.is_cleared(news.print) {
            self.hold(now, news.print, now.saturating_sub(news.age));
        }
        let is_kept = self.held.get(&news.print).is_some_and(|it| it.is_kept);
        if news.is_kept && !is_kept {
            self.keep(now, &[news.print]);
        }
    }

    /// Returns whether this host knows that a request quarantined elsewhere was cleared.
    fn is_cleared(&self, print: Print) -> bool {
        let found = self.found_under.get(&print).into_iter().flatten();
        let mut ends = found.filter_map(|it| self.ends.get(it));
        ends.any(|it| !it.accuses(print))
    }
}
