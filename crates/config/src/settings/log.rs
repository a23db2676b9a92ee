//! The section `[log]`.

use derive_more::Display;

use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// The log format and level. docs/reference/events.md lists the events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// The format of a log line.
    pub format: Format,
    /// The least severe level that is logged.
    pub level: Level,
}

impl Log {
    pub(crate) const SECTION: Section = Section {
        name: "log",
        about: "the log format and level",
        shape: Shape::One,
        keys: &[&FORMAT, &LEVEL],
        sections: &[],
    };

    pub(crate) fn read(file: &Table<'_>) -> Self {
        let table = file.one(&Self::SECTION);
        Self {
            format: table.word(&FORMAT, &FORMATS),
            level: table.word(&LEVEL, &LEVELS),
        }
    }
}

const FORMAT: Key = Key {
    name: "format",
    accepts: Accepts::OneOf(&["text", "json", "auto"]),
    default: DefaultValue::Word("auto"),
    about: "the format of a log line; `auto` is text on a terminal, otherwise JSON",
};
const LEVEL: Key = Key {
    name: "level",
    accepts: Accepts::OneOf(&["error", "warning", "info", "debug"]),
    default: DefaultValue::Word("info"),
    about: "the least severe level that is logged",
};

/// The format of a log line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    #[display("text")]
    Text,
    /// One JSON object per line.
    #[display("json")]
    Json,
    /// Text on a terminal, otherwise JSON.
    #[display("auto")]
    Auto,
}

/// The levels of log events, the most severe first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A failure that needs the attention of an operator.
    #[display("error")]
    Error,
    /// A failure or an unusual state that may need attention.
    #[display("warning")]
    Warning,
    /// A notable event in normal operation.
    #[display("info")]
    Info,
    /// An event of each request, such as its response.
    #[display("debug")]
    Debug,
}

const FORMATS: [(&str, Format); 3] = [
    ("text", Format::Text),
    ("json", Format::Json),
    ("auto", Format::Auto),
];

const LEVELS: [(&str, Level); 4] = [
    ("error", Level::Error),
    ("warning", Level::Warning),
    ("info", Level::Info),
    ("debug", Level::Debug),
];
