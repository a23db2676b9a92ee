//! Decisions of a host that relays requests to endpoints.
//!
//! [`Router`] holds what the host believes: the configuration in force, the
//! endpoints and their health, roll-outs, retry budgets. It is told what
//! happened and answers where a request goes next, or how it ends. It knows no
//! network, clock or disk and none of the words that any outside party uses on
//! the wire; time is passed in. See `docs/design/relay.md`.

mod budget;
mod call;
mod cascade;
pub mod config;
pub mod directory;
pub mod endpoint;
pub mod evacuation;
mod health;
mod pace;
mod permit;
mod print;
pub mod quarantine;
mod revision;
pub mod rollout;
mod router;
mod sessions;
mod settings;
mod warm_up;

pub use budget::Budget;
pub use call::{Call, Ending, Failure, Next, Shape};
pub use cascade::{Cascade, Doubt};
pub use config::Config;
pub use directory::Directory;
pub use evacuation::{Evacuation, Evacuations};
pub use permit::{Permit, Withheld};
pub use print::Print;
pub use quarantine::Quarantine;
pub use revision::Revision;
pub use rollout::Rollout;
pub use router::{Arrival, Denial, Flight, Heard, Placement, Router};
pub use settings::Settings;
pub use warm_up::{Peers, WarmUp};
