//! Table columns for each kind of entry.

use config::{Entry, EntryKind, EntryName};

/// Returns the table header.
pub(super) fn header(kind: EntryKind) -> &'static [&'static str] {
    match kind {
        EntryKind::Version => &["VERSION", "STATE", "PROMPT", "COMPLETION", "REVISION"],
        EntryKind::Profile => &[
            "PROFILE",
            "VERSIONS",
            "QUALITY",
            "COST CAP",
            "REPEAT",
            "PRIORITY",
            "CUSTOMERS",
            "REVISION",
        ],
        EntryKind::Customer => &[
            "CUSTOMER",
            "RATE",
            "BURST",
            "CONCURRENCY",
            "WEIGHT",
            "REVISION",
        ],
        EntryKind::Service => &["SERVICE", "ROUTES", "FIRST BYTE", "TOTAL", "REVISION"],
        EntryKind::Rollout => &["VERSION", "REPLACES", "STATE", "STEP", "SHARE", "REVISION"],
    }
}

/// Returns the table row of an entry.
pub(super) fn row(name: &EntryName, entry: &Entry) -> Vec<String> {
    let mut row = vec![name.as_str().to_owned()];
    match entry {
        Entry::Version(it) => row.extend([
            it.state.to_string(),
            it.prompt.to_string(),
            it.completion.to_string(),
        ]),
        Entry::Profile(it) => row.extend([
            join(&it.allow),
            it.quality.to_string(),
            it.cost_cap.to_string(),
            it.retry_policy.to_string(),
            it.priority.to_string(),
            join(it.customers.keys()),
        ]),
        Entry::Customer(it) => row.extend([
            it.rate.to_string(),
            it.burst.to_string(),
            it.concurrency.to_string(),
            it.weight.to_string(),
        ]),
        Entry::Service(it) => row.extend([
            it.routes.len().to_string(),
            format!("{} ms", it.first_byte.as_millis()),
            format!("{} ms", it.total.as_millis()),
        ]),
        Entry::Rollout(it) => row.extend([
            it.replaces.to_string(),
            it.state.to_string(),
            format!("{} of {}", it.step + 1, it.steps.len()),
            it.share().to_string(),
        ]),
    }
    row.push(entry.changed().to_string());
    row
}

fn join<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<_> = items.into_iter().map(|it| it.to_string()).collect();
    items.join(", ")
}
