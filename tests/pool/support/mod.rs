//! Deployment of real processes on loopback, and a caller.

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
    messages::{Request, Response},
    process::Process,
};

pub(crate) const HOST: &str = "pool.example";
/// Timeout for conditions that a test waits for.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a port that is free on all loopback addresses. It is below the ephemeral range, from which the
/// system could assign the port to an outgoing connection before the test listens on it.
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

/// Returns an unused loopback address, as each instance has its own.
fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(0x0102);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 0, high, low)
}

/// Returns a configuration with an engine service, a plain service and their routes.
pub(crate) fn config(version: u64, extra_prefixes: &[&str]) -> Vec<u8> {
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
    routes.extend(
        extra_prefixes.iter().map(|prefix| route(prefix, "idempotent", "ledger", 2, false)),
    );
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

/// Returns a configuration with `extra_routes` additional routes of about 240 bytes each.
pub(crate) fn large_config(version: u64, extra_routes: usize) -> Vec<u8> {
    let prefixes = (0..extra_routes).map(|index| format!("/more-{index}/")).collect::<Vec<_>>();
    config(version, &prefixes.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Pool of a store, workers, sides and one entry.
pub(crate) struct Deployment {
    pub(crate) entry: Process,
    pub(crate) sides: Vec<Process>,
    pub(crate) caller_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    /// Address at which the entry serves snapshots of its state to peers.
    pub(crate) snapshot_address: SocketAddr,
    pub(crate) engines: Vec<Worker>,
    pub(crate) ledger: Worker,
    pub(crate) store: Store,
    pub(crate) peer_port: u16,
    platform: Platform,
}

impl Deployment {
    /// Starts a pool whose engines have these models loaded.
    pub(crate) fn start(engines: &[(&'static str, &[&'static str])]) -> Deployment {
        Deployment::start_versions(engines, &["v1"])
    }

    /// Starts such a pool whose engines have these software versions in turn.
    pub(crate) fn start_versions(
        engines: &[(&'static str, &[&'static str])],
        versions: &[&'static str],
    ) -> Deployment {
        let platform = Platform::start();
        let store = platform.store();
        store.put("op", "config", Some(config(1, &[])));
        let peer_port = free_port();
        let (mut workers, mut sides) = (Vec::new(), Vec::new());
        for ((instance, models), software) in engines.iter().zip(versions.iter().cycle()) {
            let ip = next_ip();
            let spec = WorkerSpec {
                service: "engines",
                software,
                instance,
                models: models.to_vec(),
                on_disk: vec!["m0", "m1", "m2", "m3"],
                load_ms: 200,
            };
            let worker = platform.worker(&store, SocketAddr::from((ip, 0)), spec);
            let settings = side_settings(
                instance,
                SocketAddr::from((ip, peer_port)),
                &store,
                worker.address(),
            );
            sides.push(Process::start("pool-side", &settings));
            workers.push(worker);
        }
        let spec = WorkerSpec {
            service: "ledger",
            software: "v1",
            instance: "ledger-1",
            models: Vec::new(),
            on_disk: Vec::new(),
            load_ms: 0,
        };
        let ledger = platform.worker(&store, SocketAddr::from((next_ip(), 0)), spec);
        let caller_address = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let readiness_address = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let snapshot_address = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let settings = entry_settings(
            caller_address,
            readiness_address,
            peer_port,
            store.address(),
            snapshot_address,
            "",
        );
        let entry = Process::start("pool-entry", &settings);
        let deployment = Deployment {
            entry,
            sides,
            caller_address,
            readiness_address,
            snapshot_address,
            engines: workers,
            ledger,
            store,
            peer_port,
            platform,
        };
        deployment.wait_until("the sides are connected", || {
            let connected = deployment.sides.iter().all(|side| side.logged(&["entry_connected"]));
            connected && deployment.entry.logged(&["event=text "])
        });
        deployment
    }

    /// Puts a proxy in front of each engine and lists the engine at the proxy's address.
    pub(crate) fn insert_proxies(&self) -> Vec<Proxy> {
        let proxy = |engine: &Worker| {
            let proxy = self.platform.proxy(engine.address());
            engine.register_at(proxy.address());
            proxy
        };
        self.engines.iter().map(proxy).collect()
    }

    /// Starts another worker of the plain service.
    pub(crate) fn add_ledger(&self, instance: &'static str) -> Worker {
        let spec = WorkerSpec {
            service: "ledger",
            software: "v1",
            instance,
            models: Vec::new(),
            on_disk: Vec::new(),
            load_ms: 0,
        };
        self.platform.worker(&self.store, SocketAddr::from((next_ip(), 0)), spec)
    }

    /// Starts another entry.
    pub(crate) fn add_entry(&self) -> Process {
        self.add_entry_with_seeds("")
    }

    /// Starts another entry and waits until it is connected to all sides; returns it with its address
    /// for callers.
    pub(crate) fn add_entry_at(&self) -> (Process, SocketAddr) {
        let connected =
            || self.sides.iter().map(|side| side.count(&["entry_connected"])).sum::<usize>();
        let before = connected();
        let (entry, address) = start_entry(self.peer_port, self.store.address(), "");
        self.wait_until("the entry is connected", || connected() >= before + self.sides.len());
        (entry, address)
    }

    /// Starts another entry, which connects to the store through a proxy.
    pub(crate) fn entry_behind_proxy(&self) -> (Process, Proxy) {
        let proxy = self.platform.proxy(self.store.address());
        (start_entry(self.peer_port, proxy.address(), "").0, proxy)
    }

    /// Starts another entry, whose platform store is at this address.
    pub(crate) fn add_entry_at_store(&self, store: SocketAddr) -> Process {
        start_entry(self.peer_port, store, "").0
    }

    /// Starts another side, whose endpoint is at this address.
    pub(crate) fn add_side(&self, name: &str, endpoint: SocketAddr) -> Process {
        let peers = SocketAddr::from((next_ip(), self.peer_port));
        Process::start("pool-side", &side_settings(name, peers, &self.store, endpoint))
    }

    /// Starts another entry, which bootstraps from these peers if the store is unavailable.
    pub(crate) fn add_entry_with_seeds(&self, seeds: &str) -> Process {
        start_entry(self.peer_port, self.store.address(), seeds).0
    }

    /// Starts another entry behind a link of `rate` bytes per second, which carries all its traffic with
    /// the store and the sides.
    pub(crate) fn entry_behind_link(&self, rate: u64) -> LinkedEntry {
        let link = self.platform.link(rate);
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = link.forward(listen, self.store.address());
        let port = free_port();
        for engine in &self.engines {
            let ip = engine.address().ip();
            link.forward(SocketAddr::new(ip, port), SocketAddr::new(ip, self.peer_port));
        }
        let (process, caller_address) = start_entry(port, store, "");
        LinkedEntry { process, caller_address, link }
    }

    /// Kills and restarts the entry, as the platform does.
    pub(crate) fn restart_entry(&mut self) {
        self.restart_entry_with("");
    }

    /// Kills and restarts the entry with another section of settings.
    pub(crate) fn restart_entry_with(&mut self, section: &str) {
        self.entry.restart_with(section);
        self.wait_until("the entry is started", || self.entry.logged(&["event=started"]));
    }

    /// Waits until `done` returns true; prints the processes' logs if that takes too long.
    pub(crate) fn wait_until(&self, what: &str, done: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !done() {
            if Instant::now() >= deadline {
                [&self.entry].into_iter().chain(&self.sides).for_each(Process::print_log);
                panic!("timed out waiting until {what}");
            }
            thread::yield_now();
        }
    }

    /// Sends a request and reads its response.
    pub(crate) fn request(&self, request: &Request<'_>) -> Response {
        let mut stream = self.send(request);
        Response::read(&mut stream)
    }

    /// Sends a request to the entry at this address and reads its response.
    pub(crate) fn request_at(&self, entry: SocketAddr, request: &Request<'_>) -> Response {
        Response::read(&mut self.send_to(entry, request))
    }

    /// Sends a request and returns the connection for reading the response.
    pub(crate) fn send(&self, request: &Request<'_>) -> TcpStream {
        self.send_to(self.caller_address, request)
    }

    /// Sends a request to the entry at this address and returns the connection.
    pub(crate) fn send_to(&self, entry: SocketAddr, request: &Request<'_>) -> TcpStream {
        let mut stream = TcpStream::connect(entry).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(&request.bytes()).unwrap();
        stream
    }

    /// Sends a request and waits for the first byte of its response.
    pub(crate) fn request_head(&self, request: &Request<'_>) -> TcpStream {
        let stream = self.send(request);
        // A connection that closes without a response is told by the next read.
        let _ = stream.peek(&mut [0]);
        stream
    }

    /// Returns whether the entry reports that it is ready.
    pub(crate) fn ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness_address) else { return false };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
            .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .unwrap();
        Response::read(&mut stream).status == 200
    }
}

