//! Pure decisions: cascade, health, endpoint choice, limits, retries and sessions.
//!
//! [`Decider::handle`] takes the time and an [`Event`] and appends [`Action`]s
//! for the driver to carry out. It knows no network, clock or disk, and the same
//! seed and events give the same actions. See `docs/design/decide-*.md`.

pub mod action;
pub mod arrival;
mod decider;
mod demand;
pub mod endpoint;
pub mod event;
pub mod evidence;
pub mod key;
pub mod outcome;
pub mod policy;
pub mod refusal;
mod tuning;

pub use action::Action;
pub use arrival::Arrival;
pub use decider::Decider;
pub use demand::{Demand, Rate};
pub use event::Event;
pub use evidence::Evidence;
pub use outcome::Outcome;
pub use policy::Policy;
pub use refusal::Refusal;
pub use tuning::Tuning;
