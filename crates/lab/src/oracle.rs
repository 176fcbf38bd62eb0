//! Invariants, checked against the table, the engines and the requests.

use std::collections::BTreeMap;

use citronrill_base::Row;
use citronrill_decide::rows::{
    EndpointRow, ModelRow, PermitsRow, Phase, RowKind, ShareRow, decode, row_kind,
};

use crate::simulation::Simulation;

/// Maximum time from a request's deadline to its final answer, in milliseconds: the grace period in
/// which a side may report whether the call ran, two ticks, and the network delays.
pub const GRACE_MS: u64 = 900;

/// Decoded rows of the table.
#[derive(Debug, Default)]
struct TableState {
    endpoints: BTreeMap<String, EndpointRow>,
    models: BTreeMap<String, ModelRow>,
    shares: BTreeMap<String, (u64, i64)>,
    permits_row: PermitsRow,
}

impl TableState {
    fn read(rows: &[Row]) -> TableState {
        let mut state = TableState::default();
        for row in rows {
            match row_kind(&row.key) {
                RowKind::Endpoint(name) => {
                    state.endpoints.extend(decode(&row.body).map(|row| (name.to_owned(), row)));
                }
                RowKind::Model(name) => {
                    state.models.extend(decode(&row.body).map(|row| (name.to_owned(), row)));
                }
                RowKind::Share(org, _) => {
                    let share = decode::<ShareRow>(&row.body).unwrap_or_default();
                    let total = state.shares.entry(org.to_owned()).or_default();
                    total.0 += share.used_mb;
                    total.1 += share.balance_mb;
                }
                RowKind::Permits => state.permits_row = decode(&row.body).unwrap_or_default(),
                _ => {}
            }
        }
        state
    }
}

/// Checks all invariants and returns the violations.
pub fn check_invariants(sim: &Simulation) -> Vec<String> {
    let state = TableState::read(&sim.rows());
    let mut violations = sim.violations.clone();
    check_ledgers(sim, &state, &mut violations);
    check_engines(sim, &state, &mut violations);
    check_models(sim, &state, &mut violations);
    check_shares(sim, &state, &mut violations);
    check_permits(sim, &state, &mut violations);
    check_deadlines(sim, &mut violations);
    violations
}

fn check_ledgers(_: &Simulation, state: &TableState, violations: &mut Vec<String>) {
    for (name, row) in &state.endpoints {
        if row.held_mb() > row.memory_mb {
            violations.push(format!(
                "the ledger of {name} holds {} MB of {} MB",
                row.held_mb(),
                row.memory_mb
            ));
        }
        for replica in &row.replicas {
            let count = row.replicas.iter().filter(|other| other.model == replica.model).count();
            if count > 1 {
                violations.push(format!("{name} has {count} replicas of {}", replica.model));
            }
            let base = row.replica(&replica.base);
            let loaded = replica.phase() == Phase::Ready;
            if !replica.base.is_empty() && loaded && base.is_none() {
                violations.push(format!(
                    "{name} has adapter {} ready without its base model",
                    replica.model
                ));
            }
        }
    }
}

fn check_engines(sim: &Simulation, state: &TableState, violations: &mut Vec<String>) {
    for (index, engine) in sim.engines.iter().enumerate().filter(|(_, engine)| engine.alive) {
        let name = format!("worker-{index}");
        if engine.used_mb() > engine.memory_mb {
            violations.push(format!(
                "{name} uses {} MB of {} MB",
                engine.used_mb(),
                engine.memory_mb
            ));
        }
        for (model, memory_mb) in engine.models() {
            let row = state.endpoints.get(&name).and_then(|row| row.replica(model));
            match row {
                None => {
                    violations.push(format!("{name} holds {model}, which is not in its ledger"))
                }
                Some(replica) if replica.held_mb() < memory_mb => violations.push(format!(
                    "{name} holds {model} in {memory_mb} MB, the ledger has {} MB ({:?})",
                    replica.held_mb(),
                    replica.phase()
                )),
                Some(_) => {}
            }
        }
    }
}

fn check_models(sim: &Simulation, state: &TableState, violations: &mut Vec<String>) {
    let mut counts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (endpoint, row) in &state.endpoints {
        for replica in &row.replicas {
            counts.entry(&replica.model).or_default().push(endpoint);
        }
    }
    for (model, row) in &state.models {
        let mut holders = row.holders.iter().map(String::as_str).collect::<Vec<_>>();
        holders.sort_unstable();
        let found = counts.remove(model.as_str()).unwrap_or_default();
        if holders != found {
            violations.push(format!(
                "{model}: the model row has holders {holders:?}, the ledgers have {found:?}"
            ));
        }
        let key = sim.registry.models.get(model);
        let limit = key.and_then(|key| sim.catalogue.models.get(&key)).map(|spec| spec.replicas);
        if limit.is_some_and(|limit| found.len() as u64 > limit) {
            violations
                .push(format!("{model} has {} replicas, the limit is {limit:?}", found.len()));
        }
    }
    for (model, found) in counts {
        violations.push(format!("{model} is in the ledgers of {found:?} but has no model row"));
    }
}

fn check_shares(sim: &Simulation, state: &TableState, violations: &mut Vec<String>) {
    let mut used: BTreeMap<&str, u64> = BTreeMap::new();
    for replica in state.endpoints.values().flat_map(|row| &row.replicas) {
        *used.entry(&replica.org).or_default() += replica.memory_mb;
    }
    for (org, (booked, balance)) in &state.shares {
        let found = used.remove(org.as_str()).unwrap_or(0);
        if found != *booked || *balance != 0 {
            violations.push(format!("{org}: share rows book {booked} MB, ledgers hold {found} MB, balance is {balance} MB"));
        }
        let key = sim.registry.organisations.get(org);
        let spec = key.and_then(|key| sim.catalogue.organisations.get(&key));
        if spec.is_some_and(|spec| found > spec.share_mb) && !sim.config_changed() {
            violations.push(format!("{org} holds {found} MB, more than its share"));
        }
    }
    for (org, found) in used.into_iter().filter(|(_, found)| *found > 0) {
        violations.push(format!("{org} holds {found} MB without a share row"));
    }
}

fn check_permits(sim: &Simulation, state: &TableState, violations: &mut Vec<String>) {
    let limit = sim.catalogue.pool.concurrent_loads;
    let permits = &state.permits_row.permits;
    if permits.len() as u64 > limit {
        violations.push(format!("{} permits are taken, the limit is {limit}", permits.len()));
    }
    for (name, row) in &state.endpoints {
        let loading = row
            .replicas
            .iter()
            .filter(|replica| replica.phase() == Phase::Loading && replica.remote);
        for replica in loading {
            let held = permits
                .iter()
                .any(|permit| permit.order == replica.order && permit.endpoint == *name);
            if !held {
                violations.push(format!(
                    "{name} loads {} from the weight store without a permit",
                    replica.model
                ));
            }
        }
    }
}

fn check_deadlines(sim: &Simulation, violations: &mut Vec<String>) {
    for (id, request) in &sim.requests {
        let (entry, incarnation) = request.entry;
        let node = &sim.entries[entry];
        if !node.alive || node.incarnation != incarnation || sim.was_paused(entry) {
            continue;
        }
        let ended = request.ended.map_or(sim.now(), |(at, _)| at);
        if ended > request.deadline + GRACE_MS {
            violations.push(format!("{id:?} has no answer {GRACE_MS} ms after its deadline"));
        }
    }
}
