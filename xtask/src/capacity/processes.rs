//! Resource usage of idle `barleypind` processes, and the time until a configuration change is
//! in force on all of them, by number of hosts.

use std::time::{Duration, Instant};

use async_std::task;
use error_stack::Report;
use serde_json::json;

use crate::capacity::{Sample, Series};
use crate::error::Error;
use crate::load::{Usage, stand_ins};
use crate::site::{Binaries, Profile, Site};

const SIZES: [u32; 5] = [2, 4, 8, 12, 16];
const DATA_CENTRES: [&str; 4] = ["dar-1", "dar-2", "dar-3", "dar-4"];
const TARGET: f64 = 330.0;
/// Duration of the measurement of idle hosts.
const WATCH_TIME: Duration = Duration::from_secs(8);
const CHANGES: u64 = 5;
const POLL: Duration = Duration::from_millis(5);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// The measurements at one fleet size.
struct Figures {
    size: f64,
    cpu_percent: Vec<f64>,
    peak_mib: Vec<f64>,
    reads_per_s: f64,
    in_force_s: Vec<f64>,
}

pub(super) async fn measure() -> Result<Vec<Series>, Report<Error>> {
    let binaries = Binaries::build(Profile::Release)?;
    let mut all = Vec::new();
    for size in SIZES {
        all.push(measure_fleet(&binaries, size).await?);
    }
    let series = |name: &str, unit, value: fn(&Figures) -> Vec<f64>| {
        let samples = all.iter().map(|it| Sample::of(it.size, value(it)));
        Series::new(name, unit, "hosts", TARGET, samples.collect())
    };
    Ok(vec![
        series("process: processor time of an idle host", "% core", |it| {
            it.cpu_percent.clone()
        }),
        series("process: peak memory of an idle host", "MiB", |it| {
            it.peak_mib.clone()
        }),
        series("process: reads of the table, all hosts", "1/s", |it| {
            vec![it.reads_per_s]
        }),
        series("process: a change in force everywhere", "s", |it| {
            it.in_force_s.clone()
        }),
    ])
}

async fn measure_fleet(binaries: &Binaries, hosts: u32) -> Result<Figures, Report<Error>> {
    let mut site = Site::start(binaries.clone(), &stand_ins())?;
    for number in 0..hosts {
        let data_centre = DATA_CENTRES[usize::try_from(number).unwrap_or(0) % DATA_CENTRES.len()];
        site.add_host(&format!("entry-{number}"), data_centre)
            .await?;
    }
    site.wait_until_alive().await?;
    let version = json!({
        "prompt_microcents_per_million": 1, "completion_microcents_per_million": 1,
    });
    let mut revision = site.operator().put("versions/some@1", 0, &version).await?;
    site.wait_until_ready().await?;
    // The hosts discover each other before the measurement.
    task::sleep(WATCH_TIME / 2).await;
    let usage = |site: &Site| -> Result<Vec<Usage>, Report<Error>> {
        site.entry_hosts
            .iter()
            .map(|it| Usage::of(it.process.id()))
            .collect()
    };
    let (before, reads) = (usage(&site)?, site.stand_ins.table().await?.reads);
    task::sleep(WATCH_TIME).await;
    let (after, reads_after) = (usage(&site)?, site.stand_ins.table().await?.reads);
    let mut in_force_s = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        revision = site
            .operator()
            .put("versions/some@1", revision, &version)
            .await?;
        wait_for_revision(&site, revision).await?;
        in_force_s.push(start.elapsed().as_secs_f64());
    }
    let spent = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after.since(before));
    Ok(Figures {
        size: f64::from(hosts),
        cpu_percent: spent
            .map(|it| it.as_secs_f64() * 100.0 / WATCH_TIME.as_secs_f64())
            .collect(),
        peak_mib: after
            .iter()
            .map(|it| f64::from(u32::try_from(it.peak_kib).unwrap_or(u32::MAX)) / 1024.0)
            .collect(),
        reads_per_s: f64::from(u32::try_from(reads_after - reads).unwrap_or(u32::MAX))
            / WATCH_TIME.as_secs_f64(),
        in_force_s,
    })
}

/// Waits until every host has the revision or a newer one.
async fn wait_for_revision(site: &Site, revision: u64) -> Result<(), Report<Error>> {
    let operator = site.operator();
    let end = Instant::now() + CHANGE_TIMEOUT;
    for entry in &site.entry_hosts {
        loop {
            let document = operator.get(entry.operators, "document").await?;
            if document["revision"]
                .as_u64()
                .is_some_and(|it| it >= revision)
            {
                break;
            }
            if Instant::now() > end {
                return Err(Report::new(Error::Measurement)
                    .attach(format!("{} did not reach revision {revision}", entry.name)));
            }
            task::sleep(POLL).await;
        }
    }
    Ok(())
}
