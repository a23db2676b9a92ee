//! The scripted changes and failures during the workload.

use std::time::Duration;

use async_std::task;
use error_stack::Report;
use serde_json::json;

use crate::demo::organisations::{self, BAD_VERSION, NEW_VERSION, OLD_VERSION, Setup};
use crate::error::Error;
use crate::reconcile::Withdrawal;
use crate::site::Site;

/// Index of the host that is killed.
const KILLED_HOST: usize = 1;

/// Rolls out a version, makes another one bad and withdraws it, and kills a host, each at a
/// fixed fraction of the workload's duration.
pub(crate) async fn run(
    site: &mut Site,
    setup: &Setup,
    length: Duration,
) -> Result<Withdrawal, Report<Error>> {
    let operator = site.operator();
    task::sleep(length.mul_f64(0.15)).await;
    println!("rolling out {NEW_VERSION} in place of {OLD_VERSION}");
    let rollout = json!({"replaces": OLD_VERSION, "steps": [0.1, 0.5, 1.0], "state": "running"});
    operator
        .put(&format!("rollouts/{NEW_VERSION}"), 0, &rollout)
        .await?;

    task::sleep(length.mul_f64(0.2)).await;
    println!("90 % of the responses of {BAD_VERSION} become bad from now on");
    for (_, data_centre) in organisations::HOSTS {
        let engine = format!("mid-{data_centre}");
        site.stand_ins
            .set_faults(&engine, &json!({"bad": {BAD_VERSION: 0.9}}))
            .await?;
    }

    task::sleep(length.mul_f64(0.15)).await;
    println!("withdrawing {BAD_VERSION}");
    let body = organisations::version_of(BAD_VERSION, "withdrawn");
    let read_at = setup.versions[BAD_VERSION];
    operator
        .put(&format!("versions/{BAD_VERSION}"), read_at, &body)
        .await?;
    let withdrawal = Withdrawal {
        version: BAD_VERSION.to_owned(),
        accepted_ms: u64::try_from(site.clock.wall().as_millis()).unwrap_or(u64::MAX),
    };

    task::sleep(length.mul_f64(0.15)).await;
    let entry = &mut site.entry_hosts[KILLED_HOST];
    println!("killing {}", entry.name);
    entry.process.kill();
    site.stand_ins
        .unregister(organisations::HOSTS[KILLED_HOST].0)
        .await?;
    Ok(withdrawal)
}
