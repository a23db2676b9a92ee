//! A trial site on this machine: stand-ins and hosts as processes on loopback addresses, with
//! their files in a temporary directory.

mod binaries;
mod certificates;
mod entry_host;
mod operator;
mod process;
mod stand_ins;

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use error_stack::{Report, ResultExt};
use http::{Client, Options, PoolLimits, Request};
use kernel::{Clock, SystemClock};
use tempfile::TempDir;
use toml::Table;

use crate::error::Error;
use crate::site::certificates::Authority;

pub use binaries::{Binaries, Profile};
pub use entry_host::EntryHost;
pub use operator::Operator;
pub use process::Process;
pub use stand_ins::{Row, StandIns, TableRecords};

/// Time for a host to respond to a probe with success, counted from the first probe.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two probes of a host.
const READY_POLL: Duration = Duration::from_millis(50);

/// A running trial site. Dropping it kills its processes and deletes its directory.
pub struct Site {
    /// The clock for callers and timestamps of this process.
    pub clock: Arc<dyn Clock>,
    /// The HTTP client that all parts of this process share.
    pub client: Client,
    /// The stand-ins for the platform, engines and services.
    pub stand_ins: StandIns,
    /// The entry hosts, in the order in which they were started.
    pub entry_hosts: Vec<EntryHost>,
    /// Sections that replace the default ones in the settings of hosts started from now on.
    pub settings: Table,
    binaries: Binaries,
    authority: Authority,
    operator_key: String,
    dir: TempDir,
}

impl Site {
    /// Starts a site that has only the stand-ins.
    ///
    /// # Errors
    /// If a file can't be written or the stand-ins don't start.
    pub fn start(binaries: Binaries, settings: &fakes::Settings) -> Result<Self, Report<Error>> {
        let dir = TempDir::new().change_context(Error::Site)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let pool = PoolLimits {
            max_idle: 4096,
            ..PoolLimits::default()
        };
        let client = Client::new(Arc::clone(&clock), pool);
        let stand_ins = StandIns::start(&binaries.fakes, dir.path(), settings, client.clone())?;
        let operator_key = format!("operator-{}", std::process::id());
        write(dir.path(), "operator.key", &operator_key)?;
        write(
            dir.path(),
            "session.key",
            &format!("session-key-of-{}-which-is-long-enough", std::process::id()),
        )?;
        let authority = Authority::new(dir.path())?;
        Ok(Self {
            clock,
            client,
            stand_ins,
            entry_hosts: Vec::new(),
            settings: Table::new(),
            binaries,
            authority,
            operator_key,
            dir,
        })
    }

    /// Starts an entry host and adds it to the host list.
    ///
    /// # Errors
    /// If the host can't be started or the host list refuses it.
    ///
    /// Use [`Self::wait_until_ready`] to wait until the host is ready.
    pub async fn add_host(&mut self, name: &str, data_centre: &str) -> Result<(), Report<Error>> {
        let entry = EntryHost::start(self, name, data_centre)?;
        self.stand_ins.register(&entry.host_list_entry()).await?;
        self.entry_hosts.push(entry);
        Ok(())
    }

    /// Waits until every host reports that it is ready.
    ///
    /// # Errors
    /// [`Error::NotReady`] with the end of the log if a host exceeds the timeout.
    pub async fn wait_until_ready(&self) -> Result<(), Report<Error>> {
        for entry in &self.entry_hosts {
            self.wait_for(entry, "/readyz").await?;
        }
        Ok(())
    }

    /// Waits until the process of every host responds.
    ///
    /// # Errors
    /// [`Error::NotReady`] with the end of the log if a host exceeds the timeout.
    pub async fn wait_until_alive(&self) -> Result<(), Report<Error>> {
        for entry in &self.entry_hosts {
            self.wait_for(entry, "/healthz").await?;
        }
        Ok(())
    }

    /// Returns a client for the operators' API of the hosts.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let addresses = self.entry_hosts.iter().map(|it| it.operators).collect();
        Operator::new(self.client.clone(), addresses, self.operator_key.clone())
    }

    /// Returns the addresses of the hosts for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entry_hosts.iter().map(|it| it.callers).collect()
    }

    /// Returns the path of the file with the operators' key.
    #[must_use]
    pub fn operator_key_file(&self) -> PathBuf {
        self.dir.path().join("operator.key")
    }

    /// Returns the last lines of a host's log.
    #[must_use]
    pub fn log(&self, name: &str, lines: usize) -> String {
        let text = fs::read_to_string(log_path(self.dir.path(), name)).unwrap_or_default();
        let from = text.lines().count().saturating_sub(lines);
        text.lines().skip(from).collect::<Vec<_>>().join("\n")
    }

    async fn wait_for(&self, entry: &EntryHost, path: &str) -> Result<(), Report<Error>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let options = Options::default();
        while Instant::now() < deadline {
            let res = self
                .client
                .send(entry.callers, Request::get(path), &options)
                .await;
            if res.is_ok_and(|it| it.status.is_success()) {
                return Ok(());
            }
            task::sleep(READY_POLL).await;
        }
        Err(Report::new(Error::NotReady).attach(self.log(&entry.name, 20)))
    }
}

fn write(dir: &Path, name: &str, text: &str) -> Result<PathBuf, Report<Error>> {
    let path = dir.join(name);
    fs::write(&path, text).change_context(Error::Site)?;
    Ok(path)
}

fn log_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.log"))
}

fn log_file(dir: &Path, name: &str) -> Result<File, Report<Error>> {
    File::create(log_path(dir, name)).change_context(Error::Site)
}

/// Returns a loopback address with a TCP port that is currently free.
fn free_tcp() -> Result<SocketAddr, Report<Error>> {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|it| it.local_addr())
        .change_context(Error::Site)
}

/// Returns a loopback address with a UDP port that is currently free.
fn free_udp() -> Result<SocketAddr, Report<Error>> {
    UdpSocket::bind("127.0.0.1:0")
        .and_then(|it| it.local_addr())
        .change_context(Error::Site)
}
