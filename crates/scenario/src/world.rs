//! The environment of a scenario: stand-ins in the test's process and entry hosts as child
//! processes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use fakes::Started;
use futures::future;
use http::Request;
use kernel::SystemClock;
use link::keys::Authority;
use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::Client;
use crate::defaults::{self, CUSTOMER, Engines, KEY_PREFIX, OPERATOR_KEY};
use crate::host::{Host, Platform, write_shared_keys};
use crate::limit::until;
use crate::relay::Relay;

/// Timeout for a host to start and for the initial configuration to reach all hosts.
const START: Duration = Duration::from_secs(15);

/// Counter of the environments in this process, from which each derives its own addresses.
static WORLDS: AtomicU32 = AtomicU32::new(0);

/// The stand-ins, hosts and connections of a scenario.
pub(crate) struct World {
    pub(crate) client: Client,
    pub(crate) stand_ins: BTreeMap<String, SocketAddr>,
    pub(crate) hosts: BTreeMap<String, Host>,
    binary: PathBuf,
    dir: TempDir,
    authority: Authority,
    net: [u8; 2],
    extra: String,
    next_ip: u8,
    relays: BTreeMap<String, Relay>,
    _started: Started,
}

impl World {
    /// Starts the stand-ins; `binary` is the program of the entry hosts, `extra` is appended to
    /// their settings.
    pub(crate) async fn start(binary: &Path, engines: &Engines, extra: &str) -> Self {
        let mut text = defaults::STAND_INS.to_owned();
        text.push_str(&engines.settings());
        let settings = fakes::Settings::parse(&text).expect("the stand-ins' settings are valid");
        let started = Started::start(Arc::new(SystemClock::new()), settings)
            .await
            .expect("loopback ports are free");
        let addresses = started.addresses().into_iter();
        let dir = TempDir::new().expect("a temporary directory can be made");
        let authority = Authority::generate("scenario").expect("a CA can be made");
        write_shared_keys(dir.path(), &authority).expect("the directory can be written");
        Self {
            client: Client::new(),
            stand_ins: addresses.map(|(name, it)| (name.to_owned(), it)).collect(),
            hosts: BTreeMap::new(),
            binary: binary.to_owned(),
            dir,
            authority,
            net: net(),
            extra: extra.to_owned(),
            next_ip: 1,
            relays: BTreeMap::new(),
            _started: started,
        }
    }

    /// Starts a host and adds it to the platform's host list, without waiting until it is ready.
    ///
    /// Each start uses a new address, as a replaced host does.
    pub(crate) async fn start_host(&mut self, name: &str) {
        let [high, low] = self.net;
        let ip = Ipv4Addr::new(127, high, low, self.next_ip);
        self.next_ip += 1;
        let relay = Relay::start(self.stand_in("table")).await;
        let relay = relay.expect("loopback ports are free");
        let host = Host::start(
            &self.binary,
            self.dir.path(),
            &self.authority,
            self.platform(relay.address),
            name,
            ip,
            &self.extra,
        );
        let host = host.expect("the host's program can be started");
        self.list(&host).await;
        self.relays.insert(name.to_owned(), relay);
        self.hosts.insert(name.to_owned(), host);
    }

    /// Returns whether the host reports within the bound that it is ready.
    pub(crate) async fn is_ready(&self, name: &str, bound: Duration) -> bool {
        let address = self.host(name).callers();
        let ready = until(bound, || async move {
            let request = Request::get("/readyz");
            let answer = self.client.send(address, request, Duration::from_secs(1));
            let answer = answer.await.ok()?;
            answer.status.is_success().then_some(())
        });
        ready.await.is_some()
    }

    /// Waits until the host is ready; panics with its log when it isn't in time.
    pub(crate) async fn await_ready(&self, name: &str) {
        let ready = self.is_ready(name, START).await;
        assert!(ready, "host {name} is not ready:\n{}", self.log(name));
    }

    /// Writes the default configuration at the first host and waits until all hosts are ready with
    /// it and know each other.
    pub(crate) async fn configure_first(&self, hosts: &[&str]) {
        let first = hosts.first().expect("`start` needs `hosts=`");
        self.await_operable(first).await;
        self.configure(first).await;
        for host in hosts {
            self.await_ready(host).await;
        }
        let revision = self.revision(first).await.unwrap_or_default();
        let laggards = self.laggards(hosts, revision, START).await;
        assert!(
            laggards.is_empty(),
            "revision {revision} is not in force on {laggards:?}"
        );
        for host in hosts {
            self.await_acquaintance(host, hosts.len()).await;
        }
    }

    /// Waits until a host hands out all hosts. A host that doesn't know another one yet takes its
    /// tickets for those of a host that is gone.
    async fn await_acquaintance(&self, name: &str, count: usize) {
        let to = self.host(name).callers();
        let key = &format!("{KEY_PREFIX}{CUSTOMER}");
        let acquainted = until(START, || async move {
            let answer = self.client.get(to, "/v1/hosts", key).await?;
            (answer["hosts"].as_array()?.len() == count).then_some(())
        });
        let acquainted = acquainted.await.is_some();
        assert!(
            acquainted,
            "host {name} doesn't hand out all hosts:\n{}",
            self.log(name)
        );
    }

    /// Waits until a host responds to operators. The first host isn't ready without a
    /// configuration, but accepts changes.
    async fn await_operable(&self, name: &str) {
        let to = self.host(name).operators();
        let up = until(START, || async move {
            let status = self.client.get(to, "/operator/v1/status", OPERATOR_KEY);
            status.await.map(|_| ())
        });
        let up = up.await.is_some();
        assert!(
            up,
            "host {name} doesn't respond to operators:\n{}",
            self.log(name)
        );
    }

