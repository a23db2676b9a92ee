//! What the callers were told, set against what the stand-ins record.
//!
//! Nothing here believes a host: an execution counts when the endpoint that ran
//! it says so, and an answer counts when its text is one attempt's, whole, and
//! to the caller's own call.

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
