//! The life of a host that relays: what it follows, what it tells, when it stops.
//!
//! The host follows the operators' documents, the listing of endpoints and the
//! other hosts through a [`Store`], and puts what it learns before the relay's
//! decisions. How the store spells things is the business of whoever implements
//! the port. See `docs/design/relay.md`.

pub mod addresses;
mod backoff;
mod documents;
mod follow;
pub mod gossip;
mod life;
pub mod listing;
mod member;
mod message;
mod outage;
mod say;
mod store;
mod talk;

pub use backoff::Backoff;
pub use documents::{Documents, Judgement};
pub use life::{Life, Serving, Start};
pub use member::Member;
pub use outage::Outage;
pub use store::{Found, Joined, Store, Trouble};
