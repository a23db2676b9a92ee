//! Runs the experiment and prints the report as tables or JSON.
//!
//! Usage: `cargo run --release -p experiment --example run -- [workload] [scenario]
//! [tuned|reported|SEED] [quick] [json]`.

use experiment::{Error, Options, Scenario, Seeds, Workload, run};

fn main() -> Result<(), Error> {
    let mut options = Options::default();
    let mut json = false;
    for word in std::env::args().skip(1) {
        match word.as_str() {
            "json" => json = true,
            "quick" => options.quick = true,
            "tuned" => options.seeds = Seeds::Tuned,
            "reported" => options.seeds = Seeds::Reported,
            word if Scenario::names().any(|it| it == word) => {
                options.scenario = Some(word.to_owned());
            }
            word => match word.parse() {
                Ok(seed) => options.seeds = Seeds::One(seed),
                Err(_) => options.workload = Some(Workload::named(word)?),
            },
        }
    }
    let report = run(&options)?;
    if json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
    } else {
        print!("{}", report.table());
    }
    Ok(())
}
