//! What the router knows of roll-outs.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{HostName, ServiceName, hash};

use super::{Router, SESSION_MARGIN};
use crate::Rollout;
use crate::call::{Call, Lane};
use crate::rollout::{self, Order, Scope};

/// What another host's news of roll-outs changed.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// Orders that weren't known.
    pub ordered: Vec<Order>,
    /// Roll-outs that have a verdict now.
    pub judged: Vec<Rollout>,
    /// Whether neighbours are to hear of it at once.
    pub is_news: bool,
}

/// How many former orders of a service are remembered.
const MOST_FORMER: usize = 8;

/// Whether an order is one of before that a store brought back which came back from a
/// copy: the row is as old as it was then, and what replaced it is only lost there.
fn is_restored(former: &HashMap<ServiceName, Vec<Order>>, order: &Order) -> bool {
    let former = former.get(&order.service).map_or(&[][..], Vec::as_slice);
    former.iter().any(|it| {
        let is_same = it.release == order.release && it.revision.version == order.revision.version;
        is_same && it.revision.era < order.revision.era
    })
}

impl Router {
    /// Takes an operator's order; an older one, or the same again, changes nothing.
    pub fn order(&mut self, order: Order, started: Duration) -> bool {
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            let is_older = known.order.revision >= order.revision;
            if is_older || is_restored(&self.former, &order) || known.renew(&order) {
                return false;
            }
            let former = self.former.entry(order.service.clone()).or_default();
            former.truncate(MOST_FORMER - 1);
            former.insert(0, known.order.clone());
        }
        let exposure = self.settings.exposure_share;
        let service = order.service.clone();
        self.rollouts
            .insert(service, Rollout::new(order, started, exposure, self.hosts));
        true
    }

    /// What this host tells the others of roll-outs.
    pub fn news(&mut self, now: Duration, scope: Scope) -> Vec<rollout::News> {
        let gap = self.settings.session_gap + SESSION_MARGIN;
        let mut news = Vec::with_capacity(self.rollouts.len());
        for rollout in self.rollouts.values_mut() {
            let held: Vec<u64> = self
                .sessions
                .others_than(now, &rollout.order.release, gap)
                .map(|it| hash::of(it.as_str()))
                .filter(|&it| rollout.is_contested(it))
                .collect();
            news.push(rollout.news(now, held.into_iter(), scope));
        }
        news
    }

    /// Takes what another host tells of roll-outs, and says what changed by it.
    pub fn hear(&mut self, now: Duration, host: &HostName, news: Vec<rollout::News>) -> Heard {
        let mut changed = Heard::default();
        for it in news {
            let started = now.saturating_sub(it.elapsed);
            if self.order(it.order.clone(), started) {
                changed.ordered.push(it.order.clone());
                changed.is_news = true;
            }
            if let Some(rollout) = self.rollouts.get_mut(&it.order.service)
                && rollout.order.revision == it.order.revision
            {
                let before = rollout.verdict;
                changed.is_news |= rollout.hear(now, host, &it);
                if rollout.verdict != before {
                    changed.judged.push(rollout.clone());
                }
            }
        }
        changed
    }

    /// The roll-outs, one a service at most.
    pub fn rollouts(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }

    /// The roll-out of a service.
    pub fn rollout(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// The release for a new request while a roll-out is under way.
    pub(super) fn lane(&self, now: Duration, call: &Call, number: u64) -> Option<Lane> {
        let rollout = self.rollouts.get(&call.service)?;
        let gap = self.settings.session_gap + SESSION_MARGIN;
        let session = call.shape.session.as_ref();
        let release = session.and_then(|it| self.sessions.release(now, it, gap));
        let side = match release {
            Some(release) => rollout.keep(now, release, number),
            None => rollout.side(now, number),
        };
        Some(Lane {
            side,
            revision: rollout.began_as(),
        })
    }
}
