//! On which endpoint a model is loaded, and the transaction that decides it.

use citronrill_base::{EndpointKey, ModelKey, OrgKey, Set, Txn, hash_bytes};
use citronrill_config::{Catalogue, Class, Model};
use prost::Message;

use crate::{
    rows::{
        EndpointRow, Permit, Phase, Replica, ShareRow, Tier, WEIGHTS, WeightsRow, endpoint_key,
        model_key, share_key,
    },
    view::{Held, View},
};

/// Cost of taking a place from which something must be unloaded first, in milliseconds.
const EVICT_MS: u64 = 1_500;
/// Cost of a second copy in a zone that has one, in milliseconds.
const SAME_ZONE_MS: u64 = 2_000;
/// An endpoint with room for more than this many further copies is as good as any other.
const FIT_STEPS: u64 = 2;
/// Each service that depends on a model counts as this many milliseconds of earlier deadline.
const DEPENDANT_MS: u64 = 500;
/// Urgency step between classes, in milliseconds.
const CLASS_MS: u64 = 60_000;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// The model.
    pub model: ModelKey,
    /// Copies there should be.
    pub copies: u64,
    /// Milliseconds until the first waiting request's deadline.
    pub slack_ms: u64,
    /// The most urgent class that waits.
    pub class: Class,
}

/// Why nothing can be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// The copies asked for are decided already.
    Enough,
    /// The text does not have the model.
    Unknown,
    /// The organisation's share is used up.
    ShareUsed,
    /// No endpoint has room, now or after unloading.
    Full,
    /// An endpoint with room is part of a decision under way.
    Busy,
}

/// What a placement may look at.
pub struct Scene<'a> {
    /// The table as this process knows it.
    pub view: &'a View,
    /// The text in force.
    pub catalogue: &'a Catalogue,
    /// Endpoints that a decision under way will change.
    pub busy: &'a Set<EndpointKey>,
    /// Endpoints that are leaving or gone by what this process has heard.
    pub avoided: &'a Set<EndpointKey>,
    /// Parts that an organisation's share is divided into.
    pub parts: u32,
    /// Whether the decision may take a free permit along.
    pub permits: bool,
    /// A random number.
    pub salt: u64,
}

/// A model to load at an endpoint; a base that is missing there comes before its adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Where.
    pub endpoint: EndpointKey,
    /// What, in order.
    pub models: Vec<ModelKey>,
}

