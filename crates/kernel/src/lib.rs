//! The micro-kernel: the clock, the identifiers and hashes that every layer speaks, and
//! the registry through which services find each other by name.
//!
//! This crate knows nothing of requests, endpoints, networks or files. It is
//! the only crate that every other one may depend on; see
//! `docs/ARCHITECTURE.md`.

mod clock;
pub mod hash;
mod id;
mod money;
mod registry;
mod secret;

pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{
    AttemptId, ChangeId, Customer, DataCentre, EndpointId, HostName, Incarnation, ModelName,
    ProfileName, Region, Release, RequestId, RequestKey, Revision, ServiceName, SessionId,
    VersionId,
};
pub use money::Money;
pub use registry::{Mailbox, Registry, Service};
pub use secret::Secret;
