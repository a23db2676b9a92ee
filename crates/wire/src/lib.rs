//! The frames that hosts send to each other, and their encoding.
//!
//! This crate defines the messages only. `fleet` decides when those for membership,
//! gossip, configuration and evidence are sent; the crates that encode a [`Payload`] decide
//! that for theirs. See `docs/design/membership.md`.

mod codec;
mod counts;
mod delta;
mod digest;
mod document;
mod error;
mod evidence;
mod frame;
mod gossip;
mod identity;
mod load;
mod member;
mod millis;
mod payload;
mod probe;
mod proof;
mod topic;
mod verdict;

pub use codec::{MAX_FRAME_BYTES, VERSION};
pub use counts::Counts;
pub use delta::{Delta, FailedEndpoint};
pub use digest::{Bucket, Digest};
pub use document::{Document, Fetch};
pub use error::Error;
pub use evidence::{Evidence, Hop};
pub use frame::Frame;
pub use gossip::{AnnouncedRevision, Endpoint, EndpointState, GossipMessage, GossipUpdate};
pub use identity::Identity;
pub use load::Load;
pub use member::{Member, State};
pub use payload::Payload;
pub use probe::{Ack, Probe, ProbeRequest};
pub use proof::{Age, Proof};
pub use topic::Topic;
pub use verdict::{Ruling, Verdict};
