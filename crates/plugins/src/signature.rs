//! Signatures of plug-ins: ed25519 over a plug-in's digest (RFC 8032), checked against a list of keys that may change
//! while a gateway runs. The catalogue asks it at each change; the commands sign with it.

use crate::digest::Digest;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What is signed begins with this, so that no signature made for something else can pass for one of a plug-in.
const CONTEXT: &str = "slatevalve plug-in 1\n";

/// Somebody's word for a plug-in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Signature {
    /// The id of the key, as the key list has it.
    pub key: String,
    /// The 64 bytes, in base64.
    value: String,
}

/// Why a text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key is 32 bytes in base64, and a public one a point that ed25519 takes")
    }
}

impl std::error::Error for KeyError {}

fn message(digest: &Digest) -> Vec<u8> {
    format!("{CONTEXT}{digest}").into_bytes()
}

fn bytes<const N: usize>(text: &str) -> Option<[u8; N]> {
    STANDARD.decode(text.trim()).ok()?.try_into().ok()
}

impl Signature {
    /// Reads a key's id and a signature in base64; none where it cannot be one.
    pub fn read(key: &str, value: &str) -> Option<Self> {
        bytes::<64>(value)?;
        Some(Signature { key: key.into(), value: value.trim().into() })
    }

    /// The signature in base64.
    pub fn base64(&self) -> String {
        self.value.clone()
    }
}

/// A key that signs.
pub struct SigningSecret(SigningKey);

impl SigningSecret {
    /// A key from 32 random bytes.
    pub fn from_random(seed: [u8; 32]) -> Self {
        SigningSecret(SigningKey::from_bytes(&seed))
    }

    /// Reads a key as [`SigningSecret::base64`] gives it.
    ///
    /// # Errors
    /// When it is none.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        Ok(SigningSecret::from_random(bytes::<32>(text).ok_or(KeyError)?))
    }

    /// The key, to be kept in a file that only its owner reads.
    pub fn base64(&self) -> String {
        STANDARD.encode(self.0.to_bytes())
    }

    /// The public key, for key lists.
    pub fn public(&self) -> String {
        STANDARD.encode(self.0.verifying_key().to_bytes())
    }

    /// Signs a plug-in.
    pub fn sign(&self, key: &str, digest: &Digest) -> Signature {
        let value = self.0.sign(&message(digest)).to_bytes();
        Signature { key: key.into(), value: STANDARD.encode(value) }
    }
}

/// The keys whose word counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyList(BTreeMap<String, VerifyingKey>);

impl KeyList {
    /// Adds a public key in base64.
    ///
    /// # Errors
    /// When it is none.
    pub fn add(&mut self, id: &str, public: &str) -> Result<(), KeyError> {
        let key = VerifyingKey::from_bytes(&bytes::<32>(public).ok_or(KeyError)?).map_err(|_| KeyError)?;
        if key.is_weak() {
            return Err(KeyError);
        }
        self.0.insert(id.into(), key);
        Ok(())
    }

    /// The id of the first key that vouches for a plug-in.
    pub fn find_signer(&self, digest: &Digest, signatures: &[Signature]) -> Option<&str> {
        let good = |signature: &Signature| {
            let (id, key) = self.0.get_key_value(&signature.key)?;
            let value = ed25519_dalek::Signature::from_bytes(&bytes::<64>(&signature.value)?);
            // Strict: no second form of the same signature, no weak key.
            key.verify_strict(&message(digest), &value).ok()?;
            Some(id.as_str())
        };
        signatures.iter().find_map(good)
    }
}

#[cfg(test)]
mod tests;
