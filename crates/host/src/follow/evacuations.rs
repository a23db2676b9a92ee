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
    evacuations: Vec<Evacuation>,
) {
    apply_and_log(life, || {
        let now = life.node.now();
        life.node.router().read_evacuations(now, at, evacuations);
    });
}

/// Applies changed evacuations, from the store or from another host.
pub(crate) fn hear<S: Store, D: Dialect>(life: &Life<S, D>, evacuations: Vec<Evacuation>) {
    apply_and_log(life, || {
        let (now, mut router) = (life.node.now(), life.node.router());
        for it in evacuations {
            router.evacuate(now, it);
        }
    });
}

/// Applies a change, logs which data centres it evacuated or opened, and sends the
/// neighbours an update if there are any.
fn apply_and_log<S: Store, D: Dialect>(life: &Life<S, D>, change: impl FnOnce()) {
    let before = evacuated_data_centres(life);
    change();
    let after = evacuated_data_centres(life);
    let log = |event, it: &DataCentre| {
        let data_centre = ("data_centre", Value::Text(it));
        life.recorder().log_event(event, &[data_centre]);
    };
    for it in after.difference(&before) {
        log(Event::DataCentreEmptied, it);
    }
    for it in before.difference(&after) {
        log(Event::DataCentreOpen, it);
    }
    if after != before {
        life.hurry();
    }
}

fn evacuated_data_centres<S: Store, D: Dialect>(life: &Life<S, D>) -> BTreeSet<DataCentre> {
    let router = life.node.router();
    router
        .directory()
        .evacuations()
        .evacuated()
        .cloned()
        .collect()
}
