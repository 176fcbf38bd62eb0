//! Settings of the pool's processes.

use std::net::SocketAddr;

use crate::{
    error::ConfigErrors,
    fields::{Fields, Value},
    settings::Reader,
};

/// Milliseconds after an outage of the store within which all that changed is known again, when the
/// settings do not say.
const DEFAULT_RECOVER_MS: u64 = 3_000;

/// Where one process of the pool stands and listens, and what it keeps to.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach an entry.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether an entry is ready.
    pub readiness: Option<SocketAddr>,
    /// Where entries reach a side; on every instance the same port.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where an entry tells other entries what it believes.
    pub snapshots: Option<SocketAddr>,
    /// Where other entries do so; some may be down.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Milliseconds after an outage of the store within which all that changed is known again.
    pub recover_ms: u64,
    /// The endpoint beside a side.
    pub endpoint: Option<SocketAddr>,
    /// The service of that endpoint.
    pub service: String,
    /// Second sends allowed, as a share of requests.
    pub retry_ratio: f64,
    /// Second sends allowed besides, over all entries.
    pub retry_slack: f64,
    /// The window of both, in milliseconds.
    pub retry_window_ms: u64,
    /// Milliseconds that a planned stop may take.
    pub stop_ms: u64,
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";
    fn parse(text: &str) -> Option<f64> {
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }
}

/// A value that may be left empty, as a template leaves what an instance does not have.
struct Maybe<V>(Option<V>);

impl<V: Value> Value for Maybe<V> {
    const EXPECTED: &'static str = V::EXPECTED;
    fn parse(text: &str) -> Option<Maybe<V>> {
        if text.is_empty() { Some(Maybe(None)) } else { V::parse(text).map(|v| Maybe(Some(v))) }
    }
}

/// Addresses with commas between them; may be empty.
#[derive(Default)]
struct Addresses(Vec<SocketAddr>);

impl Value for Addresses {
    const EXPECTED: &'static str = "addresses with commas between them";
    fn parse(text: &str) -> Option<Addresses> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parts = parts.map(|part| part.parse().ok()).collect::<Option<Vec<_>>>();
        parts.map(Addresses)
    }
}

fn maybe<V: Value>(fields: &mut Fields<'_>, key: &str) -> Option<V> {
    fields.optional::<Maybe<V>>(key).and_then(|value| value.0)
}

impl PoolSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Every problem, each with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<PoolSettings, ConfigErrors> {
        let kinds = ["process", "listen", "platform", "endpoint", "retry"];
        let mut reader = Reader::new(file, text, &kinds);
        let mut fields = reader.fields("process");
        let name = fields.required::<String>("name");
        let zone = fields.required::<String>("zone");
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
        reader.finish(|| {
            Some(PoolSettings {
                name: name?,
                zone: zone?,
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
                stop_ms: millis(stop_s?),
            })
        })
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000.0) as u64
}
