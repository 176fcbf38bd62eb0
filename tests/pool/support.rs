//! Real processes on loopback, and a caller.

#![allow(dead_code, reason = "two test programs share this file and use parts of it each")]

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use citronrill_platform_standin::{Link, Platform, Proxy, Store, Worker, WorkerSpec};

pub(crate) const HOST: &str = "pool.example";
/// How long a test waits for something that must come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A port that is free on all loopback addresses that tests use, below those that the system gives
/// to outgoing connections: one of these may be taken between this look and the listening.
pub(crate) fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 40) as u16 * 500;
    loop {
        let port = 12_000 + offset + NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// A loopback address of its own, as each instance has.
fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(0x0102);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 0, high, low)
}

/// Version `version` of a text with an engine service, a plain service and their routes.
pub(crate) fn text(version: u64, extra: &[&str]) -> Vec<u8> {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({"name": prefix, "host": HOST, "path_prefix": prefix, "type": kind,
            "timeout_ms": 5000, "target_latency_ms": 500, "priority": 0, "service": service,
            "max_attempts": attempts, "sticky": true, "resumable": resumable,
            "target_gap_ms": 600})
    };
    let model = |name: &str| {
        json!({"name": name, "weights_mb": 60000.0, "load_time_s": 6.0, "adapters": 0,
            "adapter_size_mb": 10.0, "warmup_s": 0.2, "disk_load_s": 0.3})
    };
    let mut routes = vec![
        route("/chat/", "streaming", "engines", 2, true),
        route("/draft/", "streaming", "engines", 1, false),
        route("/status/", "idempotent", "ledger", 2, false),
        route("/book/", "non_idempotent", "ledger", 1, false),
    ];
    routes.extend(extra.iter().map(|prefix| route(prefix, "idempotent", "ledger", 2, false)));
    json!({"version": version, "routes": routes, "services": [
        {"name": "engines", "health_path": "/healthz", "max_connections": 200, "protocol": "h1",
         "tls": false, "engine": {"slots": 24, "kv_capacity": 1000, "kv_token_bytes": 1,
         "backups": true,
         "models": [model("m0"), model("m1"), model("m2"), model("m3"), model("m4")],
         "weights_mb": 200000.0, "max_adapters": 2, "loads_per_s": 7.0}},
        {"name": "ledger", "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
         "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
         "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    .to_string()
    .into_bytes()
}

/// Version `version` of a text with so many routes more, about 240 bytes each.
pub(crate) fn large_text(version: u64, more: usize) -> Vec<u8> {
    let prefixes = (0..more).map(|index| format!("/more-{index}/")).collect::<Vec<_>>();
    text(version, &prefixes.iter().map(String::as_str).collect::<Vec<_>>())
}

/// A process of citronrill; it is killed when this is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    role: String,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Process {
    /// Starts `role` with these settings.
    pub(crate) fn start(role: &str, settings: &str) -> Process {
        let file = std::env::temp_dir().join(format!(
            "citronrill-pool-{}-{}.ini",
            std::process::id(),
            free_port()
        ));
        fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_citronrill"))
            .args([role, "--settings", file.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let out = BufReader::new(child.stdout.take().unwrap());
        let kept = lines.clone();
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                kept.lock().unwrap().push(line);
            }
        });
        Process { child, role: role.to_owned(), lines, settings: file }
    }

    /// Kills it and starts it with the same settings, as the platform does; its log begins anew.
    pub(crate) fn start_again(&mut self) {
        let settings = fs::read_to_string(&self.settings).unwrap();
        self.kill();
        *self = Process::start(&self.role, &settings);
    }

    /// Kills it and waits until it is gone, and with it its listeners.
    pub(crate) fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The numbers that follow `key` in the lines of its log that have `event`, in order.
    pub(crate) fn numbers(&self, event: &str, key: &str) -> Vec<u64> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line.contains(event));
        let words = lines.filter_map(|line| line.split(' ').find_map(|w| w.strip_prefix(key)));
        words.filter_map(|word| word.parse().ok()).collect()
    }

    /// Whether a line of its log has all of these parts.
    pub(crate) fn logged(&self, parts: &[&str]) -> bool {
        let lines = self.lines.lock().unwrap();
        lines.iter().any(|line| parts.iter().all(|part| line.contains(part)))
    }

    /// A count of its metrics.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let settings = fs::read_to_string(&self.settings).unwrap();
        let address = settings.lines().find_map(|line| line.strip_prefix("metrics = ")).unwrap();
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
        let body = Answer::read(&mut stream).body;
        let line = body.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().parse().unwrap()
    }

    /// Sends a signal by its number.
    pub(crate) fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for its end; gives the exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::yield_now();
        }
        panic!("the process does not end");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // An error leaves a file in the folder for such files.
        let _ = fs::remove_file(&self.settings);
    }
}