    async fn configure(&self, host: &str) {
        for entry in defaults::entries() {
            let target = format!("/operator/v1/{}/{}", entry.kind, entry.name);
            let change = format!("default-{}-{}", entry.kind, entry.name.replace('@', "-"));
            let line = self.put(host, &target, 0, &change, &entry.value).await;
            assert!(line.starts_with("accepted"), "{target}: {line}");
        }
    }

    /// Makes an operator's change and returns the outcome as a line.
    pub(crate) async fn put(
        &self,
        host: &str,
        target: &str,
        read_at: u64,
        change: &str,
        value: &Value,
    ) -> String {
        let request = Request::new(http::Method::Put, target)
            .json(value)
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .header("if-match", read_at.to_string())
            .header("barleypin-change", change)
            .header("barleypin-mode", "forced");
        let to = self.host(host).operators();
        let answer = self.client.send(to, request, Duration::from_secs(10)).await;
        let Ok(answer) = answer else {
            return "no answer".to_owned();
        };
        let body = answer.json();
        if answer.status.is_success() {
            let repeated = if body["repeated"] == json!(true) {
                " repeated"
            } else {
                ""
            };
            return format!("accepted revision={}{repeated}", body["revision"]);
        }
        let mut line = format!(
            "refused {} {} {}",
            u16::from(answer.status),
            body["reason"].as_str().unwrap_or("?"),
            body["run"].as_str().unwrap_or("?"),
        );
        if let Some(revision) = body["current_revision"].as_u64() {
            // Writing to a string can't fail.
            let _ = write!(line, " current_revision={revision}");
        }
        line
    }

    /// Returns the revision of the configuration that is in force on a host.
    pub(crate) async fn revision(&self, host: &str) -> Option<u64> {
        let to = self.host(host).operators();
        let document = self
            .client
            .get(to, "/operator/v1/document", OPERATOR_KEY)
            .await?;
        document["revision"].as_u64()
    }

    /// Returns the hosts that don't reach the revision within the bound.
    pub(crate) async fn laggards(
        &self,
        hosts: &[&str],
        revision: u64,
        bound: Duration,
    ) -> Vec<String> {
        let waits = hosts.iter().map(|host| async move {
            let reached = until(bound, || async move {
                (self.revision(host).await? >= revision).then_some(())
            });
            reached.await.is_none().then(|| (*host).to_owned())
        });
        future::join_all(waits)
            .await
            .into_iter()
            .flatten()
            .collect()
    }

    /// Sets faults of a stand-in; panics when it refuses them.
    pub(crate) async fn fault(&self, stand_in: &str, faults: &Value) {
        let request = Request::post("/control/faults", faults);
        let to = self.stand_in(stand_in);
        let answer = self.client.send(to, request, Duration::from_secs(5)).await;
        let done = answer.is_ok_and(|it| it.status.is_success());
        assert!(done, "{stand_in} refused the faults {faults}");
    }

    /// Kills a host.
    pub(crate) fn kill(&mut self, name: &str) {
        self.host_mut(name).kill();
    }

    /// Cuts a host's connection to the table service until the host is started again.
    pub(crate) fn cut_from_table(&self, name: &str) {
        let relay = self.relays.get(name);
        relay
            .unwrap_or_else(|| panic!("the script has not started host {name}"))
            .cut();
    }

    /// Sends a signal to a host.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        self.host(name).signal(signal);
    }

    /// Returns the exit status of a host if it exits within the bound.
    pub(crate) async fn ended(&mut self, name: &str, bound: Duration) -> Option<ExitStatus> {
        let host = self.host_mut(name);
        let end = std::time::Instant::now() + bound;
        loop {
            if let Some(status) = host.ended() {
                return Some(status);
            }
            if std::time::Instant::now() >= end {
                return None;
            }
            async_std::task::sleep(Duration::from_millis(10)).await;
        }
    }

    pub(crate) fn host(&self, name: &str) -> &Host {
        self.hosts
            .get(name)
            .unwrap_or_else(|| panic!("the script has not started host {name}"))
    }

    pub(crate) fn stand_in(&self, name: &str) -> SocketAddr {
        *self
            .stand_ins
            .get(name)
            .unwrap_or_else(|| panic!("unknown stand-in {name}"))
    }

    /// Returns the log of a host, for the message of a failed test.
    pub(crate) fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    async fn list(&self, host: &Host) {
        let entry = json!({
            "name": host.name,
            "kind": "entry",
            "incarnation": u64::from(self.next_ip),
            "address": host.callers().to_string(),
            "fleet_address": host.fleet().to_string(),
            "data_centre": host.data_centre,
            "region": "local",
            "state": "live",
            "versions": [],
            "fences": false,
        });
        let request = Request::post("/control/hosts", &json!({"hosts": [entry]}));
        let to = self.stand_in("hosts");
        let answer = self.client.send(to, request, Duration::from_secs(5)).await;
        assert!(answer.is_ok_and(|it| it.status.is_success()));
    }

    fn platform(&self, table: SocketAddr) -> Platform {
        Platform {
            table,
            objects: self.stand_in("objects"),
            hosts: self.stand_in("hosts"),
            rating: self.stand_in("rating"),
        }
    }

    fn host_mut(&mut self, name: &str) -> &mut Host {
        self.hosts
            .get_mut(name)
            .unwrap_or_else(|| panic!("the script has not started host {name}"))
    }
}

/// Returns the second and third byte of this environment's loopback addresses. All of 127.0.0.0/8
/// is local, so concurrent tests can use the same ports at different addresses.
fn net() -> [u8; 2] {
    let world = WORLDS.fetch_add(1, Ordering::Relaxed);
    let number = std::process::id().wrapping_mul(31).wrapping_add(world);
    let [.., high, low] = number.to_be_bytes();
    [high.max(1), low]
}
