//! Starts the program of the deploy file as separate processes, with settings like those that the
//! platform renders from the project's template.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::wire;

const PROGRAM: &str = "target/release/barleypin-platform";
const TEMPLATE: &str = "deploy/settings.toml.template";

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Host {
    /// Starts a host; its settings and its log are kept in `folder`.
    pub fn start(folder: &Path, name: &str, zone: &str, store: &Store) -> Self {
        let ports: Vec<u16> = free_ports(6);
        let front = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let ready = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        let settings = settings(name, zone, store, &ports);
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings of a host");
        let log = folder.join(format!("{name}.log"));
        let process = spawn(&path, &log);
        Self { name: name.to_owned(), front, ready, process, settings: path, log }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        // The standard library has no call for it; the shell has one.
        let order = format!("kill -TERM {}", self.process.id());
        let _ = Command::new("sh").arg("-c").arg(order).status();
    }

    /// Starts the process again after it has ended; the whole system doesn't start for the first
    /// time then.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings of a host");
        let text = text.replace("first_start = true", "first_start = false");
        fs::write(&self.settings, text).expect("the settings of a host");
        self.process = spawn(&self.settings, &self.log.with_extension("2.log"));
    }

    /// Waits until the host is ready; false after 20 seconds.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let head = wire::read_head(&mut BufReader::new(stream));
        asked.is_ok() && matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Returns the peak of the process's resident memory in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap_or("0");
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::create(log).expect("the log of a host");
    Command::new(PathBuf::from(PROGRAM))
        .env("BARLEYPIN_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .expect("the program of the deploy file")
}

/// Fills in the project's template, as the platform does.
fn settings(name: &str, zone: &str, store: &Store, ports: &[u16]) -> String {
    let template = fs::read_to_string(TEMPLATE).expect(TEMPLATE);
    let values = [
        ("{{nodeName|json}}", format!("\"{name}\"")),
        ("{{ip|json}}", "\"127.0.0.1\"".to_owned()),
        ("{{zone|json}}", format!("\"{zone}\"")),
        ("{{region|json}}", "\"dar\"".to_owned()),
        ("{{firstStart|json}}", "true".to_owned()),
        ("{{listen.front|json}}", format!("\"127.0.0.1:{}\"", ports[0])),
        ("{{listen.ready|json}}", format!("\"127.0.0.1:{}\"", ports[1])),
        ("{{listen.directory|json}}", format!("\"127.0.0.1:{}\"", ports[2])),
        ("metrics_port = 9464", format!("metrics_port = {}", ports[3])),
        ("{{portRange|json}}", format!("[{},{}]", ports[4], ports[4])),
        ("{{platform.addr|json}}", format!("\"{}\"", store.address)),
        ("{{limits.memoryMb|json}}", "110".to_owned()),
        ("{{limits.maxFds|json}}", "4200".to_owned()),
        ("{{limits.cpuShare|json}}", "0.25".to_owned()),
        ("{{limits.cores|json}}", "1".to_owned()),
        ("{{limits.linkMbps|json}}", "1000.0".to_owned()),
        ("{{bounds.graceS|json}}", "8".to_owned()),
        ("{{heartbeatMs|json}}", "1200".to_owned()),
        ("{{#bounds.drainMs}}", String::new()),
        ("{{bounds.drainMs|json}}", "2000".to_owned()),
        ("{{/bounds.drainMs}}", String::new()),
        ("{{#bounds.configApplyMs}}", String::new()),
        ("{{bounds.configApplyMs|json}}", "2000".to_owned()),
        ("{{/bounds.configApplyMs}}", String::new()),
        ("{{bounds.sessionS|json}}", "5".to_owned()),
        ("{{bounds.retryRatio|json}}", "0.9".to_owned()),
        ("{{bounds.retrySlack|json}}", "52".to_owned()),
        ("{{bounds.retryWindowS|json}}", "10".to_owned()),
        ("{{bounds.exposureShare|json}}", "0.15".to_owned()),
        (
            "{{contracts|json}}",
            "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"rollout\"]".to_owned(),
        ),
    ];
    values.iter().fold(template, |text, (from, to)| text.replace(from, to))
}

/// Returns ports that are free for TCP and UDP, below those that the kernel gives to connections.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61);
    let mut ports = Vec::new();
    while ports.len() < count {
        let nr = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 12_000 + (nr % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    ports
}
