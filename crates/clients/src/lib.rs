//! Clients of the platform's services: the table, the object store, the host
//! list and the rating service, as `docs/PROTOCOLS.md` describes them.
//!
//! What must last goes to these services, and all of them have outages. A
//! write that failed therefore says whether it can have taken effect
//! ([`Error::Unknown`]) or can't ([`Error::NotApplied`]), and a [`Circuit`]
//! notices an outage once for all callers.

mod call;
mod circuit;
mod error;
mod host_list;
mod objects;
mod percent;
mod ratings;
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
