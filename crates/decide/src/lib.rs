//! Routing decisions without I/O: model cascades, health, endpoint selection, rate limits, retries
//! and sessions.
//!
//! [`Decider::handle`] takes the current time and an [`Event`] and appends the [`Action`]s that the
//! driver has to carry out. It uses no network, clock or disk, and is deterministic: the same seed
//! and events produce the same actions. See `docs/design/decide-*.md`.

pub mod action;
pub mod arrival;
mod attempt;
mod attempts;
mod class_traffic;
mod confidence_model;
mod cusum;
mod decider;
mod demand;
mod digest;
mod directory;
pub mod endpoint;
pub mod event;
pub mod evidence;
mod forecast;
mod health;
mod histogram;
pub mod key;
mod knowledge;
mod limiter;
mod meter;
mod monitor;
mod number;
mod outbox;
pub mod outcome;
mod peer_demand;
mod plan;
mod plan_cache;
mod planner;
pub mod policy;
mod pool;
mod queue;
pub mod refusal;
mod replica;
mod request;
mod response_stats;
mod rollout_controller;
mod sampler;
mod samples;
mod token_bucket;
mod tuning;
mod version_stats;

pub use action::Action;
pub use arrival::Arrival;
pub use decider::Decider;
pub use demand::{Demand, Flow, Rate};
pub use event::Event;
pub use evidence::Evidence;
pub use outcome::Outcome;
pub use policy::Policy;
pub use refusal::Refusal;
pub use tuning::{PinnedSessions, Tuning};
