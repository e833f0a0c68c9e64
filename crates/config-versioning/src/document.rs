//! The records in the registry: immutable documents, the state of the rollout, and the leases of routers.
//!
//! Stored field names must not change, because other versions of the program read and write them.
//! `serde(rename)` gives the stored name where the Rust name differs; `tests/stored_forms.rs` has byte-exact
//! examples.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a router does when it cannot renew its lease. Ordered by strictness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseExpiryPolicy {
    /// Keeps applying its active settings. A change that contradicts them waits until the router acknowledges
    /// it or an operator declares the router gone.
    #[default]
    GoOn,
    /// Sends no non-idempotent and no keyed call after the lease expires. A change proceeds once the lease
    /// has expired for certain, clock drift included.
    GiveUp,
}

/// The duration of a lease and the policy on its expiry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Lease duration in microseconds of the router's monotonic clock.
    pub lease_us: i64,
    /// What the router does when it cannot renew the lease.
    pub expiry_policy: LeaseExpiryPolicy,
}

impl LeaseTerms {
    /// The shorter duration and the stricter policy of both.
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
    /// Assigned at publication, starting at 1 and strictly increasing.
    pub number: u64,
    /// The number of the document that was committed when this one was published; 0 for the first document.
    pub parent: u64,
    /// SHA-256 of `text`, in lower-case hex.
    pub digest: String,
    /// The settings as S-expressions, at most [`crate::MAX_DOCUMENT_BYTES`] long.
    pub text: String,
    /// The author, as given to the publishing command.
    pub who: String,
    /// The author's reason for the change.
    pub why: String,
    /// What routers do when they cannot renew a lease that covers this document.
    #[serde(rename = "doubt")]
    pub expiry_policy: LeaseExpiryPolicy,
    /// Lease duration in microseconds of the router's monotonic clock; positive in a valid document.
    #[serde(rename = "right_us")]
    pub lease_us: i64,
}

impl Document {
    /// The SHA-256 digest of a text, in lower-case hex.
    #[must_use]
    pub fn digest_of(text: &str) -> String {
        Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The reference by which states and leases name this document.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        DocumentVersion { number: self.number, digest: self.digest.clone() }
    }

    /// The terms that this document sets for leases.
    #[must_use]
    pub fn lease_terms(&self) -> LeaseTerms {
        LeaseTerms { lease_us: self.lease_us, expiry_policy: self.expiry_policy }
    }
}

/// A reference to a document. The digest distinguishes documents that got the same number, for example after
/// the registry was restored from a backup.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// The referenced [`Document::number`].
    pub number: u64,
    /// The referenced [`Document::digest`].
    pub digest: String,
}

/// The documents that a router applies: the committed one, or the meet of it and its successor while a change
/// is prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActiveSettings {
    /// The document in force.
    pub committed: DocumentVersion,
    /// The document that replaces it at the commit; `None` if no change is prepared.
    pub prepared: Option<DocumentVersion>,
}

impl ActiveSettings {
    /// A committed document without a prepared change.
    #[must_use]
    pub fn committed(version: DocumentVersion) -> Self {
        ActiveSettings { committed: version, prepared: None }
    }

    /// One or two documents, the committed one first.
    pub fn versions(&self) -> impl Iterator<Item = &DocumentVersion> {
        [Some(&self.committed), self.prepared.as_ref()].into_iter().flatten()
    }
}

/// The state of the rollout, kept in a single entry. Transactions that publish, withdraw or commit a change
/// or write a lease compare its revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Incremented with each change of this entry.
    pub step: u64,
    /// The documents in force.
    #[serde(rename = "stance")]
    pub active_settings: ActiveSettings,
    /// The highest document number assigned so far.
    #[serde(rename = "last")]
    pub last_number: u64,
}

impl State {
    /// The next state, after a prepared change was committed or withdrawn and only this document remains in
    /// force.
    pub(crate) fn successor(&self, committed: DocumentVersion) -> State {
        State {
            step: self.step + 1,
            active_settings: ActiveSettings::committed(committed),
            last_number: self.last_number,
        }
    }
}

/// A router's lease on its active settings, written by the router: until the lease expires it applies these
/// settings. The write is a transaction that succeeds only if the state in the registry is still the one that
/// the lease acknowledges.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterLease {
    /// The step of the acknowledged [`State`].
    pub step: u64,
    /// The settings that the router applies.
    #[serde(rename = "stance")]
    pub active_settings: ActiveSettings,
    /// Lease duration in microseconds of the router's monotonic clock, counted from just before the write was
    /// requested.
    #[serde(rename = "right_us")]
    pub lease_us: i64,
    /// What the router does when it cannot renew the lease.
    #[serde(rename = "doubt")]
    pub expiry_policy: LeaseExpiryPolicy,
}

impl RouterLease {
    /// Whether the lease was written for exactly this state. Comparing the step is not enough: after the
    /// registry was restored from a backup, steps are assigned a second time.
    #[must_use]
    pub fn acknowledges(&self, state: &State) -> bool {
        self.step == state.step && self.active_settings == state.active_settings
    }
}
