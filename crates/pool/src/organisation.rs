//! Organisations that share the pool: their API keys, priorities and limits.

use std::{fmt, sync::Arc};

use citronrill_base::{Key, Map, OrgKey};

/// A 128-bit digest of an API key.
///
/// Keys are known to the processes only as digests: whatever a process logs, reports or sends to
/// another one, nobody can take a key from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub u128);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:08x}..)", self.0 >> 96)
    }
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts by its tokens, or as the given number if it declares none.
    Tokens(u64),
}

/// Limit on the use of an organisation, over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageLimit {
    /// Units a second.
    pub rate: u64,
    /// Units beyond the rate, once.
    pub burst: u64,
    /// What is counted.
    pub unit: LimitUnit,
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which endpoints are told.
    pub name: Arc<str>,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit on its use; `None` if there is none.
    pub limit: Option<UsageLimit>,
}

/// The organisations of one configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Organisations {
    list: Vec<Organisation>,
    by_key: Map<KeyDigest, OrgKey>,
    shared_keys: usize,
}

impl Organisations {
    /// Indexes organisations by key. A key that two of them list belongs to the first.
    pub fn new(list: Vec<Organisation>) -> Organisations {
        let mut by_key = Map::default();
        let mut shared_keys = 0;
        for (index, organisation) in list.iter().enumerate() {
            for key in &organisation.keys {
                let holder = *by_key.entry(*key).or_insert(OrgKey::from_index(index));
                shared_keys += usize::from(holder.index() != index);
            }
        }
        Organisations { list, by_key, shared_keys }
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Organisation> {
        self.by_key.get(&key).and_then(|org| self.list.get(org.index()))
    }

    /// Returns the organisation of this name.
    pub fn named(&self, name: &str) -> Option<&Organisation> {
        self.list.iter().find(|organisation| &*organisation.name == name)
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.list.iter()
    }

    /// Returns how many keys more than one organisation lists.
    pub fn shared_keys(&self) -> usize {
        self.shared_keys
    }
}
