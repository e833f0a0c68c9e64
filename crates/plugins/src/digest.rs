//! Content digests (OCI image specification, "Digests"); SHA-256 is the only algorithm. All content that is
//! pulled, loaded or found after a restart is checked by a [`Verifier`].

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// A SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

/// Why a text is not a supported digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DigestError {
    /// The algorithm is not sha256. Holds its name, at most 32 characters of it.
    UnknownAlgorithm(String),
    /// The text is not `sha256:` followed by 64 lower-case hexadecimal digits.
    Malformed,
}

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DigestError::UnknownAlgorithm(name) => {
                write!(f, "digest algorithm {name:?} is not supported, only sha256 is")
            }
            DigestError::Malformed => {
                f.write_str("a digest must be sha256: followed by 64 lower-case hexadecimal digits")
            }
        }
    }
}

impl std::error::Error for DigestError {}

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Digest(Sha256::digest(content).into())
    }

    /// The 64 hexadecimal digits without the algorithm, as used in file names.
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

/// Why content does not have the expected digest and size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerifyError {
    /// More bytes than expected; detected before the rest is read.
    TooLong,
    /// Fewer bytes than expected.
    TooShort,
    /// The size matches, but the digest does not.
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

/// Checks content that arrives in pieces against its digest and size; an endless body is refused at the
/// expected size.
#[derive(Clone)]
pub struct Verifier {
    hash: Sha256,
    digest: Digest,
    size: u64,
    seen: u64,
}

impl Verifier {
    /// Starts the check of content with this digest and this size in bytes.
    pub fn new(digest: Digest, size: u64) -> Self {
        Verifier { hash: Sha256::new(), digest, size, seen: 0 }
    }

    /// Bytes checked so far: the offset at which an interrupted pull resumes.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Adds the next piece.
    ///
    /// # Errors
    /// [`VerifyError::TooLong`] as soon as the content exceeds the expected size.
    pub fn update(&mut self, piece: &[u8]) -> Result<(), VerifyError> {
        self.seen = self.seen.saturating_add(piece.len() as u64);
        if self.seen > self.size {
            return Err(VerifyError::TooLong);
        }
        self.hash.update(piece);
        Ok(())
    }

    /// Ends the check after the last piece.
    ///
    /// # Errors
    /// If the content is too short or does not match the digest.
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
