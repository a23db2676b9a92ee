//! What a relaying host says of itself: log lines and metrics.
//!
//! On-call engineers have nothing else when a caller complains, so each
//! decision that touches a request and each change of what the host believes
//! has a line with the inputs that decided it. Lines are bounded in number and
//! never waited for. The catalogues are `docs/reference/relay-events.md` and
//! `docs/reference/relay-metrics.md`; `docs/OPERATIONS.md` shows how to use them.

mod allowance;
mod catalogue;
mod event;
mod events;
mod field;
mod instruments;
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

pub use report::{Attempt, Connection, Outcome, Report, Smooth};
