//! Tests of placement by the expected prefill, and of the priority that endpoints are sent.

use std::sync::Arc;
use std::time::Duration;

use route::config::{Config, Limits, ResponseKind, Route};
use route::directory::Absence;
use route::endpoint::Load;
use route::{Call, Ending, LoadPolicy, Router};

#[path = "harness/router.rs"]
mod harness;

const SHORT_PROMPT: u64 = 800;
/// Half a second of prefill before any is measured.
const LONG_PROMPT: u64 = 25_000;
const ENDPOINTS: [&str; 4] = ["e1", "e2", "e3", "e4"];
const TARGET_LATENCY: Duration = Duration::from_secs(1);

/// One host before four endpoints.
struct Host {
    router: Router,
    now: Duration,
}

impl Host {
    fn new(policy: LoadPolicy, seed: u64) -> Self {
        let mut router = harness::router(None, seed);
        let settings = route::Settings {
            load_policy: policy,
            ..router.settings().clone()
        };
        router.set_settings(settings);
        let config = router.config().unwrap();
        let route = Route {
            models: vec!["small".into()],
            response: ResponseKind::Stream {
                pause: TARGET_LATENCY,
            },
            target_latency: TARGET_LATENCY,
            ..Route::clone(config.route("shop", "/").unwrap())
        };
        let services = config.services().map(|it| (**it).clone()).collect();
        let config = Config::new(2, Limits::default(), services, Vec::new(), vec![route]);
        router.configure(Arc::new(config));
        let now = Duration::from_secs(100);
        let entries = ENDPOINTS.map(|id| harness::entry(id, "v1", Duration::ZERO));
        router.update_listing(now, entries.to_vec(), Absence::Gone);
        Self { router, now }
    }

    /// Returns a request, the last tokens of whose prompt no other request shares.
    fn call(&mut self, tokens: u64, shared: u64) -> Call {
        let mut incoming = harness::request("q1");
        incoming.profile.prompt_tokens = tokens;
        incoming.profile.shared_prefix = (shared > 0).then_some((7, shared));
        self.router.admit(self.now, incoming).unwrap()
    }

    /// Returns where a request would go, and sends it nowhere.
    fn choice(&mut self, tokens: u64, shared: u64) -> String {
        let mut call = self.call(tokens, shared);
        let placement = self.router.place(self.now, &mut call).unwrap();
        placement.id.as_str().to_owned()
    }

    /// Plays a stream at an endpoint, which reports `running` requests in its head.
    fn stream(&mut self, endpoint: &str, interval: Duration, running: u32) {
        const EVENTS: u32 = 40;
        let mut call = self.call(SHORT_PROMPT, 0);
        let placement = loop {
            let placement = self.router.place(self.now, &mut call).unwrap();
            if placement.id.as_str() == endpoint {
                break placement;
            }
        };
        let mut in_flight = self.router.begin_attempt(self.now, &mut call, &placement);
        self.router
            .response_started(self.now, &call, &mut in_flight);
        let load = Load {
            running,
            slots: 10,
            ..Load::default()
        };
        let (start, end) = (self.now, self.now + interval * (EVENTS - 1));
        in_flight.events(start, 1);
        in_flight.events(end, EVENTS - 1);
        self.router.record_load(end, &mut in_flight, load);
        self.router
            .end_attempt(end, &mut call, in_flight, Ending::Answered);
    }
}

/// Returns how many of a hundred choices went to the endpoint.
fn share_of(endpoint: &str, choices: impl Fn(u64) -> String) -> usize {
    (0..100).filter(|&seed| choices(seed) == endpoint).count()
}

/// Guards against a short prompt that goes to a busy endpoint for the sake of a few milliseconds of
/// cached prefix. Load: most requests share a prefix, and its endpoint is half full.
#[test]
fn a_cached_prefix_weighs_what_it_saves() {
    let choose = |policy, seed| {
        let mut host = Host::new(policy, seed);
        let home = host.choice(SHORT_PROMPT, SHORT_PROMPT);
        for endpoint in ENDPOINTS {
            let running = if endpoint == home { 5 } else { 0 };
            host.stream(endpoint, Duration::from_millis(1), running);
        }
        host.now += Duration::from_millis(50);
        (host.choice(SHORT_PROMPT, SHORT_PROMPT) == home).to_string()
    };
    assert_eq!(
        share_of("true", |seed| choose(LoadPolicy::Standard, seed)),
        100
    );
    assert_eq!(
        share_of("true", |seed| choose(LoadPolicy::Contended, seed)),
        0
    );
}

/// Guards against long prompts at slow endpoints, which keep all others there waiting for longest.
/// Load: one of four endpoints is twice as fast as the others.
#[test]
fn long_prompts_prefer_fast_endpoints() {
    let choose = |policy, seed| {
        let mut host = Host::new(policy, seed);
        for endpoint in ENDPOINTS.repeat(5) {
            let interval = if endpoint == "e2" { 10 } else { 20 };
            host.stream(endpoint, Duration::from_millis(interval), 0);
            host.now += Duration::from_secs(1);
        }
        host.now += Duration::from_secs(2);
        host.choice(LONG_PROMPT, 0)
    };
    assert_eq!(
        share_of("e2", |seed| choose(LoadPolicy::Contended, seed)),
        100
    );
    let standard = share_of("e2", |seed| choose(LoadPolicy::Standard, seed));
    assert!((10..40).contains(&standard), "{standard}");
}

/// Guards against short prompts that wait at an endpoint behind long ones, and against long ones
/// that are overtaken for ever.
#[test]
fn longer_prompts_are_less_urgent_until_they_have_waited() {
    let priorities = |policy| {
        let mut host = Host::new(policy, 1);
        let long = host.call(LONG_PROMPT, 0);
        let short = host.call(SHORT_PROMPT, 0);
        let of = |call: &Call, waited| host.router.request_priority(host.now + waited, call);
        let waited = TARGET_LATENCY / 2;
        [
            of(&short, Duration::ZERO),
            of(&long, Duration::ZERO),
            of(&long, waited),
        ]
    };
    assert_eq!(priorities(LoadPolicy::Contended), [0, 4, 0]);
    assert_eq!(priorities(LoadPolicy::Standard), [0, 0, 0]);
}
