//! Small deployment on loopback: platform stand-in, engines, sides and entries.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use citronrill_config::{
    EntrySettings, PlatformSettings, Settings, SideKind, SideSettings, hash_api_key,
};
use citronrill_decide::{
    Policies,
    rows::{ClaimRow, ClaimState, decode},
};
use citronrill_platform::{HttpInstanceList, HttpObjectStore, HttpTable, Instance, Role};
use citronrill_runtime::{
    EntryOptions, EntryProcess, SideOptions, SideProcess, apply_config, fetch_dump_json,
};
use citronrill_standin::{
    EngineOptions, EngineStandin, PlainStandin, PlatformStandin, WeightLimits,
};
use serde_json::{Value, json};

pub(crate) const SECRET: &str = "test secret";
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a loopback address with port 0, so that the system assigns a free port.
pub(crate) fn free_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a configuration with two organisations, their models, an adapter and a plain service.
pub(crate) fn config() -> String {
    let hash = |key| hash_api_key(key).to_hex();
    format!(
        "[pool]\nloads_second = 7\nloads_once = 4\n\
         [organisation north]\nshare_mb = 60000\ncold_weight = 600\nkey.1 = sha256:{}\n\
         [organisation south]\nshare_mb = 20000\nkey.1 = sha256:{}\n\
         [service chat]\norganisation = north\nclass = urgent\ndeadline_ms = 20000\n\
         [service drafts]\norganisation = north\nrepeatable = no\n\
         [service intake]\norganisation = south\n\
         [service ledger]\norganisation = north\nkind = plain\nendpoints = plain-1\n\
         unrepeatable = POST /bookings\n\
         [model alpha]\nservice = chat\nmemory_mb = 8000\nload_ms = 300\nreplicas = 2\n\
         [adapter alpha-de]\nbase = alpha\nmemory_mb = 100\nload_ms = 60\n\
         [model drafter]\nservice = drafts\nmemory_mb = 6000\nload_ms = 300\n\
         [model beta]\nservice = intake\nmemory_mb = 9000\nload_ms = 300\n",
        hash("north-key"),
        hash("south-key"),
    )
}

/// Running processes and stand-ins, dropped in this order.
pub(crate) struct Deployment {
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) sides: Vec<SideProcess>,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) plain: PlainStandin,
    pub(crate) platform: PlatformStandin,
}

impl Deployment {
    /// Starts `entries` entries, `engines` engines with their sides, and a plain service.
    pub(crate) fn start(entries: usize, engines: usize) -> Deployment {
        Deployment::start_with(entries, engines, None)
    }

    /// Starts such a deployment whose plain service is at `plain`, if given.
    pub(crate) fn start_with(
        entries: usize,
        engines: usize,
        target: Option<SocketAddr>,
    ) -> Deployment {
        let limits = WeightLimits { concurrent_loads: 4, loads_per_second: 7 };
        let platform = PlatformStandin::start(free_address(), limits).unwrap();
        let clients = Clients::new(platform.address());
        let (table, objects) = (clients.table.as_ref(), clients.objects.as_ref());
        apply_config(table, objects, "test", &config(), Some(0)).unwrap();
        let plain = PlainStandin::start(free_address(), 0).unwrap();
        let mut deployment =
            Deployment { entries: vec![], sides: vec![], engines: vec![], plain, platform };
        for index in 0..engines {
            let options = EngineOptions {
                memory_mb: 20_000,
                fencing: index == 0,
                load_ms: 300,
                token_ms: 2,
                weights: Some(deployment.platform.address()),
            };
            deployment.engines.push(EngineStandin::start(free_address(), options).unwrap());
            deployment.add_side(index);
        }
        let side = deployment.plain_side(target.unwrap_or(deployment.plain.address()));
        deployment.sides.push(side);
        for index in 0..entries {
            deployment.add_entry(index);
        }
        deployment
            .wait_until("entries to know every endpoint", |deployment| deployment.is_settled());
        deployment
    }

