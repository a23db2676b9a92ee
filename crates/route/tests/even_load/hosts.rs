//! The routers of a simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use kernel::{DataCentre, HostName};
use route::config::{Config, Limits, Service};
use route::directory::Absence;
use route::endpoint::{Entry, State};
use route::{HostCount, Peers, Router, Settings};

use crate::kind::Kind;
use crate::scenario::{Peering, Scenario};

const DATA_CENTRES: usize = 3;

/// Returns the routers of all hosts.
pub(crate) fn routers(scenario: &Scenario) -> Vec<Router> {
    let service = Service {
        name: "pool".into(),
        max_connections: scenario.customer.connections(),
        warm_up: None,
        engine: None,
    };
    let routes = Kind::ALL.map(|it| it.route(scenario.customer)).to_vec();
    let config = Config::new(1, Limits::default(), vec![service], Vec::new(), routes);
    let config = Arc::new(config);
    let entries: Vec<_> = (0..scenario.endpoints)
        .map(|nr| entry(nr, scenario.customer.slots()))
        .collect();
    let name = |nr| HostName::from(format!("host-{nr}"));
    let names: Vec<HostName> = (0..scenario.hosts).map(name).collect();
    let router = |(nr, own): (usize, &HostName)| {
        let seed = scenario.seed * 1_000_003 + nr as u64;
        let mut router = Router::new(settings(scenario, nr), seed);
        router.configure(Arc::clone(&config));
        router.update_listing(Duration::ZERO, entries.clone(), Absence::Gone);
        if scenario.peers == Peering::Known {
            router.set_peers(Some(Peers::new(own, names.iter())));
            router.set_host_count(HostCount {
                live: u32::try_from(names.len()).unwrap(),
                silent: 0,
            });
        }
        router
    };
    names.iter().enumerate().map(router).collect()
}

fn settings(scenario: &Scenario, nr: usize) -> Settings {
    Settings {
        data_centre: data_centre(nr),
        retry_ratio: 0.9,
        retry_slack: 190.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.15,
        heartbeat: Duration::from_millis(1_200),
        max_propagation_delay: Duration::from_secs(2),
        session_gap: Duration::from_secs(5),
        load_policy: scenario.policy,
    }
}

fn entry(nr: usize, slots: u32) -> Entry {
    Entry {
        id: format!("e{nr}").as_str().into(),
        incarnation: None,
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre(nr),
        release: "v1".into(),
        slots,
        state: State::Ready,
        cold: Duration::ZERO,
    }
}

fn data_centre(nr: usize) -> DataCentre {
    format!("dc{}", nr % DATA_CENTRES).as_str().into()
}
