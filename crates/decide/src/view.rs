//! What one entry knows of the platform's table.
//!
//! The view lags; every decision made from it checks the versions it was made from, so that a
//! stale view costs a conflict and never a wrong write.

use std::collections::BTreeMap;

use citronrill_base::{EndpointKey, Map, ModelKey, OrgKey, Row};
use citronrill_config::Registry;
use prost::Message;

use crate::rows::{
    CacheRow, DeltaRow, EndpointRow, HeadRow, MemberRow, ModelRow, Phase, RowKind, ShareRow, Tier,
    WeightsRow, decode, row_kind,
};

/// A row and the version under which it was read.
#[derive(Debug, Clone, Default)]
pub struct Held<R> {
    /// The table's commit sequence at the row's last write; 0 if it was never written.
    pub version: u64,
    /// The row, if there is one.
    pub row: Option<R>,
}

/// What a row's arrival changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An endpoint and the models whose replicas there changed.
    Endpoint(EndpointKey, Vec<ModelKey>),
    /// A model's row.
    Model(ModelKey),
    /// The members.
    Members,
    /// The version in force.
    Head(HeadRow),
    /// What a version changed.
    Delta(DeltaRow),
    /// Something that nobody waits for.
    Other,
}

/// The rows of the feed, by key.
#[derive(Debug, Default)]
pub struct View {
    /// The names of this process.
    pub registry: Registry,
    /// The highest commit sequence seen.
    pub sequence: u64,
    /// The weight store's permits.
    pub weights: Held<WeightsRow>,
    /// The version in force.
    pub head: Held<HeadRow>,
    endpoints: Map<EndpointKey, Held<EndpointRow>>,
    caches: Map<EndpointKey, Held<CacheRow>>,
    models: Map<ModelKey, Held<ModelRow>>,
    shares: Map<(OrgKey, u32), Held<ShareRow>>,
    members: BTreeMap<String, Held<MemberRow>>,
    deltas: Map<String, u64>,
    replicas: Map<ModelKey, Vec<EndpointKey>>,
}

impl View {
    /// Takes in a row, unless the view has it already or has a later one.
    ///
    /// Versions never go down: a late or repeated answer of the table, a peer that lags or a feed
    /// that crosses a fresh read would else bring back what was already replaced.
    pub fn absorb(&mut self, row: &Row) -> Option<Change> {
        self.sequence = self.sequence.max(row.version);
        match row_kind(&row.key) {
            RowKind::Endpoint(name) => self.absorb_endpoint(name, row),
            RowKind::Model(name) => {
                let key = self.registry.models.intern(name);
                take(self.models.entry(key).or_default(), row).then_some(Change::Model(key))
            }
            RowKind::Share(org, part) => {
                let org = self.registry.organisations.intern(org);
                let held = self.shares.entry((org, part)).or_default();
                take(held, row).then_some(Change::Other)
            }
            RowKind::Member(name) => {
                let held = self.members.entry(name.to_owned()).or_default();
                take(held, row).then_some(Change::Members)
            }
            RowKind::Cache(name) => {
                let key = self.registry.endpoints.intern(name);
                take(self.caches.entry(key).or_default(), row).then_some(Change::Other)
            }
            RowKind::Weights => take(&mut self.weights, row).then_some(Change::Other),
            RowKind::Head => {
                let taken = take(&mut self.head, row);
                self.head.row.clone().filter(|_| taken).map(Change::Head)
            }
            RowKind::Delta => self.absorb_delta(row),
            RowKind::Other => None,
        }
    }

    fn absorb_delta(&mut self, row: &Row) -> Option<Change> {
        let known = self.deltas.entry(row.key.clone()).or_default();
        if row.version <= *known {
            return None;
        }
        *known = row.version;
        decode::<DeltaRow>(&row.body).map(Change::Delta)
    }

