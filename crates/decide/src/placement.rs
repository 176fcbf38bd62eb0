//! Selection of the endpoint that loads a model, and the transaction that commits the decision.

use citronrill_base::{EndpointKey, ModelKey, OrgKey, Set, Txn, hash_bytes};
use citronrill_config::{Catalogue, Class, Model};
use prost::Message;

use crate::{
    rows::{
        EndpointRow, PERMITS, Permit, PermitsRow, Phase, Replica, ShareRow, Tier, endpoint_key,
        model_key, share_key,
    },
    view::{Versioned, View},
};

/// Fixed cost of an endpoint on which a model must be evicted first, in milliseconds.
const EVICTION_COST_MS: u64 = 1_500;
/// Cost of a further replica in a zone that has one, in milliseconds.
const SAME_ZONE_COST_MS: u64 = 2_000;
/// Room for more than this many further replicas makes no difference between endpoints.
const MAX_FIT_STEPS: u64 = 2;
/// Each service that depends on a model counts as a deadline earlier by this many milliseconds.
const DEPENDANT_BONUS_MS: u64 = 500;
/// Difference in urgency between adjacent classes, in milliseconds.
const CLASS_STEP_MS: u64 = 60_000;

/// Request for replicas of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaRequest {
    /// The model.
    pub model: ModelKey,
    /// Target number of replicas.
    pub replicas: u64,
    /// Milliseconds until the first waiting request's deadline.
    pub slack_ms: u64,
    /// The most urgent class among the waiting requests.
    pub class: Class,
}

/// Reason why no placement is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The requested number of replicas is already decided.
    AlreadyPlaced,
    /// The configuration does not have the model.
    UnknownModel,
    /// The organisation's share is used up.
    ShareUsed,
    /// No endpoint has room, even after evictions.
    PoolFull,
    /// The only endpoints with room are part of a pending decision.
    Busy,
}

/// Input of a placement decision.
pub struct PlacementInput<'a> {
    /// This process's view of the platform table.
    pub view: &'a View,
    /// The current configuration.
    pub catalogue: &'a Catalogue,
    /// Endpoints that a pending decision will change.
    pub busy: &'a Set<EndpointKey>,
    /// Endpoints that are leaving or gone according to reports that this process received.
    pub excluded: &'a Set<EndpointKey>,
    /// Number of parts into which an organisation's share is divided.
    pub share_parts: u32,
    /// Whether the transaction may also take a free permit.
    pub take_permit: bool,
    /// Random number that breaks ties.
    pub tie_breaker: u64,
}

/// Models to load on an endpoint; a base that is missing there precedes its adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The models, in loading order.
    pub models: Vec<ModelKey>,
}

