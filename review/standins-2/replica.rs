//! A stand-in of a replica: it runs requests in a fixed number of slots, queues a few more, and
//! rejects the rest with `Not-Executed`.

use std::collections::BTreeSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;
use crate::wire::{self, Head};

const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// What a replica does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A stream of events, one each `gap`; one of `bad` answers is a failure, none if it is 0.
    Stream { events: u64, gap: Duration, bad: u64 },
    /// One answer after `time`; one of `bad` of them is a failure, none if it is 0.
    Whole { time: Duration, bad: u64 },
}

/// What a replica tells of itself.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Work,
}

struct Shared {
    entry: Entry,
    load: Mutex<Load>,
    freed: Condvar,
    /// The requests that are preempted once, and for how long they are silent then.
    preempted: Mutex<(BTreeSet<String>, Duration)>,
    arrivals: AtomicU64,
    failures: AtomicU64,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    /// The model that each run was asked for.
    runs: Mutex<Vec<Run>>,
    record: Record,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
    pub model: String,
    pub failed: bool,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

impl Replica {
    /// Starts a replica, which registers itself in the store.
    pub fn start(entry: Entry, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a replica");
        let address = listener.local_addr().expect("the replica's address");
        let id = entry.id.clone();
        record.note(&format!("replica {id} ({} {}) starts", entry.service, entry.version));
        let shared = Arc::new(Shared {
            entry,
            load: Mutex::default(),
            freed: Condvar::new(),
            preempted: Mutex::default(),
            arrivals: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let (serving, beating, store) = (Arc::clone(&shared), Arc::clone(&shared), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&serving);
                thread::spawn(move || shared.serve(stream));
            }
        });
        thread::spawn(move || beating.beat(&store, address));
        Self { id, address, shared }
    }

