//! Applies operators' evacuations of data centres, and passes them on to other hosts.

use std::collections::BTreeSet;

use forward::Dialect;
use kernel::DataCentre;
use route::{Evacuation, Revision};
use telemetry::{Event, Value};

use crate::Store;
use crate::life::Life;

/// Applies a snapshot of all evacuations in the store.
pub(super) fn apply_snapshot<S: Store, D: Dialect>(
    life: &Life<S, D>,
    at: Revision,
    emptied: Vec<Evacuation>,
) {
    apply_and_log(life, || {
        let now = life.node.now();
        life.node.router().read_evacuations(now, at, emptied);
    });
}

/// Applies changed evacuations, from the store or from another host.
pub(crate) fn hear<S: Store, D: Dialect>(life: &Life<S, D>, said: Vec<Evacuation>) {
    apply_and_log(life, || {
        let (now, mut router) = (life.node.now(), life.node.router());
        for it in said {
            router.evacuate(now, it);
        }
    });
}

/// Applies a change, logs which data centres it evacuated or opened, and sends the
/// neighbours an update if there are any.
fn apply_and_log<S: Store, D: Dialect>(life: &Life<S, D>, change: impl FnOnce()) {
    let before = emptied(life);
    change();
    let now = emptied(life);
    let say = |event, it: &DataCentre| {
        let data_centre = ("data_centre", Value::Text(it));
        life.recorder().say(event, &[data_centre]);
    };
    for it in now.difference(&before) {
        say(Event::DataCentreEmptied, it);
    }
    for it in before.difference(&now) {
        say(Event::DataCentreOpen, it);
    }
    if now != before {
        life.hurry();
    }
}

fn emptied<S: Store, D: Dialect>(life: &Life<S, D>) -> BTreeSet<DataCentre> {
    let router = life.node.router();
    router
        .directory()
        .evacuations()
        .emptied()
        .cloned()
        .collect()
}
