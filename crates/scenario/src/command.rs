//! The arguments of a script's command.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// Arguments by their names, as `datadriven` reads them.
pub(crate) type Given = HashMap<String, Vec<String>>;

/// A command's arguments: `name=value` or `name=(value, value)`.
pub(crate) struct Arguments<'a> {
    given: &'a Given,
}

impl<'a> Arguments<'a> {
    pub(crate) fn new(given: &'a Given) -> Self {
        Self { given }
    }

    /// The value of `name`; a script without it is wrong, which stops the test.
    pub(crate) fn one(&self, name: &str) -> &'a str {
        self.maybe(name)
            .unwrap_or_else(|| panic!("the command needs `{name}=`"))
    }

    /// The value of `name`, if it is given.
    pub(crate) fn maybe(&self, name: &str) -> Option<&'a str> {
        Some(self.given.get(name)?.first()?.as_str())
    }

    /// The values of `name`, none when it is not given.
    pub(crate) fn many(&self, name: &str) -> Vec<&'a str> {
        let values = self.given.get(name);
        values.map_or_else(Vec::new, |it| it.iter().map(String::as_str).collect())
    }

    /// A name that may be a version's, whose `@` no argument can hold: `(big, 1)`.
    pub(crate) fn joined(&self, name: &str) -> String {
        self.many(name).join("@")
    }

    /// A path, whose `/` no argument can hold: `(hosts, a, drain)`.
    pub(crate) fn path(&self) -> Option<String> {
        self.has("path").then(|| self.many("path").join("/"))
    }

    /// Whether `name` stands there.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.given.contains_key(name)
    }

    /// A value of any type that can be parsed, or `default`.
    pub(crate) fn parsed<T: FromStr>(&self, name: &str, default: T) -> T {
        let parse = |it: &str| {
            it.parse()
                .unwrap_or_else(|_| panic!("`{name}={it}` can't be read"))
        };
        self.maybe(name).map_or(default, parse)
    }

    /// The bound of a wait, five seconds unless the script says otherwise.
    pub(crate) fn within(&self) -> Duration {
        Duration::from_millis(self.parsed("within_ms", 5_000))
    }
}

/// The arguments that stand in a line, without its command.
pub(crate) fn parse_line(line: &str) -> Given {
    let words = line.split_whitespace();
    words
        .map(|word| match word.split_once('=') {
            Some((name, value)) => (name.to_owned(), vec![value.to_owned()]),
            None => (word.to_owned(), Vec::new()),
        })
        .collect()
}
