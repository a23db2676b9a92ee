//! What hosts say to each other: the frames and their binary form.
//!
//! This crate knows the shape of each message and nothing of when it is sent;
//! `fleet` decides that for membership, news and evidence, and `ledger` for
//! records. See `docs/design/membership.md`.

mod codec;
mod counts;
mod delta;
mod digest;
mod document;
mod error;
mod evidence;
mod frame;
mod identity;
mod load;
mod member;
mod millis;
mod news;
mod payload;
mod probe;
mod proof;
mod topic;
mod verdict;

pub use codec::{MAX_FRAME_BYTES, VERSION};
pub use counts::Counts;
pub use delta::{Delta, Mark};
pub use digest::{Bucket, Digest};
pub use document::{Document, Fetch};
pub use error::Error;
pub use evidence::{Evidence, Reach};
pub use frame::Frame;
pub use identity::Identity;
pub use load::Load;
pub use member::{Member, State};
pub use news::{Bulletin, Endpoint, EndpointState, Newest, News};
pub use payload::Payload;
pub use probe::{Ack, Probe, ProbeRequest};
pub use proof::{Age, Proof};
pub use topic::Topic;
pub use verdict::{Ruling, Verdict};
