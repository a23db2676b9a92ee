//! Creation of plans.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::choose::PlanInput;
use super::{Decider, LastResortKey};
use crate::action::{Cause, Verdict};
use crate::arrival::Chat;
use crate::directory::Target;
use crate::forecast::Forecast;
use crate::monitor::Monitor;
use crate::number::float;
use crate::plan::{Plan, STEPS, Step};
use crate::plan_cache::{CachedPlan, Exploration, PlanKey};
use crate::planner::{Goal, Mix, find_cheapest_mix};
use crate::policy::State;
use crate::refusal::Reason;
use crate::{Action, key, request};

/// Number of ratings from which a version needs little exploration.
const WELL_KNOWN_RATINGS: f64 = 300.0;

impl Decider {
    /// Returns the plan for a request: the optimal plan, possibly changed by a roll-out, a probe or
    /// an exploration.
    pub(super) fn plan(
        &mut self,
        now: Duration,
        key: request::Key,
        chat: &Chat,
        actions: &mut Vec<Action>,
    ) -> Result<Plan, Reason> {
        let request = &self.requests[key];
        let first = request.plan.steps().is_empty();
        let input = PlanInput::new(now, &self.knowledge, request, chat);
        let entry = self.cached_plan(now, &input)?;
        if let Some(version) = entry.last_resort {
            self.report_last_resort(&input, version, actions);
        }
        let usual = if self.rng.random::<f64>() < entry.mix.share {
            entry.mix.cheap
        } else {
            entry.mix.good
        };
        let usual = self.with_trials(&input, usual);
        if input.max_steps < STEPS || !first {
            return Ok(usual);
        }
        Ok(self.with_probe(now, &input, &entry, usual))
    }

    /// Replaces versions by those on trial, for the share of requests given by each roll-out. A
    /// roll-out that replaces no version replaces the whole plan.
    pub(super) fn with_trials(&mut self, input: &PlanInput, plan: Plan) -> Plan {
        let policy = Arc::clone(&self.policy);
        let mut plan = plan;
        for rollout in &policy.rollouts {
            let version = rollout.version;
            let Some(State::Trial(share)) = policy.versions.get(version.index()).map(|it| it.state)
            else {
                continue;
            };
            let usable = self.may_use(input.profile, input.customer, Step::last(version));
            if !usable || self.rng.random::<f64>() >= share {
                continue;
            }
            plan = match rollout.replaces {
                Some(old) => plan.with_version_replaced(old, version),
                None => Plan::new(&[Step::last(version)]),
            };
        }
        plan
    }

    /// Prepends a probe of a quarantined version if one is due, or else possibly an exploration of
    /// a version outside the plan. The response doesn't end the plan. The caller gets it only if the
    /// version isn't quarantined when it responds, and no later step responds.
    pub(super) fn with_probe(
        &mut self,
        now: Duration,
        input: &PlanInput,
        entry: &CachedPlan,
        plan: Plan,
    ) -> Plan {
        if self.health.has_quarantined() {
            let policy = Arc::clone(&self.policy);
            for version in policy.allowed(input.profile, input.customer) {
                let free = self.may_use(input.profile, input.customer, Step::probe(*version))
                    && !plan.uses(*version);
                let monitor = self.health.get_mut(*version);
                if free && monitor.is_some_and(|it| it.take_probe(now)) {
                    return plan.preceded_by_probe(*version);
                }
            }
        }
        match entry.explore {
            Some(it) if self.rng.random::<f64>() < it.share && !plan.uses(it.version) => {
                plan.preceded_by_probe(it.version)
            }
            _ => plan,
        }
    }

    pub(super) fn cached_plan(
        &mut self,
        now: Duration,
        input: &PlanInput,
    ) -> Result<CachedPlan, Reason> {
        let version_set = self.plans.version_set(input.profile, input.customer);
        let key = PlanKey {
            profile: input.profile,
            version_set: version_set.ok_or(Reason::NotAllowed)?,
            class: input.class,
            steps: input.max_steps,
        };
        if let Some(entry) = self.plans.get(now, self.knowledge.revision(), key) {
            return Ok(entry);
        }
        let entry = self.build_cached_plan(now, input)?;
        self.plans.insert(key, entry);
        Ok(entry)
    }

    pub(super) fn build_cached_plan(
        &mut self,
        now: Duration,
        input: &PlanInput,
    ) -> Result<CachedPlan, Reason> {
        let healthy = self.forecasts(input);
        let (usable, last_resort) = if healthy.is_empty() {
            let it = self.fallback_forecast(input)?;
            let is_last_resort = self.health.is_quarantined(it.version);
            (vec![it], is_last_resort.then_some(it.version))
        } else {
            (healthy, None)
        };
        let profile = &self.policy.profiles[input.profile.index()];
        let goal = Goal {
            target: profile.target,
            cap: profile.cap.map_or(f64::MAX, |it| float(it.0)),
            steps: input.max_steps,
            pinned_share: input.pinned_share,
        };
        let mix = find_cheapest_mix(&usable, &goal).ok_or(Reason::NoVersion)?;
        Ok(CachedPlan {
            mix,
            explore: self.exploration(&usable, &mix, &goal),
            last_resort,
            made_at: now,
            knowledge_revision: self.knowledge.revision(),
        })
    }

