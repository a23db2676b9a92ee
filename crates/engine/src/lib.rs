//! HTTP client for model engines and plain services. `docs/PROTOCOLS.md`
//! describes the protocols.
//!
//! Every call returns a response or a [`Failure`], which says whether the call
//! may have run. A streamed response is validated incrementally: each chunk must
//! carry the attempt's id and the next index, and the response is complete only
//! after its end marker. Chunks of two attempts are therefore never combined
//! into one response.

mod attempt;
mod chat;
mod client;
mod failure;
mod load;
mod order;
mod plain;
pub mod sse;

pub use attempt::{Attempt, Endpoint, Priority};
pub use chat::{Answer, Chat, Fault, Progress, Reader, Stream, Usage};
pub use client::Client;
pub use failure::{Code, Failure, FailureCause};
pub use load::{Load, State, VersionLoad, VersionState};
pub use order::{Order, Receipt, Wanted};
pub use plain::Call;
