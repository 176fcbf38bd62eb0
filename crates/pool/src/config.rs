//! The configuration in force, in the form that the decisions need.
//!
//! The adapter of an installation decodes its format into these types; nothing here depends on
//! names on the wire.

use crate::organisation::Organisations;

/// Minimum of [`ServingConfig::stream_horizon_ms`]: a route's timeout may just have been shortened.
const MIN_HORIZON_MS: u64 = 10_000;

/// One version of the configuration: which routes lead to which services, and what the services can
/// hold.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServingConfig {
    /// The version; it only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// The organisations whose keys callers need; `None` if callers need no key.
    pub organisations: Option<Organisations>,
}

impl ServingConfig {
    /// Returns the route for `host` and `path`: the one with the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// Returns the milliseconds after its beginning within which a caller may reconnect to a stream: one
    /// that began last in this time ends by its route's timeout, and its caller returns within the same.
    pub fn stream_horizon_ms(&self) -> u64 {
        let resumable =
            self.routes.iter().filter(|route| route.retry_policy == RetryPolicy::ResumableStream);
        let longest = resumable.map(|route| route.timeout_ms).max().unwrap_or(0);
        (2 * longest).max(MIN_HORIZON_MS)
    }

    /// Returns the routes that lead to a service.
    pub(crate) fn routes_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        let leads = move |route: &&Route| route.shares.iter().any(|(name, _)| name == service);
        self.routes.iter().filter(leads)
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of a request's head.
    pub header_bytes: usize,
    /// Maximum bytes of a request's body.
    pub body_bytes: usize,
    /// Maximum milliseconds from a head's first byte to its last.
    pub header_ms: u64,
    /// Milliseconds for which a keep-alive connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Used until a configuration is known: small enough to be safe with any configuration.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// What may be retried when an attempt fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that may be resumed on another endpoint after the last event delivered.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether a second attempt may follow one that may have begun.
    pub fn may_retry(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// What may be retried.
    pub retry_policy: RetryPolicy,
    /// Milliseconds after which a request is terminated.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub target_ms: u64,
    /// The longest acceptable gap between two events of a stream, in milliseconds, if declared.
    pub gap_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// Services and their weights.
    pub shares: Vec<(String, u32)>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The path of the health check, on which an endpoint also reports its name; may be empty.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// Capacity of one engine, and the models that can be requested from it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Disk of the instance for cached weights, in MB; 0 if unknown.
    pub disk_mb: f64,
    /// Maximum number of adapters held at once.
    pub adapter_limit: u32,
    /// Loads a second that the weight store allows, over all engines.
    pub loads_per_s: f64,
    /// Whether an engine can copy the KV cache of a run to another engine while it runs.
    pub backups: bool,
    /// Bytes of a run's KV cache for each token.
    pub token_bytes: u64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// Duration of a load from the weight store, in thousandths of its usual duration, from which it
/// counts as late because too many loads were concurrent.
pub(crate) const LATE_LOAD_MILLI: u32 = 1_200;

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
