//! The routers of a simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use kernel::{DataCentre, HostName};
use route::config::{Config, Limits, Service};
use route::directory::Absence;
use route::endpoint::Entry;
use route::{HostCount, Peers, Router, Settings};

use crate::harness;
use crate::scenario::{Peering, Scenario};

const DATA_CENTRES: usize = 3;

/// Returns the routers of all hosts.
pub(crate) fn routers(scenario: &Scenario) -> Vec<Router> {
    let config = Arc::new(config(scenario));
    let slots = scenario.customer.slots();
    let entries: Vec<_> = (0..scenario.endpoints).map(|nr| entry(nr, slots)).collect();
    let name = |nr| HostName::from(format!("host-{nr}"));
    let names: Vec<HostName> = (0..scenario.hosts).map(name).collect();
    let router = |(nr, own): (usize, &HostName)| {
        let seed = scenario.seed * 1_000_003 + nr as u64;
        let mut router = Router::new(settings(scenario, nr), seed);
        router.configure(Arc::clone(&config));
        router.update_listing(Duration::ZERO, entries.clone(), Absence::Gone);
        if scenario.peers == Peering::Known {
            router.set_peers(Some(Peers::new(own, names.iter())));
            let live = u32::try_from(names.len()).unwrap();
            router.set_host_count(HostCount { live, silent: 0 });
        }
        router
    };
    names.iter().enumerate().map(router).collect()
}

fn config(scenario: &Scenario) -> Config {
    let template = harness::router(None, 0);
    let base = template.config().and_then(|it| it.route("shop", "/"));
    let routes = scenario
        .customer
        .demands()
        .map(|it| it.route(base.unwrap()));
    let service = Service {
        name: "pool".into(),
        max_connections: scenario.customer.connections(),
        warm_up: None,
        engine: None,
    };
    Config::new(
        1,
        Limits::default(),
        vec![service],
        Vec::new(),
        routes.to_vec(),
    )
}

fn settings(scenario: &Scenario, nr: usize) -> Settings {
    Settings {
        data_centre: data_centre(nr),
        retry_slack: 190.0,
        load_policy: scenario.policy,
        ..harness::router(None, 0).settings().clone()
    }
}

fn entry(nr: usize, slots: u32) -> Entry {
    Entry {
        data_centre: data_centre(nr),
        slots,
        ..harness::entry(&format!("e{nr}"), "v1", Duration::ZERO)
    }
}

fn data_centre(nr: usize) -> DataCentre {
    format!("dc{}", nr % DATA_CENTRES).as_str().into()
}
