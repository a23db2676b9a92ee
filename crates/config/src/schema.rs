//! The keys of the files that people write, as data: what each accepts, and
//! what stands for it when it is absent.
//!
//! The reader, the errors and the reference pages all follow from these, so
//! that they can't tell different things; a test compares the pages.

use derive_more::Display;

/// A table of a file.
#[derive(Debug)]
pub struct Section {
    /// Its name; empty for the file itself.
    pub name: &'static str,
    /// What it is for, as a phrase.
    pub about: &'static str,
    /// Whether it stands alone, by name or in a list.
    pub shape: Shape,
    /// Its keys, in the order of the reference.
    pub keys: &'static [&'static Key],
    /// The tables inside it.
    pub sections: &'static [&'static Section],
}

/// How often a table stands in the one around it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Shape {
    /// Once: `[name]`.
    #[display("one")]
    One,
    /// Any number of times, each under a name of its own: `[name.NAME]`.
    #[display("named")]
    Named,
    /// Any number of times, in order: `[[name]]`.
    #[display("list")]
    List,
}

/// A key of a table.
#[derive(Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What it accepts.
    pub accepts: Accepts,
    /// What stands for it when it is absent.
    pub fallback: Fallback,
    /// What it is for, as a phrase.
    pub about: &'static str,
}

/// What a key accepts.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Accepts {
    /// A name that stands in paths and logs.
    #[display(
        "a name of 1 to {} letters, digits, `-`, `_` or `.`, the first one a letter or digit",
        crate::form::MAX_NAME
    )]
    Name,
    /// One version.
    #[display("a version as `model@version`")]
    Version,
    /// Some versions.
    #[display("a list of at least one version as `model@version`, each once")]
    Versions,
    /// An address to connect to or to listen on.
    #[display("an IP address and port, such as `127.0.0.1:7000` or `[::1]:7000`")]
    Address,
    /// The path of a file.
    #[display("the path of a file")]
    Path,
    /// A count or an amount.
    #[display("a whole number from {min} to {max}")]
    Whole {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A time in milliseconds.
    #[display("a whole number of milliseconds from {min} to {max}")]
    Millis {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A time in seconds.
    #[display("a whole number of seconds from {min} to {max}")]
    Seconds {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A share of a whole.
    #[display("a number from 0 to 1")]
    Fraction,
    /// The shares of a roll-out's steps.
    #[display("a list of rising numbers above 0, at most 1")]
    Steps,
    /// One of a closed set of words.
    #[display("{}", list(_0))]
    OneOf(&'static [&'static str]),
    /// The hash of a key.
    #[display("the BLAKE3 hash of the key, 64 lower-case hex digits")]
    Hash,
    /// A method of HTTP.
    #[display("a method in upper case, or `ANY`")]
    Method,
    /// The beginning of a path.
    #[display("the beginning of a path, from its `/` on")]
    Prefix,
}

impl Accepts {
    /// Whether a number is within the bounds; what isn't a number has none.
    pub(crate) fn admits(self, number: u64) -> bool {
        match self {
            Self::Whole { min, max } | Self::Millis { min, max } | Self::Seconds { min, max } => {
                (min..=max).contains(&number)
            }
            _ => false,
        }
    }
}

/// What stands for a key that is absent.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fallback {
    /// Nothing can: the key has to be there.
    #[display("required")]
    Required,
    /// Nothing needs to.
    #[display("none")]
    Optional,
    /// A number.
    #[display("{_0}")]
    Whole(u64),
    /// A share.
    #[display("{_0}")]
    Fraction(f64),
    /// Shares.
    #[display("{_0:?}")]
    Steps(&'static [f64]),
    /// A word.
    #[display("{_0:?}")]
    Word(&'static str),
}

fn list(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}
