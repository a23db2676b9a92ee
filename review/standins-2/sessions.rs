//! Sessions beside roll-outs: which version runs the requests of a session.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use crate::client::Client;
use crate::host::Host;
use crate::record::Record;
use crate::replica::{Entry, Replica, Work};
use crate::store::Store;
use crate::{Context, Verdict};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-dossier","host":"reels.example","pathPrefix":"/dossier/","routeKind":"stream","timeoutMs":25000,"goalMs":3000,"priority":0,"service":"pool","attempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":1200}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":290,"proto":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kivuli","apiKeys":["key-1"],"priority":1}]}"#;

/// Sessions, each with a request every 400 ms. `sessionS` is 5.
const SESSIONS: usize = 40;
const SESSION_PAUSE: Duration = Duration::from_millis(400);
/// Clients that send requests without a session.
const OTHERS: usize = 12;
const OTHER_PAUSE: Duration = Duration::from_millis(100);
/// `stableWindowMs`.
const STABLE: Duration = Duration::from_secs(3);
/// The rule's bound: more of these break it.
const ALLOWED: usize = 3;
/// The time in which the roll-outs are to be done, in seconds.
const OVER_S: u64 = 24;
/// The replicas of each version.
const REPLICAS: usize = 8;

/// A request of a session.
struct Sent {
    id: String,
    session: usize,
    at: Duration,
    host: usize,
}

/// What the clients share.
struct Traffic {
    record: Record,
    /// The addresses for clients, with the numbers of their hosts, as the directory names them.
    open: Mutex<Vec<(usize, SocketAddr)>>,
    sent: Mutex<Vec<Sent>>,
    is_over: AtomicBool,
    random: AtomicU64,
}

impl Traffic {
    fn start(record: &Record, hosts: &[Host]) -> (Arc<Self>, Vec<JoinHandle<()>>) {
        let open = hosts.iter().enumerate().map(|(nr, it)| (nr, it.front)).collect();
        let traffic = Arc::new(Self {
            record: record.clone(),
            open: Mutex::new(open),
            sent: Mutex::default(),
            is_over: AtomicBool::new(false),
            random: AtomicU64::new(88_172_645_463_325_252),
        });
        let mut threads = Vec::new();
        for nr in 0..SESSIONS + OTHERS {
            let shared = Arc::clone(&traffic);
            threads.push(thread::spawn(move || shared.send_all(nr)));
            sleep(Duration::from_millis(9));
        }
        (traffic, threads)
    }

    /// Sends one request after the other, each on a new connection to an address drawn at random.
    fn send_all(&self, client: usize) {
        let mut nr = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            nr += 1;
            let (host, front) = self.draw();
            let id = format!("c{client:02}-{nr:04}");
            let (fields, pause) = if client < SESSIONS {
                let sent = Sent { id: id.clone(), session: client, at: self.record.now(), host };
                self.sent.lock().expect("what was sent").push(sent);
                (format!("Session: session-{client:02}\r\n"), SESSION_PAUSE)
            } else {
                (String::new(), OTHER_PAUSE)
            };
            if let Some(mut it) = Client::connect(front) {
                let fields = format!("Deadline-Ms: 25000\r\nModel: *\r\nToken-Usage: 600,60\r\n{fields}");
                let outcome = it.ask("POST /dossier/plan", &id, &fields, "reel");
                if client < SESSIONS {
                    self.record.note(&format!("client: {id} by host {host} ends: {outcome:?}"));
                }
            }
            sleep(pause);
        }
    }

    fn draw(&self) -> (usize, SocketAddr) {
        let mut number = self.random.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        number ^= number >> 30;
        number = number.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        number ^= number >> 27;
        let open = self.open.lock().expect("the addresses");
        open[number as usize % open.len()]
    }

    fn set_open(&self, hosts: &[Host], closed: &[usize]) {
        let open = hosts.iter().enumerate().filter(|it| !closed.contains(&it.0));
        *self.open.lock().expect("the addresses") = open.map(|(nr, it)| (nr, it.front)).collect();
    }
}

