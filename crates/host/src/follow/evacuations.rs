//! Applies operators' evacuations of data centres, and passes them on to other hosts.

use std::collections::BTreeSet;

use forward::Dialect;
use kernel::DataCentre;
use route::{Evacuation, Revision};
use telemetry::{Event, Value};

use crate::Store;
use crate::host::Host;

/// Applies a snapshot of all evacuations in the store.
pub(super) fn apply_snapshot<S: Store, D: Dialect>(
    host: &Host<S, D>,
    at: Revision,
    evacuations: Vec<Evacuation>,
) {
    apply_and_log(host, || {
        let now = host.node.now();
        host.node.router().read_evacuations(now, at, evacuations);
    });
}

/// Applies changed evacuations, from the store or from another host.
pub(crate) fn apply<S: Store, D: Dialect>(host: &Host<S, D>, evacuations: Vec<Evacuation>) {
    apply_and_log(host, || {
        let (now, mut router) = (host.node.now(), host.node.router());
        for it in evacuations {
            router.evacuate(now, it);
        }
    });
}

/// Applies a change, logs which data centres it evacuated or opened, and sends the
/// neighbours an update if there are any.
fn apply_and_log<S: Store, D: Dialect>(host: &Host<S, D>, change: impl FnOnce()) {
    let before = evacuated_data_centres(host);
    change();
    let after = evacuated_data_centres(host);
    let log = |event, it: &DataCentre| {
        let data_centre = ("data_centre", Value::Text(it));
        host.recorder().log_event(event, &[data_centre]);
    };
    for it in after.difference(&before) {
        log(Event::DataCentreEmptied, it);
    }
    for it in before.difference(&after) {
        log(Event::DataCentreOpen, it);
    }
    if after != before {
        host.schedule_update();
    }
}

fn evacuated_data_centres<S: Store, D: Dialect>(host: &Host<S, D>) -> BTreeSet<DataCentre> {
    let router = host.node.router();
    router
        .directory()
        .evacuations()
        .evacuated()
        .cloned()
        .collect()
}
