//! Parts of prompts.

use derive_more::Display;

/// The id of a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:x}")]
pub struct PartId(pub u64);
