//! Access to the tables of a TOML text by their schema.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use kernel::VersionId;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::FaultKind;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::source::Source;
use crate::validate;

/// A table of a TOML text with its schema; it may be absent.
///
/// The accessors return the default of an absent key. For a value that the key
/// doesn't accept, or an absent required key, they report a fault and return a
/// placeholder; [`Table::versions`] returns `None`.
pub(crate) struct Table<'a> {
    source: &'a Source<'a>,
    values: Option<&'a DeTable<'a>>,
    section: &'static Section,
    path: String,
    offset: usize,
}

impl<'a> Table<'a> {
    /// Creates the root table, and reports its unknown keys.
    pub(crate) fn root(
        source: &'a Source<'a>,
        table: &'a DeTable<'a>,
        section: &'static Section,
    ) -> Self {
        let root = Self {
            source,
            values: Some(table),
            section,
            path: String::new(),
            offset: 0,
        };
        root.report_unknown_keys();
        root
    }

    /// Returns a single table. If it is absent, all its keys count as absent: required
    /// ones are reported, the others have their defaults.
    pub(crate) fn one(&self, section: &'static Section) -> Self {
        debug_assert_eq!(section.shape, Shape::One);
        match self.get(section.name) {
            Some((offset, value)) => self.child(section, section.name, offset, value),
            None => Self {
                source: self.source,
                values: None,
                section,
                path: self.path_of(section.name),
                offset: self.offset,
            },
        }
    }

    /// Returns the named tables of a section.
    pub(crate) fn named(&self, section: &'static Section) -> Vec<(String, Self)> {
        debug_assert_eq!(section.shape, Shape::Named);
        let Some((_, value)) = self.get(section.name) else {
            return Vec::new();
        };
        let Some(tables) = value.get_ref().as_table() else {
            self.report_value(section.name, value, "a table for each name");
            return Vec::new();
        };
        tables
            .iter()
            .map(|(name, value)| {
                let path = format!("{}.{}", section.name, name.get_ref());
                let table = self.child(section, &path, name.span().start, value);
                (name.get_ref().to_string(), table)
            })
            .collect()
    }

    /// Returns the tables of a list.
    pub(crate) fn list(&self, section: &'static Section) -> Vec<Self> {
        debug_assert_eq!(section.shape, Shape::List);
        let Some((_, value)) = self.get(section.name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.report_value(section.name, value, "a list of tables");
            return Vec::new();
        };
        array
            .iter()
            .enumerate()
            .map(|(idx, value)| {
                let path = format!("{}[{idx}]", section.name);
                self.child(section, &path, value.span().start, value)
            })
            .collect()
    }

    /// Returns a duration; the file gives it in seconds for [`Accepts::Seconds`],
    /// else in milliseconds.
    pub(crate) fn duration(&self, key: &'static Key) -> Duration {
        match key.accepts {
            Accepts::Seconds { .. } => Duration::from_secs(self.integer(key)),
            _ => Duration::from_millis(self.integer(key)),
        }
    }

    /// Returns an integer; the key's bounds have to fit a `u32`.
    pub(crate) fn count(&self, key: &'static Key) -> u32 {
        u32::try_from(self.integer(key)).unwrap_or(u32::MAX)
    }

    /// Returns an integer as a `usize`.
    pub(crate) fn size(&self, key: &'static Key) -> usize {
        usize::try_from(self.integer(key)).unwrap_or(usize::MAX)
    }

    /// Returns the integer of a key; a value out of the key's bounds is a fault.
    pub(crate) fn integer(&self, key: &'static Key) -> u64 {
        self.value(key, |value| {
            integer(value).filter(|number| key.accepts.is_in_bounds(*number))
        })
        .unwrap_or(match key.default {
            DefaultValue::Integer(number) => number,
            _ => 0,
        })
    }

    /// Returns the fraction of a key; a value that isn't from 0 to 1 is a fault.
    pub(crate) fn fraction(&self, key: &'static Key) -> f64 {
        self.value(key, |value| {
            float(value).filter(|it| validate::is_fraction(*it))
        })
        .unwrap_or(match key.default {
            DefaultValue::Fraction(share) => share,
            _ => 0.0,
        })
    }

    /// Returns the traffic shares of a roll-out's steps.
    pub(crate) fn steps(&self, key: &'static Key) -> Vec<f64> {
        self.value(key, |value| {
            let steps: Option<Vec<f64>> = value.as_array()?.iter().map(spanned_float).collect();
            steps.filter(|steps| validate::are_steps(steps))
        })
        .unwrap_or_else(|| match key.default {
            DefaultValue::Steps(steps) => steps.to_vec(),
            _ => Vec::new(),
        })
    }

    /// Returns the value that `words` maps the key's word to.
    pub(crate) fn word<T: Copy>(&self, key: &'static Key, words: &[(&str, T)]) -> T {
        let find = |text: &str| words.iter().find(|(word, _)| *word == text);
        self.value(key, |value| find(value.as_str()?).map(|(_, it)| *it))
            .unwrap_or_else(|| {
                let default = match key.default {
                    DefaultValue::Word(word) => find(word),
                    _ => None,
                };
                default.unwrap_or(&words[0]).1
            })
    }

