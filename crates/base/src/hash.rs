//! Stable hashing: the results are the same in every process and on every platform.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns a stable 64-bit hash of `bytes`.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the rendezvous score of `node` for `item`; the node with the highest score owns the item.
pub fn rendezvous_score(item: &str, node: &str) -> u64 {
    xxh3_64_with_seed(item.as_bytes(), xxh3_64(node.as_bytes()))
}

/// Returns the nodes in descending order of their score for `item`, the owner first.
///
/// Processes with the same member list agree on the order without communication. A member that joins
/// or leaves moves only the items it owns.
pub fn rendezvous_order<'a>(item: &str, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order = nodes.map(|node| (rendezvous_score(item, node), node)).collect::<Vec<_>>();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, node)| node).collect()
}

/// Moves the items of `zone` to the front; the sort is stable.
pub fn zone_first<T>(items: &mut [T], zone: &str, zone_of: impl Fn(&T) -> &str) {
    items.sort_by_key(|item| zone_of(item) != zone);
}
