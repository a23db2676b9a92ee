//! Cost of billing records in the ledger by numbers of hosts, records per second and held
//! records.

use std::fs;
use std::hint::black_box;

use kernel::SystemClock;
use ledger::measure::{Figures, Load, outage, run};

use crate::capacity::{Sample, Series};

/// Peak requests per second of the whole fleet at the target.
const FLEET_RATE: f64 = 1_800.0;
const HOSTS: [u32; 5] = [8, 32, 128, 330, 660];
const RATES: [u32; 4] = [50, 100, 200, 400];
const HELD: [u32; 4] = [2_500, 5_000, 10_000, 20_000];
const TARGET_HOSTS: f64 = 330.0;
/// Peak requests per second of a host if all hosts have equal shares.
const TARGET_RATE: f64 = FLEET_RATE / TARGET_HOSTS;
/// Default number of unwritten records at which a host refuses billable calls.
const TARGET_HELD: f64 = 40_000.0;
const RUNS: usize = 3;
const KIB: f64 = 1024.0;

pub(super) fn measure() -> Vec<Series> {
    let clock = SystemClock::new();
    let by_hosts = HOSTS.map(|hosts| {
        let size = f64::from(hosts);
        let load = Load {
            rate: FLEET_RATE / size,
            hosts: usize::try_from(hosts).unwrap_or(usize::MAX),
        };
        (size, [0; RUNS].map(|_| run(&clock, load)))
    });
    let by_rate = RATES.map(|rate| {
        let size = f64::from(rate);
        (
            size,
            [0; RUNS].map(|_| {
                run(
                    &clock,
                    Load {
                        rate: size,
                        hosts: 8,
                    },
                )
            }),
        )
    });
    let hosts = |name, unit, value| series(name, unit, "hosts", TARGET_HOSTS, &by_hosts, value);
    let rate =
        |name, unit, value| series(name, unit, "records/s a host", TARGET_RATE, &by_rate, value);
    vec![
        hosts(
            "ledger: transactions of the table, all hosts, at 1,800 records/s",
            "1/s",
            |it| it.fleet_writes_per_second,
        ),
        hosts(
            "ledger: messages of a host, at 1,800 records/s",
            "B/s",
            |it| it.bytes_per_second,
        ),
        rate("ledger: processor time a record", "us", |it| {
            it.processor.as_secs_f64() * 1e6
        }),
        rate("ledger: messages of a host", "B/s", |it| {
            it.bytes_per_second
        }),
        rate("ledger: bytes into the table", "B/s", |it| {
            it.table_bytes_per_second
        }),
        memory("ledger: memory of held records and as many copies", |it| {
            black_box(outage(it));
        }),
    ]
}

fn series(
    name: &str,
    unit: &'static str,
    size_unit: &'static str,
    target: f64,
    runs: &[(f64, [Figures; RUNS])],
    value: fn(&Figures) -> f64,
) -> Series {
    let samples = runs
        .iter()
        .map(|(size, runs)| Sample::of(*size, runs.iter().map(value).collect()));
    Series::new(name, unit, size_unit, target, samples.collect())
}

/// Measures the growth of this process's peak memory beyond its earlier peak while `hold`
/// allocates records. Each size runs once: a second run would reuse freed memory and show no
/// growth.
fn memory(name: &str, hold: impl Fn(usize)) -> Series {
    let samples = HELD.map(|size| {
        let before = peak_kib();
        hold(usize::try_from(size).unwrap_or(usize::MAX));
        Sample::of(f64::from(size), vec![(peak_kib() - before).max(0.0) / KIB])
    });
    Series::new(name, "MiB", "records", TARGET_HELD, samples.into())
}

fn peak_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}
