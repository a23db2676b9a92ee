//! Orders to engines to load and unload versions.

use std::time::Duration;

use config::{Document, RolloutState};
use decide::endpoint::Role;
use engine::{Order, Receipt, Wanted};
use http::Options;
use kernel::VersionId;
use ledger::lease::{self, Tuning};

use super::Actor;
use crate::event::Event;
use crate::service::endpoints::{Endpoint, Fencing};

/// Minimum interval between two orders to one engine for one version.
const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(5);

impl Actor {
    /// Sends the orders that are due.
    pub(super) async fn send_due_orders(&mut self) {
        let snapshot = self.cx.host.current_config.get();
        let mut engines = self.cx.endpoints.live();
        engines.retain(|it| matches!(it.role, Role::Engine(_)));
        engines.sort_by(|a, b| a.name.cmp(&b.name));
        for (idx, version, wanted) in due_orders(&snapshot.document, &engines) {
            self.send_order(&engines[idx], version, wanted).await;
        }
    }

    async fn send_order(&mut self, engine: &Endpoint, version: VersionId, wanted: Wanted) {
        let cx = &self.cx;
        let now = cx.host.now();
        let key = (engine.name.clone(), version.clone());
        let last_order = self.last_orders.get(&key);
        if last_order.is_some_and(|at| now.saturating_sub(*at) < MIN_ORDER_INTERVAL) {
            return;
        }
        let fencing_check = match engine.fencing {
            Fencing::Checks => lease::FencingCheck::Checks,
            Fencing::Ignores => lease::FencingCheck::Ignores,
        };
        // Check the lease immediately before sending: a holder that was frozen finds here that
        // its lease has expired.
        let Ok(fencing) = self.orders_lease.fencing_number(cx, fencing_check) else {
            return;
        };
        let order = Order {
            order: format!("{}-{version}-{fencing}", engine.name),
            fencing: fencing.0,
            version,
            wanted,
        };
        // Slower orders are aborted, so that the next holder knows when none of this holder's can
        // still arrive.
        let options = Options {
            total: Tuning::default().order_timeout,
            ..Options::default()
        };
        self.last_orders.insert(key, now);
        let cause = match cx.engine.order(&engine.target, &order, &options).await {
            Ok(Receipt::Taken) => return,
            Ok(Receipt::StaleFencing) => "stale fencing number".to_owned(),
            Err(failure) => failure.to_string(),
        };
        cx.host.log.emit(
            Event::OrderFailed,
            &[
                ("endpoint", &engine.name),
                ("version", &order.version),
                ("cause", &cause),
            ],
        );
    }
}

/// Returns the orders that bring the engines to the wanted state: the engine's index in
/// `engines`, the version and its wanted state.
fn due_orders(document: &Document, engines: &[Endpoint]) -> Vec<(usize, VersionId, Wanted)> {
    let mut due = Vec::new();
    for (id, version) in &document.versions {
        let targets = target_engines(document, id, version, engines);
        for (idx, engine) in engines.iter().enumerate() {
            let wanted = targets.contains(&idx);
            match (wanted, engine.has_loaded(id)) {
                (true, false) => due.push((idx, id.clone(), Wanted::Loaded)),
                // An active version stays loaded on an engine that isn't a target.
                (false, true) if !version.is_active() || is_aborted(document, id) => {
                    due.push((idx, id.clone(), Wanted::Unloaded));
                }
                _ => {}
            }
        }
    }
    due
}

/// Returns the indices of the engines that have to have a version loaded.
fn target_engines(
    document: &Document,
    id: &VersionId,
    version: &config::Version,
    engines: &[Endpoint],
) -> Vec<usize> {
    if !version.is_active() {
        return Vec::new();
    }
    let indices = |wanted: &dyn Fn(&Endpoint) -> bool| -> Vec<usize> {
        let all = engines.iter().enumerate();
        all.filter(|(_, it)| wanted(it))
            .map(|(idx, _)| idx)
            .collect()
    };
    let Some(rollout) = document.rollouts.get(id) else {
        return indices(&|it| it.may_load.contains(id));
    };
    let candidates = indices(&|it| it.may_load.contains(id) || it.has_loaded(&rollout.replaces));
    let share = match rollout.state {
        RolloutState::Aborted => return Vec::new(),
        RolloutState::Done => 1.0,
        // The engines that the next step needs load the version before that step.
        RolloutState::Running => {
            let next = rollout.steps.get(rollout.step + 1);
            next.copied().unwrap_or(1.0)
        }
        RolloutState::Paused => rollout.share(),
    };
    let count = engine_count(candidates.len(), share);
    candidates.into_iter().take(count).collect()
}

fn is_aborted(document: &Document, id: &VersionId) -> bool {
    let rollout = document.rollouts.get(id);
    rollout.is_some_and(|it| it.state == RolloutState::Aborted)
}

/// Returns the smallest number of engines, at least one if there are any, that is at least the
/// given share of `count`.
fn engine_count(count: usize, share: f64) -> usize {
    (1..=count)
        .find(|part| ratio(*part, count) >= share)
        .unwrap_or(count)
}

fn ratio(part: usize, count: usize) -> f64 {
    let float = |it: usize| f64::from(u32::try_from(it).unwrap_or(u32::MAX));
    float(part) / float(count)
}
