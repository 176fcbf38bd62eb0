//! Settings of the processes of a pool.

use std::net::SocketAddr;

use crate::{
    error::ConfigErrors,
    fields::{Fields, Value},
    settings::Reader,
};

/// Timeout in milliseconds for learning all changes after an outage of the platform store, if the
/// settings do not set it.
const DEFAULT_RECOVER_MS: u64 = 3_000;

/// Window in seconds in which the use of organisations is summed, if the settings do not set it.
const DEFAULT_LIMIT_WINDOW_S: f64 = 10.0;
/// Permitted excess over organisations' limits, as a fraction, if the settings do not set it.
const DEFAULT_LIMIT_OVERAGE: f64 = 0.1;

/// Settings of one process of a pool: its name, zone, addresses and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// The address at which an entry listens for callers.
    pub callers: Option<SocketAddr>,
    /// The address of an entry's readiness check, for the load balancer.
    pub readiness: Option<SocketAddr>,
    /// The address at which a side listens for entries; the port is the same on every instance.
    pub peers: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: SocketAddr,
    /// The address at which an entry serves its known state to other entries.
    pub snapshots: Option<SocketAddr>,
    /// The `snapshots` addresses of other entries; some may be down.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform store.
    pub store: SocketAddr,
    /// Timeout for learning all changes after an outage of the platform store, in milliseconds.
    pub recover_ms: u64,
    /// The address of a side's endpoint.
    pub endpoint: Option<SocketAddr>,
    /// The service that the endpoint belongs to.
    pub service: String,
    /// Allowed retries as a fraction of requests.
    pub retry_ratio: f64,
    /// Additional allowed retries, over all entries.
    pub retry_slack: f64,
    /// The window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The window in which the use of organisations is summed, in milliseconds.
    pub limit_window_ms: u64,
    /// By how much the sum may exceed an organisation's limit, as a fraction of it.
    pub limit_overage: f64,
    /// By how much it may exceed the limit in addition, in units of the limit.
    pub limit_tolerance: f64,
    /// Timeout of a planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Memory of the process, in MB; `None` if it is not limited.
    pub memory_mb: Option<u64>,
    /// Descriptors of the process; `None` if they are not limited.
    pub max_fds: Option<u64>,
    /// The rules of the platform that are in force, by its own names; empty if the settings do not say.
    pub rules: Vec<String>,
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";
    fn parse(text: &str) -> Option<f64> {
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }
}

/// A value that may be empty, as when a template fills in nothing for this instance.
struct Maybe<V>(Option<V>);

impl<V: Value> Value for Maybe<V> {
    const EXPECTED: &'static str = V::EXPECTED;
    fn parse(text: &str) -> Option<Maybe<V>> {
        if text.is_empty() { Some(Maybe(None)) } else { V::parse(text).map(|v| Maybe(Some(v))) }
    }
}

/// Comma-separated addresses; may be empty.
#[derive(Default)]
struct Addresses(Vec<SocketAddr>);

impl Value for Addresses {
    const EXPECTED: &'static str = "comma-separated addresses";
    fn parse(text: &str) -> Option<Addresses> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parts = parts.map(|part| part.parse().ok()).collect::<Option<Vec<_>>>();
        parts.map(Addresses)
    }
}

/// Comma-separated words; may be empty.
#[derive(Default)]
struct Words(Vec<String>);

impl Value for Words {
    const EXPECTED: &'static str = "comma-separated words";
    fn parse(text: &str) -> Option<Words> {
        let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
        Some(Words(words.map(str::to_owned).collect()))
    }
}

fn maybe<V: Value>(fields: &mut Fields<'_>, key: &str) -> Option<V> {
    fields.optional::<Maybe<V>>(key).and_then(|value| value.0)
}

impl PoolSettings {
    /// Parses and validates the settings.
    ///
    /// # Errors
    /// All problems, each with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<PoolSettings, ConfigErrors> {
        let required = ["process", "listen", "platform", "endpoint", "retry"];
        let mut reader = Reader::new(file, text, &required, &["limit", "scheduling", "resources"]);
        let mut fields = reader.fields("process");
        let name = fields.required::<String>("name");
        let zone = fields.required::<String>("zone");
        let first_start = maybe(&mut fields, "first_start").unwrap_or(false);
        let stop_s = fields.required::<f64>("stop_s");
        fields.finish();
        let mut fields = reader.fields("listen");
        let callers = maybe(&mut fields, "callers");
        let readiness = maybe(&mut fields, "readiness");
        let peers = fields.required::<SocketAddr>("peers");
        let metrics = fields.required::<SocketAddr>("metrics");
        let snapshots = maybe(&mut fields, "snapshots");
        let seeds = fields.optional::<Addresses>("seeds").unwrap_or_default();
        fields.finish();
        let mut fields = reader.fields("platform");
        let store = fields.required::<SocketAddr>("store");
        let recover_ms = maybe(&mut fields, "recover_ms").unwrap_or(DEFAULT_RECOVER_MS);
        fields.finish();
        let mut fields = reader.fields("endpoint");
        let endpoint = maybe(&mut fields, "address");
        let service = maybe::<String>(&mut fields, "service");
        fields.finish();
        let mut fields = reader.fields("retry");
        let ratio = fields.required::<f64>("ratio");
        let slack = fields.required::<f64>("slack");
        let window_s = fields.required::<f64>("window_s");
        fields.finish();
        let mut fields = reader.fields("limit");
        let limit_window_s = maybe(&mut fields, "window_s").unwrap_or(DEFAULT_LIMIT_WINDOW_S);
        let limit_overage = maybe(&mut fields, "overage").unwrap_or(DEFAULT_LIMIT_OVERAGE);
        let limit_tolerance = maybe(&mut fields, "tolerance").unwrap_or(0.0);
        fields.finish();
        let mut fields = reader.fields("scheduling");
        let rules = fields.optional::<Words>("rules").unwrap_or_default();
        fields.finish();
        let mut fields = reader.fields("resources");
        let memory_mb = maybe::<u64>(&mut fields, "memory_mb");
        let max_fds = maybe::<u64>(&mut fields, "max_fds");
        fields.finish();
        reader.finish(|| {
            Some(PoolSettings {
                name: name?,
                zone: zone?,
                first_start,
                callers,
                readiness,
                peers: peers?,
                metrics: metrics?,
                snapshots,
                seeds: seeds.0,
                store: store?,
                recover_ms,
                endpoint,
                service: service.unwrap_or_default(),
                retry_ratio: ratio?,
                retry_slack: slack?,
                retry_window_ms: millis(window_s?),
                limit_window_ms: millis(limit_window_s),
                limit_overage,
                limit_tolerance,
                stop_ms: millis(stop_s?),
                memory_mb,
                max_fds,
                rules: rules.0,
            })
        })
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000.0) as u64
}
