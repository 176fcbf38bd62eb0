//! The platform's store: rows in tables, with a feed of changes.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, response},
    json::{self, Json},
};

#[derive(Clone)]
struct Row {
    version: u64,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct Tables {
    version: u64,
    /// By table and key, with removed ones.
    rows: BTreeMap<(String, String), Row>,
}

/// A door to the store, which can turn its callers away.
pub struct Door {
    pub address: SocketAddr,
    away: Arc<AtomicBool>,
}

impl Door {
    /// Answers each call with 503 from now on, or no more.
    pub fn turn_away(&self, away: bool) {
        self.away.store(away, Ordering::SeqCst);
    }
}

/// A store that answers until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Store { address, tables: Arc::default(), started: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    store.serve(Connection::new(stream), &AtomicBool::new(false))
                });
            }
        });
        Ok(store)
    }

    /// Opens another way to the store.
    pub fn door(&self, address: SocketAddr) -> std::io::Result<Door> {
        let listener = TcpListener::bind(address)?;
        let away = Arc::new(AtomicBool::new(false));
        let door = Door { address, away: away.clone() };
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, away) = (store.clone(), away.clone());
                thread::spawn(move || store.serve(Connection::new(stream), &away));
            }
        });
        Ok(door)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) {
        self.change(vec![(table.to_owned(), key.to_owned(), value.map(base64))]);
    }

    fn change(&self, changes: Vec<(String, String, Option<String>)>) -> u64 {
        let mut tables = self.lock();
        tables.version += 1;
        let version = tables.version;
        for (table, key, value) in changes {
            tables.rows.insert((table, key), Row { version, value });
        }
        self.tables.1.notify_all();
        version
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, connection: std::io::Result<Connection>, away: &AtomicBool) {
        let Ok(mut connection) = connection else { return };
        while let Ok(Some(head)) = connection.read_head() {
            let body = connection.read_request_body(&head);
            let (_, target) = head.request_line();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let answer = match path {
                "/api/rows-get" => self.get(query),
                "/api/rows-feed" => self.feed(query),
                "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&body.bytes)),
                _ => None,
            };
            let json = "Content-Type: application/json\r\n";
            let bytes = match answer {
                _ if away.load(Ordering::SeqCst) => response(503, json, b"{}"),
                Some(text) => response(200, json, text.as_bytes()),
                None => response(400, json, b"{}"),
            };
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn get(&self, query: &str) -> Option<String> {
        let (table, from) = (parameter(query, "table")?, parameter(query, "from"));
        let from = from.unwrap_or_default();
        let tables = self.lock();
        let rows = tables
            .rows
            .iter()
            .filter(|((name, key), row)| *name == table && row.value.is_some() && *key >= from);
        let rows = rows.map(|((table, key), row)| row_json(table, key, row));
        let rows = rows.collect::<Vec<_>>().join(",");
        Some(format!("{{\"rows\":[{rows}],\"truncated\":false,{}}}", self.stamp(&tables)))
    }

    fn feed(&self, query: &str) -> Option<String> {
        let table = parameter(query, "table")?;
        let after = parameter(query, "after")?.parse::<u64>().ok()?;
        let wait = parameter(query, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut tables = self.lock();
        loop {
            let changed = tables.rows.iter();
            let changed = changed.filter(|((name, _), row)| *name == table && row.version > after);
            let mut changed = changed.collect::<Vec<_>>();
            changed.sort_by_key(|(_, row)| row.version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows = changed.into_iter().map(|((table, key), row)| row_json(table, key, row));
                let rows = rows.collect::<Vec<_>>().join(",");
                return Some(format!("{{\"rows\":[{rows}],{}}}", self.stamp(&tables)));
            }
            let waited = self.tables.1.wait_timeout(tables, left);
            tables = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &str) -> Option<String> {
        let call = json::parse(body)?;
        let items = |name: &str| call.get(name).map(Json::list).unwrap_or_default().to_vec();
        let entry = |item: &Json, value: Option<String>| {
            let field = |name: &str| item.get(name).map(Json::text).unwrap_or_default().to_owned();
            (field("table"), field("key"), value)
        };
        let put = items("put").into_iter();
        let put =
            put.map(|item| entry(&item, item.get("value").map(|value| value.text().to_owned())));
        let remove = items("remove").into_iter().map(|item| entry(&item, None));
        let version = self.change(put.chain(remove).collect());
        Some(format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }

    fn stamp(&self, tables: &Tables) -> String {
        format!("\"ver\":{},\"now_ms\":{}", tables.version, self.now_ms())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    let version = row.version;
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

/// Returns a parameter of a query, decoded.
fn parameter(query: &str, name: &str) -> Option<String> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = if *first == b'%' { tail.get(..2) } else { None };
        let code = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
