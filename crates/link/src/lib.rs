//! Transport of frames between hosts: QUIC with mutual TLS.
//!
//! Both sides of a connection authenticate themselves with certificates signed by the
//! fleet's CA. The side that opens it requires the other host's name in the certificate.
//! The side that accepts it requires exactly one DNS name, and counts the connections that
//! it rejects. `wire` defines the frames; other crates decide when they are sent. See
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

pub use counters::{Counters, Rejection, Snapshot, UdpTraffic};
pub use error::Error;
pub use incoming::{Incoming, Reply};
pub use keys::Keys;
pub use link::Link;
pub use peer::Peer;
pub use settings::Settings;
