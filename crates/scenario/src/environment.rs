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

use fakes::RunningStandIns;
use futures::future;
use http::Request;
use kernel::SystemClock;
use link::keys::Authority;
use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::Client;
use crate::defaults::{self, CUSTOMER, Engines, KEY_PREFIX, OPERATOR_KEY};
use crate::host::{Host, PlatformAddresses, write_shared_keys};
use crate::proxy::TcpProxy;
use crate::wait::wait_until;

/// Timeout for a host to start and for the initial configuration to reach all hosts.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Counter of the environments in this process, from which each derives its own addresses.
static NEXT_ENVIRONMENT: AtomicU32 = AtomicU32::new(0);

/// The stand-ins, hosts and connections of a scenario.
pub(crate) struct Environment {
    pub(crate) client: Client,
    pub(crate) stand_ins: BTreeMap<String, SocketAddr>,
    pub(crate) hosts: BTreeMap<String, Host>,
    binary: PathBuf,
    dir: TempDir,
    authority: Authority,
    network: [u8; 2],
    extra_settings: String,
    next_ip: u8,
    proxies: BTreeMap<String, TcpProxy>,
    _started: RunningStandIns,
}

impl Environment {
    /// Starts the stand-ins; `binary` is the program of the entry hosts, `extra_settings` is
    /// appended to their settings.
    pub(crate) async fn start(binary: &Path, engines: &Engines, extra_settings: &str) -> Self {
        let mut text = defaults::STAND_IN_SETTINGS.to_owned();
        text.push_str(&engines.settings());
        let settings = fakes::Settings::parse(&text).expect("the stand-ins' settings are valid");
        let started = RunningStandIns::start(Arc::new(SystemClock::new()), settings)
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
            network: network(),
            extra_settings: extra_settings.to_owned(),
            next_ip: 1,
            proxies: BTreeMap::new(),
            _started: started,
        }
    }

    /// Starts a host and adds it to the platform's host list, without waiting until it is ready.
    ///
    /// Each start uses a new address, because a host that replaces another one has a new address.
    pub(crate) async fn start_host(&mut self, name: &str) {
        let [high, low] = self.network;
        let ip = Ipv4Addr::new(127, high, low, self.next_ip);
        self.next_ip += 1;
        let proxy = TcpProxy::start(self.stand_in("table")).await;
        let proxy = proxy.expect("loopback ports are free");
        let host = Host::start(
            &self.binary,
            self.dir.path(),
            &self.authority,
            self.platform(proxy.address),
            name,
            ip,
            &self.extra_settings,
        );
        let host = host.expect("the host's program can be started");
        self.add_to_host_list(&host).await;
        self.proxies.insert(name.to_owned(), proxy);
        self.hosts.insert(name.to_owned(), host);
    }

    /// Returns whether the host reports within the timeout that it is ready.
    pub(crate) async fn is_ready(&self, name: &str, timeout: Duration) -> bool {
        let address = self.host(name).callers_address();
        let ready = wait_until(timeout, || async move {
            let request = Request::get("/readyz");
            let response = self.client.send(address, request, Duration::from_secs(1));
            let response = response.await.ok()?;
            response.status.is_success().then_some(())
        });
        ready.await.is_some()
    }

    /// Waits until the host is ready; panics with its log when it isn't in time.
    pub(crate) async fn await_ready(&self, name: &str) {
        let ready = self.is_ready(name, START_TIMEOUT).await;
        assert!(ready, "host {name} is not ready:\n{}", self.host_log(name));
    }

    /// Writes the default configuration at the first host and waits until all hosts are ready with
    /// it and know each other.
    pub(crate) async fn apply_default_configuration(&self, hosts: &[&str]) {
        let first = hosts.first().expect("`start` needs `hosts=`");
        self.await_operator_api(first).await;
        self.configure(first).await;
        for host in hosts {
            self.await_ready(host).await;
        }
        let revision = self.revision(first).await.unwrap_or_default();
        let lagging_hosts = self.lagging_hosts(hosts, revision, START_TIMEOUT).await;
        assert!(
            lagging_hosts.is_empty(),
            "revision {revision} is not in force on {lagging_hosts:?}"
        );
        for host in hosts {
            self.await_hosts_known(host, hosts.len()).await;
        }
    }

    /// Waits until a host lists all hosts at `GET /v1/hosts`. A host that doesn't know another host
    /// yet treats that host's tickets as tickets of a host that is gone.
    async fn await_hosts_known(&self, name: &str, count: usize) {
        let to = self.host(name).callers_address();
        let key = &format!("{KEY_PREFIX}{CUSTOMER}");
        let all_known = wait_until(START_TIMEOUT, || async move {
            let response = self.client.get(to, "/v1/hosts", key).await?;
            (response["hosts"].as_array()?.len() == count).then_some(())
        });
        let all_known = all_known.await.is_some();
        assert!(
            all_known,
            "host {name} doesn't list all hosts:\n{}",
            self.host_log(name)
        );
    }

    /// Waits until a host responds to operators. The first host isn't ready without a
    /// configuration, but accepts changes.
    async fn await_operator_api(&self, name: &str) {
        let to = self.host(name).operators_address();
        let up = wait_until(START_TIMEOUT, || async move {
            let status = self.client.get(to, "/operator/v1/status", OPERATOR_KEY);
            status.await.map(|_| ())
        });
        let up = up.await.is_some();
        assert!(
            up,
            "host {name} doesn't respond to operators:\n{}",
            self.host_log(name)
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
        let to = self.host(host).operators_address();
        let response = self.client.send(to, request, Duration::from_secs(10)).await;
        let Ok(response) = response else {
            return "no answer".to_owned();
        };
        let body = response.json();
        if response.status.is_success() {
            let repeated = if body["repeated"] == json!(true) {
                " repeated"
            } else {
                ""
            };
            return format!("accepted revision={}{repeated}", body["revision"]);
        }
        let mut line = format!(
            "refused {} {} {}",
            u16::from(response.status),
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
        let to = self.host(host).operators_address();
        let document = self
            .client
            .get(to, "/operator/v1/document", OPERATOR_KEY)
            .await?;
        document["revision"].as_u64()
    }

    /// Returns the hosts that don't reach the revision within the timeout.
    pub(crate) async fn lagging_hosts(
        &self,
        hosts: &[&str],
        revision: u64,
        timeout: Duration,
    ) -> Vec<String> {
        let waits = hosts.iter().map(|host| async move {
            let reached = wait_until(timeout, || async move {
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
    pub(crate) async fn set_faults(&self, stand_in: &str, faults: &Value) {
        let request = Request::post("/control/faults", faults);
        let to = self.stand_in(stand_in);
        let response = self.client.send(to, request, Duration::from_secs(5)).await;
        let done = response.is_ok_and(|it| it.status.is_success());
        assert!(done, "{stand_in} refused the faults {faults}");
    }

    /// Kills a host.
    pub(crate) fn kill(&mut self, name: &str) {
        self.host_mut(name).kill();
    }

    /// Cuts a host's connection to the table service until the host is started again.
    pub(crate) fn cut_from_table(&self, name: &str) {
        let proxy = self.proxies.get(name);
        proxy
            .unwrap_or_else(|| panic!("the script has not started host {name}"))
            .cut();
    }

    /// Sends a signal to a host.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        self.host(name).signal(signal);
    }

    /// Returns the exit status of a host if it exits within the timeout.
    pub(crate) async fn exit_status(
        &mut self,
        name: &str,
        timeout: Duration,
    ) -> Option<ExitStatus> {
        let host = self.host_mut(name);
        let deadline = std::time::Instant::now() + timeout;
        loop {
            if let Some(status) = host.exit_status() {
                return Some(status);
            }
            if std::time::Instant::now() >= deadline {
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
    pub(crate) fn host_log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    async fn add_to_host_list(&self, host: &Host) {
        let entry = json!({
            "name": host.name,
            "kind": "entry",
            "incarnation": u64::from(self.next_ip),
            "address": host.callers_address().to_string(),
            "fleet_address": host.fleet_address().to_string(),
            "data_centre": host.data_centre,
            "region": "local",
            "state": "live",
            "versions": [],
            "fences": false,
        });
        let request = Request::post("/control/hosts", &json!({"hosts": [entry]}));
        let to = self.stand_in("hosts");
        let response = self.client.send(to, request, Duration::from_secs(5)).await;
        assert!(response.is_ok_and(|it| it.status.is_success()));
    }

    fn platform(&self, table: SocketAddr) -> PlatformAddresses {
        PlatformAddresses {
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
fn network() -> [u8; 2] {
    let index = NEXT_ENVIRONMENT.fetch_add(1, Ordering::Relaxed);
    let number = std::process::id().wrapping_mul(31).wrapping_add(index);
    let [.., high, low] = number.to_be_bytes();
    [high.max(1), low]
}
