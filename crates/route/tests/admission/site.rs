//! Routers of a service with two routes and several customers.

use std::sync::Arc;
use std::time::Duration;

use route::config::{
    Config, Customer, Limits, ResponseKind, RetryPolicy, Route, RouteAccess, Service, Target,
};
use route::endpoint::{Entry, State};
use route::{
    HostCount, IncomingRequest, LoadPolicy, ModelChoice, RequestProfile, Router, Settings,
};

pub(crate) const TIMEOUT: Duration = Duration::from_secs(4);
pub(crate) const TARGET_LATENCY: Duration = Duration::from_secs(1);
pub(crate) const SLOTS: u32 = 4;
pub(crate) const CUSTOMERS: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];
/// The path of the most urgent requests.
pub(crate) const URGENT: &str = "/urgent/";
pub(crate) const PLAIN: &str = "/plain/";

pub(crate) fn router(load_policy: LoadPolicy, hosts: u32, seed: u64) -> Router {
    let settings = Settings {
        data_centre: "dc1".into(),
        retry_ratio: 0.9,
        retry_slack: 190.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.15,
        heartbeat: Duration::from_millis(1_200),
        max_propagation_delay: Duration::from_secs(2),
        session_gap: Duration::from_secs(5),
        load_policy,
    };
    let service = Service {
        name: "pool".into(),
        max_connections: 500,
        warm_up: None,
        engine: None,
    };
    let customer = |name: &&str| Customer {
        name: (*name).into(),
        keys: vec![(*name).to_owned()],
        priority: None,
    };
    let customers = CUSTOMERS.iter().map(customer).collect();
    let all_routes = vec![route(URGENT, 0), route(PLAIN, 5)];
    let config = Config::new(1, Limits::default(), vec![service], customers, all_routes);
    let mut router = Router::new(settings, seed);
    router.configure(Arc::new(config));
    router.set_host_count(HostCount {
        live: hosts,
        silent: 0,
    });
    router
}

fn route(prefix: &str, priority: u8) -> Route {
    Route {
        name: prefix.into(),
        host: "shop".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target {
            service: "pool".into(),
            weight: 1.0,
        }],
        retry_policy: RetryPolicy::Idempotent,
        response: ResponseKind::Whole,
        attempts: 2,
        timeout: TIMEOUT,
        target_latency: TARGET_LATENCY,
        priority,
        access: RouteAccess::Keyed,
        models: vec!["m".into()],
    }
}

pub(crate) fn entry(nr: usize) -> Entry {
    Entry {
        id: format!("e-{nr}").as_str().into(),
        incarnation: None,
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc1".into(),
        release: "v1".into(),
        slots: SLOTS,
        state: State::Ready,
        cold: Duration::ZERO,
    }
}

pub(crate) fn request<'a>(
    customer: &'a str,
    path: &'a str,
    id: &'a str,
    timeout: Duration,
) -> IncomingRequest<'a> {
    IncomingRequest {
        id,
        host: "shop",
        path,
        body: id.as_bytes(),
        key: Some(customer),
        timeout: Some(timeout),
        profile: RequestProfile::default(),
        model_choice: ModelChoice::Route,
        relayed: None,
    }
}
