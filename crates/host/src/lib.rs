//! The lifecycle of a host: following the store, exchanging updates with other hosts, and
//! shutting down.
//!
//! The host follows the operators' documents, the listing of endpoints and the other hosts
//! through a [`Store`], and applies what it learns to the router. Implementations of `Store`
//! define the stored format. See `docs/design/relay.md`.

pub mod addresses;
mod availability;
mod backoff;
mod capacity;
mod coverage;
mod documents;
mod follow;
pub mod gossip;
mod host;
pub mod listing;
mod long_poll;
mod member;
mod message;
mod messaging;
mod report;
mod stall;
mod store;
pub mod succession;

pub use availability::Availability;
pub use backoff::Backoff;
pub use capacity::Capacity;
pub use coverage::{Coverage, shortest_outage};
pub use documents::{Documents, RolloutVerdict};
pub use host::{Host, ListingMeta, ShutdownSchedule, Start};
pub use member::Member;
pub use stall::Stall;
pub use store::{Decoded, EndpointChanges, EndpointTable, JoinInfo, Store, StoreError};
