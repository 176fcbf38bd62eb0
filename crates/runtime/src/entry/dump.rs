//! An entry's state dump as JSON. It never contains keys or secrets.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use citronrill_decide::{Entry, Source, rows::phase_name};
use serde_json::{Value, json};

use super::Shared;

pub(super) fn dump(
    entry: &Entry,
    shared: &Arc<Shared>,
    busy: Duration,
    started: Instant,
) -> String {
    let gauges = shared.gauges.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let gauges = gauges.into_iter().map(|(name, value)| (name.to_owned(), json!(value)));
    let source = match entry.feed().source() {
        Some(Source::Table) => "table",
        Some(Source::Peer(address)) => address,
        None => "none",
    };
    json!({
        "role": "entry",
        "version": entry.config_version(),
        "confirmed": entry.confirmed(),
        "ready": entry.ready(),
        "gauges": Value::Object(gauges.collect()),
        "counters": shared.meter.snapshot(),
        "busy_part": busy.as_secs_f64() / started.elapsed().as_secs_f64().max(0.001),
        "rows": entry.view().len(),
        "feed": { "source": source, "sequence": entry.feed().sequence() },
        "members": entry.view().members().map(|(name, _)| name).collect::<Vec<_>>(),
        "endpoints": endpoints(entry),
    })
    .to_string()
}

fn endpoints(entry: &Entry) -> Value {
    let mut all = serde_json::Map::new();
    for (key, row) in entry.view().endpoints() {
        let replicas = row.replicas.iter().map(|replica| {
            json!({ "model": replica.model, "phase": phase_name(replica.phase()),
                "memory_mb": replica.memory_mb, "order": replica.order })
        });
        let name = entry.view().endpoint_name(key).to_owned();
        all.insert(
            name,
            json!({
                "zone": row.zone,
                "epoch": row.epoch,
                "leaving": row.leaving,
                "memory_mb": row.memory_mb,
                "held_mb": row.held_mb(),
                "replicas": replicas.collect::<Vec<_>>(),
            }),
        );
    }
    Value::Object(all)
}
