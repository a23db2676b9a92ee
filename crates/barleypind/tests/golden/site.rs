//! The daemons and stand-ins of one session file, run in this process on the loopback interface.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use barleypind::log::Log;
use barleypind::{Daemon, DrainOutcome};
use config::{Customer, Settings};
use datadriven::TestCase;
use fakes::RunningStandIns;
use http::{Client, Method, Options, PoolLimits, Request, Response};
use link::keys::Authority;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::clock::ShiftedClock;

/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) const OPERATOR_KEY: &str = "the-operators-key";

pub(crate) struct Site {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) saved: BTreeMap<String, String>,
    pub(crate) addresses: BTreeMap<String, SocketAddr>,
    clock: Arc<ShiftedClock>,
    client: Client,
    _started: RunningStandIns,
    dir: TempDir,
    /// The fraction of responses that are rated, also used as the share of exploration.
    rated: f64,
}

impl Site {
    pub(crate) async fn start(case: &TestCase) -> Self {
        let hosts = argument(case, "hosts").unwrap_or(1);
        let clock = Arc::new(ShiftedClock::default());
        let settings = fakes::Settings::parse(&format!("{PLATFORM}\n{}", case.input)).unwrap();
        let endpoints = settings.engine.len() + settings.service.len();
        let started = RunningStandIns::start(clock.clone(), settings)
            .await
            .unwrap();
        let addresses: BTreeMap<String, SocketAddr> = started
            .addresses()
            .into_iter()
            .map(|(name, address)| (name.to_owned(), address))
            .collect();
        let dir = TempDir::new().unwrap();
        let authority = Authority::generate("test").unwrap();
        let mut site = Self {
            daemons: Vec::new(),
            saved: BTreeMap::new(),
            addresses,
            client: Client::new(clock.clone(), PoolLimits::default()),
            clock,
            _started: started,
            dir,
            rated: argument(case, "rated").unwrap_or(0.0),
        };
        for at in 0..hosts {
            let name = format!("entry-{}", at + 1);
            let settings = site.settings(&authority, &name);
            let daemon = Daemon::start(settings, Log::discard(), site.clock.clone())
                .await
                .unwrap();
            site.register(&name, &daemon).await;
            site.daemons.push(daemon);
        }
        site.configure().await;
        for at in 0..hosts {
            let wanted = [
                format!("barleypin_endpoints {endpoints}"),
                format!("barleypin_members{{state=\"live\"}} {hosts}"),
            ];
            site.until(&wanted.join(" and "), async |site| {
                let res = site
                    .send(site.daemons[at].callers(), Request::get("/metrics"))
                    .await;
                let metrics = text(res).await;
                wanted
                    .iter()
                    .all(|it| metrics.lines().any(|line| line == it))
            })
            .await;
        }
        site
    }

    pub(crate) async fn send(&self, to: SocketAddr, request: Request) -> Response {
        self.client
            .send(to, request, &Options::default())
            .await
            .unwrap_or_else(|err| panic!("{to}: {err}"))
    }

    /// Runs `drain`: drains the host named in the case and shows the outcome.
    pub(crate) async fn drain(&self, case: &TestCase) -> String {
        let daemon = &self.daemons[host(case)];
        daemon.drain();
        match daemon.ended().await {
            DrainOutcome::Complete => "whole\n".to_owned(),
            DrainOutcome::LimitReached => "at the bound\n".to_owned(),
        }
    }

    /// Runs `wait`: waits until all hosts have the revision named in the case in force.
    pub(crate) async fn wait(&self, case: &TestCase) -> String {
        let revision: u64 = argument(case, "revision").expect("a revision");
        self.in_force(revision).await;
        "in force\n".to_owned()
    }

    /// Runs `advance`: advances the clock of all hosts by the case's seconds, and waits until
    /// each has a new proof that its configuration is the newest.
    pub(crate) async fn advance(&self, case: &TestCase) -> String {
        let seconds = argument(case, "seconds").expect("seconds");
        self.clock.advance(Duration::from_secs(seconds));
        for daemon in &self.daemons {
            self.until("a fresh proof", async |site| {
                let request = operator(Request::get("/operator/v1/status"));
                let res = site.send(daemon.operators(), request).await;
                let status: Value = serde_json::from_str(&text(res).await).unwrap();
                status["host"]["proof_age_ms"].as_u64() < Some(5_000)
            })
            .await;
        }
        "fresh\n".to_owned()
    }

    pub(crate) async fn stop(&self) {
        for daemon in &self.daemons {
            daemon.drain();
        }
        for daemon in &self.daemons {
            daemon.ended().await;
        }
    }

