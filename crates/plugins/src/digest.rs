//! Content digests (OCI image specification, "Digests"): SHA-256 and no other algorithm. Everything that is pulled,
//! loaded or found after a restart goes through a [`Verifier`].

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// The SHA-256 of some content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

/// Why a text is no digest that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DigestError {
    /// An algorithm other than sha256.
    UnknownAlgorithm(String),
    /// Not `sha256:` and 64 lower-case hexadecimal digits.
    Malformed,
}

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DigestError::UnknownAlgorithm(name) => write!(f, "the digest algorithm {name} is not known here"),
            DigestError::Malformed => f.write_str("a digest is sha256: and 64 lower-case hexadecimal digits"),
        }
    }
}

impl std::error::Error for DigestError {}

impl Digest {
    /// The digest of some content.
    pub fn of(content: &[u8]) -> Self {
        Digest(Sha256::digest(content).into())
    }

    /// The 64 hexadecimal digits, as file names have them.
    pub fn hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha256:{}", self.hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let (algorithm, digits) = text.split_once(':').ok_or(DigestError::Malformed)?;
        if algorithm != "sha256" {
            return Err(DigestError::UnknownAlgorithm(algorithm.chars().take(32).collect()));
        }
        let value = |b: u8| match b {
            b'0'..=b'9' => Some(b - b'0'),
            b'a'..=b'f' => Some(b - b'a' + 10),
            _ => None,
        };
        let mut out = [0; 32];
        if digits.len() != 64 {
            return Err(DigestError::Malformed);
        }
        for (n, pair) in digits.as_bytes().chunks(2).enumerate() {
            let (high, low) = (value(pair[0]), value(pair[1]));
            out[n] = high.zip(low).map(|(h, l)| h << 4 | l).ok_or(DigestError::Malformed)?;
        }
        Ok(Digest(out))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}

/// Why content is not what was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerifyError {
    /// More bytes than promised; told before the rest is read.
    TooLong,
    /// Fewer bytes than promised.
    TooShort,
    /// The size is right and the content is not.
    Mismatch,
}

impl fmt::Display for VerifyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VerifyError::TooLong => "the content is longer than promised",
            VerifyError::TooShort => "the content is shorter than promised",
            VerifyError::Mismatch => "the content does not match its digest",
        })
    }
}

impl std::error::Error for VerifyError {}

/// Checks content that comes in pieces against its digest and size; an endless body ends at the promised size.
#[derive(Clone)]
pub struct Verifier {
    hash: Sha256,
    digest: Digest,
    size: u64,
    seen: u64,
}

impl Verifier {
    /// A check of content that has not begun.
    pub fn new(digest: Digest, size: u64) -> Self {
        Verifier { hash: Sha256::new(), digest, size, seen: 0 }
    }

    /// Bytes seen so far: where a pull that broke off is resumed.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Takes a piece.
    ///
    /// # Errors
    /// [`VerifyError::TooLong`] as soon as it goes beyond the promised size.
    pub fn update(&mut self, piece: &[u8]) -> Result<(), VerifyError> {
        self.seen = self.seen.saturating_add(piece.len() as u64);
        if self.seen > self.size {
            return Err(VerifyError::TooLong);
        }
        self.hash.update(piece);
        Ok(())
    }

    /// All has come.
    ///
    /// # Errors
    /// Where it is not what was promised.
    pub fn finish(self) -> Result<(), VerifyError> {
        if self.seen < self.size {
            return Err(VerifyError::TooShort);
        }
        let found: [u8; 32] = self.hash.finalize().into();
        if found != self.digest.0 {
            return Err(VerifyError::Mismatch);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
