//! An entry's view of the platform table.
//!
//! The view lags behind the table. Every decision based on it checks the row versions that it
//! used, so a stale view causes a conflict but never a wrong write.

use std::collections::BTreeMap;

use citronrill_base::{EndpointKey, Map, ModelKey, OrgKey, Row};
use citronrill_config::Registry;
use prost::Message;

use crate::rows::{
    CacheRow, DeltaRow, EndpointRow, HeadRow, MemberRow, ModelRow, PermitsRow, Phase, RowKind,
    ShareRow, Tier, decode, row_kind,
};

/// A row and the version at which it was read.
#[derive(Debug, Clone, Default)]
pub struct Versioned<R> {
    /// The table's commit sequence at the row's last write; 0 if it was never written.
    pub version: u64,
    /// The row, if there is one.
    pub row: Option<R>,
}

/// Change that a row made to the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An endpoint changed, with the models whose replicas there may have changed.
    Endpoint(EndpointKey, Vec<ModelKey>),
    /// A model's row changed.
    Model(ModelKey),
    /// The member list changed.
    Members,
    /// The current configuration version changed.
    Head(HeadRow),
    /// The changes of a configuration version arrived.
    Delta(DeltaRow),
    /// Another row changed, which needs no reaction.
    Other,
}

/// The rows received from the table, by key.
#[derive(Debug, Default)]
pub struct View {
    /// Interned names of this process.
    pub registry: Registry,
    /// The highest commit sequence seen.
    pub sequence: u64,
    /// The weight store's permits.
    pub permits_row: Versioned<PermitsRow>,
    /// The current configuration version.
    pub head: Versioned<HeadRow>,
    endpoints: Map<EndpointKey, Versioned<EndpointRow>>,
    caches: Map<EndpointKey, Versioned<CacheRow>>,
    models: Map<ModelKey, Versioned<ModelRow>>,
    shares: Map<(OrgKey, u32), Versioned<ShareRow>>,
    members: BTreeMap<String, Versioned<MemberRow>>,
    deltas: Map<String, u64>,
    replicas: Map<ModelKey, Vec<EndpointKey>>,
}

impl View {
    /// Applies a row, unless the view has the same or a later version, and returns the change.
    ///
    /// Versions never decrease: otherwise a late or repeated answer of the table, a lagging peer or
    /// feed data that overlaps with a newer read would restore a replaced row.
    pub fn apply(&mut self, row: &Row) -> Option<Change> {
        self.sequence = self.sequence.max(row.version);
        match row_kind(&row.key) {
            RowKind::Endpoint(name) => self.apply_endpoint(name, row),
            RowKind::Model(name) => {
                let key = self.registry.models.intern(name);
                update(self.models.entry(key).or_default(), row).then_some(Change::Model(key))
            }
            RowKind::Share(org, part) => {
                let org = self.registry.organisations.intern(org);
                let versioned = self.shares.entry((org, part)).or_default();
                update(versioned, row).then_some(Change::Other)
            }
            RowKind::Member(name) => {
                let versioned = self.members.entry(name.to_owned()).or_default();
                update(versioned, row).then_some(Change::Members)
            }
            RowKind::Cache(name) => {
                let key = self.registry.endpoints.intern(name);
                update(self.caches.entry(key).or_default(), row).then_some(Change::Other)
            }
            RowKind::Permits => update(&mut self.permits_row, row).then_some(Change::Other),
            RowKind::Head => {
                let updated = update(&mut self.head, row);
                self.head.row.clone().filter(|_| updated).map(Change::Head)
            }
            RowKind::Delta => self.apply_delta(row),
            RowKind::Other => None,
        }
    }

    fn apply_delta(&mut self, row: &Row) -> Option<Change> {
        let applied = self.deltas.entry(row.key.clone()).or_default();
        if row.version <= *applied {
            return None;
        }
        *applied = row.version;
        decode::<DeltaRow>(&row.body).map(Change::Delta)
    }

