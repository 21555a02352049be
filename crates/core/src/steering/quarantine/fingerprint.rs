//! Identity of a request over hosts and attempts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Hash of what an instance sees of a request: method, host name, path with query, workspace and body.
/// Two requests with the same fingerprint are the same work for an instance, whoever sends them again.
///
/// 128 bits of SHA-256, as a collision would blame one request for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes `parts` in this order. The length before each part keeps `["ab", "c"]` distinct from
    /// `["a", "bc"]`.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let first = digest.iter().take(size_of::<u128>());
        Self(first.fold(0, |value, byte| value << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
