//! Keys and key prefixes of rows in the table.

mod key;
mod prefix;

pub use key::Key;
pub use prefix::Prefix;
