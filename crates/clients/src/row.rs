//! The keys of the rows in the table.

mod key;
mod prefix;

pub use key::Key;
pub use prefix::Prefix;
