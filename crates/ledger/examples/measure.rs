//! Prints the ledger's cost per host: `cargo run --release -p ledger --example measure`.

use kernel::SystemClock;
use ledger::measure::{self, Load};

/// Size of a memory page in bytes.
const PAGE_BYTES: usize = 4096;
/// Number of records, and of remembered keys, whose memory is measured.
const COUNT: usize = 20_000;

fn main() {
    // Measures memory before anything else and frees nothing in between, because the allocator
    // would reuse freed memory and hide the growth.
    let held = print_growth("records and as many copies", || measure::outage(COUNT));
    let remembering = print_growth("remembered keys", || measure::remembering(COUNT));
    print_costs();
    drop((held, remembering));
}

fn print_growth<T>(what: &str, make: impl FnOnce() -> T) -> T {
    let before = resident();
    let result = make();
    let bytes = resident().saturating_sub(before);
    println!(
        "{COUNT} {what}: {} kB, {} bytes each",
        bytes / 1000,
        bytes / COUNT
    );
    result
}

fn print_costs() {
    let clock = SystemClock::new();
    println!("rate/s hosts  us/record  messages/s  bytes/s  writes/s  table B/s  fleet writes/s");
    for hosts in [8, 32, 110, 330] {
        for rate in [5.5, 50.0, 500.0] {
            let it = measure::run(&clock, Load { rate, hosts });
            println!(
                "{rate:6} {hosts:5} {:10.1} {:11.1} {:8.0} {:9.2} {:10.0} {:15.1}",
                it.processor.as_secs_f64() * 1e6,
                it.messages_per_second,
                it.bytes_per_second,
                it.writes_per_second,
                it.table_bytes_per_second,
                it.fleet_writes_per_second,
            );
        }
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|it| it.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}
