//! The fields of log events.

use std::fmt::Display;
use std::time::Duration;

use slog::{KV, Key, Record, Serializer};

/// The key and value of an event's field. The value must not contain key material.
pub type Field<'a> = (&'static str, Value<'a>);

/// The value of an event's field.
#[derive(Clone, Copy)]
pub enum Value<'a> {
    /// A text.
    Text(&'a dyn Display),
    /// An integer.
    Count(u64),
    /// A ratio, written with three decimals.
    Ratio(f64),
    /// A duration, written in milliseconds.
    Time(Duration),
    /// A boolean.
    Flag(bool),
    /// The value is unknown, and the field is left out.
    Unknown,
}

impl Value<'_> {
    /// Returns a duration, or `Unknown` for `None`.
    #[must_use]
    pub fn time(time: Option<Duration>) -> Self {
        time.map_or(Self::Unknown, Self::Time)
    }

    /// Returns an integer, or `Unknown` for `None`.
    #[must_use]
    pub fn count(count: Option<u64>) -> Self {
        count.map_or(Self::Unknown, Self::Count)
    }

    /// Returns a ratio, or `Unknown` for `None`.
    #[must_use]
    pub fn ratio(ratio: Option<f64>) -> Self {
        ratio.map_or(Self::Unknown, Self::Ratio)
    }

    /// Returns a boolean, or `Unknown` for `None`.
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
                Value::Ratio(it) => serializer.emit_f64(key, (it * 1000.0).round() / 1000.0)?,
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
