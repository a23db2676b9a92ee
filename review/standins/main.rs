//! Three hosts of the deploy file before a stand-in store and stand-in replicas. The store falls
//! silent for a quarter of a second; later a key is taken away, and a client goes on using it.
//!
//! Usage: stale-key PROGRAM FOLDER RECORD. Exits with 1 if a replica ran a request whose key had
//! been taken away for longer than `configApplyMs`, 0 if none did, 2 if the case couldn't run.

mod http;
mod json;
mod store;

use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use http::{Message, respond};
use store::Store;

const HOSTS: usize = 3;
const ROUNDS: usize = 4;
const SILENCE: Duration = Duration::from_millis(250);
/// `configApplyMs` and `stableWindowMs` of the small deployments.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the client goes on with the key after the bound.
const WATCHED: Duration = Duration::from_millis(4_000);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, folder, record] = &args[..] else {
        eprintln!("usage: stale-key PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(Path::new(program), Path::new(folder), record, has_trouble) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}

/// The lines of the record, each with the time since the start.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} {text}").unwrap();
    }
}

/// Ends the hosts' processes, however the case ends.
struct Hosts(Vec<(Child, SocketAddr, SocketAddr)>);

impl Drop for Hosts {
    fn drop(&mut self) {
        for (child, ..) in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs the case and returns the number of requests that break the rule.
fn run(program: &Path, folder: &Path, record: &str, has_trouble: bool) -> io::Result<usize> {
    let record = Record {
        began: Instant::now(),
        file: Arc::new(Mutex::new(File::create(record)?)),
    };
    record.line(&format!("trouble: {has_trouble}"));
    let store = Store::start();
    let mut version = 1;
    store.put("op", "config", &config(version, &["k-lasting"]), false);
    for nr in 0..2 {
        let id = format!("i-{nr}");
        let address = start_replica(&id, &record)?;
        store.put("servers", &id, &entry(address), false);
    }
    let mut hosts = Hosts(Vec::new());
    for nr in 0..HOSTS {
        hosts
            .0
            .push(start_host(program, folder, nr, store.address)?);
    }
    for (_, _, ready) in &hosts.0 {
        wait_ready(*ready)?;
    }
    record.line("all hosts are ready");
    // Until the hosts know each other and two of them read the store for all.
    sleep(Duration::from_secs(6));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let key = format!("k-{round}");
        version += 1;
        store.put(
            "op",
            "config",
            &config(version, &["k-lasting", &key]),
            false,
        );
        record.line(&format!(
            "round {round}: version {version} acknowledged, with key {key}"
        ));
        sleep(Duration::from_secs(3));
        for (_, front, _) in &hosts.0 {
            let status = ask(*front, &key, &format!("r{round}-before-{}", front.port()))?;
            record.line(&format!("client: host {front}, key {key}: {status}"));
            if status != 200 {
                return Err(io::Error::other("a key isn't known 3 s after its version"));
            }
        }
        version += 1;
        let text = config(version, &["k-lasting", &key, "k-other"]);
        store.put("op", "config", &text, has_trouble);
        record.line(&format!(
            "version {version} acknowledged, with a further key"
        ));
        if has_trouble {
            record.line("store: silent from now on");
            sleep(SILENCE);
            let unanswered = store.end_silence();
            record.line("store: answers again");
            for it in unanswered {
                record.line(&format!("store: not answered: {it}"));
            }
        } else {
            sleep(SILENCE);
        }
        let calm_from = Instant::now() + STABLE_WINDOW;
        sleep(Duration::from_millis(250));
        version += 1;
        store.put("op", "config", &config(version, &["k-lasting"]), false);
        let bound = (Instant::now() + CONFIG_APPLY).max(calm_from);
        record.line(&format!(
            "version {version} acknowledged, without key {key}"
        ));
        sleep(bound.saturating_duration_since(Instant::now()) + Duration::from_millis(50));
        record.line("from now on each request with that key must be refused");
        broken += watch(&hosts, &key, round, &record)?;
    }
    record.line(&format!("requests that broke the rule: {broken}"));
    Ok(broken)
}

/// Sends requests with a key that was taken away, and returns how many were run.
fn watch(hosts: &Hosts, key: &str, round: usize, record: &Record) -> io::Result<usize> {
    let (began, mut count, mut broken) = (Instant::now(), 0, 0);
    while began.elapsed() < WATCHED {
        for (_, front, _) in &hosts.0 {
            count += 1;
            let status = ask(*front, key, &format!("r{round}-after-{count}"))?;
            if status == 200 {
                broken += 1;
            }
            record.line(&format!("client: host {front}, key {key}: {status}"));
        }
        sleep(Duration::from_millis(200));
    }
    Ok(broken)
}

/// Sends one request on a new connection and returns the status of its response.
fn ask(host: SocketAddr, key: &str, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(host)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "GET /view/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nApi-Key: {key}\r\n\
         Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let response = Message::read(&mut BufReader::new(stream))?;
    Ok(response.map_or(0, |it| it.status()))
}

fn start_replica(id: &str, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, record) = (id.to_owned(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || serve_replica(stream, &id, &record));
        }
    });
    Ok(address)
}