/// The rule by which an endpoint is chosen.
pub trait Placement: Send {
    /// Chooses an endpoint among those that can take the models.
    fn choose(&self, scene: &Scene<'_>, options: &[Place]) -> Option<usize>;
}

/// An endpoint that can take the models asked for.
#[derive(Debug, Clone)]
pub struct Place {
    /// Where.
    pub endpoint: EndpointKey,
    /// What must be loaded, in order.
    pub models: Vec<ModelKey>,
    /// Memory free without unloading, in MB.
    pub free_mb: u64,
    /// Memory needed, in MB.
    pub need_mb: u64,
    /// Load time with the caches there, in milliseconds.
    pub load_ms: u64,
    /// Whether a copy is in the same zone.
    pub zone_taken: bool,
}

/// Takes the place where the model is ready first and least is lost.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheapestPlace;

impl CheapestPlace {
    fn cost(place: &Place) -> u64 {
        let evict = if place.need_mb > place.free_mb {
            let missing = place.need_mb - place.free_mb;
            EVICT_MS + place.load_ms * missing / place.need_mb.max(1)
        } else {
            0
        };
        let zone = if place.zone_taken { SAME_ZONE_MS } else { 0 };
        place.load_ms + evict + zone
    }
}

impl Placement for CheapestPlace {
    fn choose(&self, scene: &Scene<'_>, options: &[Place]) -> Option<usize> {
        let rank = |place: &Place| {
            // In coarse steps: with the exact best fit, all deciders of a burst would take the same
            // endpoint, and all but one would meet a conflict.
            let leftover = place.free_mb.saturating_sub(place.need_mb) / place.need_mb.max(1);
            let leftover = leftover.min(FIT_STEPS);
            let name = scene.view.endpoint_name(place.endpoint);
            (Self::cost(place), leftover, hash_bytes(name.as_bytes()) ^ scene.salt)
        };
        (0..options.len()).min_by_key(|index| rank(&options[*index]))
    }
}

/// The naive rule: the endpoint with the most free memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct EmptiestPlace;

impl Placement for EmptiestPlace {
    fn choose(&self, _: &Scene<'_>, options: &[Place]) -> Option<usize> {
        (0..options.len()).max_by_key(|index| options[*index].free_mb)
    }
}

/// Plans a load.
///
/// # Errors
/// Why there is nothing to decide, or nowhere to go.
pub fn plan(scene: &Scene<'_>, rule: &dyn Placement, ask: &Ask) -> Result<Plan, NoPlace> {
    let model = scene.catalogue.models.get(&ask.model).ok_or(NoPlace::Unknown)?;
    let decided = scene.view.model_row(ask.model).map_or(0, |row| row.holders.len() as u64);
    if decided >= ask.copies.min(model.replicas) {
        return Err(NoPlace::Enough);
    }
    let mut blocked = false;
    let mut options = Vec::new();
    for (key, row) in scene.view.endpoints() {
        let Some(place) = place_at(scene, ask.model, model, key, row) else { continue };
        if scene.busy.contains(&key) {
            blocked = true;
            continue;
        }
        options.push(place);
    }
    keep_with_base(scene, model, &mut options);
    let affordable = |place: &Place| can_pay(scene, &place.models);
    if !options.is_empty() && !options.iter().any(affordable) {
        return Err(NoPlace::ShareUsed);
    }
    options.retain(affordable);
    let index = rule.choose(scene, &options);
    match index {
        Some(index) => {
            let place = options.swap_remove(index);
            Ok(Plan { endpoint: place.endpoint, models: place.models })
        }
        None if blocked => Err(NoPlace::Busy),
        None => Err(NoPlace::Full),
    }
}

/// An adapter goes where its base model is, if that is anywhere.
fn keep_with_base(scene: &Scene<'_>, model: &Model, options: &mut Vec<Place>) {
    let Some(base) = model.base else { return };
    let with_base = options.iter().any(|place| place.models.len() == 1);
    let decided = scene.view.model_row(base).map_or(0, |row| row.holders.len() as u64);
    let limit = scene.catalogue.models.get(&base).map_or(0, |it| it.replicas);
    if with_base || decided >= limit {
        options.retain(|place| place.models.len() == 1);
    }
}

fn place_at(
    scene: &Scene<'_>,
    key: ModelKey,
    model: &Model,
    endpoint: EndpointKey,
    row: &EndpointRow,
) -> Option<Place> {
    if row.leaving || row.memory_mb == 0 || scene.avoided.contains(&endpoint) {
        return None;
    }
    if row.replica(&model.name).is_some() {
        return None;
    }
    let mut models = Vec::new();
    if let Some(base) = model.base {
        let spec = scene.catalogue.models.get(&base)?;
        match row.replica(&spec.name).map(Replica::phase) {
            None => models.push(base),
            Some(Phase::Unloading) => return None,
            Some(_) => {}
        }
    }
    models.push(key);
    let specs = models.iter().filter_map(|key| scene.catalogue.models.get(key));
    let specs = specs.collect::<Vec<_>>();
    let need_mb = specs.iter().map(|spec| spec.peak_mb).sum::<u64>();
    let load_ms =
        specs.iter().map(|spec| load_ms(spec, scene.view.tier(endpoint, &spec.name))).sum();
    let promised = row.promised_mb();
    let reclaimable =
        reclaimable_mb(row, &model.base.map(|base| scene.view.registry.models.name(base)));
    if promised + need_mb > row.memory_mb + reclaimable {
        return None;
    }
    let zone_taken = scene
        .view
        .replicas(key)
        .any(|(holder, _)| scene.view.endpoint(holder).is_some_and(|other| other.zone == row.zone));
    let free_mb = row.memory_mb.saturating_sub(promised);
    Some(Place { endpoint, models, free_mb, need_mb, load_ms, zone_taken })
}

/// Memory that unloading could free, in MB: what serves and is not the base that is needed.
fn reclaimable_mb(row: &EndpointRow, base: &Option<&str>) -> u64 {
    let mut total = 0;
    for replica in &row.replicas {
        let counts = match replica.phase() {
            Phase::Ready => base.is_none_or(|base| replica.model != base),
            Phase::Unloading => true,
            Phase::Wanted | Phase::Loading => false,
        };
        if counts {
            total += replica.memory_mb;
        }
    }
    total
}

/// Load time from a tier, in milliseconds.
pub fn load_ms(model: &Model, tier: Tier) -> u64 {
    match tier {
        Tier::Remote => model.remote_ms,
        Tier::Disk => model.disk_ms,
        Tier::Ram => model.ram_ms,
    }
}

fn can_pay(scene: &Scene<'_>, models: &[ModelKey]) -> bool {
    let mut orgs: Vec<(OrgKey, u64)> = Vec::new();
    for model in models.iter().filter_map(|key| scene.catalogue.models.get(key)) {
        match orgs.iter_mut().find(|(org, _)| *org == model.org) {
            Some((_, total)) => *total += model.memory_mb,
            None => orgs.push((model.org, model.memory_mb)),
        }
    }
    orgs.iter().all(|(org, need)| Shares::read(scene, *org).free() >= *need)
}

/// An organisation's share in its parts.
///
/// Each part is a row of its own with a limit of its own: deciders for different models touch
/// different rows, and a part that is short borrows from another in the same transaction. The
/// balances sum to zero, so the parts together never exceed the share.
struct Shares {
    limit: u64,
    parts: Vec<Held<ShareRow>>,
}

impl Shares {
    fn read(scene: &Scene<'_>, org: OrgKey) -> Shares {
        let share = scene.catalogue.organisations.get(&org).map_or(0, |it| it.share_mb);
        let parts = (0..scene.parts).map(|part| scene.view.share(org, part)).collect();
        Shares { limit: share / u64::from(scene.parts.max(1)), parts }
    }

