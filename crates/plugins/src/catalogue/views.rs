//! Versions and aliases as lists show them.

use super::{Quarantine, VersionState};
use crate::digest::Digest;
use serde::Serialize;

/// A version, for lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VersionView {
    /// Its name.
    pub version: String,
    /// Its digest.
    pub digest: Digest,
    /// How much of it is here.
    pub state: VersionState,
    /// Why it runs nowhere, if so.
    pub quarantine: Option<Quarantine>,
    /// The keys that signed it, whether they are listed or not.
    pub signed_by: Vec<String>,
    /// Calls that are open for it.
    pub open: usize,
    /// Aliases that mean it.
    pub aliases: Vec<String>,
}

/// An alias, for lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AliasView {
    /// Its name.
    pub alias: String,
    /// The version that it means.
    pub version: String,
    /// Its revision, for the next mover to name.
    pub revision: u64,
}
