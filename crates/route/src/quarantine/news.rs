//! What hosts tell each other of ends of endpoints.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{HELD, Quarantine};
use crate::Print;
use crate::endpoint::Process;
use crate::rollout::Scope;

/// How often all requests that are held are told again: a host that was apart from the
/// others has missed them.
const RETELL: Duration = Duration::from_secs(5);
/// How long something is told after it was learned: in several tellings, since each may
/// be lost.
const FRESH: Duration = Duration::from_millis(1_200);
/// The most ends in one telling. Beyond that the newest count.
const MOST_ENDS: usize = 16;

/// What hosts tell each other of ends of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Ends.
    pub ends: Vec<EndNews>,
    /// Requests that are held.
    pub held: Vec<HeldNews>,
}

/// The end of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNews {
    /// Whose.
    pub process: Process,
    /// How long ago it was found.
    pub age: Duration,
    /// The requests that were under way there.
    pub suspects: Vec<Print>,
    /// Requests that an endpoint outlived.
    pub cleared: Vec<Print>,
}

/// A request that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNews {
    /// The request.
    pub print: Print,
    /// For how long it has been held.
    pub age: Duration,
    /// Whether the store has it.
    pub is_kept: bool,
}

impl News {
    /// Whether it tells nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.held.is_empty()
    }
}

impl Quarantine {
    /// What this host tells the others: what it has learned lately, or all that it holds
    /// and the newest ends.
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

    /// Takes what another host tells.
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

    /// Whether this host knows better than one that holds a request.
    fn is_cleared(&self, print: Print) -> bool {
        let found = self.found_under.get(&print).into_iter().flatten();
        let mut ends = found.filter_map(|it| self.ends.get(it));
        ends.any(|it| !it.accuses(print))
    }
}