    fn spare(&self, part: usize) -> u64 {
        let row = self.parts[part].row.clone().unwrap_or_default();
        self.limit.saturating_add_signed(row.balance_mb).saturating_sub(row.used_mb)
    }

    fn free(&self) -> u64 {
        (0..self.parts.len()).map(|part| self.spare(part)).sum()
    }

    /// Takes `need` from `part`, borrowing what is short; gives the parts that changed.
    fn take(&mut self, part: usize, need: u64) -> Vec<usize> {
        let mut changed = vec![part];
        let mut short = need.saturating_sub(self.spare(part));
        while short > 0 {
            let lender = (0..self.parts.len())
                .filter(|other| *other != part)
                .max_by_key(|other| self.spare(*other));
            let Some(lender) = lender else { break };
            let lent = self.spare(lender).min(short);
            if lent == 0 {
                break;
            }
            self.row(lender).balance_mb -= lent as i64;
            self.row(part).balance_mb += lent as i64;
            changed.push(lender);
            short -= lent;
        }
        self.row(part).used_mb += need;
        changed
    }

    fn row(&mut self, part: usize) -> &mut ShareRow {
        self.parts[part].row.get_or_insert_default()
    }
}

/// The part of a share that pays for a model.
pub fn share_part(model: &str, parts: u32) -> u32 {
    (hash_bytes(model.as_bytes()) % u64::from(parts.max(1))) as u32
}

/// How early a load goes among those that wait for a permit: by deadline, class and dependants.
pub fn urgency(ask: &Ask, model: &Model) -> u64 {
    let class = match ask.class {
        Class::Urgent => 0,
        Class::Normal => CLASS_MS,
        Class::Batch => 2 * CLASS_MS,
    };
    (ask.slack_ms.min(CLASS_MS) + class).saturating_sub(model.dependants * DEPENDANT_MS)
}

/// Builds the transaction that carries out `plan`.
///
/// The endpoint's ledger, each model's row, the share and the permit change together, each under
/// the version that was read. Two deciders of one burst therefore cannot both succeed, and a
/// transaction whose answer was lost cannot take effect twice.
pub fn load_txn(scene: &Scene<'_>, plan: &Plan, ask: &Ask, order: u64) -> Txn {
    let mut txn = Txn::default();
    let Some(row) = scene.view.endpoint(plan.endpoint) else { return txn };
    let mut ledger = row.clone();
    let mut weights = scene.view.weights.row.clone().unwrap_or_default();
    let weights_before = weights.clone();
    weights.loads_once = scene.catalogue.pool.loads_once;
    weights.loads_second = scene.catalogue.pool.loads_second;
    let endpoint = scene.view.endpoint_name(plan.endpoint).to_owned();
    let mut shares: Vec<(OrgKey, Shares, Vec<usize>)> = Vec::new();
    for (index, key) in plan.models.iter().enumerate() {
        let Some(model) = scene.catalogue.models.get(key) else { continue };
        let tier = scene.view.tier(plan.endpoint, &model.name);
        let mut replica = new_replica(scene, ask, model, order + index as u64, tier);
        if (scene.permits || !replica.remote) && may_start(&ledger, &weights, &replica) {
            replica.phase = Phase::Loading.into();
            if replica.remote {
                weights.permits.push(Permit { endpoint: endpoint.clone(), order: replica.order });
            }
        }
        let part = replica.bucket as usize;
        ledger.replicas.push(replica);
        let position = shares.iter().position(|(org, ..)| *org == model.org);
        let position = position.unwrap_or_else(|| {
            shares.push((model.org, Shares::read(scene, model.org), Vec::new()));
            shares.len() - 1
        });
        let (_, share, changed) = &mut shares[position];
        changed.extend(share.take(part, model.memory_mb));
        let held = scene.view.model(*key);
        let mut holders = held.row.unwrap_or_default();
        holders.holders.push(endpoint.clone());
        txn.put(model_key(&model.name), held.version, Some(holders.encode_to_vec()));
    }
    for (org, share, mut changed) in shares {
        changed.sort_unstable();
        changed.dedup();
        let name = scene.view.registry.organisations.name(org);
        for part in changed {
            let held = &share.parts[part];
            let body = held.row.clone().unwrap_or_default().encode_to_vec();
            txn.put(share_key(name, part as u32), held.version, Some(body));
        }
    }
    if weights.permits != weights_before.permits {
        txn.put(WEIGHTS, scene.view.weights.version, Some(weights.encode_to_vec()));
    }
    let version = scene.view.endpoint_version(plan.endpoint);
    txn.put(endpoint_key(&endpoint), version, Some(ledger.encode_to_vec()));
    txn
}

fn new_replica(scene: &Scene<'_>, ask: &Ask, model: &Model, order: u64, tier: Tier) -> Replica {
    let base = model.base.map(|base| scene.view.registry.models.name(base).to_owned());
    Replica {
        model: model.name.clone(),
        org: scene.view.registry.organisations.name(model.org).to_owned(),
        memory_mb: model.memory_mb,
        peak_mb: model.peak_mb,
        order,
        phase: Phase::Wanted.into(),
        remote: tier == Tier::Remote,
        base: base.unwrap_or_default(),
        load_ms: load_ms(model, tier),
        urgency: urgency(ask, model),
        bucket: share_part(&model.name, scene.parts),
    }
}

/// Whether a wanted replica may begin to load: memory for its peak, its base and a permit.
pub fn may_start(ledger: &EndpointRow, weights: &WeightsRow, replica: &Replica) -> bool {
    let room = fits_now(ledger, replica);
    let based = base_ready(ledger, replica);
    let permit = !replica.remote
        || (weights.waiters.is_empty() && (weights.permits.len() as u64) < weights.loads_once);
    room && based && permit
}

/// Whether the ledger has memory for the replica's peak beside all that is held.
pub fn fits_now(ledger: &EndpointRow, replica: &Replica) -> bool {
    ledger.held_mb() + replica.peak_mb.max(replica.memory_mb) <= ledger.memory_mb
}

/// Whether the base that an adapter needs serves.
pub fn base_ready(ledger: &EndpointRow, replica: &Replica) -> bool {
    let ready = |base: &Replica| base.phase() == Phase::Ready;
    replica.base.is_empty() || ledger.replica(&replica.base).is_some_and(ready)
}
