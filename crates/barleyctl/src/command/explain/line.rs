//! Parses log lines.

use serde_json::Value;

/// The events of one or several logs.
#[derive(Debug, Default)]
pub(super) struct LogLines {
    pub(super) events: Vec<LogLine>,
    /// Number of lines that aren't events: of other programs, or truncated.
    pub(super) unreadable: usize,
}

/// A log line that holds an event.
#[derive(Debug)]
pub(super) struct LogLine {
    pub(super) value: Value,
}

impl LogLines {
    pub(super) fn add(&mut self, text: &str) {
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(it) => self.events.push(it),
                None => self.unreadable += 1,
            }
        }
    }

    /// Sorts the events by the text of their time, since logs of several hosts are
    /// read one by one.
    pub(super) fn sort(&mut self) {
        self.events.sort_by(|a, b| a.time().cmp(b.time()));
    }

    pub(super) fn of_request(&self, request: &str) -> Vec<&LogLine> {
        self.events
            .iter()
            .filter(|it| it.text("request") == Some(request))
            .collect()
    }
}

impl LogLine {
    /// Parses a line; skips a prefix that a log collector added before the JSON.
    fn parse(line: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        value.get("event")?.as_u64()?;
        Some(Self { value })
    }

    pub(super) fn event(&self) -> u64 {
        self.count("event").unwrap_or(0)
    }

    pub(super) fn time(&self) -> &str {
        self.text("ts").unwrap_or_default()
    }

    pub(super) fn message(&self) -> &str {
        self.text("msg").unwrap_or_default()
    }

    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.value.get(name)?.as_str()
    }

    pub(super) fn count(&self, name: &str) -> Option<u64> {
        self.value.get(name)?.as_u64()
    }

    pub(super) fn number(&self, name: &str) -> Option<&Value> {
        self.value.get(name).filter(|it| it.is_number())
    }
}
