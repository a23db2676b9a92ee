//! What a profile states.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use kernel::{Customer, Money, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, Fallback, Key, Section, Shape};
use crate::table::Table;
use crate::{Document, Found, Priority, Repeat, form};

/// Which versions may answer, how good the answer has to be and what it may cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The versions that may answer, in no particular order.
    pub allow: Vec<VersionId>,
    /// The share of answers, 0 to 1, that have to be rated good.
    pub quality: f64,
    /// What one request may cost at most, in microcents.
    #[serde(rename = "cost_cap_microcents")]
    pub cost_cap: Money,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// The priority of a request that states none.
    #[serde(default)]
    pub priority: Priority,
    /// The time to the whole answer for a request that states none.
    #[serde(
        rename = "deadline_ms",
        with = "crate::millis",
        default = "Profile::default_deadline"
    )]
    pub deadline: Duration,
    /// The most completion tokens that a request may ask for, and what it gets
    /// when it asks for none.
    #[serde(default = "Profile::default_max_tokens")]
    pub max_tokens: u32,
    /// What a host does that can't prove its configuration to be the newest.
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
    /// The deadline of a profile that names none, in milliseconds.
    pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
    /// The `max_tokens` of a profile that names none.
    pub const DEFAULT_MAX_TOKENS: u32 = 1_024;

    /// The versions that `customer` may be answered by, or nothing when it
    /// may not use this profile. Withdrawn versions are not taken out here;
    /// see [`crate::Document::usable`].
    #[must_use]
    pub fn allowed(&self, customer: &Customer) -> Option<&[VersionId]> {
        let grant = self.customers.get(customer)?;
        Some(grant.allow.as_deref().unwrap_or(&self.allow))
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "which versions may answer, how good the answer has to be and what it may cost",
        shape: Shape::One,
        keys: &[
            &ALLOW,
            &QUALITY,
            &COST_CAP,
            &REPEAT,
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
            cost_cap: Money(table.whole(&COST_CAP)),
            repeat: table.word(&REPEAT, &Repeat::WORDS),
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
            let found = Found::Value(format!("`{id}`"));
            check.add("allow", found, "a version that is configured".into());
        }
        if !form::is_fraction(self.quality) {
            check.refuse(&QUALITY, self.quality);
        }
        check.whole(&COST_CAP, self.cost_cap.0);
        check.duration(&DEADLINE, self.deadline);
        check.whole(&MAX_TOKENS, self.max_tokens.into());
        for (customer, grant) in &self.customers {
            self.check_grant(check, customer, grant, document);
        }
    }

    /// Whether one of its versions may get new work.
    pub(crate) fn has_active(&self, document: &Document) -> bool {
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
            let found = Found::Value(format!("`{customer}`"));
            check.add(&field, found, "a customer that is configured".into());
        }
        let Some(allow) = &grant.allow else { return };
        let field = format!("{field}.allow");
        check_versions(check, &field, allow);
        for id in allow.iter().filter(|id| !self.allow.contains(id)) {
            let found = Found::Value(format!("`{id}`"));
            check.add(
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

/// One customer's leave to use a profile.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The part of the profile's versions that may answer this customer; all
    /// of them when absent.
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

/// What a host does with a request while it can't prove that its
/// configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenStale {
    /// Answers by the configuration it has.
    #[display("serve")]
    Serve,
    /// Answers while it hears from the host list or another host, and refuses
    /// with the reason `stale` when it is cut off from everything.
    ///
    /// A table that is out for everyone must not stop the service, and nobody
    /// can change the configuration meanwhile; a host that is cut off can't know.
    #[default]
    #[display("refuse_alone")]
    RefuseAlone,
    /// Refuses with the reason `stale`.
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
        check.add(field, Found::Missing, Accepts::Versions.to_string());
    }
    if !form::are_distinct(versions) {
        let found = Found::Value("a version twice".into());
        check.add(field, found, Accepts::Versions.to_string());
    }
}

const ALLOW: Key = Key {
    name: "allow",
    accepts: Accepts::Versions,
    fallback: Fallback::Required,
    about: "the versions that may answer, in no particular order",
};

const QUALITY: Key = Key {
    name: "quality",
    accepts: Accepts::Fraction,
    fallback: Fallback::Required,
    about: "the share of answers that has to be rated good",
};

const COST_CAP: Key = Key {
    name: "cost_cap_microcents",
    accepts: Accepts::Whole {
        min: 1,
        max: 1_000_000_000_000_000,
    },
    fallback: Fallback::Required,
    about: "what one request may cost at most, in microcents",
};

const REPEAT: Key =
    Repeat::key("whether a request may run again; `at_most_once` for what must not be doubled");

const PRIORITY: Key = Priority::key("the priority of a request that states none");

const DEADLINE: Key = Key {
    name: "deadline_ms",
    accepts: Accepts::Millis {
        min: 1,
        max: 3_600_000,
    },
    fallback: Fallback::Whole(Profile::DEFAULT_DEADLINE_MS),
    about: "the time to the whole answer for a request that states none",
};

const MAX_TOKENS: Key = Key {
    name: "max_tokens",
    accepts: Accepts::Whole {
        min: 1,
        max: 1_000_000,
    },
    fallback: Fallback::Whole(Profile::DEFAULT_MAX_TOKENS as u64),
    about: "the most completion tokens that a request may ask for, and what it gets when it asks for none",
};

const WHEN_STALE: Key = Key {
    name: "when_stale",
    accepts: Accepts::OneOf(&["serve", "refuse_alone", "refuse"]),
    fallback: Fallback::Word("refuse_alone"),
    about: "what a host does that can't prove its configuration to be the newest",
};

const GRANT_ALLOW: Key = Key {
    name: "allow",
    accepts: Accepts::Versions,
    fallback: Fallback::Optional,
    about: "the part of the profile's versions that may answer this customer; all of them when absent",
};
