//! Takes what operators say of data centres, and has the others told.

use std::collections::BTreeSet;

use forward::Dialect;
use kernel::DataCentre;
use route::{Evacuation, Revision};
use telemetry::{Event, Value};

use crate::Store;
use crate::life::Life;

/// Takes all that the store has of emptied data centres at a moment.
pub(super) fn read<S: Store, D: Dialect>(
    life: &Life<S, D>,
    at: Revision,
    emptied: Vec<Evacuation>,
) {
    change(life, || {
        let now = life.node.now();
        life.node.router().read_evacuations(now, at, emptied);
    });
}

/// Takes words on data centres, from the store or from another host.
pub(crate) fn hear<S: Store, D: Dialect>(life: &Life<S, D>, said: Vec<Evacuation>) {
    change(life, || {
        let (now, mut router) = (life.node.now(), life.node.router());
        for it in said {
            router.evacuate(now, it);
        }
    });
}

/// Says what a change has emptied and taken back, and has the neighbours told at once.
fn change<S: Store, D: Dialect>(life: &Life<S, D>, change: impl FnOnce()) {
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
