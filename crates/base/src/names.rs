//! Interned names: strings at the interfaces, small keys internally.

use std::marker::PhantomData;

use indexmap::IndexSet;

use crate::maps::FixedState;

/// A small `Copy` index into an arena.
pub trait Key: Copy + Eq {
    /// Returns the key of the entity at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the position of the entity in its arena.
    fn index(self) -> usize;
}

/// An interner that assigns each name one key for the lifetime of the process.
///
/// Keys are never reused, so a key obtained before a configuration change still identifies the same
/// entity after it.
#[derive(Debug, Clone)]
pub struct Interner<K> {
    set: IndexSet<String, FixedState>,
    kind: PhantomData<K>,
}

impl<K: Key> Default for Interner<K> {
    fn default() -> Self {
        Interner { set: IndexSet::default(), kind: PhantomData }
    }
}

impl<K: Key> Interner<K> {
    /// Returns the key of `name`, assigning one if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.set.get_index_of(name) {
            return K::from_index(index);
        }
        let (index, _) = self.set.insert_full(name.to_owned());
        K::from_index(index)
    }

    /// Returns the key of `name`, if the name is known.
    pub fn get(&self, name: &str) -> Option<K> {
        self.set.get_index_of(name).map(K::from_index)
    }

    /// Returns the name of `key`, or the empty string if no name has that key.
    pub fn name(&self, key: K) -> &str {
        self.set.get_index(key.index()).map_or("", String::as_str)
    }

    /// Returns the number of known names.
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Returns whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}
