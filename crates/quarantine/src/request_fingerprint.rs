//! Identity of a request by its content.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identity of a request by its content, which all attempts to send it share, at every node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request with these parts, such as its caller, path and body.
    ///
    /// The hash is cryptographic, so that a caller cannot make the request of another one look like
    /// its own.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }

    /// Parses the text form; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let is_canonical = text.len() == 32 && !text.starts_with('+');
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_canonical)?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
