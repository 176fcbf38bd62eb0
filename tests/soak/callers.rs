//! Callers that go on whatever happens, and what they saw.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{Answer, Ask, PATIENCE};

/// How long a caller rests between two requests.
const REST: Duration = Duration::from_millis(30);
/// Milliseconds beyond the route's timeout by which every request has its end.
const LATE_MS: u128 = 1_500;
/// The route's timeout in milliseconds.
const TIMEOUT_MS: u128 = 5_000;

/// What a caller saw of one request.
pub(crate) struct Record {
    id: String,
    path: &'static str,
    status: u16,
    whole: bool,
    body: String,
    echo: Option<String>,
    took_ms: u128,
    /// Whether the entry was killed or paused meanwhile.
    disturbed: bool,
}

impl Record {
    /// Whether a whole success came.
    pub(crate) fn served(&self) -> bool {
        self.status == 200 && self.whole
    }

    /// What it shows to be broken, given how often each request ran.
    pub(crate) fn check(&self, ran: &BTreeMap<String, usize>) -> Option<String> {
        let runs = ran.get(&self.id).copied().unwrap_or(0);
        let once = matches!(self.path, "/draft/x" | "/book/x");
        let what = if once && runs > 1 {
            "ran more than once"
        } else if once && self.status == 503 && runs > 0 {
            "ran and was told that it had not"
        } else if self.served() && self.echo.as_deref() != Some(self.id.as_str()) {
            "has another request's answer"
        } else if self.served() && runs == 0 {
            "was served without a run"
        } else if self.served() && self.path != "/book/x" && !self.in_order() {
            "has a stream that is not whole or out of order"
        } else if self.status == 0 && !self.disturbed {
            "has no answer though its entry was left alone"
        } else if self.took_ms > TIMEOUT_MS + LATE_MS && !self.disturbed {
            "was held beyond its end"
        } else {
            return None;
        };
        Some(format!(
            "{} {}: {what} (status {}, {runs} runs, {} ms)",
            self.id, self.path, self.status, self.took_ms
        ))
    }

    fn in_order(&self) -> bool {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.trim().parse::<u32>().unwrap_or(u32::MAX)).eq(0..20)
    }
}

/// One caller.
pub(crate) struct Caller {
    name: String,
    rng: SmallRng,
    entry: SocketAddr,
    /// Counts what was done to the entry.
    disturbed: Arc<AtomicU64>,
}

impl Caller {
    pub(crate) fn new(
        seed: u64,
        index: u64,
        entry: SocketAddr,
        disturbed: Arc<AtomicU64>,
    ) -> Caller {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + index);
        Caller { name: format!("c{seed}-{index}"), rng, entry, disturbed }
    }

    /// Sends requests until `stop`.
    pub(crate) fn run(mut self, stop: &AtomicBool, records: &Mutex<Vec<Record>>) {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{}-{number}", self.name);
            if let Some(record) = self.ask(id) {
                records.lock().unwrap().push(record);
            }
            thread::sleep(REST);
        }
    }

    fn ask(&mut self, id: String) -> Option<Record> {
        let path = ["/chat/x", "/draft/x", "/book/x"][self.rng.random_range(0..3)];
        let model = match path {
            "/chat/x" => "m0",
            "/draft/x" => ["m0", "m1", "m2", "m3"][self.rng.random_range(0..4)],
            _ => "",
        };
        let before = self.disturbed.load(Ordering::Relaxed);
        let begun = Instant::now();
        let ask = match model {
            "" => Ask::call(path, &id),
            model => Ask::stream(path, &id, model),
        };
        // Nobody listens while the entry is down, which is not a request of the system's.
        let mut stream = TcpStream::connect(self.entry).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        std::io::Write::write_all(&mut stream, &ask.bytes()).ok()?;
        let answer = Answer::read(&mut stream);
        let disturbed = self.disturbed.load(Ordering::Relaxed) != before || before % 2 == 1;
        Some(Record {
            path,
            status: answer.status,
            whole: answer.whole,
            echo: answer.header("x-citronrill-attempt-id").map(str::to_owned),
            body: answer.body,
            took_ms: begun.elapsed().as_millis(),
            disturbed,
            id,
        })
    }
}
