//! The catalogue: versions, digests, aliases and their history, quarantine, and the content that must be
//! kept.
//!
//! Invariants, each with a test: an alias moves only to a complete version that is not in quarantine; of two
//! concurrent moves that name the same revision, the second fails; a version's digest never changes; content
//! that an alias, a version that is not deleted or an open call needs is never released. History is ordered
//! by revision, not by time, as the clock may jump.

mod error;
mod views;

pub use error::CatalogueError;
pub use views::{AliasView, VersionView};

use crate::digest::Digest;
use crate::manifest::{ClassRights, LayerRef, Manifest};
use crate::reference::{Reference, Selector};
use crate::signature::{KeyList, Signature};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The alias that a reference without a selector resolves to.
pub const CURRENT: &str = "current";
/// The alias of the version that `current` meant before its last move.
pub const PREVIOUS: &str = "previous";
/// Maximum length of an alias's history; the oldest moves are dropped.
const MAX_HISTORY: usize = 1_000;
/// Maximum number of signatures of a version; the oldest are dropped.
const MAX_SIGNATURES: usize = 32;

/// Availability of a version in this folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// The manifest is known, but some content is missing.
    Partial,
    /// All content is stored and verified.
    Whole,
    /// Deleted; its content is kept while an open call needs it.
    Deleted,
}

/// Why a version must not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// What is wrong with the content, or why an operator quarantined it.
    pub reason: String,
    /// When it was quarantined, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// Whether an operator quarantined it: then only an operator's pull or push ends the quarantine.
    #[serde(default, rename = "held")]
    pub by_operator: bool,
}

/// One move of an alias.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AliasMove {
    /// Number of the move, counted from 1; it orders the history.
    pub revision: u64,
    /// Milliseconds since the Unix epoch, by the clock of the machine that moved it.
    pub at_ms: i64,
    /// The operator or component that moved it, as the request names it.
    pub who: String,
    /// The version that the alias meant before; `None` if the move created it.
    pub from: Option<String>,
    /// The version that the alias means after the move.
    pub to: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Version {
    digest: Digest,
    manifest: Arc<Manifest>,
    state: VersionState,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    signatures: Vec<Signature>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Alias {
    version: String,
    revision: u64,
    history: Vec<AliasMove>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Function {
    versions: BTreeMap<String, Version>,
    aliases: BTreeMap<String, Alias>,
}

/// The version that a reference resolved to.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// Name of the version, unique within its function.
    pub version: String,
    /// Digest of the manifest, which lists all content of the version.
    pub digest: Digest,
    /// The checked manifest.
    pub manifest: Arc<Manifest>,
    /// Revision of the alias in the reference; `None` if the reference names a version or digest.
    pub revision: Option<u64>,
}

/// Conditions that a version must meet to run at a site.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    /// One of these keys must have signed the version; `None` if no signature is required.
    pub keys: Option<KeyList>,
    /// The site's classes and the tenants that may use them; `None` if they are not known, as on a bare
    /// folder.
    pub rights: Option<ClassRights>,
}

impl AdmissionPolicy {
    fn check(&self, name: &str, version: &str, checked: &Version) -> Result<()> {
        let problems = self
            .rights
            .as_ref()
            .map(|rights| rights.problems(&format!("{name}@{version}"), &checked.manifest));
        if let Some(problem) = problems.into_iter().flatten().next() {
            return Err(CatalogueError::NotAllowed(problem.to_string()));
        }
        match self.keys.as_ref().map(|keys| keys.find_signer(&checked.digest, &checked.signatures)) {
            Some(None) => Err(CatalogueError::Unsigned(version.into())),
            Some(Some(_)) | None => Ok(()),
        }
    }
}

/// All versions and aliases of all functions, as stored in the plug-in folder.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalogue {
    functions: BTreeMap<String, Function>,
    quarantined: BTreeMap<Digest, Quarantine>,
    /// Number of open calls by digest; not stored, as a restart ends all calls.
    #[serde(skip)]
    open: HashMap<Digest, usize>,
    /// Not stored, as it comes from the settings.
    #[serde(skip)]
    admission_policy: AdmissionPolicy,
    /// Versions that do not meet the policy, and why. Computed when the policy or a version changes, as
    /// verifying signatures would delay calls.
    #[serde(skip)]
    barred: HashMap<Digest, CatalogueError>,
}

