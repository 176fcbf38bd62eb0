//! `citronrill dev`: runs the whole system in one process on the loopback interface.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use argh::FromArgs;
use citronrill_config::{
    Catalogue, EntrySettings, PlatformSettings, Registry, ServiceKind, Settings, SideKind,
    SideSettings, hash_api_key,
};
use citronrill_decide::Policies;
use citronrill_http::client::Call;
use citronrill_platform::{Instance, Role};
use citronrill_runtime::{
    EntryOptions, EntryProcess, SideOptions, SideProcess, apply_config, fetch_dump_json,
};
use citronrill_standin::{
    EngineOptions, EngineStandin, PlainStandin, PlatformStandin, WeightLimits,
};

use super::{ask::ask, stop_signals};
use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_file},
};

/// Number of engines that `dev` starts.
const ENGINES: usize = 3;
/// Memory of each engine, in multiples of the largest model.
const ENGINE_MODELS: u64 = 2;
/// Duration of a load from the weight store, in milliseconds.
const LOAD_MS: u64 = 1_500;
const TOKEN_MS: u64 = 40;
const SLOTS: u64 = 8;
const STOP_S: u64 = 10;
const SECRET: &str = "dev";
/// How long `dev` waits for its own processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Run the whole system with stand-ins in one process, to try it out.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct Dev {
    /// the configuration file
    #[argh(option)]
    config: String,

    /// the address on which the entry accepts callers; by default a free port on loopback
    #[argh(option)]
    http: Option<SocketAddr>,

    /// send one question to this model, print the answer and stop
    #[argh(option)]
    ask: Option<String>,

    /// the question for --ask
    #[argh(option, default = "String::from(\"Does a sofa count as bulky waste?\")")]
    text: String,
}

/// The running processes and stand-ins, in the order in which they are dropped.
struct Running {
    entry: EntryProcess,
    sides: Vec<SideProcess>,
    _engines: Vec<EngineStandin>,
    _plains: Vec<PlainStandin>,
    platform: PlatformStandin,
}

impl Dev {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let config = with_dev_keys(&read_file(&self.config)?);
        let mut registry = Registry::default();
        let catalogue = Catalogue::compile(&self.config, &config, 0, &mut registry)?;
        let running = start(&self.config, &config, &catalogue, &registry, self.http)?;
        let http = running.entry.http_address();
        wait_until("a ready entry", || healthy(http) && knows_all_endpoints(&running))?;
        if let Some(model) = &self.ask {
            let key = key_for(&catalogue, &registry, model)?;
            let exit = ask(http, &key, model, &self.text)?;
            shut_down(running);
            return Ok(exit);
        }
        println!("serving on http://{http}/v1 ; keys:");
        for org in catalogue.organisations.values() {
            println!("  {}: {}", org.name, dev_key(&org.name));
        }
        let signals = stop_signals()?;
        let _ = signals.recv();
        shut_down(running);
        Ok(Exit::Success)
    }
}

fn shut_down(running: Running) {
    running.entry.drain();
    running.sides.iter().for_each(|side| side.drain(true));
    running.entry.wait();
    running.sides.into_iter().for_each(SideProcess::wait);
    drop(running.platform);
}

fn dev_key(org: &str) -> String {
    format!("dev-{org}")
}

/// Adds an API key that `dev` can print to every organisation.
fn with_dev_keys(config: &str) -> String {
    let mut result = String::new();
    for line in config.lines() {
        result.push_str(line);
        result.push('\n');
        let header = line.trim().strip_prefix("[organisation ");
        if let Some(name) = header.and_then(|rest| rest.strip_suffix(']')) {
            let hash = hash_api_key(&dev_key(name.trim())).to_hex();
            result.push_str(&format!("key.dev = sha256:{hash}\n"));
        }
    }
    result
}

