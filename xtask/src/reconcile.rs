//! Comparison of the responses to callers with the stand-ins' records.
//!
//! It doesn't rely on reports of the hosts: executions are those that the endpoints recorded, and
//! a response counts if its text is the complete output of one attempt of the caller's own call.

mod allowed;
mod bill;
mod evidence;
mod line;
mod sessions;
mod tally;

pub use allowed::Allowed;
pub use bill::Bill;
pub use evidence::{Evidence, Withdrawal};
pub use line::{Line, lines};
pub use sessions::Sessions;
pub use tally::Tally;
