//! Routing decisions of a host that forwards requests to endpoints.
//!
//! [`Router`] keeps the host's state: the current configuration, the endpoints
//! and their health, roll-outs and retry budgets. The caller reports events to it
//! and asks where to send a request next, or how to fail it. The crate performs no
//! I/O, reads no clock (the time is a parameter) and is independent of any wire
//! format. See `docs/design/relay.md`.

mod admission;
mod brittle;
mod budget;
mod call;
mod cascade;
pub mod config;
pub mod connections;
pub mod directory;
pub mod endpoint;
pub mod evacuation;
mod fingerprint;
mod health;
mod host_count;
mod load_error;
mod load_policy;
mod millis;
mod model_choice;
mod pace;
mod part;
mod peers;
mod permit;
mod prefill;
pub mod quarantine;
pub mod rate_limit;
pub mod reach;
mod relay;
mod request_profile;
mod revision;
pub mod rollout;
mod router;
mod sessions;
mod settings;
mod slowness;
mod warm_up;

pub use admission::Shortage;
pub use budget::RetryBudget;
pub use call::{Call, Ending, Failure, Next};
pub use cascade::{Cascade, Escalation};
pub use config::Config;
pub use directory::Directory;
pub use evacuation::{Evacuation, Evacuations};
pub use fingerprint::Fingerprint;
pub use host_count::HostCount;
pub use load_error::LoadError;
pub use load_policy::LoadPolicy;
pub use model_choice::ModelChoice;
pub use pace::Pace;
pub use part::PartId;
pub use peers::Peers;
pub use permit::{Permit, Withheld};
pub use quarantine::Quarantine;
pub use rate_limit::RequestRate;
pub use relay::{Relay, Relayed};
pub use request_profile::RequestProfile;
pub use revision::Revision;
pub use rollout::Rollout;
pub use router::{
    Assignment, Candidate, Denial, Excluded, Exclusion, Explanation, InFlight, IncomingRequest,
    Leniency, Placement, Prospect, RolloutChanges, Router, Score,
};
pub use settings::Settings;
pub use slowness::Slowness;
pub use warm_up::WarmUp;
