//! The base types of all crates: the clock, identifiers, hashes, amounts of money, secret
//! keys, and the registry through which services find each other by name.
//!
//! This crate has no code for requests, endpoints, networks or files, and every other
//! crate may depend on it; see `docs/ARCHITECTURE.md`.

mod clock;
pub mod hash;
mod id;
mod money;
mod registry;
mod secret;

pub use clock::{Clock, MAX_AGE, ManualClock, SystemClock};
pub use id::{
    AttemptId, ChangeId, Customer, DataCentre, EndpointId, HostName, Incarnation, ModelName,
    ProfileName, Region, Release, RequestId, RequestKey, Revision, ServiceName, SessionId,
    VersionId,
};
pub use money::Money;
pub use registry::{Mailbox, Registry, Service};
pub use secret::Secret;
