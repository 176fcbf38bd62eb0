//! A small deployment: store, workers, sides and entries on loopback addresses, with the project's
//! programs as in the deploy file.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::Connection,
    process::Process,
    record::Record,
    store::{Door, Store},
    worker::WorkerSpec,
};

pub const HOST: &str = "pool.example";
/// A service of plain workers.
pub const CALLS: &str = "ledger";
/// Size of a model.
pub const MODEL_MB: u32 = 60_000;
/// Interval of the workers' writes to the store.
const BEAT: Duration = Duration::from_millis(1_200);
/// Time after which the row of a silent worker is removed: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time within which a deployment is ready.
const START: Duration = Duration::from_secs(15);

/// The ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    base: u16,
}

impl Ports {
    /// Finds ports that are free on all loopback addresses.
    fn find() -> io::Result<Ports> {
        let offset = std::process::id() as u16 % 800 * 16;
        let bases = (0..800).map(|step| 13_000 + (offset + step * 16) % 12_800);
        let free = |base: &u16| {
            (*base..base + 8).all(|port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok())
        };
        let base = bases.into_iter().find(free).ok_or(io::ErrorKind::AddrInUse)?;
        Ok(Ports { base })
    }

    fn callers(self) -> u16 {
        self.base
    }

    fn readiness(self) -> u16 {
        self.base + 1
    }

    fn peers(self) -> u16 {
        self.base + 2
    }

    fn metrics(self) -> u16 {
        self.base + 3
    }

    fn snapshots(self) -> u16 {
        self.base + 4
    }

    fn worker(self) -> u16 {
        self.base + 5
    }

    fn store(self) -> u16 {
        self.base + 6
    }
}

/// A worker's process, with what is written of it into the store.
pub struct Worker {
    pub spec: WorkerSpec,
    process: Mutex<Process>,
    alive: Arc<AtomicBool>,
}

impl Worker {
    /// Returns whether its process runs.
    pub fn is_running(&self) -> bool {
        self.process.lock().unwrap_or_else(PoisonError::into_inner).is_running()
    }

    /// Kills the worker. Its row is removed after three intervals of silence.
    pub fn crash(&self, record: &Record) {
        self.alive.store(false, Ordering::Relaxed);
        self.process.lock().unwrap_or_else(PoisonError::into_inner).kill();
        record.line(&format!("worker {} is killed", self.spec.id));
    }
}

/// What is started.
pub struct Plan {
    pub entries: u8,
    /// The services of the model workers beside the sides.
    pub sides: Vec<&'static str>,
    pub manifest: String,
    /// Whether the workers' answers have no length.
    pub unframed: bool,
    /// The entry that reaches the store by a door of its own.
    pub behind_door: u8,
}

/// Where a worker runs.
#[derive(Debug, Clone, Copy)]
pub enum Place {
    /// On the machine of this side.
    BesideSide(u8),
}

impl Place {
    fn ip(self) -> Ipv4Addr {
        match self {
            Place::BesideSide(index) => Ipv4Addr::new(127, 0, 2, index),
        }
    }

    fn zone(self) -> &'static str {
        match self {
            Place::BesideSide(index) => zone(index),
        }
    }
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub ports: Ports,
    /// The door to the store of one entry.
    pub door: Door,
    directory: PathBuf,
    plan: Plan,
    boots: AtomicU64,
    entries: Vec<Process>,
    sides: Vec<Process>,
}

impl Deployment {
    /// Starts the store, the entries and the sides; the workers are to be started next.
    pub fn start(record: &Record, directory: &Path, plan: Plan) -> io::Result<Deployment> {
        let ports = Ports::find()?;
        let store = Store::start(SocketAddr::from((Ipv4Addr::new(127, 0, 4, 1), ports.store())))?;
        store.put("op", "config", Some(plan.manifest.as_bytes()));
        let door = store.door(SocketAddr::from((Ipv4Addr::new(127, 0, 4, 2), ports.store())))?;
        let mut deployment = Deployment {
            record: record.clone(),
            store,
            ports,
            door,
            directory: directory.to_owned(),
            plan,
            boots: AtomicU64::new(0),
            entries: Vec::new(),
            sides: Vec::new(),
        };
        for index in 1..=deployment.plan.entries {
            let entry = deployment.start_project("pool-entry", index)?;
            deployment.entries.push(entry);
        }
        for index in 1..=deployment.plan.sides.len() as u8 {
            let side = deployment.start_project("pool-side", index)?;
            deployment.sides.push(side);
        }
        Ok(deployment)
    }