fn serve_replica(mut stream: TcpStream, id: &str, record: &Record) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let name = request.field("request-id").unwrap_or_default().to_owned();
        let is_meant = request.field("expect-replica").is_none_or(|it| it == id);
        let mut fields = format!("Request-Id: {name}\r\nReplica-Load: 1,0,6\r\n");
        let written = if is_meant {
            record.line(&format!("replica {id}: runs {name}"));
            fields += &format!("Replica-Stamp: {id}.{name}\r\n");
            respond(&mut stream, 200, &fields, b"whole")
        } else {
            respond(&mut stream, 421, &(fields + "Not-Executed: 1\r\n"), b"")
        };
        if written.is_err() {
            return;
        }
    }
}

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"view","host":"shop.example","pathPrefix":"/view/",
        "routeKind":"idempotent","timeoutMs":1500,"goalMs":300,"priority":1,"service":"desk","attempts":2,
        "public":false}}],"services":[{{"name":"desk","healthPath":"/healthz","maxConns":96}}],
        "limits":{{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":3000,
        "idleTimeoutMs":10000}},"tenants":[{{"name":"studio","apiKeys":[{keys}]}}]}}"#
    )
}

fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"desk","addr":"{address}","zone":"z1","version":"v1","slots":6,
        "state":"ready","coldLeftMs":0,"seq":1}}"#
    )
}

/// Starts a host as the deploy file does, with settings as of a small deployment.
fn start_host(
    program: &Path,
    folder: &Path,
    nr: usize,
    store: SocketAddr,
) -> io::Result<(Child, SocketAddr, SocketAddr)> {
    let ports = free_ports(5)?;
    let [front, ready, directory, metrics, link] = ports[..] else {
        return Err(io::ErrorKind::AddrInUse.into());
    };
    let settings = format!(
        "[host]\nname = \"host-{nr}\"\naddress = \"127.0.0.1\"\ndata_centre = \"z1\"\n\
         region = \"r1\"\nfirst_start = true\n[listen]\ncallers = \"127.0.0.1:{front}\"\n\
         ready = \"127.0.0.1:{ready}\"\nhosts = \"127.0.0.1:{directory}\"\n\
         metrics_port = {metrics}\nlink_ports = [{link},{link}]\n[store]\naddress = \"{store}\"\n\
         [limits]\nmemory_mb = 110\ndescriptors = 4200\ncore_share = 0.25\ncore_speed = 1\n\
         link_mbps = 1000\n[times]\ngrace_s = 8\nheartbeat_ms = 1200\ndrain_ms = 2000\n\
         apply_ms = 2000\nsession_gap_s = 5\n[retries]\nratio = 0.9\nslack = 52.0\nwindow_s = 10\n\
         [exposure]\nshare = 0.15\n"
    );
    let path = folder.join(format!("host-{nr}.toml"));
    fs::write(&path, settings)?;
    let log = File::create(folder.join(format!("host-{nr}.log")))?;
    let child = Command::new(program)
        .env("BARLEYPIN_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()?;
    let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Ok((child, local(front), local(ready)))
}

/// Returns ports that nobody uses, for TCP.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let bind = |_| TcpListener::bind("127.0.0.1:0");
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    let port = |it: &TcpListener| it.local_addr().map(|it| it.port());
    listeners.iter().map(port).collect()
}

fn wait_ready(address: SocketAddr) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if is_ready(address).unwrap_or(false) {
            return Ok(());
        }
        sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("a host isn't ready after 15 s"))
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    let response = Message::read(&mut BufReader::new(stream))?;
    Ok(response.is_some_and(|it| it.status() == 200))
}
