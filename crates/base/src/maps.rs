//! Hash maps that iterate in the same order in every run.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasherDefault, DefaultHasher},
};

/// A hasher without a random seed.
///
/// With a random seed, two runs of a reducer over the same events would iterate their maps in
/// different orders and decide differently, so a failure found by a fuzzer could not be reproduced.
/// The keys are internal names and numbers, which an attacker cannot choose.
pub type FixedState = BuildHasherDefault<DefaultHasher>;

/// A hash map whose iteration order depends only on the operations applied to it.
pub type Map<K, V> = HashMap<K, V, FixedState>;

/// A hash set whose iteration order depends only on the operations applied to it.
pub type Set<K> = HashSet<K, FixedState>;
