//! Cost and delays of membership, gossip updates and evidence, by number of hosts.

use fleet::measure::{Cost, Figures, Incident, incident, measure as measure_fleet};

use crate::capacity::{Sample, Series};

const SIZES: [usize; 6] = [8, 16, 32, 64, 128, 330];
const SECONDS: u64 = 60;
const SEEDS: [u64; 2] = [1, 2];
const TARGET: f64 = 330.0;
const INCIDENT_SIZES: [usize; 4] = [32, 64, 128, 330];
const INCIDENTS: [Incident; 5] = [
    Incident::Death,
    Incident::Restart,
    Incident::DataCentreLost,
    Incident::DataCentreCut,
    Incident::RegionCut,
];

pub(super) fn measure() -> Vec<Series> {
    let runs: Vec<Vec<Figures>> = SIZES
        .iter()
        .map(|hosts| {
            SEEDS
                .iter()
                .map(|seed| measure_fleet(*hosts, SECONDS, *seed))
                .collect()
        })
        .collect();
    let series = |name: &str, unit, value: fn(&Figures) -> f64| {
        let samples = runs.iter().map(|it| {
            let size = it.first().map_or(0, |it| it.hosts);
            Sample::of(to_f64(size), it.iter().map(value).collect())
        });
        Series::new(name, unit, "hosts", TARGET, samples.collect())
    };
    vec![
        series("fleet: bytes of the mean host", "B/s", |it| it.bytes_mean),
        series("fleet: bytes of the busiest host", "B/s", |it| it.bytes_max),
        series("fleet: frames sent", "1/s", |it| it.frames),
        series("fleet: processor time", "% core", |it| it.processor * 100.0),
        series("fleet: state", "B", |it| to_f64(it.state_bytes)),
        series("fleet: revision in force everywhere, at worst", "s", |it| {
            it.revision_max.as_secs_f64()
        }),
        series("fleet: age of proof, at worst", "s", |it| {
            it.proof_age_max.as_secs_f64()
        }),
        series("fleet: a dead host known everywhere, at worst", "s", |it| {
            it.detection_max.as_secs_f64()
        }),
        series("fleet: false deaths", "1", |it| to_f64(it.false_deaths)),
        series("fleet: reads of the table, all hosts", "1/s", |it| {
            it.table_reads
        }),
    ]
}

/// Measures the effects of each kind of failure by number of hosts.
pub(super) fn incidents() -> Vec<Series> {
    INCIDENTS.iter().flat_map(|it| costs(*it)).collect()
}

fn costs(kind: Incident) -> Vec<Series> {
    let runs: Vec<Vec<Cost>> = INCIDENT_SIZES
        .iter()
        .map(|hosts| {
            SEEDS
                .iter()
                .map(|seed| incident(*hosts, *seed, kind))
                .collect()
        })
        .collect();
    let series = |name: String, unit, value: fn(&Cost) -> f64| {
        let samples = runs.iter().map(|it| {
            let size = it.first().map_or(0, |it| it.hosts);
            Sample::of(to_f64(size), it.iter().map(value).collect())
        });
        Series::new(name, unit, "hosts", TARGET, samples.collect())
    };
    vec![
        series(
            format!("incident {kind}: bytes of the mean host"),
            "B",
            |it| it.bytes_mean,
        ),
        series(
            format!("incident {kind}: worst second of the mean host"),
            "B/s",
            |it| it.peak_mean,
        ),
        series(format!("incident {kind}: until all agree"), "s", |it| {
            it.settled.as_secs_f64()
        }),
        series(
            format!("incident {kind}: hosts wrongly declared"),
            "1",
            |it| to_f64(it.wrong),
        ),
    ]
}

fn to_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
