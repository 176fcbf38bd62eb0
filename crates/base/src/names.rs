//! Interned names: strings at the borders, small keys inside.

use std::marker::PhantomData;

use indexmap::IndexSet;

use crate::maps::FixedState;

/// A small `Copy` index into an arena.
pub trait Key: Copy + Eq {
    /// Makes the key of the entity at `index`.
    fn from_index(index: usize) -> Self;
    /// The position of the entity in its arena.
    fn index(self) -> usize;
}

/// A table that gives each name one key for the life of the process.
///
/// Keys are never reused, so that a key taken before a change of configuration still names the
/// same entity after it.
#[derive(Debug, Clone)]
pub struct Names<K> {
    set: IndexSet<String, FixedState>,
    kind: PhantomData<K>,
}

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Names { set: IndexSet::default(), kind: PhantomData }
    }
}

impl<K: Key> Names<K> {
    /// The key of `name`, made if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.set.get_index_of(name) {
            return K::from_index(index);
        }
        let (index, _) = self.set.insert_full(name.to_owned());
        K::from_index(index)
    }

    /// The key of `name`, if the name is known.
    pub fn get(&self, name: &str) -> Option<K> {
        self.set.get_index_of(name).map(K::from_index)
    }

    /// The name behind `key`; the empty string for a key of another table.
    pub fn name(&self, key: K) -> &str {
        self.set.get_index(key.index()).map_or("", String::as_str)
    }

    /// How many names are known.
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}
