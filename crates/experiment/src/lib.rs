//! Runs the decision core and baseline routers against simulated callers, endpoints and a simulated
//! rating service, on a virtual clock.
//!
//! See `docs/design/experiment.md` for the figures and the method, and `docs/scenarios.md` for the
//! scenario language.

mod arrival;
mod attempt;
mod configuration;
mod endpoint;
mod error;
mod ground_truth;
mod keyed_rng;
mod options;
mod plan;
mod queue;
mod rating_service;
mod record;
mod report;
mod router;
mod run;
mod scenario;
mod sim;
mod tally;
mod workload;

pub use error::Error;
pub use options::{Options, REPORT_SEEDS, Seeds, TUNING_SEEDS};
pub use plan::{Choice, Plan, Problem};
pub use report::{Aim, Case, ClassFigures, CustomerFigures, Figures, Latency, Quarantine, Report};
pub use router::RouterKind;
pub use run::{case, run};
pub use scenario::Scenario;
pub use workload::Workload;
