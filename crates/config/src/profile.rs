//! Profiles: allowed versions, quality and cost of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use kernel::{Customer, Money, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;
use crate::{Document, FaultKind, Priority, RetryPolicy, validate};

/// The objectives, defaults and permissions of the requests that name this profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The versions that may serve requests, in no particular order.
    pub allow: Vec<VersionId>,
    /// The minimum fraction of responses that are rated good, from 0 to 1.
    pub quality: f64,
    /// The maximum cost of a request, in microcents.
    #[serde(rename = "cost_cap_microcents")]
    pub cost_cap: Money,
    /// The retry policy of requests.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// The default priority of requests.
    #[serde(default)]
    pub priority: Priority,
    /// The default deadline of requests: the time to the end of the response.
    #[serde(
        rename = "deadline_ms",
        with = "crate::millis",
        default = "Profile::default_deadline"
    )]
    pub deadline: Duration,
    /// The maximum number of completion tokens of a request, and the default if the
    /// request doesn't set it.
    #[serde(default = "Profile::default_max_tokens")]
    pub max_tokens: u32,
    /// The behaviour of a host that can't confirm that its configuration is current.
    #[serde(default)]
    pub when_stale: WhenStale,
    /// The customers who may use the profile.
    #[serde(default)]
    pub customers: BTreeMap<Customer, Grant>,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Profile {
    /// The default of `deadline`, in milliseconds.
    pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
    /// The default of `max_tokens`.
    pub const DEFAULT_MAX_TOKENS: u32 = 1_024;

    /// Returns the versions that may serve `customer`, or `None` if it may not use
    /// this profile. Withdrawn versions are included; see
    /// [`crate::Document::usable_versions`].
    #[must_use]
    pub fn allowed(&self, customer: &Customer) -> Option<&[VersionId]> {
        let grant = self.customers.get(customer)?;
        Some(grant.allow.as_deref().unwrap_or(&self.allow))
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "the objectives, defaults and permissions of the requests that name this profile",
        shape: Shape::One,
        keys: &[
            &ALLOW,
            &QUALITY,
            &COST_CAP,
            &RETRY_POLICY,
            &PRIORITY,
            &DEADLINE,
            &MAX_TOKENS,
            &WHEN_STALE,
        ],
        sections: &[&Grant::SECTION],
    };

    pub(crate) fn read(table: &Table<'_>) -> Self {
        Self {
            allow: table.versions(&ALLOW).unwrap_or_default(),
            quality: table.fraction(&QUALITY),
            cost_cap: Money(table.integer(&COST_CAP)),
            retry_policy: table.word(&RETRY_POLICY, &RetryPolicy::WORDS),
            priority: table.word(&PRIORITY, &Priority::WORDS),
            deadline: table.duration(&DEADLINE),
            max_tokens: table.count(&MAX_TOKENS),
            when_stale: table.word(&WHEN_STALE, &WhenStale::WORDS),
            customers: Grant::read_all(table),
            changed: Revision(0),
        }
    }

    pub(crate) fn check(&self, check: &mut EntryCheck, document: &Document) {
        check_versions(check, "allow", &self.allow);
        let unknown = |id: &&VersionId| !document.versions.contains_key(*id);
        for id in self.allow.iter().filter(unknown) {
            let found = FaultKind::Value(format!("`{id}`"));
            check.report("allow", found, "a version that is configured".into());
        }
        if !validate::is_fraction(self.quality) {
            check.report_value(&QUALITY, self.quality);
        }
        check.integer(&COST_CAP, self.cost_cap.0);
        check.duration(&DEADLINE, self.deadline);
        check.integer(&MAX_TOKENS, self.max_tokens.into());
        for (customer, grant) in &self.customers {
            self.check_grant(check, customer, grant, document);
        }
    }

    /// Returns whether one of the allowed versions is active.
    pub(crate) fn has_active_version(&self, document: &Document) -> bool {
        let versions = self.allow.iter().filter_map(|id| document.versions.get(id));
        versions.into_iter().any(crate::Version::is_active)
    }

    fn check_grant(
        &self,
        check: &mut EntryCheck,
        customer: &Customer,
        grant: &Grant,
        document: &Document,
    ) {
        let field = format!("customers.{customer}");
        if !document.customers.contains_key(customer) {
            let found = FaultKind::Value(format!("`{customer}`"));
            check.report(&field, found, "a customer that is configured".into());
        }
        let Some(allow) = &grant.allow else { return };
        let field = format!("{field}.allow");
        check_versions(check, &field, allow);
        for id in allow.iter().filter(|id| !self.allow.contains(id)) {
            let found = FaultKind::Value(format!("`{id}`"));
            check.report(
                &field,
                found,
                "a version of the profile's own `allow`".into(),
            );
        }
    }

    fn default_deadline() -> Duration {
        Duration::from_millis(Self::DEFAULT_DEADLINE_MS)
    }

    fn default_max_tokens() -> u32 {
        Self::DEFAULT_MAX_TOKENS
    }
}

