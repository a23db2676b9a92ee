//! Conversion of the settings into the parameters of the cores and the HTTP servers.
//!
//! With default settings the parameters of the decider, the ledger and the fleet core equal their
//! own defaults, with which their tests run.

use config::Settings;

/// Returns the parameters of the decider.
#[must_use]
pub fn decide(settings: &Settings) -> decide::Tuning {
    let it = &settings.decide;
    decide::Tuning {
        host: settings.host.name.clone(),
        tick: it.tick,
        max_attempts: it.max_attempts,
        retry_share: it.retry_budget,
        sample_share: it.rating_share,
        explore_share: it.explore_share,
        ..decide::Tuning::default()
    }
}

/// Returns the parameters of the ledger.
#[must_use]
pub fn ledger(settings: &Settings) -> ledger::Tuning {
    let it = &settings.ledger;
    ledger::Tuning {
        flush_interval: it.batch,
        batch_records: it.batch_records,
        held_records: it.held_records,
        copy_timeout: it.partner,
        key_retention: it.remember,
        fence_after: it.fence_after,
        ..ledger::Tuning::default()
    }
}

/// Returns the parameters of the fleet core.
#[must_use]
pub fn fleet(settings: &Settings) -> fleet::Tuning {
    fleet::Tuning {
        poll_every: settings.freshness.poll,
        ..fleet::Tuning::default()
    }
}

pub(crate) fn http(settings: &Settings) -> http::Limits {
    let it = &settings.limits;
    http::Limits {
        head_timeout: it.header_time,
        body_timeout: it.body_time,
        idle_timeout: it.idle_time,
        max_body: it.max_body_bytes,
        max_connections: it.max_connections,
        ..http::Limits::default()
    }
}