/// A pool: store, workers, sides and one entry.
pub(crate) struct Deployment {
    pub(crate) entry: Process,
    pub(crate) sides: Vec<Process>,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    /// Where the entry tells others what it believes.
    pub(crate) snapshots: SocketAddr,
    pub(crate) engines: Vec<Worker>,
    pub(crate) ledger: Worker,
    pub(crate) store: Store,
    pub(crate) peer_port: u16,
    platform: Platform,
}

impl Deployment {
    /// Starts a pool whose engines hold these models.
    pub(crate) fn start(engines: &[(&'static str, &[&'static str])]) -> Deployment {
        let platform = Platform::start();
        let store = platform.store();
        store.put("op", "config", Some(text(1, &[])));
        let peer_port = free_port();
        let (mut workers, mut sides) = (Vec::new(), Vec::new());
        for (instance, models) in engines {
            let ip = next_ip();
            let spec = WorkerSpec {
                service: "engines",
                instance,
                models: models.to_vec(),
                on_disk: vec!["m0", "m1", "m2", "m3"],
                load_ms: 200,
            };
            let worker = platform.worker(&store, SocketAddr::from((ip, 0)), spec);
            let settings =
                side_settings(instance, SocketAddr::from((ip, peer_port)), &store, &worker);
            sides.push(Process::start("pool-side", &settings));
            workers.push(worker);
        }
        let spec = WorkerSpec {
            service: "ledger",
            instance: "ledger-1",
            models: Vec::new(),
            on_disk: Vec::new(),
            load_ms: 0,
        };
        let ledger = platform.worker(&store, SocketAddr::from((next_ip(), 0)), spec);
        let callers = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let readiness = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let snapshots = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let settings =
            entry_settings(callers, readiness, peer_port, store.address(), snapshots, "");
        let entry = Process::start("pool-entry", &settings);
        let deployment = Deployment {
            entry,
            sides,
            callers,
            readiness,
            snapshots,
            engines: workers,
            ledger,
            store,
            peer_port,
            platform,
        };
        deployment.until("the sides are connected", || {
            let connected = deployment.sides.iter().all(|side| side.logged(&["entry_connected"]));
            connected && deployment.entry.logged(&["event=text "])
        });
        deployment
    }

    /// Puts a proxy before each engine and lists the engines there.
    pub(crate) fn proxies(&self) -> Vec<Proxy> {
        let proxy = |engine: &Worker| {
            let proxy = self.platform.proxy(engine.address());
            engine.list_at(proxy.address());
            proxy
        };
        self.engines.iter().map(proxy).collect()
    }

    /// Starts one more entry.
    pub(crate) fn one_more_entry(&self) -> Process {
        self.entry_that_asks("")
    }

    /// Starts one more entry, which reaches the store through a proxy.
    pub(crate) fn entry_behind_proxy(&self) -> (Process, Proxy) {
        let proxy = self.platform.proxy(self.store.address());
        let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let (callers, readiness, snapshots) = (address(), address(), address());
        let settings =
            entry_settings(callers, readiness, self.peer_port, proxy.address(), snapshots, "");
        (Process::start("pool-entry", &settings), proxy)
    }

    /// Starts one more entry, which asks these peers while the store is away.
    pub(crate) fn entry_that_asks(&self, seeds: &str) -> Process {
        let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let (callers, readiness, snapshots) = (address(), address(), address());
        let store = self.store.address();
        let settings = entry_settings(callers, readiness, self.peer_port, store, snapshots, seeds);
        Process::start("pool-entry", &settings)
    }

    /// Starts one more entry, whose instance has a link of `rate` bytes a second: all that it says to
    /// the store and to the sides goes over it.
    pub(crate) fn entry_behind_link(&self, rate: u64) -> LinkedEntry {
        let link = self.platform.link(rate);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = link.carry(any, self.store.address());
        let port = free_port();
        for engine in &self.engines {
            let ip = engine.address().ip();
            link.carry(SocketAddr::new(ip, port), SocketAddr::new(ip, self.peer_port));
        }
        let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let callers = address();
        let settings = entry_settings(callers, address(), port, store, address(), "");
        LinkedEntry { process: Process::start("pool-entry", &settings), callers, link }
    }

    /// Starts the entry again, as the platform does after a kill.
    pub(crate) fn restart_entry(&mut self) {
        self.entry.start_again();
        self.until("the entry is started", || self.entry.logged(&["event=started"]));
    }

    /// Waits until `done`.
    pub(crate) fn until(&self, what: &str, done: impl Fn() -> bool) {
        until(what, done);
    }

    /// Sends one request and reads its whole answer.
    pub(crate) fn ask(&self, request: &Ask<'_>) -> Answer {
        let mut stream = self.open(request);
        Answer::read(&mut stream)
    }

    /// Sends one request; its answer is still to be read.
    pub(crate) fn open(&self, request: &Ask<'_>) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(&request.bytes()).unwrap();
        stream
    }

    /// Whether the entry says that it is ready.
    pub(crate) fn ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
            .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .unwrap();
        Answer::read(&mut stream).status == 200
    }
}

