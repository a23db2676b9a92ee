//! HTTP/1.1 message framing for relaying, without sockets.
//!
//! A relay must pass on what it was sent, byte for byte, and must know exactly
//! where each message ends. This crate finds heads, parses them with `httparse`,
//! decides how long a body is, decodes bodies and cuts event streams into whole
//! events. It knows no header's meaning beyond those of framing; see
//! `docs/design/relay.md` for why the relay doesn't use `async-h1`.

mod body;
mod error;
mod events;
mod fields;
mod head;
pub mod request;
pub mod response;

pub use body::{Decoder, Length};
pub use error::Error;
pub use events::{Event, Events};
pub use fields::Fields;
pub use head::end as head_end;
