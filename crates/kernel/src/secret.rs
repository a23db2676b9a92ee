//! Key material.

use std::fmt;

/// A 32-byte key. Its `Debug` output doesn't contain the key, so it can't leak into logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key for `purpose` from the contents of a key file, so that one file serves
    /// several purposes with independent keys.
    #[must_use]
    pub fn derive(purpose: &str, material: &[u8]) -> Self {
        Self(blake3::derive_key(purpose, material))
    }

    /// Returns the keyed hash of `message`, its MAC.
    #[must_use]
    pub fn sign(&self, message: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.0, message).as_bytes()
    }

    /// Returns whether `mac` is the MAC of `message` under this key. Compares in constant time.
    #[must_use]
    pub fn verify(&self, message: &[u8], mac: &[u8; 32]) -> bool {
        blake3::keyed_hash(&self.0, message) == blake3::Hash::from_bytes(*mac)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