    pub fn arrivals(&self) -> u64 {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    pub fn failures(&self) -> u64 {
        self.shared.failures.load(Ordering::Relaxed)
    }

    pub fn version(&self) -> &str {
        &self.shared.entry.version
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("the runs").clone()
    }

    /// Returns the numbers of requests that run and that wait.
    pub fn load(&self) -> (usize, usize) {
        let load = self.shared.load.lock().expect("the load");
        (load.running, load.waiting)
    }

    /// Preempts the streams with these ids once: each is silent for `time`, and goes on then.
    pub fn preempt(&self, ids: &[String], time: Duration) {
        *self.shared.preempted.lock().expect("preempted") = (ids.iter().cloned().collect(), time);
    }

    /// Reports `draining`; the replica serves on.
    pub fn drain(&self) {
        self.shared.record.note(&format!("replica {} reports draining", self.id));
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Ends the replica, and removes its entry.
    pub fn end(&self, store: &Store) {
        self.shared.is_gone.store(true, Ordering::Relaxed);
        store.delete("servers", &self.id);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
        self.shared.record.note(&format!("replica {} has left", self.id));
    }
}

impl Shared {
    /// Writes the replica's entry at each heartbeat, and soon after its state has changed.
    fn beat(&self, store: &Store, address: SocketAddr) {
        let mut seq = 0;
        while !self.is_gone.load(Ordering::Relaxed) {
            seq += 1;
            let was_draining = self.is_draining.load(Ordering::Relaxed);
            let state = if was_draining { "draining" } else { "ready" };
            let Entry { id, service, zone, version, slots, .. } = &self.entry;
            let value = format!(
                "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
                 \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq}}}"
            );
            store.put("servers", id, &value);
            let next = Instant::now() + HEARTBEAT;
            while Instant::now() < next
                && !self.is_gone.load(Ordering::Relaxed)
                && self.is_draining.load(Ordering::Relaxed) == was_draining
            {
                sleep(Duration::from_millis(20));
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = wire::read_head(&mut reader) {
            if wire::read_body(&mut reader, &head).is_err() {
                return;
            }
            if self.is_gone.load(Ordering::Relaxed) || !self.handle(&head, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn handle(&self, head: &Head, writer: &mut TcpStream) -> bool {
        let id = head.get("request-id").unwrap_or("").to_owned();
        if head.get("expect-replica").is_some_and(|it| it != self.entry.id) {
            return self.reject(&id, 421, "", writer);
        }
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        if !self.admit(writer) {
            let load = self.load_header();
            self.record.note(&format!("replica {} is full and rejects {id} (Not-Executed) [{load}]", self.entry.id));
            return self.reject(&id, 503, "Not-Executed: 1\r\n", writer);
        }
        let is_open = self.run(&id, head, writer);
        self.load.lock().expect("the load").running -= 1;
        self.freed.notify_all();
        is_open
    }

    /// Waits for a slot. Returns whether there is one.
    fn admit(&self, writer: &TcpStream) -> bool {
        let mut load = self.load.lock().expect("the load");
        if load.running < self.entry.slots {
            load.running += 1;
            return true;
        }
        if load.waiting >= self.entry.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.entry.slots {
            load = self.freed.wait_timeout(load, Duration::from_millis(20)).expect("the load").0;
            if is_closed(writer) {
                load.waiting -= 1;
                return false;
            }
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().expect("the load");
        format!("{},{},{}", load.running, load.waiting, self.entry.slots)
    }

    fn reject(&self, id: &str, status: u16, fields: &str, writer: &mut TcpStream) -> bool {
        let load = self.load_header();
        let text = format!(
            "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nReplica-Id: {}\r\n{fields}Replica-Load: {load}\r\nContent-Length: 0\r\n\r\n",
            self.entry.id
        );
        writer.write_all(text.as_bytes()).is_ok()
    }

    fn run(&self, id: &str, head: &Head, writer: &mut TcpStream) -> bool {
        let model = head.get("model").unwrap_or("-").to_owned();
        match self.entry.work {
            Work::Stream { bad, .. } if self.is_bad(bad) => {
                self.note_run(id, &model, true);
                self.answer(id, 500, writer)
            }
            Work::Stream { events, gap, .. } => {
                let last = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
                self.note_run(id, &model, false);
                let Entry { id: own, version, .. } = &self.entry;
                self.record.note(&format!("replica {own} ({version}) runs {id} (Model: {model}) after event {last}"));
                self.stream(id, last, events, gap, writer)
            }
            Work::Whole { time, bad } => {
                sleep(time);
                let failed = self.is_bad(bad);
                self.note_run(id, &model, failed);
                self.answer(id, if failed { 500 } else { 200 }, writer)
            }
        }
    }

    /// Returns whether the next answer is one of the failures of a bad version.
    fn is_bad(&self, bad: u64) -> bool {
        let nr = self.runs.lock().expect("the runs").len() as u64;
        bad > 0 && nr % bad == 0
    }

    fn answer(&self, id: &str, status: u16, writer: &mut TcpStream) -> bool {
        self.record.note(&format!("replica {} ({}) runs {id}: {status}", self.entry.id, self.entry.version));
        let load = self.load_header();
        let text = format!(
            "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nReplica-Stamp: stamp-of-{}\r\nReplica-Load: {load}\r\nContent-Length: 2\r\n\r\nok",
            self.entry.id
        );
        writer.write_all(text.as_bytes()).is_ok()
    }

    fn note_run(&self, id: &str, model: &str, failed: bool) {
        if failed {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        let run = Run { id: id.to_owned(), at: self.record.now(), model: model.to_owned(), failed };
        self.runs.lock().expect("the runs").push(run);
    }

    fn stream(&self, id: &str, last: u64, events: u64, gap: Duration, writer: &mut TcpStream) -> bool {
        // Reading the prompt takes as long as an event.
        sleep(gap);
        let load = self.load_header();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Stamp: stamp-of-{}\r\nContent-Type: text/event-stream\r\n\
             Confidence: 100\r\nReplica-Load: {load}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.entry.id
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for nr in last + 1..=events {
            let event = format!("id: {nr}\ndata: {}\n\n", "x".repeat(40));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let silent = self.pause(id, gap);
            let began = Instant::now();
            while began.elapsed() < silent {
                sleep(Duration::from_millis(10).min(silent));
                if is_closed(writer) {
                    let waited = began.elapsed().as_millis();
                    self.record.note(&format!(
                        "replica {}: the system closes the connection of {id} before event {nr}, after {waited} ms without one",
                        self.entry.id
                    ));
                    return false;
                }
            }
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        self.record.note(&format!("replica {} has sent all events of {id}", self.entry.id));
        writer.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Returns the time until the next event: `gap`, or longer if the request is preempted now.
    fn pause(&self, id: &str, gap: Duration) -> Duration {
        let mut preempted = self.preempted.lock().expect("preempted");
        if preempted.0.remove(id) {
            self.record.note(&format!("replica {} preempts {id} for {} ms", self.entry.id, preempted.1.as_millis()));
            return preempted.1;
        }
        gap
    }
}

/// Returns whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != ErrorKind::WouldBlock,
    }
}