fn replica(nr: usize, version: &str, bad: u64, store: &Store, record: &Record) -> Replica {
    let zone = ["kariakoo", "msasani", "ubungo"][nr % 3].to_owned();
    let entry = Entry {
        id: format!("i-{version}-{nr}"),
        service: "pool".to_owned(),
        zone,
        version: version.to_owned(),
        slots: 6,
        queue: 4,
        work: Work::Stream { events: 3, gap: Duration::from_millis(40), bad },
    };
    Replica::start(entry, store, record)
}

fn replicas(version: &str, bad: u64, store: &Store, record: &Record) -> Vec<Replica> {
    (0..REPLICAS).map(|nr| replica(nr, version, bad, store, record)).collect()
}

fn order(version: &str, store: &Store, record: &Record) -> Duration {
    record.note(&format!("operator: orders {version} over {OVER_S} s"));
    let row = format!("{{\"service\":\"pool\",\"target\":\"{version}\",\"overS\":{OVER_S}}}");
    store.put("op", "rollout/pool", &row);
    record.now()
}

fn state_of(version: &str, store: &Store) -> String {
    let status = store.get("status", "rollout/pool");
    let status = status.filter(|it| it.get("target").text() == version);
    status.map_or(String::new(), |it| it.get("state").text().to_owned())
}

/// Starts a store, the replicas of `v1`, hosts, and the traffic.
fn start(
    context: &Context,
    count: usize,
) -> Option<(Store, Vec<Replica>, Vec<Host>, Arc<Traffic>, Vec<JoinHandle<()>>)> {
    let record = &context.record;
    let store = Store::start(record);
    store.put("op", "config", CONFIG);
    let old = replicas("v1", 0, &store, record);
    let zones = ["kariakoo", "msasani", "ubungo", "kigamboni"];
    let hosts: Vec<Host> = (0..count)
        .map(|nr| Host::start(&context.folder, &format!("edge-{}-1", zones[nr]), zones[nr], &store))
        .collect();
    if !hosts.iter().all(Host::wait_ready) {
        return None;
    }
    sleep(Duration::from_secs(4));
    let (traffic, threads) = Traffic::start(record, &hosts);
    sleep(Duration::from_secs(4));
    Some((store, old, hosts, traffic, threads))
}

/// Ends the traffic, and returns the requests of sessions with the versions that ran them.
fn finish(traffic: &Traffic, threads: Vec<JoinHandle<()>>, all: &[Replica]) -> Vec<(Sent, Vec<String>)> {
    traffic.is_over.store(true, Ordering::Relaxed);
    for it in threads {
        let _ = it.join();
    }
    let mut runs: HashMap<String, Vec<(Duration, String)>> = HashMap::new();
    for replica in all {
        for run in replica.runs() {
            runs.entry(run.id).or_default().push((run.at, replica.version().to_owned()));
        }
    }
    let mut sent = std::mem::take(&mut *traffic.sent.lock().expect("what was sent"));
    sent.sort_by_key(|it| (it.session, it.at));
    sent.into_iter()
        .map(|it| {
            let mut here = runs.remove(&it.id).unwrap_or_default();
            here.sort();
            (it, here.into_iter().map(|it| it.1).collect())
        })
        .collect()
}

/// Returns the requests that ran on `to`, each after one of its session that ran on another version.
fn moved_to<'a>(
    requests: &'a [(Sent, Vec<String>)],
    to: &str,
    record: &Record,
) -> Vec<&'a Sent> {
    let mut last: HashMap<usize, &String> = HashMap::new();
    let mut moved = Vec::new();
    for (sent, versions) in requests {
        let before = last.get(&sent.session).copied();
        if let Some(before) = before.filter(|it| *it != to)
            && versions.iter().any(|it| it == to)
        {
            record.note(&format!("{} of host {} ran on {to}; the one before it in its session ran on {before}", sent.id, sent.host));
            moved.push(sent);
        }
        if let Some(version) = versions.last() {
            last.insert(sent.session, version);
        }
    }
    moved
}

