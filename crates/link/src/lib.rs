//! How frames travel between hosts: QUIC with mutual TLS.
//!
//! A host proves its name with a certificate that the fleet's own CA signed;
//! whoever can't is dropped and counted. What is said is the business of
//! `wire`, when it is said that of `fleet` and `ledger`. See
//! `docs/design/membership.md` and `docs/operate/keys.md`.

mod connection;
mod counters;
mod error;
mod incoming;
pub mod keys;
mod link;
mod peer;
mod pool;
mod settings;
mod tls;

pub use counters::{Counters, Rejection, Snapshot, Transport};
pub use error::Error;
pub use incoming::{Incoming, Reply};
pub use keys::Keys;
pub use link::Link;
pub use peer::Peer;
pub use settings::Settings;
