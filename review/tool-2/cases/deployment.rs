//! A small deployment: a store, entries, sides, and workers.

use std::{
    fs,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Call, call},
    net::free_port,
    process::{Machine, Process, start_role, start_worker},
    store::Store,
    worker::now_ms,
};

pub const HOST: &str = "ficu95.example";
/// The service of the cases.
pub const PLAIN: &str = "booking";
const RULES: &str = "base,drain,config,cost,retry,recover,fleet,stream,engine,platform";

/// Writes `record.txt`, with milliseconds since the start of the case.
pub struct Record {
    file: fs::File,
    started: u128,
}

impl Record {
    pub fn new(dir: &Path) -> Record {
        let file =
            fs::File::create(dir.join("record.txt")).expect("the case's folder can be written");
        Record { file, started: now_ms() }
    }

    pub fn line(&mut self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&mut self, at_ms: u128, text: &str) {
        let at = at_ms.saturating_sub(self.started);
        let _ = writeln!(self.file, "{:>7} ms  {text}", at);
        println!("{at:>7} ms  {text}");
    }

    /// Adds what the workers have noted.
    pub fn add_log(&mut self, log: &Path) {
        for line in fs::read_to_string(log).unwrap_or_default().lines() {
            if let Some((at, text)) = line.split_once(' ') {
                self.line_at(at.parse().unwrap_or(0), &format!("worker: {text}"));
            }
        }
    }
}

pub struct Entry {
    _process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

pub struct Deployment {
    pub store: Store,
    /// Folder for settings and logs; removed at the end.
    pub temp: PathBuf,
    ports: (u16, u16),
}

impl Deployment {
    /// Starts the store with this manifest.
    pub fn new(manifest: &str) -> Deployment {
        let temp = std::env::temp_dir().join(format!("citronrill-review-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder can be made");
        let store = Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, free_port())));
        store.put("op", "config", Some(manifest));
        Deployment { store, temp, ports: (free_port(), free_port()) }
    }

    pub fn log(&self) -> PathBuf {
        self.temp.join("workers.log")
    }

    /// Writes a worker's entry in the list of workers.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"models\":[],\"available\":{{\"in_memory\":[],\"on_disk\":[]}}}}"
        );
        self.store.put("servers", id, Some(&entry));
    }

    pub fn deregister(&self, id: &str) {
        self.store.put("servers", id, None);
    }

    /// Starts a worker of the plain service; the times are those of the two halves of its answers.
    pub fn plain_worker(
        &self,
        address: SocketAddr,
        id: &str,
        framing: &str,
        times: (u64, u64),
        bytes: usize,
    ) -> Process {
        let log = self.log().display().to_string();
        let args = [
            &address.to_string(),
            id,
            &log,
            framing,
            &times.0.to_string(),
            &times.1.to_string(),
            &bytes.to_string(),
        ];
        let process = start_worker(&args.map(str::to_owned));
        wait_until_open(address);
        process
    }

    pub fn entry(&self, number: u8) -> Entry {
        let ip = Ipv4Addr::new(127, 0, 1, number);
        let address = || SocketAddr::from((ip, free_port()));
        let (callers, readiness, control) = (address(), address(), address());
        let name = format!("entry-{number}");
        let machine = Machine {
            name: &name,
            ip: IpAddr::V4(ip),
            store: self.store.address,
            ports: self.ports,
            entry: (callers, readiness, control),
            rules: RULES,
        };
        let process = start_role("pool-entry", &machine, &self.temp);
        Entry { _process: process, callers, readiness }
    }

    /// Removes the temporary folder; keeps it if `KEEP` is set.
    pub fn clean_up(&self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.temp);
        }
    }
}

fn wait_until_open(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_err() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until an entry says that it is ready; returns whether it does within ten seconds.
pub fn wait_until_ready(entry: &Entry) -> bool {
    let probe = Call {
        method: "GET",
        path: "/api/readyz",
        host: "x",
        id: "probe",
        deadline_ms: 500,
        headers: "",
        body: b"",
    };
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if call(entry.readiness, &probe).is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Six workers of the plain service at addresses of their own, in the list.
pub struct PlainWorkers {
    pub own: Vec<SocketAddr>,
    pub listed: Vec<SocketAddr>,
    pub processes: Vec<Process>,
}

/// Workers of the plain service in a case: one of them is less than the share that the site's disruptions hit.
pub const WORKERS: u8 = 6;

impl Deployment {
    /// Starts the workers `i-1` to `i-6`; `listed` gives the address in the list for a worker's own one.
    pub fn plain_workers(
        &self,
        times: (u64, u64),
        framing: &str,
        bytes: usize,
        mut listed: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> PlainWorkers {
        let mut workers =
            PlainWorkers { own: Vec::new(), listed: Vec::new(), processes: Vec::new() };
        for number in 1..=WORKERS {
            let own = SocketAddr::from((Ipv4Addr::new(127, 0, 3, number), free_port()));
            let id = format!("i-{number}");
            workers.processes.push(self.plain_worker(own, &id, framing, times, bytes));
            workers.own.push(own);
            workers.listed.push(listed(own));
            self.register(&id, PLAIN, *workers.listed.last().expect("one was added"), "ready");
        }
        workers
    }

    /// Returns the worker that runs a request, by what the workers have noted.
    pub fn runs_at(&self, request: &str) -> String {
        let log = fs::read_to_string(self.log()).unwrap_or_default();
        let runs = format!(" runs {request} ");
        log.lines().find_map(|line| Some(line.split_once(&runs)?.1.to_owned())).unwrap_or_default()
    }

    /// Returns the worker that runs most requests, and their number.
    pub fn busiest(&self) -> (usize, usize) {
        let log = fs::read_to_string(self.log()).unwrap_or_default();
        let runs = |number: u8| {
            log.lines()
                .filter(|line| line.contains(" runs ") && line.ends_with(&format!(" i-{number}")))
                .count()
        };
        let busiest = (1..=WORKERS).max_by_key(|number| runs(*number)).unwrap_or(1);
        (usize::from(busiest), runs(busiest))
    }
}

/// Sends this many requests that may run once, each on a kept channel of its own.
pub fn send(
    callers: SocketAddr,
    count: usize,
) -> Vec<thread::JoinHandle<(String, std::io::Result<Answer>)>> {
    let consumers = (0..count).map(|number| {
        thread::spawn(move || {
            let id = format!("9c41d07be2a3{number:04x}");
            let request = Call {
                method: "POST",
                path: "/book/a",
                host: HOST,
                id: &id,
                deadline_ms: 5_000,
                headers: "",
                body: b"{}",
            };
            let answer = call(callers, &request);
            (id, answer)
        })
    });
    consumers.collect()
}

/// Describes an answer for the record.
pub fn describe(answer: &Answer) -> String {
    let end = if answer.complete { "complete" } else { "incomplete" };
    let signed = if answer.signed { "signed" } else { "unsigned" };
    format!(
        "{} {signed}, {} bytes of body, {end}, after {} ms",
        answer.status,
        answer.body.len(),
        answer.took.as_millis()
    )
}

/// A route of the manifest to the plain service.
pub fn plain_route(prefix: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":5000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"{PLAIN}\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false}}"
    )
}

/// A manifest of these routes.
pub fn manifest(routes: &[String]) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"{PLAIN}\",\"health_path\":\"/healthz\",\
         \"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