/// The permission of a customer to use a profile.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The subset of the profile's versions that may serve this customer; all
    /// of them if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allow: Option<Vec<VersionId>>,
}

impl Grant {
    const SECTION: Section = Section {
        name: "customers",
        about: "a customer who may use the profile, by name",
        shape: Shape::Named,
        keys: &[&GRANT_ALLOW],
        sections: &[],
    };

    fn read_all(profile: &Table<'_>) -> BTreeMap<Customer, Self> {
        let grants = profile.named(&Self::SECTION).into_iter();
        grants
            .map(|(customer, table)| {
                let allow = table.versions(&GRANT_ALLOW);
                (customer.into(), Self { allow })
            })
            .collect()
    }
}

/// The behaviour of a host towards requests while it can't confirm that its
/// configuration is current.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenStale {
    /// Serves requests with the configuration that it has.
    #[display("serve")]
    Serve,
    /// Serves requests if the host had contact with the host list or another host
    /// within `freshness.bound_ms`, and refuses them with the reason `stale` otherwise.
    ///
    /// During an outage of the table, the configuration can't change, so the service
    /// continues. A host without contact can't tell such an outage from its own
    /// isolation, in which it would miss changes.
    #[default]
    #[display("refuse_alone")]
    RefuseAlone,
    /// Refuses requests with the reason `stale`.
    #[display("refuse")]
    Refuse,
}

impl WhenStale {
    const WORDS: [(&str, Self); 3] = [
        ("serve", Self::Serve),
        ("refuse_alone", Self::RefuseAlone),
        ("refuse", Self::Refuse),
    ];
}

fn check_versions(check: &mut EntryCheck, field: &str, versions: &[VersionId]) {
    if versions.is_empty() {
        check.report(field, FaultKind::Missing, Accepts::Versions.to_string());
    }
    if !validate::are_distinct(versions) {
        let found = FaultKind::Value("a version twice".into());
        check.report(field, found, Accepts::Versions.to_string());
    }
}

const ALLOW: Key = Key {
    name: "allow",
    accepts: Accepts::Versions,
    default: DefaultValue::Required,
    about: "the versions that may serve requests, in any order",
};

const QUALITY: Key = Key {
    name: "quality",
    accepts: Accepts::Fraction,
    default: DefaultValue::Required,
    about: "the minimum fraction of responses that are rated good",
};

const COST_CAP: Key = Key {
    name: "cost_cap_microcents",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000_000_000_000,
    },
    default: DefaultValue::Required,
    about: "the maximum cost of a request, in microcents",
};

const RETRY_POLICY: Key =
    RetryPolicy::key("the retry policy; `at_most_once` for requests that must not run twice");

const PRIORITY: Key = Priority::key("the default priority of requests");

const DEADLINE: Key = Key {
    name: "deadline_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    default: DefaultValue::Integer(Profile::DEFAULT_DEADLINE_MS),
    about: "the default deadline: the time to the end of the response",
};

const MAX_TOKENS: Key = Key {
    name: "max_tokens",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(Profile::DEFAULT_MAX_TOKENS as u64),
    about: "the maximum number of completion tokens, and the default if the request sets none",
};

const WHEN_STALE: Key = Key {
    name: "when_stale",
    accepts: Accepts::OneOf(&["serve", "refuse_alone", "refuse"]),
    default: DefaultValue::Word("refuse_alone"),
    about: "the behaviour of a host that can't confirm that its configuration is current",
};

const GRANT_ALLOW: Key = Key {
    name: "allow",
    accepts: Accepts::Versions,
    default: DefaultValue::Optional,
    about: "the subset of the profile's versions that may serve this customer; all if absent",
};
