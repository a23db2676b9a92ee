//! A stand-in of the platform's store: rows, conditional transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, respond};
use crate::json::{Json, base64};

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Rows>, Condvar)>,
}

#[derive(Default)]
struct Rows {
    /// Value in Base64 and version by table and key; a deleted row has no value.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
    /// Calls that are received while this is set are never answered, and nor are later ones on the
    /// same connection.
    is_silent: bool,
    unanswered: Vec<String>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes a row. If `silences` is set, the store falls silent with this write: polls that it
    /// received before are answered, calls that it receives from now on are not.
    pub fn put(&self, table: &str, key: &str, value: &str, silences: bool) {
        let mut rows = self.shared.0.lock().unwrap();
        rows.write(table, key, Some(base64(value.as_bytes())));
        rows.is_silent |= silences;
        self.shared.1.notify_all();
    }

    /// Ends the silence, and returns the calls that weren't answered.
    pub fn end_silence(&self) -> Vec<String> {
        let mut rows = self.shared.0.lock().unwrap();
        rows.is_silent = false;
        std::mem::take(&mut rows.unanswered)
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = Message::read(&mut reader) {
            {
                let mut rows = self.shared.0.lock().unwrap();
                if rows.is_silent {
                    rows.unanswered.push(call.line.clone());
                    drop(rows);
                    // Reads and drops what comes, without an answer, until the caller closes.
                    while let Ok(Some(_)) = Message::read(&mut reader) {}
                    return;
                }
            }
            let (status, body) = self.handle(&call);
            let fields = "Content-Type: application/json\r\n";
            if respond(&mut writer, status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (u16, String) {
        let target = call.line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map_or("", |it| it.1)
        };
        let (lock, changed) = &*self.shared;
        let mut rows = lock.lock().unwrap();
        match path {
            "/rows-get" => {
                let listed = rows.list(param("table"), 0, false);
                (200, rows.page(&listed))
            }
            "/rows-feed" => {
                let since = param("sinceRev").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let listed = rows.list(param("table"), since, true);
                    let left = end.saturating_duration_since(Instant::now());
                    if !listed.is_empty() || left.is_zero() {
                        return (200, rows.page(&listed));
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                let done = rows.execute(&Json::parse(&body));
                changed.notify_all();
                (if done { 200 } else { 412 }, rows.page(""))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = (value, self.version);
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn execute(&mut self, transaction: &Json) -> bool {
        let id = |it: &Json| {
            let (table, key) = (it.get("table").text(), it.get("key").text());
            (table.to_owned(), key.to_owned())
        };
        let holds = |it: &Json| {
            let version = self.rows.get(&id(it)).filter(|it| it.0.is_some());
            version.map_or(0, |it| it.1) == it.get("ver").number()
        };
        if !transaction.get("expectRev").list().iter().all(holds) {
            return false;
        }
        for it in transaction.get("writes").list() {
            let (table, key) = id(it);
            self.write(&table, &key, Some(it.get("value").text().to_owned()));
        }
        for it in transaction.get("drop").list() {
            let (table, key) = id(it);
            self.write(&table, &key, None);
        }
        true
    }

    /// Returns the rows of a table after a version as JSON, in order of key or of version.
    fn list(&self, table: &str, since: u64, with_deleted: bool) -> String {
        let of_table = self.rows.iter().filter(|(id, row)| {
            id.0 == table && row.1 > since && (with_deleted || row.0.is_some())
        });
        let mut found: Vec<_> = of_table.collect();
        if with_deleted {
            found.sort_by_key(|it| it.1.1);
        }
        let row =
            |((table, key), (value, version)): (&(String, String), &(Option<String>, u64))| {
                let value = match value {
                    Some(it) => format!("\"value\":\"{it}\""),
                    None => "\"deleted\":true".to_owned(),
                };
                format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{value}}}"#)
            };
        found.into_iter().map(row).collect::<Vec<_>>().join(",")
    }

    fn page(&self, rows: &str) -> String {
        let version = self.version;
        format!(r#"{{"rows":[{rows}],"hasMore":false,"ver":{version},"nowMs":0}}"#)
    }
}