    fn absorb_endpoint(&mut self, name: &str, row: &Row) -> Option<Change> {
        let key = self.registry.endpoints.intern(name);
        let held = self.endpoints.entry(key).or_default();
        let before = held.row.clone();
        if !take(held, row) {
            return None;
        }
        let after = held.row.clone();
        let mut touched = Vec::new();
        for replica in before.iter().flat_map(|row| &row.replicas) {
            let model = self.registry.models.intern(&replica.model);
            let holders = self.replicas.entry(model).or_default();
            holders.retain(|holder| *holder != key);
            touched.push(model);
        }
        for replica in after.iter().flat_map(|row| &row.replicas) {
            let model = self.registry.models.intern(&replica.model);
            self.replicas.entry(model).or_default().push(key);
            if !touched.contains(&model) {
                touched.push(model);
            }
        }
        self.replicas.retain(|_, holders| !holders.is_empty());
        Some(Change::Endpoint(key, touched))
    }

    /// An endpoint's row.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&EndpointRow> {
        self.endpoints.get(&key)?.row.as_ref()
    }

    /// The fastest tier from which an endpoint can load a model.
    pub fn tier(&self, endpoint: EndpointKey, model: &str) -> Tier {
        let row = self.caches.get(&endpoint).and_then(|held| held.row.as_ref());
        let cached = row.and_then(|row| row.cached.iter().find(|it| it.model == model));
        cached.map_or(Tier::Remote, |it| it.tier())
    }

    /// The version of an endpoint's cache row; `None` if there is no such row.
    pub fn cache_version(&self, endpoint: EndpointKey) -> Option<u64> {
        self.caches.get(&endpoint).filter(|held| held.row.is_some()).map(|held| held.version)
    }

    /// The version of an endpoint's row.
    pub fn endpoint_version(&self, key: EndpointKey) -> u64 {
        self.endpoints.get(&key).map_or(0, |held| held.version)
    }

    /// All endpoints with a row.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.endpoints.iter().filter_map(|(key, held)| Some((*key, held.row.as_ref()?)))
    }

    /// A model's row; the empty row if there is none.
    pub fn model(&self, key: ModelKey) -> Held<ModelRow> {
        self.models.get(&key).cloned().unwrap_or_default()
    }

    /// A model's row by reference.
    pub fn model_row(&self, key: ModelKey) -> Option<&ModelRow> {
        self.models.get(&key)?.row.as_ref()
    }

    /// A part of an organisation's share; the empty row if there is none.
    pub fn share(&self, org: OrgKey, part: u32) -> Held<ShareRow> {
        self.shares.get(&(org, part)).cloned().unwrap_or_default()
    }

    /// Endpoints whose ledger has a replica of `model`, with the replica's phase.
    pub fn replicas(&self, model: ModelKey) -> impl Iterator<Item = (EndpointKey, Phase)> + '_ {
        let name = self.registry.models.name(model);
        let holders = self.replicas.get(&model).map(Vec::as_slice).unwrap_or_default();
        holders.iter().filter_map(move |key| {
            let replica = self.endpoint(*key)?.replica(name)?;
            Some((*key, replica.phase()))
        })
    }

    /// Models with at least one replica in some phase.
    pub fn warm_models(&self) -> impl Iterator<Item = ModelKey> + '_ {
        self.replicas.keys().copied()
    }

    /// The entries.
    pub fn members(&self) -> impl Iterator<Item = (&str, &MemberRow)> {
        self.members.iter().filter_map(|(name, held)| Some((name.as_str(), held.row.as_ref()?)))
    }

    /// One entry's row with its version.
    pub fn member(&self, name: &str) -> Held<MemberRow> {
        self.members.get(name).cloned().unwrap_or_default()
    }

    /// How many rows the view holds.
    pub fn len(&self) -> usize {
        self.endpoints.len() + self.models.len() + self.shares.len() + self.members.len()
    }

    /// Whether the view holds no row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The endpoint's name.
    pub fn endpoint_name(&self, key: EndpointKey) -> &str {
        self.registry.endpoints.name(key)
    }
}

fn take<R: Message + Default>(held: &mut Held<R>, row: &Row) -> bool {
    if row.version <= held.version {
        return false;
    }
    held.version = row.version;
    held.row = decode(&row.body);
    true
}
