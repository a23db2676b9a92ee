//! Parses log lines.

use serde_json::Value;

/// The events of one or several logs.
#[derive(Debug, Default)]
pub(super) struct Lines {
    pub(super) all: Vec<Line>,
    /// Number of lines that aren't events: of other programs, or truncated.
    pub(super) foreign: usize,
}

/// A log line that holds an event.
#[derive(Debug)]
pub(super) struct Line {
    pub(super) value: Value,
}

impl Lines {
    pub(super) fn add(&mut self, text: &str) {
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            match Line::parse(line) {
                Some(it) => self.all.push(it),
                None => self.foreign += 1,
            }
        }
    }

    /// Sorts the events by time, since logs of several hosts are read one by one.
    pub(super) fn sort(&mut self) {
        self.all.sort_by(|a, b| a.time().cmp(b.time()));
    }

    pub(super) fn about(&self, request: &str) -> Vec<&Line> {
        self.all
            .iter()
            .filter(|it| it.text("request") == Some(request))
            .collect()
    }
}

impl Line {
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
