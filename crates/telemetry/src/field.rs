//! What stands beside an event.

use std::fmt::Display;
use std::time::Duration;

use slog::{KV, Key, Record, Serializer};

/// A name and a value beside an event. Never pass key material.
pub type Field<'a> = (&'static str, Value<'a>);

/// A value beside an event.
#[derive(Clone, Copy)]
pub enum Value<'a> {
    /// Words.
    Text(&'a dyn Display),
    /// A number of things.
    Count(u64),
    /// A part, from 0 to 1.
    Share(f64),
    /// A time, written in milliseconds.
    Time(Duration),
    /// Whether something is so.
    Flag(bool),
    /// Nothing is known; the field is left out.
    Unknown,
}

impl Value<'_> {
    /// A time that may not be known.
    #[must_use]
    pub fn time(time: Option<Duration>) -> Self {
        time.map_or(Self::Unknown, Self::Time)
    }

    /// A number that may not be known.
    #[must_use]
    pub fn count(count: Option<u64>) -> Self {
        count.map_or(Self::Unknown, Self::Count)
    }

    /// Something that may not be known.
    #[must_use]
    pub fn flag(flag: Option<bool>) -> Self {
        flag.map_or(Self::Unknown, Self::Flag)
    }
}

pub(crate) struct Fields<'a>(pub(crate) &'a [Field<'a>]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for &(name, value) in self.0 {
            let key = Key::from(name);
            match value {
                Value::Text(it) => serializer.emit_arguments(key, &format_args!("{it}"))?,
                Value::Count(it) => serializer.emit_u64(key, it)?,
                Value::Share(it) => serializer.emit_f64(key, (it * 1000.0).round() / 1000.0)?,
                Value::Time(it) => {
                    let millis = u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
                    serializer.emit_u64(key, millis)?;
                }
                Value::Flag(it) => serializer.emit_bool(key, it)?,
                Value::Unknown => {}
            }
        }
        Ok(())
    }
}
