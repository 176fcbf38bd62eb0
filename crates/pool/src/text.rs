//! The operators' text in force, as the decisions need it.
//!
//! The adapter decodes whatever format an installation uses into these types; nothing here knows
//! names on the wire.

/// One version of the text: which routes lead to which services, and what the services hold.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServingText {
    /// The version; it only rises.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

impl ServingText {
    /// The route for `host` and `path`: the one with the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head at most.
    pub header_bytes: usize,
    /// Bytes of a request's body at most.
    pub body_bytes: usize,
    /// Milliseconds from a head's first byte to its last at most.
    pub header_ms: u64,
    /// Milliseconds that a kept connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Used until a text is known: small enough to be safe with any text.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// What may be repeated when an attempt fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// A stream of events that runs once at most.
    Stream,
    /// A stream of events that may go on at another endpoint after the last event delivered.
    ResumableStream,
}

impl Repeat {
    /// Whether a second run may follow one that may have begun.
    pub fn may_rerun(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Milliseconds after which a request is ended.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between a stream's events that is on time, in milliseconds, if declared.
    pub gap_ms: Option<u64>,
    /// 0 is the most urgent.
    pub rank: u8,
    /// Services and their weights.
    pub shares: Vec<(String, u32)>,
    /// Endpoints that may run one request, at most.
    pub attempts: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The path on which an endpoint says that it is healthy, and names itself; may be empty.
    pub health: String,
    /// Connections that one endpoint takes from all callers.
    pub connections: u32,
    /// Set where the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// What one engine can hold, and which models it may be asked for.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSpec {
    /// Requests run at once.
    pub slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters held at once at most.
    pub adapter_limit: u32,
    /// Loads a second that the weight store allows, over all engines.
    pub loads_per_s: f64,
    /// Whether an engine can copy the memory of a run to another while it runs.
    pub backups: bool,
    /// Bytes of a run's memory for each token.
    pub token_bytes: u64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// Time of a load from the weight store, in thousandths of its usual one, from which it is late, as the store
/// had too many at once.
pub(crate) const LATE_LOAD: u32 = 1_200;

/// One model.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ModelSpec {
    /// The model's name.
    pub name: String,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
    /// Milliseconds of a load from the weight store.
    pub store_ms: u64,
    /// Milliseconds of a load from the instance's disk.
    pub disk_ms: u64,
    /// Milliseconds of a load from the instance's memory.
    pub memory_ms: u64,
}