fn key_for(
    catalogue: &Catalogue,
    registry: &Registry,
    model: &str,
) -> Result<String, CommandError> {
    let key = registry.models.get(model).and_then(|key| catalogue.models.get(&key));
    let org = key.and_then(|model| catalogue.organisations.get(&model.org));
    Ok(dev_key(&org.ok_or(CommandError::Missing("the configuration has no such model"))?.name))
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start(
    file: &str,
    config: &str,
    catalogue: &Catalogue,
    registry: &Registry,
    http: Option<SocketAddr>,
) -> Result<Running, CommandError> {
    let pool = &catalogue.pool;
    let limits = WeightLimits {
        concurrent_loads: pool.concurrent_loads,
        loads_per_second: pool.loads_per_second,
    };
    let platform = PlatformStandin::start(any_port(), limits)?;
    let address = platform.address();
    let clients = Platform::new(&platform_settings(address));
    apply_config(clients.table.as_ref(), clients.objects.as_ref(), file, config, Some(0))?;
    let largest = catalogue.models.values().map(|model| model.peak_mb).max();
    let memory_mb =
        largest.ok_or(CommandError::Missing("the configuration has no model"))? * ENGINE_MODELS;
    let (mut engines, mut plains, mut sides) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..ENGINES {
        let options = EngineOptions {
            memory_mb,
            fencing: index == 0,
            load_ms: LOAD_MS,
            token_ms: TOKEN_MS,
            weights: Some(address),
        };
        let engine = EngineStandin::start(any_port(), options)?;
        let name = format!("worker-{}", index + 1);
        let kind = SideKind::Engine;
        sides.push(start_side(&platform, &name, index, engine.address(), kind, memory_mb)?);
        engines.push(engine);
    }
    let plain_services =
        catalogue.services.values().filter(|service| service.kind == ServiceKind::Plain);
    for endpoint in plain_services.flat_map(|service| &service.endpoints) {
        let service = PlainStandin::start(any_port(), 0)?;
        let name = registry.endpoints.name(*endpoint);
        let kind = SideKind::Plain;
        sides.push(start_side(&platform, name, plains.len(), service.address(), kind, 0)?);
        plains.push(service);
    }
    let settings = EntrySettings {
        common: common_settings("entry-1", 0, address),
        http: http.unwrap_or(any_port()),
        body_limit: 8 << 20,
        request_limit: 10_000,
    };
    let options = EntryOptions {
        table: clients.table,
        objects: clients.objects,
        instances: clients.instances,
        policies: Policies::default(),
    };
    let entry = EntryProcess::start(&settings, options)?;
    register(&platform, "entry-1", 0, entry.listen_address(), Role::Entry);
    let (engines, plains) = (engines, plains);
    Ok(Running { entry, sides, _engines: engines, _plains: plains, platform })
}

fn start_side(
    platform: &PlatformStandin,
    name: &str,
    index: usize,
    target: SocketAddr,
    kind: SideKind,
    memory_mb: u64,
) -> Result<SideProcess, CommandError> {
    let address = platform.address();
    let settings = SideSettings {
        common: common_settings(name, index, address),
        endpoint: name.to_owned(),
        target,
        kind,
        memory_mb,
        slots: SLOTS,
        fencing: index == 0,
    };
    let clients = Platform::new(&platform_settings(address));
    let options = SideOptions { table: clients.table, instances: clients.instances };
    let side = SideProcess::start(&settings, options)?;
    register(platform, name, index, side.listen_address(), Role::Side);
    Ok(side)
}

fn platform_settings(address: SocketAddr) -> PlatformSettings {
    PlatformSettings { table: address, objects: address, instances: address }
}

fn zone(index: usize) -> String {
    ["dev-a", "dev-b", "dev-c"][index % 3].to_owned()
}

fn common_settings(name: &str, index: usize, platform: SocketAddr) -> Settings {
    Settings {
        instance: name.to_owned(),
        zone: zone(index),
        listen: any_port(),
        secret: SECRET.to_owned(),
        stop_s: STOP_S,
        platform: platform_settings(platform),
    }
}

fn register(platform: &PlatformStandin, name: &str, index: usize, address: SocketAddr, role: Role) {
    let (name, address) = (name.to_owned(), address.to_string());
    platform.register(Instance { name, zone: zone(index), address, role, leaving: false });
}

fn healthy(http: SocketAddr) -> bool {
    let response = Call::new("GET", http, "/healthz").send(&mut [].as_slice());
    response.is_ok_and(|response| response.is_success())
}

/// Returns whether the entry knows the endpoints of all sides.
fn knows_all_endpoints(running: &Running) -> bool {
    let state = fetch_dump_json(running.entry.listen_address(), SECRET);
    let endpoints = state.ok().and_then(|state| Some(state["endpoints"].as_object()?.len()));
    endpoints == Some(running.sides.len())
}

fn wait_until(condition: &'static str, is_met: impl Fn() -> bool) -> Result<(), CommandError> {
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if is_met() {
            return Ok(());
        }
        std::thread::park_timeout(Duration::from_millis(20));
    }
    Err(CommandError::Timeout(condition))
}
