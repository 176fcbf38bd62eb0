//! Real processes on loopback, and a caller.

#![allow(dead_code, reason = "two test programs share this file and use parts of it each")]

mod messages;
mod process;

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use citronrill_platform_standin::{Link, Platform, Proxy, Store, Worker, WorkerSpec};

pub(crate) use self::{
    messages::{Answer, Ask},
    process::Process,
};

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
        (start_entry(self.peer_port, proxy.address(), "").0, proxy)
    }

    /// Starts one more entry, which asks these peers while the store is away.
    pub(crate) fn entry_that_asks(&self, seeds: &str) -> Process {
        start_entry(self.peer_port, self.store.address(), seeds).0
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
        let (process, callers) = start_entry(port, store, "");
        LinkedEntry { process, callers, link }
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

/// Starts an entry on addresses of its own; gives it and where callers reach it.
fn start_entry(peer_port: u16, store: SocketAddr, seeds: &str) -> (Process, SocketAddr) {
    let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
    let callers = address();
    let settings = entry_settings(callers, address(), peer_port, store, address(), seeds);
    (Process::start("pool-entry", &settings), callers)
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
