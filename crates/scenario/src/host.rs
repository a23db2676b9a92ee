//! An entry host as a child process.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use kernel::HostName;
use link::keys::Authority;
use rustix::process::{Pid, Signal, kill_process};

use crate::defaults::OPERATOR_KEY;

const CALLERS_PORT: u16 = 7000;
const OPERATORS_PORT: u16 = 7001;
const FLEET_PORT: u16 = 7002;

/// Addresses of the platform's stand-ins.
#[derive(Clone, Copy)]
pub(crate) struct PlatformAddresses {
    pub(crate) table: SocketAddr,
    pub(crate) objects: SocketAddr,
    pub(crate) hosts: SocketAddr,
    pub(crate) rating: SocketAddr,
}

/// Writes the key files that all hosts share. Called once, before the first host starts.
pub(crate) fn write_shared_keys(dir: &Path, authority: &Authority) -> io::Result<()> {
    fs::write(dir.join("ca.pem"), &authority.certificate)?;
    fs::write(dir.join("operator.key"), OPERATOR_KEY)?;
    fs::write(dir.join("session.key"), "the session key of a scenario")
}

/// A `barleypind` process, running or exited.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) ip: Ipv4Addr,
    child: Child,
}

impl Host {
    /// Writes the host's keys and settings into `dir` and starts its process.
    pub(crate) fn start(
        binary: &Path,
        dir: &Path,
        authority: &Authority,
        platform: PlatformAddresses,
        name: &str,
        ip: Ipv4Addr,
        extra_settings: &str,
    ) -> io::Result<Self> {
        let data_centre = format!("dc-{name}");
        write_keys(dir, authority, name)?;
        let settings = dir.join(format!("{name}.toml"));
        let text = settings_text(dir, platform, name, &data_centre, ip, extra_settings);
        fs::write(&settings, text)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            data_centre,
            ip,
            child,
        })
    }

    /// Returns the address for callers.
    pub(crate) fn callers_address(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    /// Returns the address for operators.
    pub(crate) fn operators_address(&self) -> SocketAddr {
        (self.ip, OPERATORS_PORT).into()
    }

    /// Returns the address for other hosts.
    pub(crate) fn fleet_address(&self) -> SocketAddr {
        (self.ip, FLEET_PORT).into()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // Fails only when the process has exited, which isn't an error here.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write_keys(dir: &Path, authority: &Authority, name: &str) -> io::Result<()> {
    let keys = authority
        .issue(&HostName::from(name))
        .map_err(|err| io::Error::other(err.to_string()))?;
    fs::write(dir.join(format!("{name}.pem")), keys.certificate)?;
    fs::write(dir.join(format!("{name}.key")), keys.key)
}

fn settings_text(
    dir: &Path,
    platform: PlatformAddresses,
    name: &str,
    data_centre: &str,
    ip: Ipv4Addr,
    extra_settings: &str,
) -> String {
    let dir = dir.display();
    let PlatformAddresses {
        table,
        objects,
        hosts,
        rating,
    } = platform;
    format!(
        r#"
[host]
name = "{name}"
data_centre = "{data_centre}"
region = "local"
drain_limit_s = 10

[listen]
callers = "{ip}:{CALLERS_PORT}"
operators = "{ip}:{OPERATORS_PORT}"
fleet = "{ip}:{FLEET_PORT}"

[platform]
table = "{table}"
objects = "{objects}"
host_list = "{hosts}"
ratings = "{rating}"
host_list_poll_ms = 200

[keys]
fleet_ca = "{dir}/ca.pem"
host_certificate = "{dir}/{name}.pem"
host_key = "{dir}/{name}.key"
operator_key = "{dir}/operator.key"
session_key = "{dir}/session.key"

[log]
format = "json"

[limits]
hosts_keep_ms = 1000
{extra_settings}
"#
    )
}