    /// Returns the string of a key.
    pub(crate) fn text(&self, key: &'static Key) -> String {
        self.value(key, |value| {
            let text = value.as_str()?;
            let fits = match key.accepts {
                Accepts::Name => validate::is_name(text),
                Accepts::Version => validate::is_version(text),
                Accepts::Hash => validate::is_hash(text),
                Accepts::Method => validate::is_method(text),
                Accepts::Prefix => validate::is_prefix(text),
                _ => !text.is_empty(),
            };
            fits.then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Returns a list of versions; `None` if the key is absent or has a fault, which
    /// is reported.
    pub(crate) fn versions(&self, key: &'static Key) -> Option<Vec<VersionId>> {
        self.value(key, |value| {
            let version = |value: &Spanned<DeValue<'_>>| {
                let text = value.get_ref().as_str()?;
                validate::is_version(text).then(|| VersionId::from(text))
            };
            let versions: Option<Vec<VersionId>> = value.as_array()?.iter().map(version).collect();
            versions.filter(|versions| !versions.is_empty() && validate::are_distinct(versions))
        })
    }

    /// Returns a socket address.
    pub(crate) fn address(&self, key: &'static Key) -> SocketAddr {
        self.value(key, |value| value.as_str()?.parse().ok())
            .unwrap_or_else(|| ([0, 0, 0, 0], 0).into())
    }

    /// Returns the path of a file.
    pub(crate) fn path(&self, key: &'static Key) -> PathBuf {
        self.text(key).into()
    }

    /// Reports a value that is inconsistent with the value of another key.
    pub(crate) fn report_inconsistent_value(&self, section: &Section, key: &Key, accepted: &str) {
        let table = self.get(section.name);
        let values = table.and_then(|(_, value)| value.get_ref().as_table());
        let value = values.and_then(|values| values.get(key.name));
        let (offset, shown) = match (value, table) {
            (Some(value), _) => (value.span().start, self.source.show(value)),
            (None, Some((offset, _))) => (offset, key.default.to_string()),
            (None, None) => (self.offset, key.default.to_string()),
        };
        let field = format!("{}.{}", section.name, key.name);
        self.source
            .report(offset, field, FaultKind::Value(shown), accepted.to_owned());
    }

    /// Returns the value of a key as converted by `parse`. Reports a fault and returns
    /// `None` if `parse` returns `None` or a required key is absent. If another key is
    /// absent, it only returns `None`.
    fn value<T>(
        &self,
        key: &'static Key,
        parse: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        debug_assert!(
            self.section.keys.iter().any(|known| known.name == key.name),
            "the schema of {} has no key {}",
            self.section.name,
            key.name,
        );
        let Some((_, value)) = self.get(key.name) else {
            if key.default == DefaultValue::Required {
                let field = self.path_of(key.name);
                let accepted = key.accepts.to_string();
                self.source
                    .report(self.offset, field, FaultKind::Missing, accepted);
            }
            return None;
        };
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            self.report_key_value(key, value);
        }
        parsed
    }

    fn report_key_value(&self, key: &Key, value: &Spanned<DeValue<'_>>) {
        let shown = match key.accepts {
            // The value isn't shown: it may be the key itself instead of its hash.
            Accepts::Hash => "a value (hidden)".to_owned(),
            _ => self.source.show(value),
        };
        self.source.report(
            value.span().start,
            self.path_of(key.name),
            FaultKind::Value(shown),
            key.accepts.to_string(),
        );
    }

    fn report_value(&self, name: &str, value: &Spanned<DeValue<'_>>, accepted: &str) {
        let found = FaultKind::Value(self.source.show(value));
        let field = self.path_of(name);
        self.source
            .report(value.span().start, field, found, accepted.to_owned());
    }

    fn child(
        &self,
        section: &'static Section,
        name: &str,
        offset: usize,
        value: &'a Spanned<DeValue<'a>>,
    ) -> Self {
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.report_value(name, value, "a table");
        }
        let child = Self {
            source: self.source,
            values: table,
            section,
            path: self.path_of(name),
            offset,
        };
        child.report_unknown_keys();
        child
    }

    fn report_unknown_keys(&self) {
        let Some(table) = self.values else { return };
        let keys = self.section.keys.iter().map(|key| key.name);
        let sections = self.section.sections.iter().map(|section| section.name);
        let known: Vec<_> = keys.chain(sections).collect();
        for name in table.keys() {
            if known.contains(&name.get_ref().as_ref()) {
                continue;
            }
            let field = self.path_of(name.get_ref());
            let accepted = suggest(name.get_ref(), &known);
            self.source
                .report(name.span().start, field, FaultKind::UnknownKey, accepted);
        }
    }

    fn get(&self, name: &str) -> Option<(usize, &'a Spanned<DeValue<'a>>)> {
        let (key, value) = self.values?.get_key_value(name)?;
        Some((key.span().start, value))
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

fn integer(value: &DeValue<'_>) -> Option<u64> {
    let literal = value.as_integer()?;
    u64::from_str_radix(literal.as_str(), literal.radix()).ok()
}

/// Parses a float, or an integer such as `0` or `1`, as a float.
fn float(value: &DeValue<'_>) -> Option<f64> {
    let text = value
        .as_float()
        .map(toml::de::DeFloat::as_str)
        .or_else(|| value.as_integer().map(toml::de::DeInteger::as_str))?;
    text.parse().ok()
}

fn spanned_float(value: &Spanned<DeValue<'_>>) -> Option<f64> {
    float(value.get_ref())
}

fn suggest(name: &str, known: &[&str]) -> String {
    /// Lower limit on the Jaro-Winkler similarity of a suggested name.
    const MIN_SIMILARITY: f64 = 0.7;
    let nearest = known
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right));
    match nearest {
        Some((_, known)) => format!("did you mean `{known}`?"),
        None => format!("known here: {}", known.join(", ")),
    }
}
