//! The reference pages tell what the code does.

use std::fmt::Write as _;

use config::schema::{Fallback, Section, Shape};
use config::{File, Kind, Settings};

const SETTINGS: &str = include_str!("../../../docs/reference/settings.md");
const PROFILES: &str = include_str!("../../../docs/reference/profiles.md");

fn check(page: &str, section: &Section, heading: &str) {
    let expected = table(section, heading);
    assert!(
        page.contains(&expected),
        "the page lacks this part or tells it differently:\n{expected}"
    );
}

/// A section's keys as the pages list them.
fn table(section: &Section, heading: &str) -> String {
    let mut text = format!("{heading}\n{}.\n\n", capital(section.about));
    if !section.keys.is_empty() {
        text.push_str("| key | accepts | default | meaning |\n|---|---|---|---|\n");
    }
    for key in section.keys {
        let default = match key.fallback {
            Fallback::Required => "(required)".to_owned(),
            Fallback::Optional => "(none)".to_owned(),
            other => format!("`{other}`"),
        };
        writeln!(
            text,
            "| `{}` | {} | {default} | {} |",
            key.name, key.accepts, key.about
        )
        .expect("a String takes all text");
    }
    text
}

fn capital(text: &str) -> String {
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

/// How many keys a page lists; with each known key found, it lists no other.
fn rows(page: &str) -> usize {
    page.lines().filter(|line| line.starts_with("| `")).count()
}

#[test]
fn settings_are_listed_as_the_code_knows_them() {
    let schema = &Settings::SCHEMA;
    for section in schema.sections {
        check(SETTINGS, section, &heading(section));
    }
    let known: usize = schema
        .sections
        .iter()
        .map(|section| section.keys.len())
        .sum();
    assert_eq!(rows(SETTINGS), known);
}

#[test]
fn entries_are_listed_as_the_code_knows_them() {
    let mut known = 0;
    for kind in Kind::ALL {
        let section = File::schema(kind);
        check(PROFILES, section, &format!("## {}", capital(kind.plural())));
        known += section.keys.len();
        for child in section.sections {
            check(PROFILES, child, &heading(child));
            known += child.keys.len();
        }
    }
    assert_eq!(rows(PROFILES), known);
}
