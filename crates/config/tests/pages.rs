//! Comparison of the reference pages with the schemas.

use std::fmt::Write as _;

use config::schema::{DefaultValue, Section, Shape};
use config::{EntryFile, EntryKind, Settings};

const SETTINGS: &str = include_str!("../../../docs/reference/settings.md");
const PROFILES: &str = include_str!("../../../docs/reference/profiles.md");

fn check(page: &str, section: &Section, heading: &str) {
    let expected = table(section, heading);
    assert!(
        page.contains(&expected),
        "the page doesn't contain this part:\n{expected}"
    );
}

/// Formats a section and its keys as in the pages.
fn table(section: &Section, heading: &str) -> String {
    let mut text = format!("{heading}\n{}.\n\n", capitalize(section.about));
    if !section.keys.is_empty() {
        text.push_str("| key | accepts | default | meaning |\n|---|---|---|---|\n");
    }
    for key in section.keys {
        let default = match key.default {
            DefaultValue::Required => "(required)".to_owned(),
            DefaultValue::Optional => "(none)".to_owned(),
            other => format!("`{other}`"),
        };
        writeln!(
            text,
            "| `{}` | {} | {default} | {} |",
            key.name, key.accepts, key.about
        )
        .expect("writing to a String cannot fail");
    }
    text
}

fn capitalize(text: &str) -> String {
    let (first, rest) = text.split_at(1);
    first.to_uppercase() + rest
}

fn heading(section: &Section) -> String {
    match section.shape {
        Shape::One => format!("## `[{}]`", section.name),
        Shape::Named => format!("### `[{}.NAME]`", section.name),
        Shape::List => format!("### `[[{}]]`", section.name),
    }
}

/// Counts the keys in a page, to detect keys that the schema doesn't have.
fn count_keys(page: &str) -> usize {
    page.lines().filter(|line| line.starts_with("| `")).count()
}

#[test]
fn settings_page_matches_the_schema() {
    let schema = &Settings::SCHEMA;
    for section in schema.sections {
        check(SETTINGS, section, &heading(section));
    }
    let known: usize = schema
        .sections
        .iter()
        .map(|section| section.keys.len())
        .sum();
    assert_eq!(
        count_keys(SETTINGS),
        known,
        "the page lists a different number of keys than the schema"
    );
}

#[test]
fn profiles_page_matches_the_schemas() {
    let mut known = 0;
    for kind in EntryKind::ALL {
        let section = EntryFile::schema(kind);
        check(
            PROFILES,
            section,
            &format!("## {}", capitalize(kind.plural())),
        );
        known += section.keys.len();
        for child in section.sections {
            check(PROFILES, child, &heading(child));
            known += child.keys.len();
        }
    }
    assert_eq!(
        count_keys(PROFILES),
        known,
        "the page lists a different number of keys than the schemas"
    );
}
