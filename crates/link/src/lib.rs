//! Transport of frames between hosts: QUIC with mutual TLS.
//!
//! A host authenticates itself with a certificate signed by the fleet's CA; all other
//! connections are rejected and counted. `wire` defines the frames, `fleet` and
//! `ledger` decide when they are sent. See
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