    fn apply_endpoint(&mut self, name: &str, row: &Row) -> Option<Change> {
        let key = self.registry.endpoints.intern(name);
        let versioned = self.endpoints.entry(key).or_default();
        let before = versioned.row.clone();
        if !update(versioned, row) {
            return None;
        }
        let after = versioned.row.clone();
        let mut changed = Vec::new();
        for replica in before.iter().flat_map(|row| &row.replicas) {
            let model = self.registry.models.intern(&replica.model);
            let holders = self.replicas.entry(model).or_default();
            holders.retain(|holder| *holder != key);
            changed.push(model);
        }
        for replica in after.iter().flat_map(|row| &row.replicas) {
            let model = self.registry.models.intern(&replica.model);
            self.replicas.entry(model).or_default().push(key);
            if !changed.contains(&model) {
                changed.push(model);
            }
        }
        self.replicas.retain(|_, holders| !holders.is_empty());
        Some(Change::Endpoint(key, changed))
    }

    /// Returns an endpoint's row.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&EndpointRow> {
        self.endpoints.get(&key)?.row.as_ref()
    }

    /// Returns the fastest tier from which an endpoint can load a model.
    pub fn tier(&self, endpoint: EndpointKey, model: &str) -> Tier {
        let row = self.caches.get(&endpoint).and_then(|versioned| versioned.row.as_ref());
        let cached = row.and_then(|row| row.cached.iter().find(|cached| cached.model == model));
        cached.map_or(Tier::Remote, |cached| cached.tier())
    }

    /// Returns the version of an endpoint's cache row; `None` if there is no such row.
    pub fn cache_version(&self, endpoint: EndpointKey) -> Option<u64> {
        self.caches
            .get(&endpoint)
            .filter(|versioned| versioned.row.is_some())
            .map(|versioned| versioned.version)
    }

    /// Returns the version of an endpoint's row; 0 if it was never written.
    pub fn endpoint_version(&self, key: EndpointKey) -> u64 {
        self.endpoints.get(&key).map_or(0, |versioned| versioned.version)
    }

    /// Returns all endpoints that have a row.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRow)> {
        self.endpoints.iter().filter_map(|(key, versioned)| Some((*key, versioned.row.as_ref()?)))
    }

    /// Returns a model's row with its version; an empty value if there is none.
    pub fn model(&self, key: ModelKey) -> Versioned<ModelRow> {
        self.models.get(&key).cloned().unwrap_or_default()
    }

    /// Returns a model's row by reference.
    pub fn model_row(&self, key: ModelKey) -> Option<&ModelRow> {
        self.models.get(&key)?.row.as_ref()
    }

    /// Returns a part of an organisation's share with its version; an empty value if there is none.
    pub fn share(&self, org: OrgKey, part: u32) -> Versioned<ShareRow> {
        self.shares.get(&(org, part)).cloned().unwrap_or_default()
    }

    /// Returns the endpoints whose ledger has a replica of `model`, with the replica's phase.
    pub fn replicas(&self, model: ModelKey) -> impl Iterator<Item = (EndpointKey, Phase)> + '_ {
        let name = self.registry.models.name(model);
        let holders = self.replicas.get(&model).map(Vec::as_slice).unwrap_or_default();
        holders.iter().filter_map(move |key| {
            let replica = self.endpoint(*key)?.replica(name)?;
            Some((*key, replica.phase()))
        })
    }

    /// Returns the models that have a replica in any phase.
    pub fn models_with_replicas(&self) -> impl Iterator<Item = ModelKey> + '_ {
        self.replicas.keys().copied()
    }

    /// Returns the entries in the member list.
    pub fn members(&self) -> impl Iterator<Item = (&str, &MemberRow)> {
        self.members
            .iter()
            .filter_map(|(name, versioned)| Some((name.as_str(), versioned.row.as_ref()?)))
    }

    /// Returns an entry's row with its version.
    pub fn member(&self, name: &str) -> Versioned<MemberRow> {
        self.members.get(name).cloned().unwrap_or_default()
    }

    /// Returns the number of endpoint, model, share and member rows.
    pub fn len(&self) -> usize {
        self.endpoints.len() + self.models.len() + self.shares.len() + self.members.len()
    }

    /// Returns whether the view has no endpoint, model, share or member row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an endpoint's name.
    pub fn endpoint_name(&self, key: EndpointKey) -> &str {
        self.registry.endpoints.name(key)
    }
}

fn update<R: Message + Default>(versioned: &mut Versioned<R>, row: &Row) -> bool {
    if row.version <= versioned.version {
        return false;
    }
    versioned.version = row.version;
    versioned.row = decode(&row.body);
    true
}
