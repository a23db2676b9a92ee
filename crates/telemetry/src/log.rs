//! Where log lines go.

use std::io::{self, Write};

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

use crate::Event;
use crate::field::{Field, Fields};

/// How many lines may wait for a slow reader before further ones are dropped,
/// so that a stopped reader never stops a request.
const QUEUE: usize = 1024;

/// Where log lines go: JSON, one a line.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
}

impl Log {
    /// Writes to standard output, by a thread of its own. Each line names the
    /// host, so that the logs of several can be read together.
    #[must_use]
    pub fn to_stdout(host: &str) -> Self {
        Self::to(host, io::stdout())
    }

    /// Writes to `sink`, by a thread of its own.
    #[must_use]
    pub fn to<W: Write + Send + 'static>(host: &str, sink: W) -> Self {
        let drain = slog_json::Json::new(sink).add_default_keys().build().fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(QUEUE)
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
