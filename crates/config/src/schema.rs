//! Schemas of settings files and entry files: the accepted values and the
//! default of each key.
//!
//! The parser and the errors use the schemas, and a test compares the reference
//! pages with them.

use derive_more::Display;

/// A table of a file.
#[derive(Debug)]
pub struct Section {
    /// The name of the table; empty for the root of the file.
    pub name: &'static str,
    /// The description in the reference page, as a phrase.
    pub about: &'static str,
    /// Whether the table is single, named or an element of a list.
    pub shape: Shape,
    /// The keys, in the order of the reference page.
    pub keys: &'static [&'static Key],
    /// The tables nested in it.
    pub sections: &'static [&'static Section],
}

/// The way in which a table occurs in its parent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Shape {
    /// A single table: `[name]`.
    #[display("one")]
    One,
    /// Any number of tables, each with its own name: `[name.NAME]`.
    #[display("named")]
    Named,
    /// A list of tables: `[[name]]`.
    #[display("list")]
    List,
}

/// A key of a table.
#[derive(Debug)]
pub struct Key {
    /// The name of the key.
    pub name: &'static str,
    /// The accepted values.
    pub accepts: Accepts,
    /// The default if the key is absent.
    pub default: DefaultValue,
    /// The description in the reference page, as a phrase.
    pub about: &'static str,
}

/// The values that a key accepts.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Accepts {
    /// A name that may appear in paths and logs.
    #[display(
        "a name of 1 to {} letters, digits, `-`, `_` or `.`, the first one a letter or digit",
        crate::validate::MAX_NAME
    )]
    Name,
    /// One version.
    #[display("a version as `model@version`")]
    Version,
    /// A list of versions.
    #[display("a list of at least one version as `model@version`, each once")]
    Versions,
    /// A socket address.
    #[display("an IP address and port, such as `127.0.0.1:7000` or `[::1]:7000`")]
    Address,
    /// The path of a file.
    #[display("the path of a file")]
    Path,
    /// An integer within bounds.
    #[display("a whole number from {min} to {max}")]
    Integer {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A duration in milliseconds.
    #[display("a whole number of milliseconds from {min} to {max}")]
    Millis {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A duration in seconds.
    #[display("a whole number of seconds from {min} to {max}")]
    Seconds {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A fraction from 0 to 1.
    #[display("a number from 0 to 1")]
    Fraction,
    /// The traffic shares of a roll-out's steps.
    #[display("a list of rising numbers above 0, at most 1")]
    Steps,
    /// One of a fixed set of words.
    #[display("{}", join_alternatives(_0))]
    OneOf(&'static [&'static str]),
    /// The BLAKE3 hash of a bearer key.
    #[display("the BLAKE3 hash of the key, 64 lower-case hex digits")]
    Hash,
    /// An HTTP method.
    #[display("a method in upper case, or `ANY`")]
    Method,
    /// A path prefix.
    #[display("the beginning of a path, from its `/` on")]
    Prefix,
}

impl Accepts {
    /// Returns whether a number is within the bounds; false for kinds without bounds.
    pub(crate) fn is_in_bounds(self, number: u64) -> bool {
        match self {
            Self::Integer { min, max } | Self::Millis { min, max } | Self::Seconds { min, max } => {
                (min..=max).contains(&number)
            }
            _ => false,
        }
    }
}

/// The default of an absent key.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum DefaultValue {
    /// No default: the key is required.
    #[display("required")]
    Required,
    /// No default: the key is optional.
    #[display("none")]
    Optional,
    /// An integer.
    #[display("{_0}")]
    Integer(u64),
    /// A fraction.
    #[display("{_0}")]
    Fraction(f64),
    /// The traffic shares of a roll-out's steps.
    #[display("{_0:?}")]
    Steps(&'static [f64]),
    /// One of a fixed set of words.
    #[display("{_0:?}")]
    Word(&'static str),
}

fn join_alternatives(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}
