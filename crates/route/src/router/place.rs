//! Which endpoint an attempt goes to.

use std::time::Duration;

use kernel::{ServiceName, hash};
use rand::RngExt;

use super::{Placement, Router};
use crate::call::{Call, Lane};
use crate::directory::Endpoint;
use crate::endpoint::Key;
use crate::rollout::{Rollout, Side, Verdict};

/// Time to read the prompts that wait which weighs as much as all places taken.
const FULL_UNREAD: Duration = Duration::from_secs(1);
/// What another data centre weighs, in parts of an endpoint's places. Small: it costs
/// bytes between data centres, and nobody waits for them.
const FAR: f64 = 0.04;
/// What a cached beginning of the prompt weighs at most, in parts of an
/// endpoint's places.
const CACHED: f64 = 0.7;
/// What an endpoint's share of bad answers weighs.
const BAD: f64 = 2.0;
/// What is added by chance, so that hosts with the same reports don't all
/// choose the same endpoint.
const CHANCE: f64 = 0.03;
/// What the first moments of an endpoint weigh, while it is slow.
const COLD: f64 = 0.5;
/// What draws requests to the endpoint that is to be filled: more than anything
/// that could be said against it.
const FILL: f64 = 4.0;
/// The part of its places at which it is filled: all of them, as load would.
const FILLED: f64 = 1.0;
/// How many times its share of those places a host may fill: some hosts have few
/// requests, and what the others send is known late.
const FILL_SHARES: u32 = 3;
/// The longest prompt with which an endpoint is filled, in tokens. Longer ones take most
/// of the time that it reads.
const SHORT_TOKENS: u64 = 2_500;
/// The part of an endpoint's connections that hosts use together, in hundredths.
const CONNECTIONS_USED: u32 = 90;

/// How strict the choice is; each step takes what the one before leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Strictness {
    /// Neither tried before nor resting.
    Fresh,
    /// Not tried before.
    Rested,
    /// Any that takes work and hasn't refused this request.
    Any,
}

impl Router {
    /// Chooses the endpoint for the next attempt, or nothing where none takes work.
    pub fn place(&mut self, now: Duration, call: &mut Call) -> Option<Placement> {
        self.settle_side(call);
        let mut placed = self.place_on_side(now, call);
        if let Some(it) = &mut placed
            && self.fills(now, call) == Some(it.endpoint)
        {
            // The smallest model's answers are over before an endpoint fills up.
            call.cascade.escalate();
            it.model = call.model().cloned();
        }
        let is_running = self.is_running(call);
        if placed.is_some() || !is_running {
            return placed;
        }
        // The endpoints of the new release may not have started yet, and those
        // of either may be down: the other one is better than no answer.
        call.lane = call.lane.map(|it| Lane {
            side: it.side.other(),
            ..it
        });
        self.place_on_side(now, call)
    }

    fn place_on_side(&mut self, now: Duration, call: &Call) -> Option<Placement> {
        [Strictness::Fresh, Strictness::Rested, Strictness::Any]
            .into_iter()
            .find_map(|it| self.place_among(now, call, it))
    }

    /// Moves a request that is still under way off a release that was reverted
    /// since it came, or onto one that is complete. One that came before the order
    /// stays on the old release: the one that an earlier order brought in is old now.
    fn settle_side(&self, call: &mut Call) {
        call.lane = self.rollouts.get(&call.service).map(|it| {
            let revision = it.began_as();
            let chosen = call.lane.filter(|lane| lane.revision == revision);
            let side = match it.verdict {
                Verdict::Running => chosen.map_or(Side::Old, |lane| lane.side),
                Verdict::Complete => Side::New,
                Verdict::Reverted => Side::Old,
            };
            Lane { side, revision }
        });
    }

    fn is_running(&self, call: &Call) -> bool {
        let rollout = self.rollouts.get(&call.service);
        rollout.is_some_and(|it| it.verdict == Verdict::Running)
    }

