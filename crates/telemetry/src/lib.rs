//! Log events and metrics of a relaying host, which runs `barleypin-platform`.
//!
//! Failures, changes of the host's state and a sample of the other requests are logged with
//! the inputs of each decision, so that on-call engineers can explain a caller's complaint.
//! The number of lines is limited, and writing them never blocks. The catalogues are
//! `docs/reference/relay-events.md` and `docs/reference/relay-metrics.md`;
//! `docs/OPERATIONS.md` shows how to use them.

mod catalogue;
mod event;
mod events;
mod field;
mod instruments;
mod line_limiter;
mod log;
mod metrics;
mod recorder;
mod report;

pub use catalogue::CATALOGUE;
pub use event::Event;
pub use field::{Field, Value};
pub use instruments::Instruments;
pub use log::Log;
pub use metrics::{Gauges, Links, Metrics};
pub use recorder::Recorder;
pub use slog::Level;

pub use report::{
    AttemptReport, AttemptSummary, ConnectionOrigin, NoConnection, Outcome, RefusedUpdate,
    RelayResult, RequestReport,
};