/// An entry behind a link of its own.
pub(crate) struct LinkedEntry {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) link: Link,
}

/// Waits until `done`; panics after [`PATIENCE`].
pub(crate) fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::yield_now();
    }
}

/// The sections that both roles share.
fn common(name: &str, peers: SocketAddr, store: SocketAddr) -> String {
    let metrics = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
    format!(
        "[process]\nname = {name}\nzone = a\nstop_s = 4\n[platform]\nstore = {store}\n\
         [retry]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\
         [listen]\npeers = {peers}\nmetrics = {metrics}\n"
    )
}

fn side_settings(name: &str, peers: SocketAddr, store: &Store, worker: &Worker) -> String {
    format!(
        "{}callers =\nreadiness =\n[endpoint]\naddress = {}\nservice = engines\n",
        common(name, peers, store.address()),
        worker.address()
    )
}

fn entry_settings(
    callers: SocketAddr,
    readiness: SocketAddr,
    peer_port: u16,
    store: SocketAddr,
    snapshots: SocketAddr,
    seeds: &str,
) -> String {
    let peers = SocketAddr::from((Ipv4Addr::LOCALHOST, peer_port));
    format!(
        "{}callers = {callers}\nreadiness = {readiness}\nsnapshots = {snapshots}\nseeds = {seeds}\n\
         [endpoint]\naddress =\nservice =\n",
        common("entry-1", peers, store)
    )
}

/// One request.
pub(crate) struct Ask<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) headers: &'a str,
    pub(crate) body: &'a [u8],
}

impl<'a> Ask<'a> {
    /// A stream under `/chat/` or `/draft/`.
    pub(crate) fn stream(path: &'a str, id: &'a str, model: &'a str) -> Ask<'a> {
        Ask { method: "POST", path, id, model, headers: "", body: b"{}" }
    }

    /// A call of the ledger.
    pub(crate) fn call(path: &'a str, id: &'a str) -> Ask<'a> {
        Ask { method: "POST", path, id, model: "", headers: "", body: b"booking" }
    }

    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.spell("Connection: close\r\n")
    }

    /// The same on a connection that is to be kept.
    pub(crate) fn kept_bytes(&self) -> Vec<u8> {
        self.spell("")
    }

    fn spell(&self, connection: &str) -> Vec<u8> {
        let model = match self.model {
            "" => String::new(),
            model => format!("X-Citronrill-Model: {model}\r\n"),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\n{connection}\
             X-Citronrill-Attempt-Id: {}\r\nX-Citronrill-Deadline-Ms: 5000\r\n{model}{}\
             Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.headers,
            self.body.len()
        );
        [head.as_bytes(), self.body].concat()
    }
}

/// An answer as it came over the connection.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body has its end.
    pub(crate) whole: bool,
}

impl Answer {
    /// Reads until the connection closes.
    pub(crate) fn read(stream: &mut TcpStream) -> Answer {
        let mut bytes = Vec::new();
        // A reset after the last byte changes nothing about what was read.
        let _ = stream.read_to_end(&mut bytes);
        Answer::parse(&bytes)
    }

    /// Reads one answer on a connection that is kept, or what comes of it.
    pub(crate) fn read_kept(stream: &mut TcpStream) -> Answer {
        let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
        loop {
            let answer = Answer::parse(&bytes);
            if answer.status != 0 && answer.whole {
                return answer;
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return answer,
                Ok(read) => bytes.extend_from_slice(&part[..read]),
            }
        }
    }

    fn parse(bytes: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse::<usize>().ok());
        let whole = match length {
            Some(length) => body.len() == length,
            None => body.ends_with("0\r\n\r\n"),
        };
        Answer { status, body: body.to_owned(), whole, head }
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }
}
