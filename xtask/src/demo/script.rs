//! The scripted changes and failures during the workload.

use std::time::Duration;

use async_std::task;
use error_stack::Report;
use serde_json::json;

use crate::demo::organisations::{self, BAD, NEW, OLD, Setup};
use crate::error::Error;
use crate::reconcile::Withdrawal;
use crate::site::Site;

/// Index of the host that is killed.
const KILLED: usize = 1;

/// Rolls out a version, makes another one bad and withdraws it, and kills a host, each at a
/// fixed fraction of the workload's duration.
pub(crate) async fn play(
    site: &mut Site,
    setup: &Setup,
    length: Duration,
) -> Result<Withdrawal, Report<Error>> {
    let operator = site.operator();
    task::sleep(length.mul_f64(0.15)).await;
    println!("rolling out {NEW} in place of {OLD}");
    let rollout = json!({"replaces": OLD, "steps": [0.1, 0.5, 1.0], "state": "running"});
    operator
        .put(&format!("rollouts/{NEW}"), 0, &rollout)
        .await?;

    task::sleep(length.mul_f64(0.2)).await;
    println!("{BAD} turns bad");
    for (_, centre) in organisations::HOSTS {
        let engine = format!("mid-{centre}");
        site.stand_ins
            .fault(&engine, &json!({"bad": {BAD: 0.9}}))
            .await?;
    }

    task::sleep(length.mul_f64(0.15)).await;
    println!("withdrawing {BAD}");
    let body = organisations::version_of(BAD, "withdrawn");
    let read_at = setup.versions[BAD];
    operator
        .put(&format!("versions/{BAD}"), read_at, &body)
        .await?;
    let withdrawal = Withdrawal {
        version: BAD.to_owned(),
        accepted_ms: u64::try_from(site.clock.wall().as_millis()).unwrap_or(u64::MAX),
    };

    task::sleep(length.mul_f64(0.15)).await;
    let entry = &mut site.entries[KILLED];
    println!("killing {}", entry.name);
    entry.process.kill();
    site.stand_ins
        .unregister(organisations::HOSTS[KILLED].0)
        .await?;
    Ok(withdrawal)
}
