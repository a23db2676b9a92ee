//! What the settings mean to each core.
//!
//! A core's own defaults are those that its tests and measurements run with,
//! so a host without settings has to come out with the same ones.

use config::Settings;

/// How this host decides.
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

/// How this host keeps its billing records.
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

/// How this host keeps in touch with the others.
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
