//! The choice of an endpoint for each attempt.
//!
//! Scores are in units of an endpoint's utilization; the lowest wins.

use std::time::Duration;

use kernel::{ServiceName, hash};
use rand::RngExt;

use super::{Exclusion, Leniency, Placement, Router, Score};
use crate::call::{Call, ReleaseAssignment};
use crate::directory::Endpoint;
use crate::endpoint::Key;
use crate::rollout::{Rollout, Side, Verdict};

/// The penalty for an endpoint in another data centre. Small: it costs bytes between data centres,
/// and nobody waits for them.
const REMOTE_PENALTY: f64 = 0.04;
/// The penalty per unit of an endpoint's error rate.
const ERROR_RATE_PENALTY: f64 = 2.0;
/// The range of the random term, which keeps hosts with the same information from all
/// choosing the same endpoint.
pub(super) const RANDOM_RANGE: f64 = 0.03;
/// The penalty for a cold endpoint.
const COLD_PENALTY: f64 = 0.5;
/// The bonus for the endpoint that is being filled. Larger than the usual penalties.
const FILL_BONUS: f64 = 4.0;
/// The utilization up to which an endpoint is filled. All of its slots, as load would fill them.
const FILL_UTILIZATION: f64 = 1.0;
/// The multiple of its share of the endpoint's slots that a host may fill. More than one, since
/// some hosts have few requests.
const FILL_SHARE_FACTOR: u32 = 3;
/// The longest prompt with which an endpoint is filled, in tokens. Longer ones would take up
/// most of its prefill time.
const MAX_FILL_PROMPT_TOKENS: u64 = 2_500;
/// The percentage of an endpoint's connection limit that all hosts together use.
const CONNECTIONS_PERCENT: u32 = 90;

impl Router {
    /// Chooses the endpoint for the next attempt. Returns `None` if there is no suitable one.
    pub fn place(&mut self, now: Duration, call: &mut Call) -> Option<Placement> {
        self.update_assignment(call);
        let mut placed = self.place_on_side(now, call);
        if let Some(it) = &mut placed
            && self.endpoint_to_fill(now, call) == Some(it.endpoint)
        {
            // Responses of the smallest model complete too soon to fill an endpoint.
            call.cascade.escalate();
            it.model = call.model().cloned();
        }
        let is_running = self.has_running_rollout(call);
        if placed.is_some() || !is_running {
            return placed;
        }
        // The new release's endpoints may not have started yet, and either release's may be
        // down. Using the other release is better than failing the request.
        call.switch_side();
        self.place_on_side(now, call)
    }

    /// Returns the eligible endpoints of the strictest leniency that has any, with their scores
    /// but for the random term.
    pub(super) fn candidates(
        &self,
        now: Duration,
        call: &Call,
    ) -> Option<(Leniency, Vec<(Score, Key)>)> {
        Leniency::ALL
            .into_iter()
            .map(|it| (it, self.score_endpoints(now, call, it)))
            .find(|(_, scored)| !scored.is_empty())
    }

    /// Updates the assigned release to the roll-out's current state: moves the request off a
    /// reverted release and onto a complete one. A request that arrived before the current
    /// order stays on the old release, even if an earlier order assigned it to the new one.
    pub(super) fn update_assignment(&self, call: &mut Call) {
        call.assignment = self.rollouts.get(&call.service).map(|it| {
            let revision = it.initial_revision();
            let chosen = call
                .assignment
                .filter(|assignment| assignment.revision == revision);
            let side = match it.verdict {
                Verdict::Running => chosen.map_or(Side::Old, |assignment| assignment.side),
                Verdict::Complete => Side::New,
                Verdict::Reverted => Side::Old,
            };
            ReleaseAssignment { side, revision }
        });
    }

    pub(super) fn has_running_rollout(&self, call: &Call) -> bool {
        let rollout = self.rollouts.get(&call.service);
        rollout.is_some_and(|it| it.verdict == Verdict::Running)
    }

    fn place_on_side(&mut self, now: Duration, call: &Call) -> Option<Placement> {
        let (_, mut scored) = self.candidates(now, call)?;
        for (score, _) in &mut scored {
            score.random = RANDOM_RANGE * self.rng.random::<f64>();
        }
        let candidates = scored.len();
        let by_score = |a: &(Score, Key), b: &(Score, Key)| a.0.total().total_cmp(&b.0.total());
        let (_, endpoint) = scored.into_iter().min_by(by_score)?;
        let it = self.directory.get(endpoint)?;
        Some(Placement {
            endpoint,
            id: it.entry.id.clone(),
            address: it.entry.address,
            model: call.model().cloned(),
            side: call.side(),
            connections: self.connections(&call.service)?,
            candidates,
            utilization: self.directory.endpoint_utilization(now, it),
            load_age: it.load.map(|(at, _)| now.saturating_sub(at)),
            listing_age: self.listing_time.map(|at| now.saturating_sub(at)),
        })
    }

    /// Returns whether an endpoint is certain to take another attempt of the request now. One with
    /// a limited rate isn't: another request may use this host's part of it first.
    pub(super) fn has_other_endpoint(&self, now: Duration, call: &Call) -> bool {
        let rollout = self.rollouts.get(&call.service);
        let is_open = |(key, it): (Key, &Endpoint)| {
            it.takes_work()
                && !rollout.is_some_and(|rollout| rollout.is_out_of_use(&it.entry.release))
                && it.wait(now).is_zero()
                && !it.is_rate_limited(now)
                && self.directory.has_room(now, it)
                && !call.refused.contains(&key)
        };
        self.directory.endpoints_of(&call.service).any(is_open)
    }

