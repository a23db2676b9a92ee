//! Routers and endpoints for simulated fleets.

use std::sync::Arc;
use std::time::Duration;

use route::config::{
    Config, Limits, ResponseKind, RetryPolicy, Route, RouteAccess, Service, Target,
};
use route::endpoint::{Entry, State};
use route::{IncomingRequest, LoadPolicy, ModelChoice, RequestProfile, Router, Settings, WarmUp};

/// Returns a router with one route to the service `pool`.
pub(crate) fn router(warm_up: Option<WarmUp>, seed: u64) -> Router {
    let settings = Settings {
        data_centre: "dc1".into(),
        retry_ratio: 0.9,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.15,
        heartbeat: Duration::from_millis(1_200),
        max_propagation_delay: Duration::from_secs(2),
        session_gap: Duration::from_secs(5),
        load_policy: LoadPolicy::Standard,
    };
    let service = Service {
        name: "pool".into(),
        max_connections: 100,
        warm_up,
        engine: None,
    };
    let route = Route {
        name: "draft".into(),
        host: "shop".to_owned(),
        prefix: "/".to_owned(),
        targets: vec![Target {
            service: "pool".into(),
            weight: 1.0,
        }],
        retry_policy: RetryPolicy::Idempotent,
        response: ResponseKind::Whole,
        attempts: 3,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_secs(1),
        priority: 0,
        access: RouteAccess::Public,
        models: Vec::new(),
    };
    let limits = Limits::default();
    let config = Config::new(1, limits, vec![service], Vec::new(), vec![route]);
    let mut router = Router::new(settings, seed);
    router.configure(Arc::new(config));
    router
}

/// Returns an endpoint of the service `pool`.
pub(crate) fn entry(id: &str, release: &str, cold: Duration) -> Entry {
    Entry {
        id: id.into(),
        incarnation: None,
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc2".into(),
        release: release.into(),
        slots: 10,
        state: State::Ready,
        cold,
    }
}

/// Returns a request on the route.
pub(crate) fn request(id: &str) -> IncomingRequest<'_> {
    IncomingRequest {
        id,
        host: "shop",
        path: "/",
        body: &[],
        key: None,
        timeout: None,
        profile: RequestProfile::default(),
        model_choice: ModelChoice::Route,
        relayed: None,
    }
}
