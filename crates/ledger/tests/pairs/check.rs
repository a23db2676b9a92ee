//! Invariants that are checked after each run.

use std::collections::BTreeMap;

use kernel::Incarnation;
use ledger::RetryPolicy;

use super::Run;
use crate::sim::{Call, Reply, RunState, is_not_run};

/// The violations that the checks found, and counts.
#[derive(Debug, Default)]
pub(super) struct Report {
    pub(super) violations: Vec<String>,
    pub(super) responses: usize,
    /// Number of billing records lost because all hosts that held them died: two hosts, or one if
    /// no other host is known to hold a copy.
    pub(super) lost: usize,
}

pub(super) fn check(run: &Run) -> Report {
    let mut report = Report::default();
    runs_at_most_once(run, &mut report);
    billed_once(run, &mut report);
    not_run_is_true(run, &mut report);
    nothing_is_left(run, &mut report);
    report
}

fn runs_at_most_once(run: &Run, report: &mut Report) {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for execution in &run.world.executions {
        let call = &run.world.calls[&execution.request];
        if call.arrival.retry_policy == RetryPolicy::AtMostOnce {
            *counts.entry(&execution.key).or_default() += 1;
        }
    }
    let twice = counts.iter().filter(|(_, count)| **count > 1);
    report
        .violations
        .extend(twice.map(|(key, count)| format!("{key} ran {count} times")));
}

fn billed_once(run: &Run, report: &mut Report) {
    let bills = run.world.bills();
    for pair in bills.windows(2).filter(|pair| pair[0] == pair[1]) {
        report
            .violations
            .push(format!("{} is billed twice", pair[0]));
    }
    let answered = run
        .world
        .calls
        .values()
        .filter(|call| matches!(call.result, Some((_, Reply::Response))));
    for call in answered {
        report.responses += 1;
        if bills.iter().any(|bill| bills_call(bill, call)) {
            continue;
        }
        if is_lost_with_holders(run, call) {
            report.lost += 1;
        } else {
            let request = &call.arrival.request;
            report.violations.push(format!("{request} is not billed"));
        }
    }
    for bill in &bills {
        let ran = |key: &str| bill == key || bill.starts_with(&format!("{key}~"));
        let mut executions = run.world.executions.iter();
        if !executions.any(|it| ran(&it.key) || bill.ends_with(&format!("/{}", it.request))) {
            report.violations.push(format!("{bill} never ran"));
        }
    }
}

/// Whether all hosts that held the record of a call died.
fn is_lost_with_holders(run: &Run, call: &Call) -> bool {
    let hosts = &run.world.hosts;
    let holders = run.world.holders.of(|key| bills_call(key, call));
    let is_dead = |holder: &Incarnation| {
        let host = hosts.iter().find(|host| host.incarnation == *holder);
        host.is_some_and(|host| host.run_state == RunState::Killed)
    };
    if !holders.is_empty() {
        return holders.iter().all(is_dead);
    }
    // No host is known to hold the record, so it can only be lost with the host that ran the call.
    let request = call.arrival.request.as_str();
    let ran_for = |it: &&Call| {
        it.arrival.request.as_str() == request || it.relays.as_deref() == Some(request)
    };
    let mut ran = run.world.calls.values().filter(ran_for);
    ran.any(|it| it.permitted.is_some() && hosts[it.host].run_state == RunState::Killed)
}

fn bills_call(bill: &str, call: &Call) -> bool {
    if call.arrival.key.is_none() {
        return bill.ends_with(&format!("/{}", call.arrival.request));
    }
    let identity = call.identity();
    match call.arrival.retry_policy {
        RetryPolicy::Idempotent => bill == format!("{identity}~{}", call.arrival.fingerprint),
        RetryPolicy::AtMostOnce => bill == identity,
    }
}

/// A refusal may say "not run" only if no arrival of the key ran before, and no arrival permitted
/// before runs later.
fn not_run_is_true(run: &Run, report: &mut Report) {
    for call in run.world.calls.values() {
        let Some((at, reply)) = &call.result else {
            continue;
        };
        if !is_not_run(reply) {
            continue;
        }
        let key = call.identity();
        let ran = run.world.executions.iter().filter(|it| it.key == key);
        let false_by = ran
            .filter(|it| {
                let own = it.request == call.arrival.request.as_str();
                let permitted = run.world.calls[&it.request].permitted;
                own || permitted.is_some_and(|permitted| permitted < *at)
            })
            .map(|it| it.request.as_str());
        for other in false_by {
            let request = &call.arrival.request;
            report
                .violations
                .push(format!("{request} was refused as not run, but {other} ran"));
        }
    }
}

fn nothing_is_left(run: &Run, report: &mut Report) {
    for host in run
        .world
        .hosts
        .iter()
        .filter(|it| it.run_state == RunState::Running)
    {
        let status = host.ledger.status();
        if (status.held, status.copies) != (0, 0) {
            let name = &host.name;
            report
                .violations
                .push(format!("{name} still holds {status:?}"));
        }
    }
}
