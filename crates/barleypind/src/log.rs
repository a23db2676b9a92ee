//! The log: numbered events, written as text or JSON, by default as text only to a terminal.

use std::fmt::Display;
use std::io::{IsTerminal, stderr};

use config::settings::{self, Format};
use slog::{Drain, KV, Key, Level, Logger, Record, Serializer, o};

use crate::event::Event;

/// Maximum number of log records queued for a slow reader. Further ones are dropped and counted,
/// so that logging never blocks a call.
const QUEUE_CAPACITY: usize = 4096;

/// A field of a log record. Fields are printed, so they must never contain key material.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The logger of events.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
}

impl Log {
    /// Returns a log that writes to standard error in the format and from the level in the
    /// settings.
    #[must_use]
    pub fn to_stderr(settings: settings::Log) -> Self {
        let text = match settings.format {
            Format::Text => true,
            Format::Json => false,
            Format::Auto => stderr().is_terminal(),
        };
        let level = level(settings.level);
        if text {
            let decorator = slog_term::TermDecorator::new().build();
            Self::to(slog_term::FullFormat::new(decorator).build().fuse(), level)
        } else {
            Self::to(slog_json::Json::default(stderr()).fuse(), level)
        }
    }

    /// Returns a log that discards all events, for tests.
    #[must_use]
    pub fn discard() -> Self {
        Self {
            logger: Logger::root(slog::Discard, o!()),
        }
    }

    /// Logs `event` with `fields`.
    pub fn emit(&self, event: Event, fields: &[Field<'_>]) {
        let (log, number, fields) = (&self.logger, event.number(), Fields(fields));
        let message = event.message();
        match event.level() {
            Level::Critical => slog::crit!(log, "{message}"; "event" => number, fields),
            Level::Error => slog::error!(log, "{message}"; "event" => number, fields),
            Level::Warning => slog::warn!(log, "{message}"; "event" => number, fields),
            Level::Info => slog::info!(log, "{message}"; "event" => number, fields),
            Level::Debug => slog::debug!(log, "{message}"; "event" => number, fields),
            Level::Trace => slog::trace!(log, "{message}"; "event" => number, fields),
        }
    }

    fn to<D>(drain: D, level: Level) -> Self
    where
        D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
    {
        let drain = slog_async::Async::new(drain.filter_level(level).fuse())
            .chan_size(QUEUE_CAPACITY)
            .build();
        Self {
            logger: Logger::root(drain.fuse(), o!()),
        }
    }
}

fn level(level: settings::Level) -> Level {
    match level {
        settings::Level::Error => Level::Error,
        settings::Level::Warning => Level::Warning,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
    }
}

struct Fields<'a>(&'a [Field<'a>]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for &(key, value) in self.0 {
            serializer.emit_arguments(Key::from(key), &format_args!("{value}"))?;
        }
        Ok(())
    }
}
