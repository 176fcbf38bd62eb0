//! Digest of a caller's request.

use citronrill_pool::RequestDigest;
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
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize()[..16]);
    RequestDigest(u128::from_le_bytes(bytes))
}
