//! The platform's store: rows, their feed, and transactions that are accepted without a condition.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Request, respond};

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

/// The store. Clones refer to the same one.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Store { address, state: Arc::default(), started: Instant::now() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| base64(value.as_bytes()));
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        drop(state);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut kept = Vec::new();
        while let Some(request) = Request::read(&mut stream, &mut kept) {
            let body = match request.path.as_str() {
                "/api/rows-get" => self.rows(&request),
                "/api/rows-feed" => self.feed(&request),
                "/api/rows-tx" => self.transaction(),
                _ => "{}".to_owned(),
            };
            thread::sleep(Duration::from_millis(4));
            if respond(&mut stream, 200, &[("Content-Type", "application/json")], body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn rows(&self, request: &Request) -> String {
        let state = self.state.0.lock().unwrap();
        let table = request.param("table").unwrap_or("");
        let rows =
            state.rows.iter().filter(|((name, _), (value, _))| name == table && value.is_some());
        let rows = rows.map(|(key, row)| row_json(key, row)).collect::<Vec<_>>();
        self.page(&rows, state.version)
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.param("table").unwrap_or("").to_owned();
        let after = request.param("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = request.param("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows = state
                .rows
                .iter()
                .filter(|((name, _), (_, version))| *name == table && *version > after)
                .collect::<Vec<_>>();
            rows.sort_by_key(|(_, (_, version))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows =
                    rows.into_iter().map(|(key, row)| row_json(key, row)).collect::<Vec<_>>();
                return self.page(&rows, state.version);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self) -> String {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        format!("{{\"ver\":{}}}", state.version)
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{version},\"now_ms\":{now_ms}}}",
            rows.join(",")
        )
    }
}

fn row_json((table, key): &(String, String), (value, version): &(Option<String>, u64)) -> String {
    let tail = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{tail}}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= part.len() { digit } else { '=' });
        }
    }
    text
}
