//! Files that hold one entry, as operators edit them.

use std::fmt::Write as _;

use kernel::Revision;
use serde_json::{Map, Value};

use crate::schema::{Section, Shape};
use crate::source::Source;
use crate::{Customer, Entry, EntryKind, EntryName, Faults, Profile, Rollout, Service, Version};

/// A file that holds one entry as TOML, below a header comment with the entry's
/// name and the revision that last changed it.
///
/// Without `--revision`, `barleyctl apply` takes the change's base revision from the
/// header, and so detects that another operator changed the entry in the meantime.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryFile {
    /// The name in the header; `None` if there is no header for this kind of entry.
    pub name: Option<EntryName>,
    /// The revision in the header; `None` if there is no header for this kind of entry.
    pub revision: Option<Revision>,
    /// The entry.
    pub entry: Entry,
}

impl EntryFile {
    /// Parses the text of a file. `file` is its name in errors.
    ///
    /// # Errors
    /// All faults of the text, ordered by line. After a syntax error, missing keys
    /// aren't reported.
    pub fn parse(kind: EntryKind, text: &str, file: &str) -> Result<Self, Faults> {
        let entry = Source::read(file, text, Self::schema(kind), |table| match kind {
            EntryKind::Version => Version::read(table).into(),
            EntryKind::Profile => Profile::read(table).into(),
            EntryKind::Customer => Customer::read(table).into(),
            EntryKind::Service => Service::read(table).into(),
            EntryKind::Rollout => Rollout::read(table).into(),
        })?;
        let header = text.lines().next().and_then(parse_header);
        let header = header.filter(|(name, _)| name.kind() == kind);
        Ok(Self {
            name: header.as_ref().map(|(name, _)| name.clone()),
            revision: header.map(|(_, revision)| revision),
            entry,
        })
    }

    /// Returns the text of a file that holds `entry`, with the header.
    #[must_use]
    pub fn show(name: &EntryName, entry: &Entry) -> String {
        let revision = entry.changed();
        format!("{HEADER}{name}, revision {revision}\n{}", to_toml(entry))
    }

    /// Returns the schema of the files of a kind. A test compares
    /// docs/reference/profiles.md with it.
    #[must_use]
    pub fn schema(kind: EntryKind) -> &'static Section {
        match kind {
            EntryKind::Version => &Version::SECTION,
            EntryKind::Profile => &Profile::SECTION,
            EntryKind::Customer => &Customer::SECTION,
            EntryKind::Service => &Service::SECTION,
            EntryKind::Rollout => &Rollout::SECTION,
        }
    }
}

const HEADER: &str = "# barleypin ";

/// Returns the entry as TOML, without the fields that operators can't set.
pub(crate) fn to_toml(entry: &Entry) -> String {
    let mut text = String::new();
    let value = serde_json::to_value(entry).expect("every map of an entry has text keys");
    if let Value::Object(fields) = value {
        write_table(&mut text, EntryFile::schema(entry.kind()), &fields);
    }
    text
}

fn parse_header(line: &str) -> Option<(EntryName, Revision)> {
    let (name, revision) = line.strip_prefix(HEADER)?.rsplit_once(", revision ")?;
    let (kind, name) = name.split_once(' ')?;
    let kind = EntryKind::ALL
        .into_iter()
        .find(|it| it.to_string() == kind)?;
    let revision = revision.trim_end().parse().ok()?;
    Some((EntryName::new(kind, name), Revision(revision)))
}

fn write_table(text: &mut String, section: &Section, fields: &Map<String, Value>) {
    for key in section.keys {
        if let Some(value) = fields.get(key.name) {
            push_line(text, format_args!("{} = {}", key.name, inline_value(value)));
        }
    }
    for child in section.sections {
        match (child.shape, fields.get(child.name)) {
            (Shape::Named, Some(Value::Object(tables))) => {
                for (name, fields) in tables {
                    let name = table_key(name);
                    push_line(text, format_args!("\n[{}.{name}]", child.name));
                    write_child(text, child, fields);
                }
            }
            (Shape::List, Some(Value::Array(tables))) => {
                for fields in tables {
                    push_line(text, format_args!("\n[[{}]]", child.name));
                    write_child(text, child, fields);
                }
            }
            _ => {}
        }
    }
}

fn write_child(text: &mut String, section: &Section, fields: &Value) {
    if let Value::Object(fields) = fields {
        write_table(text, section, fields);
    }
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a String cannot fail");
}

/// Formats a value as inline TOML. Numbers are the same in JSON and TOML, strings
/// need the quoting of TOML.
fn inline_value(value: &Value) -> String {
    match value {
        Value::String(text) => toml::Value::from(text.as_str()).to_string(),
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(inline_value).collect();
            format!("[{}]", items.join(", "))
        }
        _ => value.to_string(),
    }
}

/// Quotes a key that isn't a bare TOML key: a dot in a bare key would separate two keys.
fn table_key(name: &str) -> String {
    let is_bare = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if !name.is_empty() && name.bytes().all(is_bare) {
        name.to_owned()
    } else {
        toml::Value::from(name).to_string()
    }
}
