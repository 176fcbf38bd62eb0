//! What must always hold, checked against the table, the engines and the callers.

use std::collections::BTreeMap;

use citronrill_base::Row;
use citronrill_decide::rows::{
    EndpointRow, ModelRow, Phase, RowKind, ShareRow, WeightsRow, decode, row_kind,
};

use crate::world::World;

/// Time that a request's final answer may come after its deadline, in milliseconds: the grace in
/// which a side may say whether the call ran, two ticks, and the hops.
pub const GRACE_MS: u64 = 900;

/// What the table says, decoded.
#[derive(Debug, Default)]
struct Books {
    endpoints: BTreeMap<String, EndpointRow>,
    models: BTreeMap<String, ModelRow>,
    shares: BTreeMap<String, (u64, i64)>,
    weights: WeightsRow,
}

impl Books {
    fn read(rows: &[Row]) -> Books {
        let mut books = Books::default();
        for row in rows {
            match row_kind(&row.key) {
                RowKind::Endpoint(name) => {
                    books.endpoints.extend(decode(&row.body).map(|it| (name.to_owned(), it)));
                }
                RowKind::Model(name) => {
                    books.models.extend(decode(&row.body).map(|it| (name.to_owned(), it)));
                }
                RowKind::Share(org, _) => {
                    let share = decode::<ShareRow>(&row.body).unwrap_or_default();
                    let total = books.shares.entry(org.to_owned()).or_default();
                    total.0 += share.used_mb;
                    total.1 += share.balance_mb;
                }
                RowKind::Weights => books.weights = decode(&row.body).unwrap_or_default(),
                _ => {}
            }
        }
        books
    }
}

/// Checks everything; gives what is wrong.
pub fn check(world: &World) -> Vec<String> {
    let books = Books::read(&world.rows());
    let mut wrong = world.violations.clone();
    check_ledgers(world, &books, &mut wrong);
    check_engines(world, &books, &mut wrong);
    check_models(world, &books, &mut wrong);
    check_shares(world, &books, &mut wrong);
    check_permits(world, &books, &mut wrong);
    check_deadlines(world, &mut wrong);
    wrong
}

fn check_ledgers(_: &World, books: &Books, wrong: &mut Vec<String>) {
    for (name, row) in &books.endpoints {
        if row.held_mb() > row.memory_mb {
            wrong.push(format!("{name}'s ledger holds {} of {}", row.held_mb(), row.memory_mb));
        }
        for replica in &row.replicas {
            let copies = row.replicas.iter().filter(|it| it.model == replica.model).count();
            if copies > 1 {
                wrong.push(format!("{name} has {copies} replicas of {}", replica.model));
            }
            let base = row.replica(&replica.base);
            let loaded = replica.phase() == Phase::Ready;
            if !replica.base.is_empty() && loaded && base.is_none() {
                wrong.push(format!("{name} serves {} without its base", replica.model));
            }
        }
    }
}

fn check_engines(world: &World, books: &Books, wrong: &mut Vec<String>) {
    for (index, engine) in world.engines.iter().enumerate().filter(|(_, it)| it.alive) {
        let name = format!("worker-{index}");
        if engine.used_mb() > engine.memory_mb {
            wrong.push(format!("{name} uses {} of {}", engine.used_mb(), engine.memory_mb));
        }
        for (model, memory_mb) in engine.held() {
            let row = books.endpoints.get(&name).and_then(|row| row.replica(model));
            match row {
                None => wrong.push(format!("{name} holds {model}, which was not decided")),
                Some(replica) if replica.held_mb() < memory_mb => wrong.push(format!(
                    "{name} holds {model} in {memory_mb}, the ledger has {} ({:?})",
                    replica.held_mb(),
                    replica.phase()
                )),
                Some(_) => {}
            }
        }
    }
}

fn check_models(world: &World, books: &Books, wrong: &mut Vec<String>) {
    let mut counts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (endpoint, row) in &books.endpoints {
        for replica in &row.replicas {
            counts.entry(&replica.model).or_default().push(endpoint);
        }
    }
    for (model, row) in &books.models {
        let mut holders = row.holders.iter().map(String::as_str).collect::<Vec<_>>();
        holders.sort_unstable();
        let found = counts.remove(model.as_str()).unwrap_or_default();
        if holders != found {
            wrong.push(format!("{model}: its row has {holders:?}, the ledgers {found:?}"));
        }
        let key = world.registry.models.get(model);
        let limit = key.and_then(|key| world.catalogue.models.get(&key)).map(|it| it.replicas);
        if limit.is_some_and(|limit| found.len() as u64 > limit) {
            wrong.push(format!("{model} has {} replicas of {limit:?}", found.len()));
        }
    }
    for (model, found) in counts {
        wrong.push(format!("{model} is in ledgers {found:?} and has no row"));
    }
}

fn check_shares(world: &World, books: &Books, wrong: &mut Vec<String>) {
    let mut used: BTreeMap<&str, u64> = BTreeMap::new();
    for replica in books.endpoints.values().flat_map(|row| &row.replicas) {
        *used.entry(&replica.org).or_default() += replica.memory_mb;
    }
    for (org, (booked, balance)) in &books.shares {
        let found = used.remove(org.as_str()).unwrap_or(0);
        if found != *booked || *balance != 0 {
            wrong.push(format!("{org}: booked {booked}, ledgers {found}, balance {balance}"));
        }
        let key = world.registry.organisations.get(org);
        let spec = key.and_then(|key| world.catalogue.organisations.get(&key));
        if spec.is_some_and(|spec| found > spec.share_mb) && !world.faults_changed_shares() {
            wrong.push(format!("{org} holds {found}, more than its share"));
        }
    }
    for (org, found) in used.into_iter().filter(|(_, found)| *found > 0) {
        wrong.push(format!("{org} holds {found} that no share row has"));
    }
}

fn check_permits(world: &World, books: &Books, wrong: &mut Vec<String>) {
    let limit = world.catalogue.pool.loads_once;
    let permits = &books.weights.permits;
    if permits.len() as u64 > limit {
        wrong.push(format!("{} permits of {limit}", permits.len()));
    }
    for (name, row) in &books.endpoints {
        let loading = row.replicas.iter().filter(|it| it.phase() == Phase::Loading && it.remote);
        for replica in loading {
            let held = permits.iter().any(|it| it.order == replica.order && it.endpoint == *name);
            if !held {
                wrong.push(format!("{name} loads {} without a permit", replica.model));
            }
        }
    }
}

fn check_deadlines(world: &World, wrong: &mut Vec<String>) {
    for (id, caller) in &world.callers {
        let (entry, life) = caller.entry;
        let node = &world.entries[entry];
        if !node.alive || node.life != life || world.was_paused(entry) {
            continue;
        }
        let ended = caller.ended.map_or(world.now(), |(at, _)| at);
        if ended > caller.deadline + GRACE_MS {
            wrong.push(format!("{id:?} has no answer {GRACE_MS} ms after its deadline"));
        }
    }
}
