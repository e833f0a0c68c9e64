//! Versions and aliases as operators see them; serialized in answers of the admin socket and the command
//! line.

use super::{Quarantine, VersionState};
use crate::digest::Digest;
use serde::Serialize;

/// A version and its state.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VersionView {
    /// Name of the version, unique within its function.
    pub version: String,
    /// Digest of its manifest.
    pub digest: Digest,
    /// Availability of its content.
    pub state: VersionState,
    /// Present while the version is in quarantine.
    pub quarantine: Option<Quarantine>,
    /// Ids of the keys of its signatures, whether or not these are valid or the keys are trusted.
    pub signed_by: Vec<String>,
    /// Number of its open calls.
    pub open: usize,
    /// Aliases that point to it, sorted.
    pub aliases: Vec<String>,
}

/// An alias and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AliasView {
    /// Name of the alias, unique within its function.
    pub alias: String,
    /// The version that it points to.
    pub version: String,
    /// Number of its moves; expected by the next conditional move.
    pub revision: u64,
}
