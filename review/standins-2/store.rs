//! A stand-in of the platform's store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire::{self, Json};

/// The time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    record: Record,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// A row; a deleted one is kept for the feed.
#[derive(Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the store's address");
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: record.clone(),
        });
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&serving);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Self { address, shared }
    }

    /// Writes a row as the operator or a server does. Returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = wire::encode_base64(value.as_bytes());
        self.shared.lock().put(table, key, Some(value));
        self.shared.changed.notify_all();
    }

    pub fn delete(&self, table: &str, key: &str) {
        self.shared.lock().put(table, key, None);
        self.shared.changed.notify_all();
    }

    /// Returns a row's value.
    pub fn get(&self, table: &str, key: &str) -> Option<Json> {
        let state = self.shared.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = wire::decode_base64(row.value.as_ref()?);
        Json::parse(&String::from_utf8_lossy(&bytes))
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        self.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the store's state")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = wire::read_head(&mut reader) {
            let Ok(body) = wire::read_body(&mut reader, &head) else { return };
            let (status, body) = self.answer(head.target(), &String::from_utf8_lossy(&body));
            thread::sleep(CALL_TIME);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|it| it.0 == name).map(|it| decode_percent(it.1)).next()
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/rows-get" => self.read(&table, &parameter("from").unwrap_or_default()),
            "/rows-feed" => {
                let number = |name| parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                self.feed(&table, number("sinceRev"), Duration::from_millis(number("waitMs")))
            }
            "/rows-tx" => self.write(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, table: &str, from: &str) -> (u16, String) {
        let state = self.lock();
        let is_asked = |it: &(&(String, String), &Row)| {
            it.0.0 == table && it.0.1.as_str() >= from && it.1.value.is_some()
        };
        let rows: Vec<String> = state.rows.iter().filter(is_asked).map(encode_row).collect();
        (200, self.page(&rows, state.version, ",\"hasMore\":false"))
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let is_news = |it: &(&(String, String), &Row)| it.0.0 == table && it.1.version > since;
            let mut news: Vec<_> = state.rows.iter().filter(is_news).collect();
            news.sort_by_key(|it| it.1.version);
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let rows: Vec<String> = news.into_iter().map(encode_row).collect();
                return (200, self.page(&rows, state.version, ""));
            }
            state = self.changed.wait_timeout(state, left).expect("the store's state").0;
        }
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(transaction) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let place = |it: &Json| (it.get("table").text().to_owned(), it.get("key").text().to_owned());
        for it in transaction.get("expectRev").list() {
            let known = state.rows.get(&place(it)).filter(|row| row.value.is_some());
            if known.map_or(0, |row| row.version) != it.get("ver").number() {
                let rows: Vec<String> = state.rows.iter().filter(|row| *row.0 == place(it)).map(encode_row).collect();
                return (412, self.page(&rows, state.version, ""));
            }
        }
        state.version += 1;
        let version = state.version;
        for it in transaction.get("writes").list() {
            let (table, key) = place(it);
            if table == "op" || table == "servers" {
                return (403, "{}".to_owned());
            }
            let value = it.get("value").text().to_owned();
            if table == "status" {
                let text = wire::decode_base64(&value);
                self.record.note(&format!("store: the system writes {table}/{key} = {}", String::from_utf8_lossy(&text)));
            }
            state.rows.insert((table, key), Row { value: Some(value), version });
        }
        for it in transaction.get("drop").list() {
            state.rows.insert(place(it), Row { value: None, version });
        }
        drop(state);
        self.changed.notify_all();
        (200, self.page(&[], version, ""))
    }

    fn page(&self, rows: &[String], version: u64, more: &str) -> String {
        let now = self.started.elapsed().as_millis();
        format!("{{\"rows\":[{}],\"ver\":{version},\"nowMs\":{now}{more}}}", rows.join(","))
    }
}

fn encode_row(((table, key), row): (&(String, String), &Row)) -> String {
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"value\":\"\",\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|it| u8::from_str_radix(std::str::from_utf8(it).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
