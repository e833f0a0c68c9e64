//! The records in the registry: immutable documents, the state of the rollout, and the leases of routers.
//!
//! Field names in the registry are fixed: other versions of the program read and write them. Where a field's name differs
//! from the stored one, it is stated by `serde(rename)`; `tests/stored_forms.rs` holds examples as bytes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a router does when it cannot renew its lease to act. Ordered by strictness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseExpiryPolicy {
    /// It continues by its active settings. A change that contradicts them waits until it is back or is declared gone.
    #[default]
    GoOn,
    /// It sends no non-idempotent and no keyed call after the lease's end. The change proceeds once the lease must have ended.
    GiveUp,
}

/// The length of a lease to act, and what happens at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The length in microseconds, by the router's own monotonic clock.
    pub lease_us: i64,
    /// What a router does that cannot renew it.
    pub expiry_policy: LeaseExpiryPolicy,
}

impl LeaseTerms {
    /// The shorter length and the stricter policy of both.
    #[must_use]
    pub fn strictest(self, other: LeaseTerms) -> LeaseTerms {
        LeaseTerms {
            lease_us: self.lease_us.min(other.lease_us),
            expiry_policy: self.expiry_policy.max(other.expiry_policy),
        }
    }
}

/// A settings document. Its content is immutable once it has a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The number, from 1; it only increases.
    pub number: u64,
    /// The number of the document that it was derived from; 0 for the first.
    pub parent: u64,
    /// SHA-256 of the text, in hex.
    pub digest: String,
    /// The settings forms.
    pub text: String,
    /// Who published it.
    pub who: String,
    /// Why it was published.
    pub why: String,
    /// What routers do that cannot renew a lease under this document.
    #[serde(rename = "doubt")]
    pub expiry_policy: LeaseExpiryPolicy,
    /// The length of a lease to act, in microseconds by the router's own clock.
    #[serde(rename = "right_us")]
    pub lease_us: i64,
}

impl Document {
    /// The digest of a text: SHA-256 in hex.
    #[must_use]
    pub fn digest_of(text: &str) -> String {
        Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Its number and digest.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        DocumentVersion { number: self.number, digest: self.digest.clone() }
    }

    /// The terms of leases under this document.
    #[must_use]
    pub fn lease_terms(&self) -> LeaseTerms {
        LeaseTerms { lease_us: self.lease_us, expiry_policy: self.expiry_policy }
    }
}

/// A document by number and content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// The document's number.
    pub number: u64,
    /// The digest of its text.
    pub digest: String,
}

/// The documents by which a router acts: one, or the meet of two successive ones while a change is prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActiveSettings {
    /// The document in force.
    pub committed: DocumentVersion,
    /// The document that is to replace it.
    pub prepared: Option<DocumentVersion>,
}

impl ActiveSettings {
    /// A committed document with no change prepared.
    #[must_use]
    pub fn committed(version: DocumentVersion) -> Self {
        ActiveSettings { committed: version, prepared: None }
    }

    /// Its documents, the committed one first.
    pub fn versions(&self) -> impl Iterator<Item = &DocumentVersion> {
        [Some(&self.committed), self.prepared.as_ref()].into_iter().flatten()
    }
}

/// The state of the rollout: one entry that every transaction of the protocol compares.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Increases by one with each change of this entry.
    pub step: u64,
    /// The documents in force.
    #[serde(rename = "stance")]
    pub active_settings: ActiveSettings,
    /// The highest document number ever assigned.
    #[serde(rename = "last")]
    pub last_number: u64,
}

impl State {
    /// The state that follows when a prepared change ends with this document alone in force: by commit or by withdrawal.
    pub(crate) fn successor(&self, committed: DocumentVersion) -> State {
        State {
            step: self.step + 1,
            active_settings: ActiveSettings::committed(committed),
            last_number: self.last_number,
        }
    }
}

/// A router's lease to act, as written by the router: until the lease ends it acts by these settings. It is written in a
/// transaction that succeeds only while the state is the one that it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterLease {
    /// The step of the state that it acknowledges.
    pub step: u64,
    /// The settings by which the router acts.
    #[serde(rename = "stance")]
    pub active_settings: ActiveSettings,
    /// The length in microseconds by the router's own clock, counted from before the lease was requested.
    #[serde(rename = "right_us")]
    pub lease_us: i64,
    /// What the router does when it cannot renew the lease.
    #[serde(rename = "doubt")]
    pub expiry_policy: LeaseExpiryPolicy,
}

impl RouterLease {
    /// Whether it was written for this very state. The step alone does not tell: after a restore of the registry from a
    /// backup, steps are assigned again.
    #[must_use]
    pub fn acknowledges(&self, state: &State) -> bool {
        self.step == state.step && self.active_settings == state.active_settings
    }
}