type Result<T, E = CatalogueError> = std::result::Result<T, E>;

impl Catalogue {
    /// Whether the catalogue has versions of this function, deleted ones included.
    pub fn contains_function(&self, name: &str) -> bool {
        self.functions.contains_key(name)
    }

    /// Names of all functions, sorted.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.functions.keys().map(String::as_str)
    }

    fn function(&self, name: &str) -> Result<&Function> {
        self.functions.get(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))
    }

    /// Adds a version; no effect if it is known with the same digest. An alias can move to it after
    /// [`Catalogue::complete`].
    ///
    /// # Errors
    /// If the version exists with other content, its name is an alias, or a name is malformed.
    pub fn publish(&mut self, manifest: Manifest, digest: Digest) -> Result<()> {
        let (name, version) = (manifest.name.clone(), manifest.version.clone());
        if !Reference::is_name(&name) || !Reference::is_alias_or_version(&version) {
            return Err(CatalogueError::BadName(format!("{name}@{version}")));
        }
        let function = self.functions.entry(name.clone()).or_default();
        if function.aliases.contains_key(&version) || [CURRENT, PREVIOUS].contains(&version.as_str()) {
            return Err(CatalogueError::NameTaken(version));
        }
        match function.versions.get_mut(&version) {
            Some(known) if known.digest != digest => Err(CatalogueError::VersionTaken(known.digest)),
            Some(known) => {
                // A deleted version's content may have been removed, so it counts as incomplete.
                if known.state == VersionState::Deleted {
                    known.state = VersionState::Partial;
                }
                Ok(())
            }
            None => {
                let (manifest, state) = (Arc::new(manifest), VersionState::Partial);
                let signatures = Vec::new();
                let new = Version { digest, manifest, state, signatures };
                if let Err(e) = self.admission_policy.check(&name, &version, &new) {
                    self.barred.insert(digest, e);
                }
                function.versions.insert(version, new);
                Ok(())
            }
        }
    }

    /// Replaces the admission policy and checks all versions against it.
    pub fn set_admission_policy(&mut self, policy: AdmissionPolicy) {
        self.admission_policy = policy;
        self.barred.clear();
        for (name, function) in &self.functions {
            for (version, entry) in &function.versions {
                if let Err(e) = self.admission_policy.check(name, version, entry) {
                    self.barred.insert(entry.digest, e);
                }
            }
        }
    }

    /// Versions that do not meet the admission policy, each with the first condition that it violates.
    pub fn barred(&self) -> impl Iterator<Item = (&Digest, &CatalogueError)> {
        self.barred.iter()
    }

    /// Adds signatures to those of a version. They are stored whether or not they are valid, and are verified
    /// against the keys of the admission policy.
    ///
    /// # Errors
    /// If there is no such version.
    pub fn sign(&mut self, name: &str, version: &str, signatures: &[Signature]) -> Result<()> {
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        let found = function.versions.get_mut(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        for signature in signatures
            .iter()
            .filter(|signature| !found.signatures.contains(signature))
            .cloned()
            .collect::<Vec<_>>()
        {
            found.signatures.push(signature);
        }
        let excess = found.signatures.len().saturating_sub(MAX_SIGNATURES);
        found.signatures.drain(..excess);
        match self.admission_policy.check(name, version, found) {
            Ok(()) => self.barred.remove(&found.digest),
            Err(e) => self.barred.insert(found.digest, e),
        };
        Ok(())
    }

    /// Signatures of a version, valid or not.
    ///
    /// # Errors
    /// If there is no such version.
    pub fn signatures(&self, name: &str, version: &str) -> Result<&[Signature]> {
        let found = self.function(name)?.versions.get(version);
        found
            .map(|version| version.signatures.as_slice())
            .ok_or_else(|| CatalogueError::UnknownVersion(version.into()))
    }

    /// Checks that a version is neither in quarantine nor excluded by the admission policy.
    ///
    /// # Errors
    /// With the reason why it may not run.
    pub fn check_runnable(&self, digest: &Digest) -> Result<()> {
        match (self.quarantined.get(digest), self.barred.get(digest)) {
            (Some(found), _) => Err(CatalogueError::Quarantined(found.reason.clone())),
            (None, Some(error)) => Err(error.clone()),
            (None, None) => Ok(()),
        }
    }

    /// Records that all content of a version was just pulled or pushed and verified. Nothing else ends a
    /// quarantine.
    ///
    /// # Errors
    /// If there is no such version.
    pub fn complete(&mut self, name: &str, version: &str) -> Result<()> {
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        let found = function.versions.get_mut(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        found.state = VersionState::Whole;
        let digest = found.digest;
        self.quarantined.remove(&digest);
        Ok(())
    }

    /// Puts a version whose content is corrupt into quarantine until it is pulled or pushed again. An
    /// existing quarantine stays as it is.
    pub fn quarantine(&mut self, digest: Digest, reason: &str, at_ms: i64) {
        let found = Quarantine { reason: reason.into(), at_ms, by_operator: false };
        self.quarantined.entry(digest).or_insert(found);
    }

    /// Puts a version into quarantine on an operator's request; replaces an existing quarantine.
    pub fn quarantine_by_operator(&mut self, digest: Digest, reason: &str, at_ms: i64) {
        self.quarantined.insert(digest, Quarantine { reason: reason.into(), at_ms, by_operator: true });
    }

    /// The quarantine of a version, if there is one.
    pub fn quarantined(&self, digest: &Digest) -> Option<&Quarantine> {
        self.quarantined.get(digest)
    }

    /// Moves an alias, or creates it. With `expected`, it moves only if it is still at that revision (0 if it
    /// did not exist). Moving `current` moves `previous` to the version that `current` meant. Returns the new
    /// revision.
    ///
    /// # Errors
    /// If the version is unknown, incomplete, in quarantine or excluded by the admission policy, or the alias
    /// is not at the expected revision.
    pub fn move_alias(
        &mut self,
        name: &str,
        alias: &str,
        to: &str,
        expected: Option<u64>,
        who: &str,
        at_ms: i64,
    ) -> Result<u64> {
        if !Reference::is_alias_or_version(alias) {
            return Err(CatalogueError::BadName(alias.into()));
        }
        let function = self.function(name)?;
        if function.versions.contains_key(alias) {
            return Err(CatalogueError::NameTaken(alias.into()));
        }
        let revision = function.aliases.get(alias).map_or(0, |alias| alias.revision);
        if expected.is_some_and(|expected| expected != revision) {
            return Err(CatalogueError::Stale(revision));
        }
        let version = function.versions.get(to).ok_or_else(|| CatalogueError::UnknownVersion(to.into()))?;
        if version.state != VersionState::Whole {
            return Err(CatalogueError::Partial(to.into()));
        }
        let digest = version.digest;
        self.check_runnable(&digest)?;
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        let before = function.aliases.get(alias).map(|alias| alias.version.clone());
        if let Some(before) = before.filter(|before| alias == CURRENT && before != to) {
            function.set_alias(PREVIOUS, before, who, at_ms);
        }
        Ok(function.set_alias(alias, to.into(), who, at_ms))
    }

    /// The version that a reference means, whether or not it may run, and the revision of the alias in the
    /// reference. A name that is neither an alias nor a known version is returned as it is: it may be a
    /// version that was not pulled yet.
    ///
    /// # Errors
    /// If there is no such function, no `current`, or no such digest.
    pub fn version_of<'a>(&'a self, reference: &'a Reference) -> Result<(&'a str, Option<u64>)> {
        let function = self.function(&reference.name)?;
        let by_alias =
            |alias: &str| function.aliases.get(alias).map(|a| (a.version.as_str(), Some(a.revision)));
        let found = match &reference.selector {
            Selector::Current => by_alias(CURRENT),
            Selector::AliasOrVersion(label) => by_alias(label).or(Some((label.as_str(), None))),
            Selector::Digest(digest) => {
                let version = function.versions.iter().find(|(_, v)| v.digest == *digest);
                version.map(|(name, _)| (name.as_str(), None))
            }
        };
        found.ok_or_else(|| CatalogueError::UnknownVersion(reference.to_string()))
    }

    /// Resolves a reference to a version that may run.
    ///
    /// # Errors
    /// If it means no version, or one that is deleted, incomplete or may not run.
    pub fn resolve(&self, reference: &Reference) -> Result<Resolved> {
        let (name, revision) = self.version_of(reference)?;
        let version = self.function(&reference.name)?.versions.get(name);
        let version = version.filter(|entry| entry.state != VersionState::Deleted);
        let version = version.ok_or_else(|| CatalogueError::UnknownVersion(reference.to_string()))?;
        self.check_runnable(&version.digest)?;
        if version.state == VersionState::Partial {
            return Err(CatalogueError::Partial(name.into()));
        }
        let (digest, manifest) = (version.digest, version.manifest.clone());
        Ok(Resolved { version: name.into(), digest, manifest, revision })
    }

    /// Records an accepted call of a version: its content is kept until [`Catalogue::call_closed`].
    pub fn call_opened(&mut self, digest: Digest) {
        *self.open.entry(digest).or_default() += 1;
    }

    /// Records the end of a call that [`Catalogue::call_opened`] recorded.
    pub fn call_closed(&mut self, digest: Digest) {
        if let Some(count) = self.open.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&digest);
            }
        }
    }

    /// Deletes a version. Its open calls continue, and its content is kept until they end.
    ///
    /// # Errors
    /// If an alias means it, or there is no such version.
    pub fn delete(&mut self, name: &str, version: &str) -> Result<()> {
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        if let Some((alias, _)) = function.aliases.iter().find(|(_, a)| a.version == version) {
            return Err(CatalogueError::InUse(alias.clone()));
        }
        let found = function.versions.get_mut(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        found.state = VersionState::Deleted;
        Ok(())
    }

    /// Digests of all content that must be kept: of every version that is not deleted or has open calls.
    pub fn reachable(&self) -> BTreeSet<Digest> {
        let versions = self.functions.values().flat_map(|function| function.versions.values());
        let kept = versions
            .filter(|entry| entry.state != VersionState::Deleted || self.open.contains_key(&entry.digest));
        kept.flat_map(|entry| entry.manifest.layers.iter().map(|layer| layer.digest).chain([entry.digest]))
            .collect()
    }

    /// All layers of a version.
    ///
    /// # Errors
    /// If there is no such version.
    pub fn layers(&self, name: &str, version: &str) -> Result<Vec<LayerRef>> {
        let found = self.function(name)?.versions.get(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        Ok(found.manifest.layers.clone())
    }

    /// All versions of a function, sorted by name, deleted ones included.
    ///
    /// # Errors
    /// If there is no such function.
    pub fn versions(&self, name: &str) -> Result<Vec<VersionView>> {
        let function = self.function(name)?;
        let view = |(version, entry): (&String, &Version)| VersionView {
            version: version.clone(),
            digest: entry.digest,
            state: entry.state,
            quarantine: self.quarantined.get(&entry.digest).cloned(),
            signed_by: entry.signatures.iter().map(|signature| signature.key.clone()).collect(),
            open: self.open.get(&entry.digest).copied().unwrap_or(0),
            aliases: function
                .aliases
                .iter()
                .filter(|(_, alias)| alias.version == *version)
                .map(|(name, _)| name.clone())
                .collect(),
        };
        Ok(function.versions.iter().map(view).collect())
    }

    /// All aliases of a function, sorted by name.
    ///
    /// # Errors
    /// If there is no such function.
    pub fn aliases(&self, name: &str) -> Result<Vec<AliasView>> {
        let view = |(name, alias): (&String, &Alias)| AliasView {
            alias: name.clone(),
            version: alias.version.clone(),
            revision: alias.revision,
        };
        Ok(self.function(name)?.aliases.iter().map(view).collect())
    }

    /// Moves of an alias, oldest first.
    ///
    /// # Errors
    /// If there is no such alias.
    pub fn history(&self, name: &str, alias: &str) -> Result<&[AliasMove]> {
        let alias_found = self.function(name)?.aliases.get(alias);
        alias_found
            .map(|alias| alias.history.as_slice())
            .ok_or_else(|| CatalogueError::UnknownVersion(alias.into()))
    }
}

impl Function {
    fn set_alias(&mut self, alias: &str, to: String, who: &str, at_ms: i64) -> u64 {
        let entry = self.aliases.entry(alias.into()).or_default();
        let from =
            Some(std::mem::replace(&mut entry.version, to.clone())).filter(|before| !before.is_empty());
        entry.revision += 1;
        entry.history.push(AliasMove { revision: entry.revision, at_ms, who: who.into(), from, to });
        if entry.history.len() > MAX_HISTORY {
            entry.history.remove(0);
        }
        entry.revision
    }
}