    fn common_settings(&self, name: &str, index: usize) -> Settings {
        let address = self.platform.address();
        Settings {
            instance: name.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][index % 3].to_owned(),
            listen: free_address(),
            secret: SECRET.to_owned(),
            stop_s: 10,
            platform: PlatformSettings { table: address, objects: address, instances: address },
        }
    }

    pub(crate) fn add_side(&mut self, index: usize) {
        let name = format!("worker-{index}");
        let settings = SideSettings {
            common: self.common_settings(&name, index),
            endpoint: name.clone(),
            target: self.engines[index].address(),
            kind: SideKind::Engine,
            memory_mb: 20_000,
            slots: 64,
            fencing: index == 0,
        };
        let side = self.start_side(&settings);
        self.sides.push(side);
    }

    fn plain_side(&self, target: SocketAddr) -> SideProcess {
        let settings = SideSettings {
            common: self.common_settings("plain-1", 0),
            endpoint: "plain-1".to_owned(),
            target,
            kind: SideKind::Plain,
            memory_mb: 0,
            slots: 16,
            fencing: false,
        };
        self.start_side(&settings)
    }

    fn start_side(&self, settings: &SideSettings) -> SideProcess {
        let clients = Clients::new(self.platform.address());
        let options = SideOptions { table: clients.table, instances: clients.instances };
        let side = SideProcess::start(settings, options).unwrap();
        let common = &settings.common;
        self.register(&common.instance, &common.zone, side.listen_address(), Role::Side);
        side
    }

    pub(crate) fn add_entry(&mut self, index: usize) {
        let name = format!("entry-{index}");
        let settings = EntrySettings {
            common: self.common_settings(&name, index),
            http: free_address(),
            body_limit: 1 << 20,
            request_limit: 10_000,
        };
        let clients = Clients::new(self.platform.address());
        let options = EntryOptions {
            table: clients.table,
            objects: clients.objects,
            instances: clients.instances,
            policies: Policies::default(),
        };
        let entry = EntryProcess::start(&settings, options).unwrap();
        let zone = &settings.common.zone;
        self.register(&name, zone, entry.listen_address(), Role::Entry);
        self.entries.push(entry);
    }

    fn register(&self, name: &str, zone: &str, address: SocketAddr, role: Role) {
        let (name, zone, address) = (name.to_owned(), zone.to_owned(), address.to_string());
        self.platform.register(Instance { name, zone, address, role, leaving: false });
    }

    fn is_settled(&self) -> bool {
        self.entries.iter().all(|entry| {
            let state = fetch_dump_json(entry.listen_address(), SECRET).unwrap_or_default();
            let endpoints = state["endpoints"].as_object().map_or(0, |all| all.len());
            let members = state["members"].as_array().map_or(0, |all| all.len());
            state["ready"] == json!(true)
                && endpoints == self.sides.len()
                && members >= self.entries.len()
        })
    }

    /// Waits until `done` returns true; panics after [`WAIT_TIMEOUT`].
    pub(crate) fn wait_until(&self, what: &str, done: impl Fn(&Deployment) -> bool) {
        let started = Instant::now();
        while !done(self) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// Returns the state that an entry reports.
    pub(crate) fn state(&self, entry: usize) -> Value {
        fetch_dump_json(self.entries[entry].listen_address(), SECRET).unwrap_or_default()
    }

    /// Returns the version of the configuration that an entry uses.
    pub(crate) fn version(&self, entry: usize) -> Option<u64> {
        self.state(entry)["version"].as_u64()
    }

    /// Returns the number of claims with a stored answer.
    pub(crate) fn answered_claims(&self) -> usize {
        let rows = self.platform.rows();
        let claims = rows.iter().filter(|row| row.key.starts_with("claim/"));
        let claims = claims.filter_map(|row| decode::<ClaimRow>(&row.body));
        claims.filter(|claim| claim.state() == ClaimState::Answered).count()
    }

    pub(crate) fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].http_address())
    }

    /// Sends a chat request to a model; returns status and body.
    pub(crate) fn chat(
        &self,
        entry: usize,
        key: &str,
        model: &str,
        content: &str,
        stream: bool,
    ) -> (u16, String) {
        let question = json!({ "model": model, "stream": stream,
            "messages": [{ "role": "user", "content": content }] });
        let request = attohttpc::post(self.url(entry, "/v1/chat/completions")).bearer_auth(key);
        let response = request.json(&question).unwrap().send().unwrap();
        (response.status().as_u16(), response.text_utf8().unwrap_or_default())
    }
}

/// Clients of the platform's services.
pub(crate) struct Clients {
    pub(crate) table: Arc<HttpTable>,
    pub(crate) objects: Arc<HttpObjectStore>,
    pub(crate) instances: Arc<HttpInstanceList>,
}

impl Clients {
    pub(crate) fn new(address: SocketAddr) -> Clients {
        Clients {
            table: Arc::new(HttpTable::new(address)),
            objects: Arc::new(HttpObjectStore::new(address)),
            instances: Arc::new(HttpInstanceList::new(address)),
        }
    }
}

/// Returns the text of a streamed answer, and whether it ended with `[DONE]`.
pub(crate) fn parse_stream(body: &str) -> (String, bool) {
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return (text, true);
        }
        let event: Value = serde_json::from_str(line).unwrap_or_default();
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, false)
}
