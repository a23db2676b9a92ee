//! A stream that is silent for less than its route allows is cut off, because the other replicas
//! are full when the system wants to resume it there.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome};
use crate::host::Host;
use crate::record::Record;
use crate::replica::{Entry, Replica, Work};
use crate::store::Store;
use crate::{Context, Verdict};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-dossier","host":"reels.example","pathPrefix":"/dossier/","routeKind":"stream","timeoutMs":25000,"goalMs":3000,"priority":0,"service":"pool","attempts":3,"public":false,"sticky":true,"resumable":true,"gapTargetMs":1200},
{"name":"r-ticket","host":"reels.example","pathPrefix":"/ticket/","routeKind":"idempotent","timeoutMs":800,"goalMs":300,"priority":2,"service":"portal","attempts":2,"public":false}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":290,"proto":"h1","tls":false},{"name":"portal","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kivuli","apiKeys":["key-1"],"priority":1}]}"#;

const ZONES: [&str; 4] = ["kariakoo", "msasani", "ubungo", "kigamboni"];
const SLOTS: usize = 16;
const QUEUE: usize = 2;
/// Five seconds of events.
const GAP: Duration = Duration::from_millis(100);
const EVENTS: u64 = 50;
/// The usual traffic: 47 streams at a time, for which the replicas have 64 slots and 8 places.
const RATE: f64 = 9.4;
/// The traffic in a burst, as a multiple of the usual one.
const BURST: f64 = 1.7;
const BURST_BEGINS: f64 = 6.0;
const BURST_ENDS: f64 = 11.0;
const TRAFFIC_ENDS: f64 = 13.0;
/// The moments at which a replica preempts some streams; the first replica at the first one.
const PREEMPTIONS: [f64; 3] = [9.9, 10.2, 10.5];
/// The number of streams that a replica preempts: the newest.
const PREEMPTED: usize = 6;
/// The silence of a preempted stream; the route allows 1,200 ms between events.
const SILENCE: Duration = Duration::from_millis(1_000);
/// The rule's bound: more of these break it.
const ALLOWED: usize = 3;

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start(record);
    store.put("op", "config", CONFIG);
    let replica = |id: &str, service: &str, zone: &str, work| {
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let entry = Entry { id, service, zone, version: "v1".to_owned(), slots: SLOTS, queue: QUEUE, work };
        Replica::start(entry, &store, record)
    };
    let stream = Work::Stream { events: EVENTS, gap: GAP, bad: 0 };
    let whole = Work::Whole { time: Duration::from_millis(20), bad: 0 };
    let pool: Vec<Replica> = ZONES
        .iter()
        .enumerate()
        .map(|(nr, zone)| replica(&format!("i-pool-{nr}"), "pool", zone, stream))
        .collect();
    let _portal = [replica("i-portal-1", "portal", "kariakoo", whole), replica("i-portal-2", "portal", "msasani", whole)];
    let mut hosts = [
        Host::start(&context.folder, "edge-kariakoo-1", "kariakoo", &store),
        Host::start(&context.folder, "edge-msasani-1", "msasani", &store),
    ];
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun("the hosts aren't ready after 20 s".to_owned());
    }
    // In touch: nothing happens to the hosts or the store for longer than `stableWindowMs`.
    sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut preemptions = PREEMPTIONS.iter().zip(&pool).peekable();
    let mut due = 0.0;
    record.note(&format!("traffic: {RATE} streams a second; burst: {}", if context.trouble { "x 1.7" } else { "none" }));
    loop {
        let now = began.elapsed().as_secs_f64();
        if now > TRAFFIC_ENDS {
            break;
        }
        if let Some((at, replica)) = preemptions.peek()
            && now >= **at
        {
            preempt(replica, record);
            preemptions.next();
        }
        if now >= due {
            let in_burst = context.trouble && (BURST_BEGINS..BURST_ENDS).contains(&now);
            due += 1.0 / if in_burst { RATE * BURST } else { RATE };
            let nr = clients.len();
            let (front, record) = (hosts[nr % hosts.len()].front, record.clone());
            clients.push(thread::spawn(move || dossier(nr, front, &record)));
        }
        sleep(Duration::from_millis(5));
    }
    let outcomes: Vec<_> = clients.into_iter().map(|it| it.join().expect("a client")).collect();
    let count = |wanted: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|it| wanted(it)).count();
    let cut = count(&|it| matches!(it, Outcome::Cut(_)));
    record.result(&format!(
        "streams on kept connections: {}, complete {}, refused {}, cut off {cut} (the rule allows {ALLOWED})",
        outcomes.len(),
        count(&|it| *it == Outcome::Answered(200)),
        count(&|it| *it == Outcome::Answered(503)),
    ));
    if !hosts.iter_mut().all(Host::runs) {
        return Verdict::NotRun("a host has ended by itself".to_owned());
    }
    if cut > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request for a stream on a connection on which another request was answered before.
fn dossier(nr: usize, front: SocketAddr, record: &Record) -> Outcome {
    let id = format!("dossier-{nr:03}");
    let Some(mut client) = Client::connect(front) else {
        return Outcome::NotSent;
    };
    let first = client.ask("GET /ticket/1", &format!("ticket-{nr:03}"), "Deadline-Ms: 1500\r\n", "");
    let fields = "Deadline-Ms: 25000\r\nModel: *\r\nToken-Usage: 6610,512\r\n";
    let outcome = client.ask("POST /dossier/plan", &id, fields, "reel");
    record.note(&format!("client: {id} ends: {outcome:?}; the request before on its connection: {first:?}"));
    outcome
}

/// Preempts the newest streams that a replica runs.
fn preempt(replica: &Replica, record: &Record) {
    let (running, waiting) = replica.load();
    record.note(&format!("replica {}: {running} run, {waiting} wait, {SLOTS} slots", replica.id));
    let newest = replica.runs().into_iter().rev().take(PREEMPTED).map(|it| it.id);
    replica.preempt(&newest.collect::<Vec<_>>(), SILENCE);
}
