//! Arguments of a script's command.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// Arguments by name, as parsed by `datadriven`.
pub(crate) type ArgumentMap = HashMap<String, Vec<String>>;

/// The arguments of a command: `name=value` or `name=(value, value)`.
pub(crate) struct Arguments<'a> {
    given: &'a ArgumentMap,
}

impl<'a> Arguments<'a> {
    pub(crate) fn new(given: &'a ArgumentMap) -> Self {
        Self { given }
    }

    /// Returns the value of `name`; panics when it is missing.
    pub(crate) fn required(&self, name: &str) -> &'a str {
        self.optional(name)
            .unwrap_or_else(|| panic!("the command needs `{name}=`"))
    }

    /// Returns the value of `name`, if it is given.
    pub(crate) fn optional(&self, name: &str) -> Option<&'a str> {
        Some(self.given.get(name)?.first()?.as_str())
    }

    /// Returns the values of `name`; empty when it is not given.
    pub(crate) fn values(&self, name: &str) -> Vec<&'a str> {
        let values = self.given.get(name);
        values.map_or_else(Vec::new, |it| it.iter().map(String::as_str).collect())
    }

    /// Returns the values of `name` joined with `@`. A version's name is written as `(big, 1)`,
    /// because `datadriven` doesn't accept `@` in an argument.
    pub(crate) fn joined(&self, name: &str) -> String {
        self.values(name).join("@")
    }

    /// Returns the values of `path` joined with `/`. A path is written as `(hosts, a, drain)`,
    /// because `datadriven` doesn't accept `/` in an argument.
    pub(crate) fn path(&self) -> Option<String> {
        self.has("path").then(|| self.values("path").join("/"))
    }

    /// Returns whether `name` is given.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.given.contains_key(name)
    }

    /// Parses the value of `name`, or returns `default` when it is not given; panics when the value
    /// is invalid.
    pub(crate) fn parsed<T: FromStr>(&self, name: &str, default: T) -> T {
        let parse = |it: &str| {
            it.parse()
                .unwrap_or_else(|_| panic!("invalid argument `{name}={it}`"))
        };
        self.optional(name).map_or(default, parse)
    }

    /// Returns the timeout of a wait, from `within_ms=`; five seconds by default.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.parsed("within_ms", 5_000))
    }
}

/// Parses a line of `name=value` and `name` arguments; lists in parentheses aren't supported.
pub(crate) fn parse_line(line: &str) -> ArgumentMap {
    let words = line.split_whitespace();
    words
        .map(|word| match word.split_once('=') {
            Some((name, value)) => (name.to_owned(), vec![value.to_owned()]),
            None => (word.to_owned(), Vec::new()),
        })
        .collect()
}
