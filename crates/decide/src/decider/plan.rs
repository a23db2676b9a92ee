//! Creation of plans.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::choose::Ask;
use super::{Decider, Resort};
use crate::action::{Cause, Verdict};
use crate::arrival::Chat;
use crate::directory::Target;
use crate::forecast::Forecast;
use crate::monitor::Monitor;
use crate::number::float;
use crate::plan::{Plan, STEPS, Step};
use crate::planner::{Goal, Mix, plan};
use crate::plans::{Entry, Explore, Name};
use crate::policy::State;
use crate::refusal::Reason;
use crate::{Action, key, request};

/// Number of ratings from which a version needs little exploration.
const KNOWN: f64 = 300.0;

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
        let ask = Ask::new(now, &self.knowledge, request, chat);
        let entry = self.entry(now, &ask)?;
        if let Some(version) = entry.last_resort {
            self.tell(&ask, version, actions);
        }
        let usual = if self.random.random::<f64>() < entry.mix.share {
            entry.mix.cheap
        } else {
            entry.mix.good
        };
        let usual = self.with_trials(&ask, usual);
        if ask.steps < STEPS || !first {
            return Ok(usual);
        }
        Ok(self.with_probe(now, &ask, &entry, usual))
    }

    /// Replaces versions by those on trial, for the share of requests given by each roll-out.
    pub(super) fn with_trials(&mut self, ask: &Ask, plan: Plan) -> Plan {
        let policy = Arc::clone(&self.policy);
        let mut plan = plan;
        for rollout in &policy.rollouts {
            let version = rollout.version;
            let Some(State::Trial(share)) = policy.versions.get(version.index()).map(|it| it.state)
            else {
                continue;
            };
            let usable = self.may_take(ask.profile, ask.customer, Step::last(version));
            if !usable || self.random.random::<f64>() >= share {
                continue;
            }
            plan = match rollout.replaces {
                Some(old) => plan.replaced(old, version),
                None => Plan::of(&[Step::last(version)]),
            };
        }
        plan
    }

    /// Prepends a probe of a quarantined version if one is due, or else possibly an exploration of a
    /// version with few ratings. The caller doesn't get the responses of either.
    pub(super) fn with_probe(
        &mut self,
        now: Duration,
        ask: &Ask,
        entry: &Entry,
        plan: Plan,
    ) -> Plan {
        if self.health.has_quarantined() {
            let policy = Arc::clone(&self.policy);
            for version in policy.allowed(ask.profile, ask.customer) {
                let free = self.may_take(ask.profile, ask.customer, Step::probe(*version))
                    && !plan.uses(*version);
                let monitor = self.health.get_mut(*version);
                if free && monitor.is_some_and(|it| it.take_probe(now)) {
                    return plan.after(*version);
                }
            }
        }
        match entry.explore {
            Some(it) if self.random.random::<f64>() < it.share && !plan.uses(it.version) => {
                plan.after(it.version)
            }
            _ => plan,
        }
    }

    pub(super) fn entry(&mut self, now: Duration, ask: &Ask) -> Result<Entry, Reason> {
        let menu = self.plans.menu(ask.profile, ask.customer);
        let name = Name {
            profile: ask.profile,
            menu: menu.ok_or(Reason::NotAllowed)?,
            class: ask.class,
            steps: ask.steps,
        };
        if let Some(entry) = self.plans.get(now, self.knowledge.changes(), name) {
            return Ok(entry);
        }
        let entry = self.make_entry(now, ask)?;
        self.plans.insert(name, entry);
        Ok(entry)
    }

    pub(super) fn make_entry(&mut self, now: Duration, ask: &Ask) -> Result<Entry, Reason> {
        let healthy = self.forecasts(ask);
        let (usable, last_resort) = if healthy.is_empty() {
            let it = self.least_bad(ask)?;
            let resort = self.health.is_quarantined(it.version);
            (vec![it], resort.then_some(it.version))
        } else {
            (healthy, None)
        };
        let profile = &self.policy.profiles[ask.profile.index()];
        let goal = Goal {
            target: profile.target,
            cap: profile.cap.map_or(f64::MAX, |it| float(it.0)),
            steps: ask.steps,
            pinned: ask.pinned,
        };
        let mix = plan(&usable, &goal).ok_or(Reason::NoVersion)?;
        Ok(Entry {
            mix,
            explore: self.explore(&usable, &mix, &goal),
            last_resort,
            made: now,
            changes: self.knowledge.changes(),
        })
    }

    /// Returns the version to explore: among those that could improve the plan, the one with the
    /// fewest ratings.
    pub(super) fn explore(&self, usable: &[Forecast], mix: &Mix, goal: &Goal) -> Option<Explore> {
        let short = mix.quality < goal.target;
        let unused = usable
            .iter()
            .filter(|it| !mix.cheap.uses(it.version) && !mix.good.uses(it.version));
        // A version that costs more than the plan is useful only if the plan misses the target.
        let useful = unused.filter(|it| short || it.cost < mix.cost);
        let least = useful.min_by(|a, b| {
            let known = |it: &Forecast| it.ratings.min(KNOWN);
            let order = known(a).total_cmp(&known(b));
            order.then(a.cost.total_cmp(&b.cost))
        })?;
        let part = match least.ratings {
            few if few < 40.0 => 1.0,
            some if some < 120.0 => 0.5,
            many if many < KNOWN => 0.2,
            _ => 0.04,
        };
        // A version that is cheap compared with the plan is explored more often.
        let cheapness = (mix.cost / least.cost.max(1.0)).clamp(1.0, 6.0);
        Some(Explore {
            version: least.version,
            share: part * cheapness * self.tuning.explore_share,
        })
    }

    /// Returns forecasts for the healthy versions that have endpoints. Versions on trial are
    /// included only if there are no others.
    pub(super) fn forecasts(&mut self, ask: &Ask) -> Vec<Forecast> {
        let policy = Arc::clone(&self.policy);
        let allowed = policy.allowed(ask.profile, ask.customer).iter().copied();
        let state = |it: &key::Version| policy.versions.get(it.index()).map(|it| it.state);
        let usable = allowed
            .filter(|it| state(it).is_some_and(|it| it != State::Withdrawn))
            .filter(|it| !self.health.is_quarantined(*it))
            .filter(|it| !self.directory.is_empty(Target::Version(*it)));
        let (active, trial): (Vec<_>, Vec<_>) =
            usable.partition(|it| state(it) == Some(State::Active));
        let usable = if active.is_empty() { trial } else { active };
        let forecast = |it| self.knowledge.forecast(&policy, it, ask.class);
        usable.into_iter().map(forecast).collect()
    }

    /// Returns the best forecast among all permitted versions that have endpoints, including
    /// quarantined ones. Versions not quarantined for errors come first.
    pub(super) fn least_bad(&mut self, ask: &Ask) -> Result<Forecast, Reason> {
        let allowed = self.policy.allowed(ask.profile, ask.customer).iter();
        let permitted = allowed.filter(|it| self.policy.permits(ask.profile, ask.customer, **it));
        let permitted: Vec<_> = permitted.copied().collect();
        if permitted.is_empty() {
            return Err(Reason::NoVersion);
        }
        let reachable = permitted
            .into_iter()
            .filter(|it| !self.directory.is_empty(Target::Version(*it)));
        let reachable: Vec<_> = reachable.collect();
        let policy = Arc::clone(&self.policy);
        let forecast = |it| self.knowledge.forecast(&policy, it, ask.class);
        let forecasts: Vec<_> = reachable.into_iter().map(forecast).collect();
        forecasts
            .into_iter()
            .max_by(|a, b| {
                let order = self.answers(a.version).cmp(&self.answers(b.version));
                order.then(a.quality().total_cmp(&b.quality()))
            })
            .ok_or(Reason::NoEndpoint)
    }

    /// Returns whether the version isn't quarantined for errors.
    pub(super) fn answers(&self, version: key::Version) -> bool {
        let verdict = self.health.get(version).map(Monitor::verdict);
        verdict != Some(Verdict::Quarantined(Cause::Errors))
    }

    /// Reports that a customer has only a quarantined version left, unless that has been reported.
    pub(super) fn tell(&mut self, ask: &Ask, version: key::Version, actions: &mut Vec<Action>) {
        let resort = Resort {
            version,
            profile: ask.profile,
            customer: ask.customer,
        };
        if self.told.insert(resort) {
            actions.push(Action::LastResort {
                version,
                profile: ask.profile,
                customer: ask.customer,
            });
        }
    }
}