    fn start_project(&self, role: &str, index: u8) -> io::Result<Process> {
        let name = format!("{role}-{index}");
        let settings = self.directory.join(format!("{name}.ini"));
        fs::write(&settings, self.settings(role == "pool-entry", index)?)?;
        Process::project(role, &settings, &self.directory.join(format!("{name}.log")))
    }

    /// Fills in the project's own template, as the platform does.
    fn settings(&self, entry: bool, index: u8) -> io::Result<String> {
        let ip = if entry { entry_ip(index) } else { Place::BesideSide(index).ip() };
        let service = self.plan.sides.get(usize::from(index) - 1).copied().unwrap_or_default();
        let at = |port: u16| SocketAddr::from((ip, port)).to_string();
        let only = |here: bool, text: String| if here { text } else { String::new() };
        let ports = self.ports;
        let behind_door = entry && index == self.plan.behind_door;
        let store = if behind_door { self.door.address } else { self.store.address };
        let seeds = (1..=self.plan.entries.min(3)).map(entry_ip);
        let seeds = seeds.map(|ip| SocketAddr::from((ip, ports.snapshots())).to_string());
        let values = [
            ("node_name", format!("{}-{index}", if entry { "edge" } else { "side" })),
            ("zone", zone(index).to_owned()),
            ("#bootstrap", String::new()),
            ("/bootstrap", String::new()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("listen.frontend", only(entry, at(ports.callers()))),
            ("listen.readiness", only(entry, at(ports.readiness()))),
            ("ip", ip.to_string()),
            ("port_range.0", ports.peers().to_string()),
            ("port_range.1", ports.metrics().to_string()),
            ("listen.control_plane", only(entry, at(ports.snapshots()))),
            ("seed_nodes", seeds.collect::<Vec<_>>().join(",")),
            ("platform.address", store.to_string()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("app", only(!entry, at(ports.worker()))),
            ("service", only(!entry, service.to_owned())),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "58".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.quota_window_s", String::new()),
            ("bounds.quota_overage", String::new()),
            ("bounds.quota_tolerance", String::new()),
            (
                "contracts",
                "base,drain,config,cost,retry,recover,fleet,stream,engine,platform".to_owned(),
            ),
            ("limits.memory_mb", if entry { "260" } else { "192" }.to_owned()),
            ("limits.max_fds", if entry { "4100" } else { "4096" }.to_owned()),
        ];
        let template = fs::read_to_string("deploy/settings.ini")?;
        // The processes start for the first time, so the other form is left out.
        let mut text = template.replace("{{^bootstrap}}no{{/bootstrap}}", "");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        Ok(text)
    }

    /// Returns the address of a worker.
    pub fn worker_address(&self, place: Place) -> SocketAddr {
        SocketAddr::from((place.ip(), self.ports.worker()))
    }

    /// Starts a worker with a new id that holds these models, and lists it.
    pub fn start_worker(
        &self,
        service: &'static str,
        place: Place,
        models: &[&str],
        weights_mb: u32,
    ) -> io::Result<Worker> {
        self.start_worker_behind(service, place, models, weights_mb, self.worker_address(place))
    }

    /// Starts a worker, and lists it at this address.
    pub fn start_worker_behind(
        &self,
        service: &'static str,
        place: Place,
        models: &[&str],
        weights_mb: u32,
        listed: SocketAddr,
    ) -> io::Result<Worker> {
        let boot = self.boots.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = WorkerSpec {
            address: self.worker_address(place),
            id: format!("i-{service}-{boot}"),
            slots: if models.is_empty() { 6 } else { 24 },
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            unframed: self.plan.unframed,
            weights_mb,
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis()),
        };
        let arguments = [vec!["worker".to_owned()], spec.arguments()].concat();
        let process = Mutex::new(Process::stand_in(&arguments, &self.record)?);
        let alive = Arc::new(AtomicBool::new(true));
        self.keep_listed(service, place, listed, &spec, alive.clone());
        self.record.line(&format!("worker {} of {service} starts at {}", spec.id, spec.address));
        Ok(Worker { spec, process, alive })
    }

    /// Writes a worker's row at its heartbeats, the first one an interval after its start, until it has
    /// been silent for some time.
    fn keep_listed(
        &self,
        service: &'static str,
        place: Place,
        listed: SocketAddr,
        spec: &WorkerSpec,
        alive: Arc<AtomicBool>,
    ) {
        let (spec, store) = (spec.clone(), self.store.clone());
        thread::spawn(move || {
            let WorkerSpec { id, slots, born, .. } = spec.clone();
            let mut sequence = 0;
            loop {
                thread::sleep(BEAT);
                if !alive.load(Ordering::Relaxed) {
                    break;
                }
                sequence += 1;
                let engine = service != CALLS;
                let held = if engine { held_fields(spec.address) } else { String::new() };
                let row = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{listed}\",\"zone\":\"{}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                     \"cold_remaining_ms\":0,{held}\
                     \"sequence\":{sequence},\"born\":{born}}}",
                    place.zone()
                );
                store.put("servers", &id, Some(row.as_bytes()));
            }
            thread::sleep(EXPIRY - BEAT);
            store.put("servers", &id, None);
        });
    }

