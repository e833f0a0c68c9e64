//! Signatures of plug-ins: ed25519 (RFC 8032) over a version's digest, verified against a list of keys that
//! may change while a gateway runs. The catalogue verifies them whenever versions or keys change; the
//! `plugin` commands sign.

use crate::digest::Digest;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Prefix of every signed message, so that a signature made for another purpose is not valid for a plug-in.
const CONTEXT: &str = "slatevalve plug-in 1\n";

/// A signature of a version, which may be invalid until [`KeyList::find_signer`] verifies it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Signature {
    /// Id of the key in the key list.
    pub key: String,
    /// The signature, 64 bytes in base64.
    value: String,
}

/// A text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a key must be 32 bytes in base64, and a public key a valid ed25519 point that is not weak",
        )
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
    /// Creates a signature from a key's id and 64 bytes in base64; `None` if `value` is not that. It is not
    /// verified.
    pub fn read(key: &str, value: &str) -> Option<Self> {
        bytes::<64>(value)?;
        Some(Signature { key: key.into(), value: value.trim().into() })
    }

    /// The signature bytes in base64.
    pub fn base64(&self) -> String {
        self.value.clone()
    }
}

/// A private key that signs versions.
pub struct SigningSecret(SigningKey);

impl SigningSecret {
    /// Creates a key from 32 random bytes.
    pub fn from_random(seed: [u8; 32]) -> Self {
        SigningSecret(SigningKey::from_bytes(&seed))
    }

    /// Parses a key that [`SigningSecret::base64`] returned.
    ///
    /// # Errors
    /// If the text is not 32 bytes in base64.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        Ok(SigningSecret::from_random(bytes::<32>(text).ok_or(KeyError)?))
    }

    /// The private key in base64. It must be stored where only its owner can read it.
    pub fn base64(&self) -> String {
        STANDARD.encode(self.0.to_bytes())
    }

    /// The public key in base64, for [`KeyList::add`].
    pub fn public(&self) -> String {
        STANDARD.encode(self.0.verifying_key().to_bytes())
    }

    /// Signs the version with this digest; `key` is the id of this key in key lists.
    pub fn sign(&self, key: &str, digest: &Digest) -> Signature {
        let value = self.0.sign(&message(digest)).to_bytes();
        Signature { key: key.into(), value: STANDARD.encode(value) }
    }
}

/// Trusted public keys by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyList(BTreeMap<String, VerifyingKey>);

impl KeyList {
    /// Adds a public key in base64.
    ///
    /// # Errors
    /// If it is not 32 bytes in base64, not a point of the curve, or weak.
    pub fn add(&mut self, id: &str, public: &str) -> Result<(), KeyError> {
        let key = VerifyingKey::from_bytes(&bytes::<32>(public).ok_or(KeyError)?).map_err(|_| KeyError)?;
        if key.is_weak() {
            return Err(KeyError);
        }
        self.0.insert(id.into(), key);
        Ok(())
    }

    /// The id of the key of the first valid signature of `digest`; `None` if no trusted key has signed it.
    pub fn find_signer(&self, digest: &Digest, signatures: &[Signature]) -> Option<&str> {
        let verify = |signature: &Signature| {
            let (id, key) = self.0.get_key_value(&signature.key)?;
            let value = ed25519_dalek::Signature::from_bytes(&bytes::<64>(&signature.value)?);
            // Strict verification rejects non-canonical encodings of a signature, and weak keys.
            key.verify_strict(&message(digest), &value).ok()?;
            Some(id.as_str())
        };
        signatures.iter().find_map(verify)
    }
}

#[cfg(test)]
mod tests;