/// Policy that selects an endpoint.
pub trait Placement: Send {
    /// Returns the index of the selected option among the endpoints that can load the models.
    fn choose(&self, input: &PlacementInput<'_>, options: &[PlacementOption]) -> Option<usize>;
}

/// An endpoint that can load the requested models.
#[derive(Debug, Clone)]
pub struct PlacementOption {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Models that must be loaded, in order.
    pub models: Vec<ModelKey>,
    /// Memory free without evictions, in MB.
    pub free_mb: u64,
    /// Memory needed, in MB.
    pub need_mb: u64,
    /// Load time given the weights cached there, in milliseconds.
    pub load_ms: u64,
    /// Whether the zone already has a replica.
    pub zone_occupied: bool,
}

/// Selects the endpoint with the lowest cost of loading, eviction and zone overlap.
#[derive(Debug, Clone, Copy, Default)]
pub struct LowestCostPlacement;

impl LowestCostPlacement {
    fn cost(place: &PlacementOption) -> u64 {
        let evict = if place.need_mb > place.free_mb {
            let missing = place.need_mb - place.free_mb;
            EVICTION_COST_MS + place.load_ms * missing / place.need_mb.max(1)
        } else {
            0
        };
        let zone = if place.zone_occupied { SAME_ZONE_COST_MS } else { 0 };
        place.load_ms + evict + zone
    }
}

impl Placement for LowestCostPlacement {
    fn choose(&self, input: &PlacementInput<'_>, options: &[PlacementOption]) -> Option<usize> {
        let rank = |place: &PlacementOption| {
            // Coarse steps: with an exact best fit, all entries that decide in a burst would select
            // the same endpoint, and all but one would conflict.
            let leftover = place.free_mb.saturating_sub(place.need_mb) / place.need_mb.max(1);
            let leftover = leftover.min(MAX_FIT_STEPS);
            let name = input.view.endpoint_name(place.endpoint);
            (Self::cost(place), leftover, hash_bytes(name.as_bytes()) ^ input.tie_breaker)
        };
        (0..options.len()).min_by_key(|index| rank(&options[*index]))
    }
}

/// Baseline policy: selects the endpoint with the most free memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct MostFreePlacement;

impl Placement for MostFreePlacement {
    fn choose(&self, _: &PlacementInput<'_>, options: &[PlacementOption]) -> Option<usize> {
        (0..options.len()).max_by_key(|index| options[*index].free_mb)
    }
}

/// Selects an endpoint for a requested replica.
///
/// # Errors
/// Returns the reason if no replica is needed or none can be placed.
pub fn plan(
    input: &PlacementInput<'_>,
    rule: &dyn Placement,
    request: &ReplicaRequest,
) -> Result<Plan, PlacementError> {
    let model = input.catalogue.models.get(&request.model).ok_or(PlacementError::UnknownModel)?;
    let decided = input.view.model_row(request.model).map_or(0, |row| row.holders.len() as u64);
    if decided >= request.replicas.min(model.replicas) {
        return Err(PlacementError::AlreadyPlaced);
    }
    let mut blocked = false;
    let mut options = Vec::new();
    for (key, row) in input.view.endpoints() {
        let Some(place) = option_at(input, request.model, model, key, row) else { continue };
        if input.busy.contains(&key) {
            blocked = true;
            continue;
        }
        options.push(place);
    }
    keep_with_base(input, model, &mut options);
    let affordable = |place: &PlacementOption| share_covers(input, &place.models);
    if !options.is_empty() && !options.iter().any(affordable) {
        return Err(PlacementError::ShareUsed);
    }
    options.retain(affordable);
    let index = rule.choose(input, &options);
    match index {
        Some(index) => {
            let place = options.swap_remove(index);
            Ok(Plan { endpoint: place.endpoint, models: place.models })
        }
        None if blocked => Err(PlacementError::Busy),
        None => Err(PlacementError::PoolFull),
    }
}

/// Restricts an adapter to endpoints that have its base model, if the options include such an
/// endpoint or the base already has its maximum number of replicas.
fn keep_with_base(input: &PlacementInput<'_>, model: &Model, options: &mut Vec<PlacementOption>) {
    let Some(base) = model.base else { return };
    let base_available = options.iter().any(|place| place.models.len() == 1);
    let decided = input.view.model_row(base).map_or(0, |row| row.holders.len() as u64);
    let limit = input.catalogue.models.get(&base).map_or(0, |model| model.replicas);
    if base_available || decided >= limit {
        options.retain(|place| place.models.len() == 1);
    }
}

fn option_at(
    input: &PlacementInput<'_>,
    key: ModelKey,
    model: &Model,
    endpoint: EndpointKey,
    row: &EndpointRow,
) -> Option<PlacementOption> {
    if row.leaving || row.memory_mb == 0 || input.excluded.contains(&endpoint) {
        return None;
    }
    if row.replica(&model.name).is_some() {
        return None;
    }
    let mut models = Vec::new();
    if let Some(base) = model.base {
        let spec = input.catalogue.models.get(&base)?;
        match row.replica(&spec.name).map(Replica::phase) {
            None => models.push(base),
            Some(Phase::Unloading) => return None,
            Some(_) => {}
        }
    }
    models.push(key);
    let specs = models.iter().filter_map(|key| input.catalogue.models.get(key));
    let specs = specs.collect::<Vec<_>>();
    let need_mb = specs.iter().map(|spec| spec.peak_mb).sum::<u64>();
    let load_ms =
        specs.iter().map(|spec| load_ms(spec, input.view.tier(endpoint, &spec.name))).sum();
    let committed_mb = row.committed_mb();
    let reclaimable =
        reclaimable_mb(row, &model.base.map(|base| input.view.registry.models.name(base)));
    if committed_mb + need_mb > row.memory_mb + reclaimable {
        return None;
    }
    let zone_occupied = input
        .view
        .replicas(key)
        .any(|(holder, _)| input.view.endpoint(holder).is_some_and(|other| other.zone == row.zone));
    let free_mb = row.memory_mb.saturating_sub(committed_mb);
    Some(PlacementOption { endpoint, models, free_mb, need_mb, load_ms, zone_occupied })
}

/// Returns the memory that evictions could free, in MB: ready replicas other than the needed base,
/// and replicas that are being unloaded.
fn reclaimable_mb(row: &EndpointRow, base: &Option<&str>) -> u64 {
    let mut total = 0;
    for replica in &row.replicas {
        let counted = match replica.phase() {
            Phase::Ready => base.is_none_or(|base| replica.model != base),
            Phase::Unloading => true,
            Phase::Wanted | Phase::Loading => false,
        };
        if counted {
            total += replica.memory_mb;
        }
    }
    total
}

/// Returns the load time of a model from a tier, in milliseconds.
pub fn load_ms(model: &Model, tier: Tier) -> u64 {
    match tier {
        Tier::Remote => model.remote_ms,
        Tier::Disk => model.disk_ms,
        Tier::Ram => model.ram_ms,
    }
}

fn share_covers(input: &PlacementInput<'_>, models: &[ModelKey]) -> bool {
    let mut orgs: Vec<(OrgKey, u64)> = Vec::new();
    for model in models.iter().filter_map(|key| input.catalogue.models.get(key)) {
        match orgs.iter_mut().find(|(org, _)| *org == model.org) {
            Some((_, total)) => *total += model.memory_mb,
            None => orgs.push((model.org, model.memory_mb)),
        }
    }
    orgs.iter().all(|(org, need)| OrgShare::read(input, *org).free() >= *need)
}

/// An organisation's share, divided into parts.
///
/// Each part has its own row and limit, so that decisions on different models write different
/// rows; a part that is short borrows from another in the same transaction. The balances sum to
/// zero, so the parts together never exceed the share.
struct OrgShare {
    limit: u64,
    parts: Vec<Versioned<ShareRow>>,
}

impl OrgShare {
    fn read(input: &PlacementInput<'_>, org: OrgKey) -> OrgShare {
        let share = input.catalogue.organisations.get(&org).map_or(0, |org| org.share_mb);
        let parts = (0..input.share_parts).map(|part| input.view.share(org, part)).collect();
        OrgShare { limit: share / u64::from(input.share_parts.max(1)), parts }
    }