    /// Waits until all entries are ready and a request of each kind is served.
    pub fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START;
        for index in 1..=self.plan.entries {
            while !self.is_ready(index) {
                if Instant::now() > deadline {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "an entry is not ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The sides connect, and report what their workers hold.
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// Asks for an entry's readiness, as the platform does.
    pub fn is_ready(&self, entry: u8) -> bool {
        let address = SocketAddr::from((entry_ip(entry), self.ports.readiness()));
        let asked =
            TcpStream::connect(address).and_then(Connection::new).and_then(|mut connection| {
                connection.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
                connection.read_head()
            });
        asked.is_ok_and(|head| head.is_some_and(|head| head.status() == 200))
    }

    /// Writes the settings of a side whose worker is of another service by now, and sends SIGHUP.
    pub fn change_side_service(&mut self, side: u8, service: &'static str) -> io::Result<()> {
        let at = usize::from(side) - 1;
        self.plan.sides[at] = service;
        let settings = self.directory.join(format!("pool-side-{side}.ini"));
        fs::write(settings, self.settings(false, side)?)?;
        self.record.line(&format!("settings of side {side}: service = {service}; SIGHUP"));
        self.sides[at].signal("HUP")
    }

    /// Returns the address of an entry for consumers.
    pub fn entry(&self, index: u8) -> SocketAddr {
        SocketAddr::from((entry_ip(index), self.ports.callers()))
    }

    /// Returns whether all processes of the project still run.
    pub fn all_running(&mut self) -> bool {
        self.entries.iter_mut().chain(&mut self.sides).all(Process::is_running)
    }
}

/// Returns the fields of a model worker's row that its report has, too: what it holds.
fn held_fields(worker: SocketAddr) -> String {
    let report = TcpStream::connect(worker).and_then(Connection::new).and_then(|mut connection| {
        connection.write(b"GET /api/report HTTP/1.1\r\nHost: x\r\n\r\n")?;
        let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(String::from_utf8_lossy(&connection.read_body(&head).bytes).into_owned())
    });
    let report = report.unwrap_or_default();
    let fields = report.strip_prefix('{').and_then(|text| text.split_once("\"busy\""));
    fields.map_or(String::new(), |(fields, _)| fields.to_owned())
}

fn zone(index: u8) -> &'static str {
    ["zone-a", "zone-b", "zone-c"][usize::from(index) % 3]
}

fn entry_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, index)
}

/// Returns a route of a manifest.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32) -> String {
    let gap = if kind == "streaming" { ",\"target_gap_ms\":600" } else { "" };
    format!(
        "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
         \"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\
         \"priority\":0,\"service\":\"{service}\",\"max_attempts\":2,\"sticky\":true,\
         \"resumable\":false{gap}}}",
        prefix.replace('/', "-")
    )
}

/// Returns a service of model workers with this memory, for models of 60 GB.
pub fn engine_service(name: &str, weights_mb: u32, models: &[&str]) -> String {
    let models = models.iter().map(|model| {
        format!(
            "{{\"name\":\"{model}\",\"weights_mb\":{MODEL_MB}.0,\"load_time_s\":6.0,\
             \"adapters\":0,\"adapter_size_mb\":12.0,\"warmup_s\":0.6,\"disk_load_s\":1.0}}"
        )
    });
    let models = models.collect::<Vec<_>>().join(",");
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\"kv_capacity\":200000,\
         \"kv_token_bytes\":163840,\"backups\":false,\"models\":[{models}],\
         \"weights_mb\":{weights_mb}.0,\"max_adapters\":8,\"loads_per_s\":2.8}}}}"
    )
}

/// Returns a manifest.
pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
