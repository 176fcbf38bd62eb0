//! API keys, of which only the hashes are stored.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::fields::Value;

/// The SHA-256 of an API key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ApiKeyHash([u8; 32]);

impl ApiKeyHash {
    /// Compares in constant time, so that timing reveals nothing about the hash.
    pub fn matches(&self, other: &ApiKeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the hash in hexadecimal, as it follows `sha256:` in the configuration.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl std::fmt::Debug for ApiKeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKeyHash(..)")
    }
}

/// Hashes a caller's API key.
pub fn hash_api_key(key: &str) -> ApiKeyHash {
    ApiKeyHash(Sha256::digest(key.as_bytes()).into())
}

impl Value for ApiKeyHash {
    const EXPECTED: &'static str = "`sha256:` and 64 hexadecimal digits";
    fn parse(text: &str) -> Option<ApiKeyHash> {
        let digits = text.strip_prefix("sha256:")?;
        if digits.len() != 64 || !digits.is_ascii() {
            return None;
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(ApiKeyHash(hash))
    }
}