    fn place_among(&mut self, now: Duration, call: &Call, strict: Strictness) -> Option<Placement> {
        let scored = self.score(now, call, strict);
        let candidates = scored.len();
        let (_, endpoint) = scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))?;
        let it = self.directory.get(endpoint)?;
        Some(Placement {
            endpoint,
            id: it.entry.id.clone(),
            address: it.entry.address,
            model: call.model().cloned(),
            side: call.side(),
            connections: self.connections(&call.service)?,
            candidates,
            used: self.directory.used_of(now, it),
            load_age: it.load.map(|(at, _)| now.saturating_sub(at)),
            listing_age: self.listed.map(|at| now.saturating_sub(at)),
        })
    }

    /// The endpoints that a request could go to, and what speaks against each.
    fn score(&mut self, now: Duration, call: &Call, strict: Strictness) -> Vec<(f64, Key)> {
        // What broke off together would meet again at the endpoint that all of it shares.
        // Where one request ends its endpoints, it would take the same others with it each
        // time, and nothing would tell them apart.
        let home = self.home(now, call, strict).filter(|_| !call.broke);
        let fill = self.fills(now, call);
        let rollout = self.rollouts.get(&call.service);
        let mut scored = Vec::new();
        for (key, it) in self.directory.of(&call.service) {
            if !allows(now, call, strict, rollout, it) || is_tried(call, strict, key) {
                continue;
            }
            let mut score = self.directory.used_of(now, it);
            score += it.unread.div_duration_f64(FULL_UNREAD);
            score += BAD * it.health.bad_share();
            score += CHANCE * self.rng.random::<f64>();
            if it.entry.data_centre != self.settings.data_centre {
                score += FAR;
            }
            if it.warmth.is_cold(now) {
                score += COLD;
            }
            if fill == Some(key) {
                score -= FILL;
            }
            if home == Some(key) {
                score -= CACHED * cached_part(call);
            }
            scored.push((score, key));
        }
        scored
    }

    /// The endpoint that has read the beginning of the prompt, if any has: every
    /// host sends requests that share it to the same one. Each model has its own:
    /// what one has read is of no use to another, and a request that goes on to a
    /// larger model does so at another endpoint than it came from.
    fn home(&self, now: Duration, call: &Call, strict: Strictness) -> Option<Key> {
        let (part, _) = call.shape.shared?;
        let model = call.cascade.model();
        let rollout = self.rollouts.get(&call.service);
        self.directory
            .of(&call.service)
            .filter(|(_, it)| allows(now, call, strict, rollout, it) && !it.warmth.is_cold(now))
            .map(|(key, it)| (hash::of(&(part, model, it.entry.id.as_str())), key))
            .max()
            .map(|it| it.1)
    }

    /// This host's part of the connections that an endpoint takes from all.
    fn connections(&self, service: &ServiceName) -> Option<u32> {
        let total = self.config.as_ref()?.service(service)?.max_connections;
        let used = total.saturating_mul(CONNECTIONS_USED) / 100;
        Some((used / self.hosts.max(1)).max(1))
    }

    /// The endpoint of a new release that is to be filled with this request. Every
    /// host takes its share of the places; long prompts would only hold up the others.
    /// What fills it is answered by the largest model: a stream that another model has
    /// begun would change its model midway, so it is left out.
    fn fills(&self, now: Duration, call: &Call) -> Option<Key> {
        if call.has_begun() {
            return None;
        }
        let key = self.filled(now, call)?;
        let it = self.directory.get(key)?;
        let share = it.entry.slots * FILL_SHARES / self.hosts;
        let has_room = self.directory.used_of(now, it) < FILLED && it.flights < share.max(1);
        (has_room && call.shape.prompt_tokens <= SHORT_TOKENS).then_some(key)
    }

    /// The endpoint of a new release that is being filled; every host chooses the same.
    pub(super) fn filled(&self, now: Duration, call: &Call) -> Option<Key> {
        let rollout = self.rollouts.get(&call.service)?;
        if call.side() != Some(Side::New) || !rollout.is_filling(now) {
            return None;
        }
        self.directory
            .of(&call.service)
            .filter(|(_, it)| allows(now, call, Strictness::Fresh, Some(rollout), it))
            // Whatever is in this host's share, the others would choose another one.
            .filter(|(_, it)| !it.warmth.is_cold(now))
            .max_by_key(|(_, it)| hash::of(it.entry.id.as_str()))
            .map(|it| it.0)
    }
}

fn allows(
    now: Duration,
    call: &Call,
    strict: Strictness,
    rollout: Option<&Rollout>,
    it: &Endpoint,
) -> bool {
    let fits = match (rollout, call.side()) {
        (Some(rollout), Some(side)) => rollout.fits(side, &it.entry.release),
        _ => true,
    };
    let is_open = it.takes_work() && it.wait(now).is_zero();
    fits && is_open && (strict > Strictness::Fresh || !it.health.is_resting(now))
}

/// Whether an endpoint had its turn with this request.
///
/// One that refused it isn't asked again: it is as full as it was a moment ago, and its
/// caller is told at once when to come back. It may also repeat its refusal late, where
/// the next answer is due; since a request has one name in all its attempts, that would
/// pass for the second attempt's, and "not run" be said of a request that runs.
fn is_tried(call: &Call, strict: Strictness, key: Key) -> bool {
    call.refused.contains(&key) || (strict < Strictness::Any && call.tried.contains(&key))
}

/// The part of the prompt that an endpoint may have read already.
fn cached_part(call: &Call) -> f64 {
    let tokens = call.shape.shared.map_or(0, |(_, tokens)| tokens);
    let number = |it: u64| u32::try_from(it).map_or(f64::from(u32::MAX), f64::from);
    (number(tokens) / number(call.shape.prompt_tokens.max(1))).min(1.0)
}
