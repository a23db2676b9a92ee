//! An entry as operators write it in a file.

use std::fmt::Write as _;

use kernel::Revision;
use serde_json::{Map, Value};

use crate::schema::{Section, Shape};
use crate::source::Source;
use crate::{Customer, Entry, Faults, Kind, Name, Profile, Rollout, Service, Version};

/// An entry as operators write it in a file: TOML, below a comment that names
/// the entry and the revision it was read at.
///
/// The comment is what lets `barleyctl apply` notice that somebody else
/// changed the entry meanwhile, without the operator having to remember the
/// revision.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The name that the comment gives.
    pub name: Option<Name>,
    /// The revision that the comment gives.
    pub revision: Option<Revision>,
    /// The entry.
    pub entry: Entry,
}

impl File {
    /// Reads the text of a file, which errors call `file`.
    ///
    /// # Errors
    /// Every fault of the text, by line.
    pub fn parse(kind: Kind, text: &str, file: &str) -> Result<Self, Faults> {
        let entry = Source::read(file, text, Self::schema(kind), |table| match kind {
            Kind::Version => Version::read(table).into(),
            Kind::Profile => Profile::read(table).into(),
            Kind::Customer => Customer::read(table).into(),
            Kind::Service => Service::read(table).into(),
            Kind::Rollout => Rollout::read(table).into(),
        })?;
        let header = text.lines().next().and_then(parse_header);
        let header = header.filter(|(name, _)| name.kind() == kind);
        Ok(Self {
            name: header.as_ref().map(|(name, _)| name.clone()),
            revision: header.map(|(_, revision)| revision),
            entry,
        })
    }

    /// The text of a file that holds `entry` as it is in the document.
    #[must_use]
    pub fn show(name: &Name, entry: &Entry) -> String {
        let revision = entry.changed();
        format!("{HEADER}{name}, revision {revision}\n{}", body(entry))
    }

    /// The keys of the files of a kind, from which docs/reference/profiles.md
    /// is checked.
    #[must_use]
    pub fn schema(kind: Kind) -> &'static Section {
        match kind {
            Kind::Version => &Version::SECTION,
            Kind::Profile => &Profile::SECTION,
            Kind::Customer => &Customer::SECTION,
            Kind::Service => &Service::SECTION,
            Kind::Rollout => &Rollout::SECTION,
        }
    }
}

const HEADER: &str = "# barleypin ";

/// The entry as TOML, without what the operator doesn't set.
pub(crate) fn body(entry: &Entry) -> String {
    let mut text = String::new();
    let value = serde_json::to_value(entry).expect("an entry holds only text keys and numbers");
    if let Value::Object(fields) = value {
        write_table(&mut text, File::schema(entry.kind()), &fields);
    }
    text
}

fn parse_header(line: &str) -> Option<(Name, Revision)> {
    let (name, revision) = line.strip_prefix(HEADER)?.rsplit_once(", revision ")?;
    let (kind, name) = name.split_once(' ')?;
    let kind = Kind::ALL.into_iter().find(|it| it.to_string() == kind)?;
    let revision = revision.trim_end().parse().ok()?;
    Some((Name::new(kind, name), Revision(revision)))
}

fn write_table(text: &mut String, section: &Section, fields: &Map<String, Value>) {
    for key in section.keys {
        if let Some(value) = fields.get(key.name) {
            line(text, format_args!("{} = {}", key.name, inline(value)));
        }
    }
    for child in section.sections {
        match (child.shape, fields.get(child.name)) {
            (Shape::Named, Some(Value::Object(tables))) => {
                for (name, fields) in tables {
                    let name = quoted(name);
                    line(text, format_args!("\n[{}.{name}]", child.name));
                    write_child(text, child, fields);
                }
            }
            (Shape::List, Some(Value::Array(tables))) => {
                for fields in tables {
                    line(text, format_args!("\n[[{}]]", child.name));
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

fn line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("a String takes all text");
}

/// Numbers and words read the same in TOML and JSON; other text may not.
fn inline(value: &Value) -> String {
    match value {
        Value::String(text) => toml::Value::from(text.as_str()).to_string(),
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(inline).collect();
            format!("[{}]", items.join(", "))
        }
        _ => value.to_string(),
    }
}

/// A name with a dot would otherwise read as a path of two.
fn quoted(name: &str) -> String {
    let bare = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if !name.is_empty() && name.bytes().all(bare) {
        name.to_owned()
    } else {
        toml::Value::from(name).to_string()
    }
}