    /// Returns the version to explore: the one with the fewest ratings of the versions outside the
    /// plan that cost less than the plan, or of all outside it if the plan misses the target.
    pub(super) fn exploration(
        &self,
        usable: &[Forecast],
        mix: &Mix,
        goal: &Goal,
    ) -> Option<Exploration> {
        let short = mix.quality < goal.target;
        let unused = usable
            .iter()
            .filter(|it| !mix.cheap.uses(it.version) && !mix.good.uses(it.version));
        // A version that costs more than the plan is useful only if the plan misses the target.
        let useful = unused.filter(|it| short || it.cost < mix.cost);
        let least = useful.min_by(|a, b| {
            let known = |it: &Forecast| it.ratings.min(WELL_KNOWN_RATINGS);
            let order = known(a).total_cmp(&known(b));
            order.then(a.cost.total_cmp(&b.cost))
        })?;
        let part = match least.ratings {
            few if few < 40.0 => 1.0,
            some if some < 120.0 => 0.5,
            many if many < WELL_KNOWN_RATINGS => 0.2,
            _ => 0.04,
        };
        // A version that is cheap compared with the plan is explored more often.
        let cheapness = (mix.cost / least.cost.max(1.0)).clamp(1.0, 6.0);
        Some(Exploration {
            version: least.version,
            share: part * cheapness * self.tuning.explore_share,
        })
    }

    /// Returns forecasts for the healthy versions that have endpoints. Versions on trial are
    /// included only if there are no others.
    pub(super) fn forecasts(&mut self, input: &PlanInput) -> Vec<Forecast> {
        let policy = Arc::clone(&self.policy);
        let allowed = policy
            .allowed(input.profile, input.customer)
            .iter()
            .copied();
        let state = |it: &key::Version| policy.versions.get(it.index()).map(|it| it.state);
        let usable = allowed
            .filter(|it| state(it).is_some_and(|it| it != State::Withdrawn))
            .filter(|it| !self.health.is_quarantined(*it))
            .filter(|it| !self.directory.is_empty(Target::Version(*it)));
        let (active, trial): (Vec<_>, Vec<_>) =
            usable.partition(|it| state(it) == Some(State::Active));
        let usable = if active.is_empty() { trial } else { active };
        let forecast = |it| self.knowledge.forecast(&policy, it, input.class);
        usable.into_iter().map(forecast).collect()
    }

    /// Returns the best forecast among all permitted versions that have endpoints, including
    /// quarantined ones. Versions not quarantined for errors come first.
    pub(super) fn fallback_forecast(&mut self, input: &PlanInput) -> Result<Forecast, Reason> {
        let allowed = self.policy.allowed(input.profile, input.customer).iter();
        let permitted =
            allowed.filter(|it| self.policy.permits(input.profile, input.customer, **it));
        let permitted: Vec<_> = permitted.copied().collect();
        if permitted.is_empty() {
            return Err(Reason::NoVersion);
        }
        let reachable = permitted
            .into_iter()
            .filter(|it| !self.directory.is_empty(Target::Version(*it)));
        let reachable: Vec<_> = reachable.collect();
        let policy = Arc::clone(&self.policy);
        let forecast = |it| self.knowledge.forecast(&policy, it, input.class);
        let forecasts: Vec<_> = reachable.into_iter().map(forecast).collect();
        forecasts
            .into_iter()
            .max_by(|a, b| {
                let order = self
                    .is_not_quarantined_for_errors(a.version)
                    .cmp(&self.is_not_quarantined_for_errors(b.version));
                order.then(a.quality().total_cmp(&b.quality()))
            })
            .ok_or(Reason::NoEndpoint)
    }

    pub(super) fn is_not_quarantined_for_errors(&self, version: key::Version) -> bool {
        let verdict = self.health.get(version).map(Monitor::verdict);
        verdict != Some(Verdict::Quarantined(Cause::Errors))
    }

    /// Reports that a customer has only a quarantined version left, unless that has been reported.
    pub(super) fn report_last_resort(
        &mut self,
        input: &PlanInput,
        version: key::Version,
        actions: &mut Vec<Action>,
    ) {
        let last_resort = LastResortKey {
            version,
            profile: input.profile,
            customer: input.customer,
        };
        if self.reported_last_resorts.insert(last_resort) {
            actions.push(Action::LastResort {
                version,
                profile: input.profile,
                customer: input.customer,
            });
        }
    }
}