    fn free_in(&self, part: usize) -> u64 {
        let row = self.parts[part].row.clone().unwrap_or_default();
        self.limit.saturating_add_signed(row.balance_mb).saturating_sub(row.used_mb)
    }

    fn free(&self) -> u64 {
        (0..self.parts.len()).map(|part| self.free_in(part)).sum()
    }

    /// Reserves `need` MB in `part`, borrowing from other parts; returns the parts that changed.
    fn reserve(&mut self, part: usize, need: u64) -> Vec<usize> {
        let mut changed = vec![part];
        let mut missing_mb = need.saturating_sub(self.free_in(part));
        while missing_mb > 0 {
            let lender = (0..self.parts.len())
                .filter(|other| *other != part)
                .max_by_key(|other| self.free_in(*other));
            let Some(lender) = lender else { break };
            let lent = self.free_in(lender).min(missing_mb);
            if lent == 0 {
                break;
            }
            self.row_mut(lender).balance_mb -= lent as i64;
            self.row_mut(part).balance_mb += lent as i64;
            changed.push(lender);
            missing_mb -= lent;
        }
        self.row_mut(part).used_mb += need;
        changed
    }

    fn row_mut(&mut self, part: usize) -> &mut ShareRow {
        self.parts[part].row.get_or_insert_default()
    }
}

/// Returns the part of a share in which a model's memory is reserved.
pub fn share_part(model: &str, parts: u32) -> u32 {
    (hash_bytes(model.as_bytes()) % u64::from(parts.max(1))) as u32
}

/// Returns the rank of a load in the permit queue, by deadline, class and dependent services; the
/// smallest goes first.
pub fn urgency(request: &ReplicaRequest, model: &Model) -> u64 {
    let class = match request.class {
        Class::Urgent => 0,
        Class::Normal => CLASS_STEP_MS,
        Class::Batch => 2 * CLASS_STEP_MS,
    };
    (request.slack_ms.min(CLASS_STEP_MS) + class)
        .saturating_sub(model.dependants * DEPENDANT_BONUS_MS)
}

/// Builds the transaction that commits `plan`.
///
/// The endpoint's ledger, each model's row, the share and the permit change together, each checked
/// against the version that was read. Of two concurrent decisions on the same rows only one
/// succeeds, and a transaction whose answer was lost cannot take effect twice.
pub fn load_txn(
    input: &PlacementInput<'_>,
    plan: &Plan,
    request: &ReplicaRequest,
    order: u64,
) -> Txn {
    let mut txn = Txn::default();
    let Some(row) = input.view.endpoint(plan.endpoint) else { return txn };
    let mut ledger = row.clone();
    let mut permits_row = input.view.permits_row.row.clone().unwrap_or_default();
    let permits_row_before = permits_row.clone();
    permits_row.concurrent_loads = input.catalogue.pool.concurrent_loads;
    permits_row.loads_per_second = input.catalogue.pool.loads_per_second;
    let endpoint = input.view.endpoint_name(plan.endpoint).to_owned();
    let mut shares: Vec<(OrgKey, OrgShare, Vec<usize>)> = Vec::new();
    for (index, key) in plan.models.iter().enumerate() {
        let Some(model) = input.catalogue.models.get(key) else { continue };
        let tier = input.view.tier(plan.endpoint, &model.name);
        let mut replica = new_replica(input, request, model, order + index as u64, tier);
        if (input.take_permit || !replica.remote) && can_start_load(&ledger, &permits_row, &replica)
        {
            replica.phase = Phase::Loading.into();
            if replica.remote {
                permits_row
                    .permits
                    .push(Permit { endpoint: endpoint.clone(), order: replica.order });
            }
        }
        let part = replica.share_part as usize;
        ledger.replicas.push(replica);
        let position = shares.iter().position(|(org, ..)| *org == model.org);
        let position = position.unwrap_or_else(|| {
            shares.push((model.org, OrgShare::read(input, model.org), Vec::new()));
            shares.len() - 1
        });
        let (_, share, changed) = &mut shares[position];
        changed.extend(share.reserve(part, model.memory_mb));
        let versioned = input.view.model(*key);
        let mut holders = versioned.row.unwrap_or_default();
        holders.holders.push(endpoint.clone());
        txn.put(model_key(&model.name), versioned.version, Some(holders.encode_to_vec()));
    }
    for (org, share, mut changed) in shares {
        changed.sort_unstable();
        changed.dedup();
        let name = input.view.registry.organisations.name(org);
        for part in changed {
            let versioned = &share.parts[part];
            let body = versioned.row.clone().unwrap_or_default().encode_to_vec();
            txn.put(share_key(name, part as u32), versioned.version, Some(body));
        }
    }
    if permits_row.permits != permits_row_before.permits {
        txn.put(PERMITS, input.view.permits_row.version, Some(permits_row.encode_to_vec()));
    }
    let version = input.view.endpoint_version(plan.endpoint);
    txn.put(endpoint_key(&endpoint), version, Some(ledger.encode_to_vec()));
    txn
}

fn new_replica(
    input: &PlacementInput<'_>,
    request: &ReplicaRequest,
    model: &Model,
    order: u64,
    tier: Tier,
) -> Replica {
    let base = model.base.map(|base| input.view.registry.models.name(base).to_owned());
    Replica {
        model: model.name.clone(),
        org: input.view.registry.organisations.name(model.org).to_owned(),
        memory_mb: model.memory_mb,
        peak_mb: model.peak_mb,
        order,
        phase: Phase::Wanted.into(),
        remote: tier == Tier::Remote,
        base: base.unwrap_or_default(),
        load_ms: load_ms(model, tier),
        urgency: urgency(request, model),
        share_part: share_part(&model.name, input.share_parts),
    }
}

/// Returns whether a wanted replica can begin to load: it needs memory for its peak, its base and,
/// to read from the weight store, a permit.
pub fn can_start_load(ledger: &EndpointRow, permits_row: &PermitsRow, replica: &Replica) -> bool {
    let room = fits_now(ledger, replica);
    let base_loaded = base_ready(ledger, replica);
    let permit = !replica.remote
        || (permits_row.waiters.is_empty()
            && (permits_row.permits.len() as u64) < permits_row.concurrent_loads);
    room && base_loaded && permit
}

/// Returns whether the replica's peak memory fits beside the memory held in the ledger.
pub fn fits_now(ledger: &EndpointRow, replica: &Replica) -> bool {
    ledger.held_mb() + replica.peak_mb.max(replica.memory_mb) <= ledger.memory_mb
}

/// Returns whether the base of an adapter is ready; true for other models.
pub fn base_ready(ledger: &EndpointRow, replica: &Replica) -> bool {
    let ready = |base: &Replica| base.phase() == Phase::Ready;
    replica.base.is_empty() || ledger.replica(&replica.base).is_some_and(ready)
}
