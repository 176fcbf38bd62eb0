//! Hash maps that iterate in the same order in every run.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasherDefault, DefaultHasher},
};

/// A hasher without a random seed.
///
/// With a random one, two runs of a reducer over the same events would visit their maps in another
/// order and decide differently, and no failure that a fuzzer finds could be seen again. The keys
/// are this system's own names and numbers, which no stranger chooses.
pub type FixedState = BuildHasherDefault<DefaultHasher>;

/// A hash map with a fixed order of iteration for the same history.
pub type Map<K, V> = HashMap<K, V, FixedState>;

/// A hash set with a fixed order of iteration for the same history.
pub type Set<K> = HashSet<K, FixedState>;