    async fn in_force(&self, revision: u64) {
        for daemon in &self.daemons {
            let what = format!("revision {revision}");
            self.until(&what, async |site| {
                let request = operator(Request::get("/operator/v1/document"));
                let res = site.send(daemon.operators(), request).await;
                let answer: Value = serde_json::from_str(&text(res).await).unwrap();
                answer["revision"].as_u64() >= Some(revision)
            })
            .await;
        }
    }

    pub(crate) async fn until(&self, what: &str, check: impl AsyncFn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !check(self).await {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            task::sleep(POLL_INTERVAL).await;
        }
    }

    fn settings(&self, authority: &Authority, name: &str) -> Settings {
        let dir = self.dir.path();
        let keys = authority.issue(&name.into()).unwrap();
        let file = |file: &str, text: &str| {
            let path = dir.join(format!("{name}-{file}"));
            fs::write(&path, text).unwrap();
            path.display().to_string()
        };
        let text = format!(
            r#"
            [host]
            name = "{name}"
            data_centre = "dar-{}"
            region = "dar"
            drain_limit_s = 10
            [listen]
            callers = "127.0.0.1:0"
            operators = "127.0.0.1:0"
            fleet = "127.0.0.1:0"
            [platform]
            table = "{}"
            objects = "{}"
            host_list = "{}"
            ratings = "{}"
            host_list_poll_ms = 100
            ratings_poll_ms = 100
            [keys]
            fleet_ca = "{}"
            host_certificate = "{}"
            host_key = "{}"
            operator_key = "{}"
            session_key = "{}"
            [limits]
            max_body_bytes = 65536
            hosts_keep_ms = 100
            [decide]
            rating_share = {:?}
            explore_share = {:?}
            load_poll_ms = 50
            [freshness]
            poll_ms = 100
            "#,
            name.trim_start_matches("entry-"),
            self.addresses["table"],
            self.addresses["objects"],
            self.addresses["hosts"],
            self.addresses["rating"],
            file("ca.pem", &keys.ca),
            file("host.pem", &keys.certificate),
            file("host.key.pem", &keys.key),
            file("operator.key", OPERATOR_KEY),
            file("session.key", "the key that signs sessions"),
            self.rated,
            self.rated,
        );
        Settings::parse(&text, "host.toml").unwrap_or_else(|faults| panic!("{faults}"))
    }

    async fn register(&self, name: &str, daemon: &Daemon) {
        let host = json!({
            "name": name,
            "kind": "entry",
            "incarnation": 1,
            "address": daemon.callers().to_string(),
            "fleet_address": daemon.fleet().to_string(),
            "data_centre": format!("dar-{}", name.trim_start_matches("entry-")),
            "region": "dar",
            "state": "live",
        });
        let request = Request::post("/control/hosts", &json!({ "hosts": [host] }));
        self.send(self.addresses["hosts"], request).await;
    }

    /// Commits the configuration shared by all session files.
    async fn configure(&self) {
        let entries: Value = serde_json::from_str(include_str!("config.json")).unwrap();
        let mut revision = 0;
        for (at, it) in entries.as_array().unwrap().iter().enumerate() {
            let (path, mut entry) = (it["path"].as_str().unwrap(), it["entry"].clone());
            if let Some(name) = path.strip_prefix("customers/") {
                entry["key_blake3"] = Customer::hash(key_of(name).as_bytes()).into();
            }
            let request = operator(Request::new(Method::Put, format!("/operator/v1/{path}")))
                .header("if-match", "0")
                .header("barleypin-change", format!("seed-{at}"))
                .json(&entry);
            let answer = text(self.send(self.daemons[0].operators(), request).await).await;
            let answer: Value = serde_json::from_str(&answer).unwrap();
            let committed = answer["revision"].as_u64();
            revision = committed.unwrap_or_else(|| panic!("{path}: {answer}"));
        }
        self.in_force(revision).await;
    }
}

/// Returns the bearer key of a customer.
pub(crate) fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

pub(crate) fn operator(request: Request) -> Request {
    request.header("authorization", format!("Bearer {OPERATOR_KEY}"))
}

pub(crate) async fn text(response: Response) -> String {
    let bytes = response.body.collect(1 << 20).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Returns the index of the host named in the case, by default the first.
pub(crate) fn host(case: &TestCase) -> usize {
    argument(case, "host").map_or(0, |at: usize| at - 1)
}

pub(crate) fn argument<T: std::str::FromStr>(case: &TestCase, name: &str) -> Option<T> {
    case.args.get(name)?.first()?.parse().ok()
}

const PLATFORM: &str = r#"
seed = 7
[[table]]
name = "table"
[[objects]]
name = "objects"
[[hosts]]
name = "hosts"
[[rating]]
name = "rating"
"#;
