//! Digests of callers' requests and API keys.

use citronrill_pool::{KeyDigest, RequestDigest};
use hyper::{Method, Uri};
use sha2::{Digest, Sha256};

/// Returns the digest of a request from its method, host, target and body.
///
/// A cryptographic hash, so that no caller can produce the digest of another caller's request.
pub(crate) fn request_digest(method: &Method, host: &str, uri: &Uri, body: &[u8]) -> RequestDigest {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let mut hash = Sha256::new();
    for part in [method.as_str(), host, target] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(body);
    RequestDigest(first_128_bits(hash))
}

/// Returns the digest of an API key.
pub fn key_digest(key: &[u8]) -> KeyDigest {
    KeyDigest(first_128_bits(Sha256::new_with_prefix(key)))
}

fn first_128_bits(hash: Sha256) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize()[..16]);
    u128::from_le_bytes(bytes)
}