/// A version that was found to be bad gets requests again as soon as the next one is ordered.
pub fn run_withdrawn(context: &Context) -> Verdict {
    let record = &context.record;
    let Some((store, old, mut hosts, traffic, threads)) = start(context, 4) else {
        return Verdict::NotRun("the hosts aren't ready after 20 s".to_owned());
    };
    let ordered = order("v2", &store, record);
    sleep(Duration::from_millis(300));
    let bad = replicas("v2", 2, &store, record);
    while state_of("v2", &store) != "reverted" {
        if record.now() > ordered + Duration::from_secs(OVER_S / 2 - 4) {
            return Verdict::NotRun("v2 wasn't reverted in time for the next order".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    record.note("operator: v2 is reverted");
    sleep(Duration::from_millis(500));
    let before: u64 = bad.iter().map(Replica::arrivals).sum();
    let failed_before: u64 = bad.iter().map(Replica::failures).sum();
    let good = if context.trouble {
        order("v3", &store, record);
        sleep(Duration::from_millis(300));
        replicas("v3", 0, &store, record)
    } else {
        Vec::new()
    };
    // "At `reverted`, the new replicas drain some seconds later."
    sleep(Duration::from_millis(2_500));
    bad.iter().for_each(Replica::drain);
    sleep(Duration::from_millis(3_000));
    bad.iter().for_each(|it| it.end(&store));
    let after: u64 = bad.iter().map(Replica::arrivals).sum();
    let failed: u64 = bad.iter().map(Replica::failures).sum();
    let all: Vec<Replica> = old.into_iter().chain(bad).chain(good).collect();
    let requests = finish(&traffic, threads, &all);
    let first_half = ordered + Duration::from_secs(OVER_S / 2);
    let moved = moved_to(&requests, "v2", record);
    let count = moved.iter().filter(|it| it.at < first_half).count();
    record.result(&format!(
        "requests that v2 got half a second after it was reverted and later: {}, of which it failed {}; \
         requests of sessions that ran on v2 after one on another version: {count} (the rule allows {ALLOWED})",
        after - before,
        failed - failed_before
    ));
    if !hosts.iter_mut().all(Host::runs) {
        return Verdict::NotRun("a host has ended by itself".to_owned());
    }
    if count > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Hosts that were restarted during a roll-out send sessions back to the old version.
pub fn run_restarts(context: &Context) -> Verdict {
    let record = &context.record;
    let Some((store, old, mut hosts, traffic, threads)) = start(context, 4) else {
        return Verdict::NotRun("the hosts aren't ready after 20 s".to_owned());
    };
    let ordered = order("v2", &store, record);
    sleep(Duration::from_millis(300));
    let new = replicas("v2", 0, &store, record);
    // The first moment at which a restarted host is in touch again.
    let mut in_touch: HashMap<usize, Duration> = HashMap::new();
    let mut closed = Vec::new();
    let mut starts = vec![(0, Duration::from_millis(700)), (1, Duration::from_millis(2_700))];
    if !context.trouble {
        starts.clear();
    }
    while state_of("v2", &store) != "complete" && record.now() < ordered + Duration::from_secs(OVER_S) {
        sleep(Duration::from_millis(50));
        if let Some(at) = starts.iter().position(|it| record.now() >= ordered + it.1) {
            let (nr, _) = starts.remove(at);
            record.note(&format!("platform: SIGTERM to host {nr}"));
            hosts[nr].terminate();
            closed.push(nr);
            traffic.set_open(&hosts, &closed);
        }
        for nr in closed.clone() {
            if !hosts[nr].runs() {
                hosts[nr].restart();
                record.note(&format!("platform: host {nr} has ended and starts again"));
                in_touch.insert(nr, record.now() + STABLE);
            }
            if in_touch.contains_key(&nr) && hosts[nr].is_ready() {
                record.note(&format!("platform: host {nr} is ready"));
                closed.retain(|it| *it != nr);
                traffic.set_open(&hosts, &closed);
            }
        }
    }
    let state = state_of("v2", &store);
    record.note(&format!("operator: v2 is {state}"));
    let ended = record.now();
    let all: Vec<Replica> = old.into_iter().chain(new).collect();
    let requests = finish(&traffic, threads, &all);
    let moved = moved_to(&requests, "v1", record);
    let is_counted = |it: &&&Sent| it.at < ended && in_touch.get(&it.host).is_none_or(|from| it.at >= *from);
    let count = moved.iter().filter(is_counted).count();
    record.result(&format!(
        "requests of sessions that hosts in touch sent from v2 back to v1: {count} (the rule allows {ALLOWED}); the roll-out was {state}"
    ));
    if !hosts.iter_mut().all(Host::runs) {
        return Verdict::NotRun("a host has ended by itself".to_owned());
    }
    if count > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
