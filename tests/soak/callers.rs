//! Callers that go on whatever happens, and what they saw.

use std::{
    collections::BTreeMap,
    io::Write,
    net::TcpStream,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    faults::EntryPoint,
    support::{Answer, Ask, PATIENCE},
};

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
    pub(crate) status: u16,
    whole: bool,
    body: String,
    echo: Option<String>,
    took_ms: u128,
    /// Whether the entry was killed or paused meanwhile.
    disturbed: bool,
    /// Whether its connection had borne a request before: it may have crossed the entry's closing, and
    /// was not read then.
    reused: bool,
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
        } else if self.status == 0 && !self.disturbed && !(self.reused && runs == 0) {
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
    entry: EntryPoint,
    /// Whether it uses its connection until the entry has closed it, whatever the entry says.
    keeps: bool,
    open: Option<TcpStream>,
}

impl Caller {
    pub(crate) fn new(seed: u64, index: u64, entry: EntryPoint) -> Caller {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + index);
        let keeps = (index / 2).is_multiple_of(2);
        Caller { name: format!("c{seed}-{index}"), rng, entry, keeps, open: None }
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
        let before = self.entry.disturbed.calm();
        let begun = Instant::now();
        let ask = match model {
            "" => Ask::call(path, &id),
            model => Ask::stream(path, &id, model),
        };
        let reused = self.open.is_some();
        let answer = self.exchange(&ask)?;
        let disturbed = before.is_none() || self.entry.disturbed.calm() != before;
        Some(Record {
            path,
            status: answer.status,
            whole: answer.whole,
            echo: answer.header("x-citronrill-attempt-id").map(str::to_owned),
            body: answer.body,
            took_ms: begun.elapsed().as_millis(),
            disturbed,
            reused,
            id,
        })
    }

    /// Sends one request; gives what came of it, or nothing if it could not be sent.
    fn exchange(&mut self, ask: &Ask<'_>) -> Option<Answer> {
        let mut stream = match self.open.take() {
            Some(stream) => stream,
            // Nobody listens while the entry is down, which is not a request of the system's.
            None => TcpStream::connect(self.entry.address).ok()?,
        };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        if !self.keeps {
            stream.write_all(&ask.bytes()).ok()?;
            return Some(Answer::read(&mut stream));
        }
        stream.write_all(&ask.kept_bytes()).ok()?;
        let answer = Answer::read_kept(&mut stream);
        if answer.status != 0 && answer.whole {
            self.open = Some(stream);
        }
        Some(answer)
    }
}
