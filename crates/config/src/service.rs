//! Plain services and their routes.

use std::time::Duration;

use kernel::Revision;
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;
use crate::{FaultKind, Priority, RetryPolicy, validate};

/// A plain service, that is, one that isn't a model engine: its timeouts and routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Timeout of the first byte of a response.
    #[serde(
        rename = "first_byte_ms",
        with = "crate::millis",
        default = "Service::default_first_byte"
    )]
    pub first_byte: Duration,
    /// Timeout of a whole response.
    #[serde(
        rename = "total_ms",
        with = "crate::millis",
        default = "Service::default_total"
    )]
    pub total: Duration,
    /// The routes; see [`Service::route`]. A call that matches no route runs at
    /// most once.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Service {
    /// The default of `first_byte`, in milliseconds.
    pub const DEFAULT_FIRST_BYTE_MS: u64 = 2_000;
    /// The default of `total`, in milliseconds.
    pub const DEFAULT_TOTAL_MS: u64 = 10_000;

    /// Returns the route of a call: the match with the longest prefix. For equal
    /// prefixes, a route with the call's method takes precedence over `ANY`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| (route.prefix.len(), route.method != Route::ANY))
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "a plain service, its timeouts and the retry policies of its calls",
        shape: Shape::One,
        keys: &[&FIRST_BYTE, &TOTAL],
        sections: &[&Route::SECTION],
    };

    pub(crate) fn read(table: &Table<'_>) -> Self {
        let routes = table.list(&Route::SECTION);
        Self {
            first_byte: table.duration(&FIRST_BYTE),
            total: table.duration(&TOTAL),
            routes: routes.iter().map(Route::read).collect(),
            changed: Revision(0),
        }
    }

    pub(crate) fn check(&self, check: &mut EntryCheck) {
        check.duration(&FIRST_BYTE, self.first_byte);
        check.duration(&TOTAL, self.total);
        if self.first_byte > self.total {
            let found = FaultKind::Value(self.first_byte.as_millis().to_string());
            check.report(FIRST_BYTE.name, found, "no more than `total_ms`".into());
        }
        for (idx, route) in self.routes.iter().enumerate() {
            route.check(check, idx);
            let earlier = &self.routes[..idx];
            let same = |it: &Route| it.method == route.method && it.prefix == route.prefix;
            if earlier.iter().any(same) {
                let found = FaultKind::Value(format!("{} {}", route.method, route.prefix));
                let accepted = "each method and prefix once".into();
                check.report(format!("routes[{idx}]"), found, accepted);
            }
        }
    }

    fn default_first_byte() -> Duration {
        Duration::from_millis(Self::DEFAULT_FIRST_BYTE_MS)
    }

    fn default_total() -> Duration {
        Duration::from_millis(Self::DEFAULT_TOTAL_MS)
    }
}

/// A route of a service: the calls with one method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method in upper case, or `ANY`.
    pub method: String,
    /// The path prefix. It matches whole segments only.
    pub prefix: String,
    /// The retry policy of the calls.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// The default priority of the calls.
    #[serde(default)]
    pub priority: Priority,
}

impl Route {
    /// The value of `method` that matches all methods.
    pub const ANY: &str = "ANY";

    const SECTION: Section = Section {
        name: "routes",
        about: "the calls with a method and a path prefix",
        shape: Shape::List,
        keys: &[&METHOD, &PREFIX, &RETRY_POLICY, &PRIORITY],
        sections: &[],
    };

    fn read(table: &Table<'_>) -> Self {
        Self {
            method: table.text(&METHOD),
            prefix: table.text(&PREFIX),
            retry_policy: table.word(&RETRY_POLICY, &RetryPolicy::WORDS),
            priority: table.word(&PRIORITY, &Priority::WORDS),
        }
    }

    fn check(&self, check: &mut EntryCheck, idx: usize) {
        let mut report_key = |key: &Key, value: &str| {
            let found = FaultKind::Value(format!("{value:?}"));
            let field = format!("routes[{idx}].{}", key.name);
            check.report(field, found, key.accepts.to_string());
        };
        if !validate::is_method(&self.method) {
            report_key(&METHOD, &self.method);
        }
        if !validate::is_prefix(&self.prefix) {
            report_key(&PREFIX, &self.prefix);
        }
    }

    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == Self::ANY || self.method == method;
        let Some(rest) = path.strip_prefix(self.prefix.as_str()) else {
            return false;
        };
        method_fits && (rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/'))
    }
}

const FIRST_BYTE: Key = Key {
    name: "first_byte_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(Service::DEFAULT_FIRST_BYTE_MS),
    about: "the timeout of the first byte of a response",
};

const TOTAL: Key = Key {
    name: "total_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(Service::DEFAULT_TOTAL_MS),
    about: "the timeout of a whole response",
};

const METHOD: Key = Key {
    name: "method",
    accepts: Accepts::Method,
    default: DefaultValue::Required,
    about: "the method of the calls",
};

const PREFIX: Key = Key {
    name: "prefix",
    accepts: Accepts::Prefix,
    default: DefaultValue::Required,
    about: "the path prefix; it matches whole segments only",
};

const RETRY_POLICY: Key = RetryPolicy::key("the retry policy of the calls");

const PRIORITY: Key = Priority::key("the default priority of the calls");