/// Starts an entry on unused addresses; returns it with its address for callers.
fn start_entry(peer_port: u16, store: SocketAddr, seeds: &str) -> (Process, SocketAddr) {
    let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
    let caller_address = address();
    let settings = entry_settings(caller_address, address(), peer_port, store, address(), seeds);
    (Process::start("pool-entry", &settings), caller_address)
}

/// Entry behind its own link.
pub(crate) struct LinkedEntry {
    pub(crate) process: Process,
    pub(crate) caller_address: SocketAddr,
    pub(crate) link: Link,
}

/// Waits until `done` returns true; panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::yield_now();
    }
}

/// Returns the settings sections that both roles share.
fn common_settings(name: &str, peers: SocketAddr, store: SocketAddr) -> String {
    let metrics = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
    format!(
        "[process]\nname = {name}\nzone = a\nfirst_start = yes\nstop_s = 4\n[platform]\nstore = {store}\n\
         [retry]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\
         [listen]\npeers = {peers}\nmetrics = {metrics}\n"
    )
}

fn side_settings(name: &str, peers: SocketAddr, store: &Store, endpoint: SocketAddr) -> String {
    format!(
        "{}callers =\nreadiness =\n[endpoint]\naddress = {}\nservice = engines\n",
        common_settings(name, peers, store.address()),
        endpoint
    )
}

fn entry_settings(
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    peer_port: u16,
    store: SocketAddr,
    snapshot_address: SocketAddr,
    seeds: &str,
) -> String {
    let peers = SocketAddr::from((Ipv4Addr::LOCALHOST, peer_port));
    format!(
        "{}callers = {caller_address}\nreadiness = {readiness_address}\n\
         snapshots = {snapshot_address}\nseeds = {seeds}\n\
         [endpoint]\naddress =\nservice =\n",
        common_settings("entry-1", peers, store)
    )
}
