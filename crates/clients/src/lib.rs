//! Clients of the platform's services: the table, the object store, the host
//! list and the rating service. `docs/PROTOCOLS.md` describes the protocols.
//!
//! Any of these services can have an outage. The error of a failed write
//! therefore tells whether the write may have taken effect ([`Error::Unknown`])
//! or can't have ([`Error::Conflict`], [`Error::NotApplied`]), and a circuit
//! breaker ([`Circuit`]) that all callers of a service share detects its outages.
//! Repeated idempotent writes are an exception, see [`Error::NotApplied`].

mod circuit;
mod error;
mod host_list;
mod objects;
mod percent;
mod ratings;
mod response;
pub mod row;
mod service;
mod table;

pub use circuit::{Admission, Circuit, Tuning};
pub use error::{Error, Failed, Reason};
pub use host_list::{Host, HostList, Kind, Listing, State};
pub use objects::Objects;
pub use ratings::{Rating, Ratings, Sample};
pub use service::Service;
pub use table::{Condition, Page, Row, Table, Transaction, Version, Versions};
