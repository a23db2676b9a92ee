//! Explains where a request would go, without sending it.

use std::time::Duration;

use super::place::RANDOM_RANGE;
use super::{
    Assignment, Candidate, Excluded, Explanation, IncomingRequest, Leniency, Prospect, Router,
    Score,
};
use crate::call::{Call, Failure};
use crate::endpoint::Key;
use crate::rollout::Side;

/// The candidates of a request with their scores, and the filter that they passed.
type Candidates = (Leniency, Vec<(Score, Key)>);

impl Router {
    /// Explains where a request that arrived now would go. Changes nothing: later decisions and
    /// random numbers are the same with and without it.
    ///
    /// Only the first attempt is explained, and only what the router decides: the caller's
    /// connection may still refuse the request for want of memory or because the host shuts down.
    #[must_use]
    pub fn explain(&self, now: Duration, incoming: IncomingRequest<'_>) -> Explanation {
        let mut call = match self.resolve(now, incoming) {
            Ok(call) => call,
            Err(denial) => return Explanation::Denied(denial),
        };
        self.update_assignment(&mut call);
        let assigned = call.side();
        let (leniency, mut scored) = self.candidates_on_either_side(now, &mut call);
        scored.sort_by(|a, b| a.0.total().total_cmp(&b.0.total()));
        if let Some((_, first)) = scored.first()
            && call.side() == assigned
            && self.endpoint_to_fill(now, &call) == Some(*first)
        {
            call.cascade.escalate();
        }
        Explanation::Admitted(Box::new(Prospect {
            route: call.route.name.clone(),
            customer: call.customer.as_ref().map(|it| it.name.clone()),
            service: call.service.clone(),
            priority: self.request_priority(now, &call),
            model: call.model().cloned(),
            assignment: assigned.and_then(|it| self.explain_assignment(now, &call, it)),
            reach: self.reach(),
            leniency,
            random_range: RANDOM_RANGE,
            candidates: self.explain_candidates(now, &scored),
            excluded: self.explain_exclusions(now, &call, leniency),
            retry_after: self.retry_after(now, &call, &scored),
            connections: self.connections(&call.service),
            live_hosts: self.live_hosts(),
            retries_left: self.retries_left(now, &call),
            config: self.version(),
            listing_age: self.listing_time.map(|at| now.saturating_sub(at)),
        }))
    }

    /// Returns the candidates of the request's side or, if there are none, of the other side of a
    /// running roll-out, like [`Router::place`].
    fn candidates_on_either_side(&self, now: Duration, call: &mut Call) -> Candidates {
        let mut found = self.candidates(now, call);
        if found.is_none() && self.has_running_rollout(call) {
            call.switch_side();
            found = self.candidates(now, call);
        }
        found.unwrap_or((Leniency::Any, Vec::new()))
    }

    fn explain_assignment(&self, now: Duration, call: &Call, side: Side) -> Option<Assignment> {
        let rollout = self.rollouts.get(&call.service)?;
        Some(Assignment {
            side,
            used: call.side()?,
            release: rollout.order.release.clone(),
            verdict: rollout.verdict,
            share: rollout.share(now),
        })
    }

    fn explain_candidates(&self, now: Duration, scored: &[(Score, Key)]) -> Vec<Candidate> {
        let lowest = scored.first().map_or(0.0, |it| it.0.total());
        let explain = |(score, key): &(Score, Key)| {
            let it = self.directory.get(*key)?;
            Some(Candidate {
                id: it.entry.id.clone(),
                address: it.entry.address,
                data_centre: it.entry.data_centre.clone(),
                release: it.entry.release.clone(),
                score: *score,
                total: score.total(),
                may_be_chosen: score.total() - lowest <= RANDOM_RANGE,
                utilization: self.directory.endpoint_utilization(now, it),
                load_age: it.load.map(|(at, _)| now.saturating_sub(at)),
                in_flight: it.in_flight,
                slots: it.entry.slots,
                rate_limit: it.rate_limit.rate(),
            })
        };
        scored.iter().filter_map(explain).collect()
    }

    fn explain_exclusions(&self, now: Duration, call: &Call, leniency: Leniency) -> Vec<Excluded> {
        let rollout = self.rollouts.get(&call.service);
        let endpoints = self.directory.endpoints_of(&call.service);
        let explain = |(key, it)| {
            let reason = self.exclusion(now, call, leniency, rollout, (key, it))?;
            Some(Excluded {
                id: it.entry.id.clone(),
                address: it.entry.address,
                data_centre: it.entry.data_centre.clone(),
                release: it.entry.release.clone(),
                reason,
            })
        };
        let mut excluded: Vec<_> = endpoints.filter_map(explain).collect();
        excluded.sort_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
        excluded
    }

    fn retry_after(&self, now: Duration, call: &Call, scored: &[(Score, Key)]) -> Option<Duration> {
        match self.unplaced_failure(now, call) {
            Failure::NotRun { retry_after } if scored.is_empty() => Some(retry_after),
            _ => None,
        }
    }

    fn retries_left(&self, now: Duration, call: &Call) -> Option<f64> {
        let budget = self.budgets.get(&call.service)?;
        Some(budget.remaining(now, self.budget_hosts()))
    }
}
