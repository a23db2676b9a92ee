//! Tests of `place` against fake relaying hosts, whose answers a real router gives.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::block_on;
use barleyctl::{Console, run};
use http::{Limits, Request, Response, Server, Status};
use kernel::DataCentre;
use route::config::{
    Config, Customer, ResponseKind, RetryPolicy, Route, RouteAccess, Service, Target,
};
use route::directory::Absence;
use route::endpoint::{Entry, State};
use route::evacuation::DataCentreAccess;
use route::rollout::Order;
use route::{
    Evacuation, HostCount, IncomingRequest, LoadPolicy, ModelChoice, RequestProfile, Revision,
    Router, Settings,
};
use serde_json::json;

const NOW: Duration = Duration::from_secs(100);
const OPERATOR_KEY: &str = "an-operators-key-of-this-test";
const CUSTOMER_KEY: &str = "k-one";

/// Two fake hosts, a directory with key files, and what the hosts were asked.
struct Harness {
    hosts: [Server; 2],
    directory: tempfile::TempDir,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Harness {
    /// Starts two hosts. Operators have evacuated the data centre `dc2`, and the second host
    /// doesn't know it yet.
    fn new() -> Self {
        let asked = Arc::new(Mutex::new(Vec::new()));
        let hosts = ["a", "b"].map(|name| {
            let router = Arc::new(router(name));
            let asked = Arc::clone(&asked);
            let any: SocketAddr = ([127, 0, 0, 1], 0).into();
            let respond = move |request: Request| {
                asked.lock().unwrap().push(request.target.clone());
                let response = respond(name, &router, &request);
                async move { response }
            };
            block_on(Server::bind(any, Limits::default(), respond)).unwrap()
        });
        let directory = tempfile::tempdir().unwrap();
        let files = [
            ("key", OPERATOR_KEY),
            ("wrong-key", "guessed"),
            ("customer", CUSTOMER_KEY),
        ];
        for (name, text) in files {
            std::fs::write(directory.path().join(name), text).unwrap();
        }
        Self {
            hosts,
            directory,
            asked,
        }
    }

    fn placeholders(&self) -> [(&'static str, String); 3] {
        [
            ("{a}", self.hosts[0].address().to_string()),
            ("{b}", self.hosts[1].address().to_string()),
            ("{dir}", self.directory.path().display().to_string()),
        ]
    }

    fn run(&self, line: &str) -> String {
        let mut line = format!("barleyctl {line}");
        for (name, value) in self.placeholders() {
            line = line.replace(name, &value);
        }
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console = Console {
            input: &mut std::io::empty(),
            out: &mut out,
            err: &mut err,
        };
        let exit = run(line.split_whitespace().map(OsString::from), &mut console);
        let mut text = String::from_utf8(out).unwrap() + &String::from_utf8(err).unwrap();
        for key in [OPERATOR_KEY, CUSTOMER_KEY] {
            assert!(!text.contains(key), "{text}");
        }
        for (name, value) in self.placeholders() {
            text = text.replace(&value, name);
        }
        format!("{text}exit {}: {exit}\n", exit.code())
    }
}

fn respond(name: &str, router: &Router, request: &Request) -> Response {
    let expected = format!("Bearer {OPERATOR_KEY}");
    if request.headers.get("authorization") != Some(expected.as_str()) {
        // The refusal of `barleypin-platform`, as its own tests have it.
        let problem = json!({"type": "about:blank", "title": "Forbidden", "status": 403,
            "reason": "not_allowed", "run": "not_run",
            "detail": "the key is not the operators' key of this host, or it has none"});
        return Response::json(Status::Forbidden, &problem);
    }
    let query = |name: &str| request.query(name).unwrap_or_default();
    let incoming = IncomingRequest {
        id: &query("id"),
        host: &query("host"),
        path: &query("path"),
        body: &[],
        key: request.headers.get("barleypin-customer-key"),
        timeout: None,
        profile: RequestProfile {
            prompt_tokens: query("tokens").parse().unwrap_or_default(),
            ..RequestProfile::default()
        },
        model_choice: ModelChoice::Route,
        relayed: None,
    };
    let explanation = router.explain(NOW + Duration::from_millis(250), incoming);
    let answer = json!({"host": name, "is_stopping": false, "explanation": explanation});
    Response::json(Status::Ok, &answer)
}

fn router(name: &str) -> Router {
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
    let mut router = Router::new(settings, 1);
    router.configure(Arc::new(config()));
    router.set_host_count(HostCount { live: 2, silent: 0 });
    let entries = [
        ("e-1", "dc1", "v1"),
        ("e-2", "dc1", "v1"),
        ("e-3", "dc2", "v1"),
        ("e-4", "dc1", "v2"),
    ];
    let entries = entries.map(|(id, data_centre, release)| entry(id, data_centre, release));
    router.update_listing(NOW, entries.to_vec(), Absence::Gone);
    let order = Order {
        service: "pool".into(),
        release: "v2".into(),
        duration: Duration::from_secs(20),
        revision: Revision::default(),
    };
    router.apply_order(order, NOW);
    if name == "a" {
        let evacuation = Evacuation {
            data_centre: DataCentre::from("dc2"),
            revision: Revision::default(),
            access: DataCentreAccess::Evacuated,
        };
        router.evacuate(NOW, evacuation);
    }
    router
}

fn config() -> Config {
    let service = Service {
        name: "pool".into(),
        max_connections: 100,
        warm_up: None,
        engine: None,
    };
    let route = Route {
        name: "chat".into(),
        host: "shop.example".to_owned(),
        prefix: "/chat/".to_owned(),
        targets: vec![Target {
            service: "pool".into(),
            weight: 1.0,
        }],
        retry_policy: RetryPolicy::Idempotent,
        response: ResponseKind::Whole,
        attempts: 3,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_secs(1),
        priority: 1,
        access: RouteAccess::Keyed,
        models: vec!["small".into(), "large".into()],
    };
    let customer = Customer {
        name: "studio".into(),
        keys: vec![CUSTOMER_KEY.to_owned()],
        priority: None,
    };
    let limits = route::config::Limits::default();
    Config::new(3, limits, vec![service], vec![customer], vec![route])
}

fn entry(id: &str, data_centre: &str, release: &str) -> Entry {
    Entry {
        id: id.into(),
        incarnation: None,
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        release: release.into(),
        slots: 10,
        state: State::Ready,
        cold: Duration::ZERO,
    }
}

/// Guards against output that hides a reason or a difference between hosts, shows a key, or leaves
/// out a host that didn't answer.
#[test]
fn place_output_matches_the_cases() {
    datadriven::walk("tests/place", |file| {
        let harness = Harness::new();
        file.run(|case| match case.directive.as_str() {
            "ctl" => harness.run(&case.input),
            "asked" => {
                let asked = std::mem::take(&mut *harness.asked.lock().unwrap());
                asked.join("\n") + "\n"
            }
            other => panic!("unknown directive {other}"),
        });
    });
}
