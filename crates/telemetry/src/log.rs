//! Writes log lines.

use std::io::{self, Write};

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

use crate::Event;
use crate::field::{Field, Fields};

/// The number of lines in the queue of the writer's thread. Further lines are dropped, so
/// that a blocked standard output never blocks a request.
const MAX_QUEUED_LINES: usize = 1024;

/// A log that writes one JSON object per line.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
}

impl Log {
    /// Creates a log that writes to standard output in its own thread. Each line has the
    /// host's name, so that the logs of several hosts can be merged.
    #[must_use]
    pub fn to_stdout(host: &str) -> Self {
        Self::to(host, io::stdout())
    }

    /// Creates a log that writes to `sink` in its own thread.
    #[must_use]
    pub fn to<W: Write + Send + 'static>(host: &str, sink: W) -> Self {
        let drain = slog_json::Json::new(sink).add_default_keys().build().fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build();
        Self {
            logger: Logger::root(drain.fuse(), o!("host" => host.to_owned())),
        }
    }

    pub(crate) fn write(&self, event: Event, fields: &[Field<'_>]) {
        let (log, number, fields) = (&self.logger, event.number(), Fields(fields));
        let message = event.message();
        match event.level() {
            Level::Critical | Level::Error => {
                slog::error!(log, "{message}"; "event" => number, fields);
            }
            Level::Warning => slog::warn!(log, "{message}"; "event" => number, fields),
            _ => slog::info!(log, "{message}"; "event" => number, fields),
        }
    }
}