    /// Returns the eligible endpoints with their scores. The random term is zero.
    fn score_endpoints(&self, now: Duration, call: &Call, leniency: Leniency) -> Vec<(Score, Key)> {
        // Cache affinity is ignored after a broken connection. Otherwise requests that failed
        // together would be retried together, and a request that crashes endpoints couldn't be
        // told apart from the others that were in flight there.
        let affinity_endpoint = self
            .affinity_endpoint(now, call, leniency)
            .filter(|_| !call.connection_broke);
        let fill = self.endpoint_to_fill(now, call);
        let rollout = self.rollouts.get(&call.service);
        let prefill_weights = self.prefill_weights(call);
        let mut scored = Vec::new();
        for (key, it) in self.directory.endpoints_of(&call.service) {
            let exclusion = self.exclusion(now, call, leniency, rollout, (key, it));
            if exclusion.is_some() {
                continue;
            }
            let prefill = prefill_weights.terms(now, it);
            let mut score = Score {
                utilization: self.directory.endpoint_utilization(now, it),
                pending_prefill: prefill.pending,
                prefill: prefill.own,
                errors: ERROR_RATE_PENALTY * it.health.error_rate(),
                ..Score::default()
            };
            if it.entry.data_centre != self.settings.data_centre {
                score.remote = REMOTE_PENALTY;
            }
            if it.cold_start.is_cold(now) {
                score.cold = COLD_PENALTY;
            }
            if fill == Some(key) {
                score.fill = -FILL_BONUS;
            }
            if affinity_endpoint == Some(key) {
                score.cache = -prefill.cache_bonus * cached_fraction(call);
            }
            scored.push((score, key));
        }
        scored
    }

    /// Returns the endpoint that the shared prompt prefix has affinity to, by rendezvous
    /// hashing: all hosts prefer the same endpoint for the prefix. The hash includes the model,
    /// since models don't share caches.
    fn affinity_endpoint(&self, now: Duration, call: &Call, leniency: Leniency) -> Option<Key> {
        let (part_id, _) = call.profile.shared_prefix?;
        let model = call.cascade.model();
        let rollout = self.rollouts.get(&call.service);
        self.directory
            .endpoints_of(&call.service)
            .filter(|(_, it)| {
                is_candidate(now, call, leniency, rollout, it) && !it.is_rate_limited(now)
            })
            .map(|(key, it)| (hash::of(&(part_id, model, it.entry.id.as_str())), key))
            .max()
            .map(|it| it.1)
    }

    /// Returns this host's share of an endpoint's connection limit.
    pub(super) fn connections(&self, service: &ServiceName) -> Option<u32> {
        let total = self.config.as_ref()?.service(service)?.max_connections;
        let used = total.saturating_mul(CONNECTIONS_PERCENT) / 100;
        Some((used / self.live_hosts()).max(1))
    }

    /// Returns the endpoint of a new release to fill with this request, if the request is
    /// suitable and this host's share of the endpoint has room. Since the largest model
    /// handles such requests, streams that have started are excluded: they would change
    /// models midway.
    pub(super) fn endpoint_to_fill(&self, now: Duration, call: &Call) -> Option<Key> {
        if call.has_started() {
            return None;
        }
        let key = self.endpoint_being_filled(now, call)?;
        let it = self.directory.get(key)?;
        let share = it.entry.slots * FILL_SHARE_FACTOR / self.live_hosts();
        let has_room = self.directory.endpoint_utilization(now, it) < FILL_UTILIZATION
            && it.in_flight < share.max(1)
            && self.directory.has_room(now, it);
        (has_room && call.profile.prompt_tokens <= MAX_FILL_PROMPT_TOKENS).then_some(key)
    }

    /// Returns the endpoint of a new release that is being filled. All hosts choose the same.
    pub(super) fn endpoint_being_filled(&self, now: Duration, call: &Call) -> Option<Key> {
        let rollout = self.rollouts.get(&call.service)?;
        if call.side() != Some(Side::New) || !rollout.is_filling(now) {
            return None;
        }
        self.directory
            .endpoints_of(&call.service)
            .filter(|(_, it)| is_candidate(now, call, Leniency::Healthy, Some(rollout), it))
            // Rate-limited endpoints are excluded even if this host may use them, so that all
            // hosts choose the same.
            .filter(|(_, it)| !it.is_rate_limited(now))
            .max_by_key(|(_, it)| hash::of(it.entry.id.as_str()))
            .map(|it| it.0)
    }
}

fn is_candidate(
    now: Duration,
    call: &Call,
    leniency: Leniency,
    rollout: Option<&Rollout>,
    it: &Endpoint,
) -> bool {
    Exclusion::of_endpoint(now, call, leniency, rollout, it).is_none()
}

/// Returns the fraction of the prompt that an endpoint may have cached.
fn cached_fraction(call: &Call) -> f64 {
    let tokens = call.profile.shared_prefix.map_or(0, |(_, tokens)| tokens);
    let capped = |it: u64| u32::try_from(it).map_or(f64::from(u32::MAX), f64::from);
    (capped(tokens) / capped(call.profile.prompt_tokens.max(1))).min(1.0)
}
