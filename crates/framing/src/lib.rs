//! HTTP/1.1 message framing for relaying, without sockets.
//!
//! A relay must preserve the target, the header fields and the bytes of bodies, and must know
//! exactly where each message ends. This crate finds the end of heads, parses them with
//! `httparse`, determines the length of bodies, decodes them, and splits event streams into
//! events. Apart from the check for exactly one `Host`, it interprets only the header fields that
//! concern framing; see `docs/design/relay.md` for why the relay doesn't use `async-h1`.

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
