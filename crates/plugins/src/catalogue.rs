//! The catalogue: versions, digests, aliases and their history, quarantine, and what must not be thrown away.
//!
//! Invariants, each with a test: an alias points to a whole version that is not in quarantine, or it does not move; of two
//! who move it at once, the second is told; a version's digest never changes; content that an alias, a kept
//! version or an open call needs is never given up. History is ordered by its count, not by the clock, which may jump.

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

/// The alias that a bare name means.
pub const CURRENT: &str = "current";
/// The alias that follows `current` by one step.
pub const PREVIOUS: &str = "previous";
/// Moves that an alias's history keeps; the oldest are dropped.
const MAX_HISTORY: usize = 1_000;
/// Signatures that a version keeps; the oldest are dropped.
const MAX_SIGNATURES: usize = 32;

/// How much of a version is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Its manifest is known, some of its content is not here yet.
    Partial,
    /// All of it is here and verified.
    Whole,
    /// It is deleted; its content stays while a call that is open needs it.
    Deleted,
}

/// Why a version runs nowhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// What was found.
    pub reason: String,
    /// When, in milliseconds of the Unix clock.
    pub at_ms: i64,
    /// An operator put it there: only an operator's pull or push lifts it.
    #[serde(default, rename = "held")]
    pub by_operator: bool,
}

/// One move of an alias.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AliasMove {
    /// Its count from 1, which orders the history.
    pub revision: u64,
    /// Milliseconds of the Unix clock, as the mover's machine showed it.
    pub at_ms: i64,
    /// Who moved it.
    pub who: String,
    /// The version before.
    pub from: Option<String>,
    /// The version from then on.
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

/// What a reference means now.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// The version's name.
    pub version: String,
    /// The digest of its manifest, which names all its content.
    pub digest: Digest,
    /// What it says of itself.
    pub manifest: Arc<Manifest>,
    /// The revision of the alias by which it was found.
    pub revision: Option<u64>,
}

/// What a version must fulfil to run at a site.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    /// The keys of which one must vouch for it; `None` where none is asked for.
    pub keys: Option<KeyList>,
    /// The classes and who may use which; `None` where that is not known.
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

/// All versions and aliases of all functions, as stored in the folder.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalogue {
    functions: BTreeMap<String, Function>,
    quarantined: BTreeMap<Digest, Quarantine>,
    /// Calls that are open, by digest; not kept over a restart, which ends them.
    #[serde(skip)]
    open: HashMap<Digest, usize>,
    /// What a version must fulfil to run here; not kept, as it comes from the settings.
    #[serde(skip)]
    admission_policy: AdmissionPolicy,
    /// Versions that do not, and why; worked out when terms or versions change, as a call must not wait for it.
    #[serde(skip)]
    barred: HashMap<Digest, CatalogueError>,
}

type Result<T, E = CatalogueError> = std::result::Result<T, E>;

impl Catalogue {
    /// Whether there is a function of this name.
    pub fn contains_function(&self, name: &str) -> bool {
        self.functions.contains_key(name)
    }

    /// The functions' names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.functions.keys().map(String::as_str)
    }

    fn function(&self, name: &str) -> Result<&Function> {
        self.functions.get(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))
    }

    /// Adds a version, or says again what is known. Until [`Catalogue::complete`] no alias can mean it.
    ///
    /// # Errors
    /// When the version has other content, or its name is an alias's.
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
                // Deleted and published again: its content may be gone.
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

    /// From now on a version runs only where it fulfils these terms.
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

    /// Versions that do not run here, with the reason.
    pub fn barred(&self) -> impl Iterator<Item = (&Digest, &CatalogueError)> {
        self.barred.iter()
    }

    /// Notes signatures of a version, beside those that are known. Whether they are good is asked when it is to run.
    ///
    /// # Errors
    /// When there is no such version.
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

    /// The signatures of a version.
    ///
    /// # Errors
    /// When there is no such version.
    pub fn signatures(&self, name: &str, version: &str) -> Result<&[Signature]> {
        let found = self.function(name)?.versions.get(version);
        found
            .map(|version| version.signatures.as_slice())
            .ok_or_else(|| CatalogueError::UnknownVersion(version.into()))
    }

    /// Whether a version's content may run now.
    ///
    /// # Errors
    /// With the reason, where it may not.
    pub fn check_runnable(&self, digest: &Digest) -> Result<()> {
        match (self.quarantined.get(digest), self.barred.get(digest)) {
            (Some(found), _) => Err(CatalogueError::Quarantined(found.reason.clone())),
            (None, Some(why)) => Err(why.clone()),
            (None, None) => Ok(()),
        }
    }

    /// All content of a version was pulled or pushed and verified just now. That, and nothing else, lifts a quarantine.
    ///
    /// # Errors
    /// When there is no such version.
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

    /// Takes a digest out of use, until it is whole again by a clean pull.
    pub fn quarantine(&mut self, digest: Digest, reason: &str, at_ms: i64) {
        let found = Quarantine { reason: reason.into(), at_ms, by_operator: false };
        self.quarantined.entry(digest).or_insert(found);
    }

    /// An operator takes a digest out of use.
    pub fn quarantine_by_operator(&mut self, digest: Digest, reason: &str, at_ms: i64) {
        self.quarantined.insert(digest, Quarantine { reason: reason.into(), at_ms, by_operator: true });
    }

    /// Why a digest is in quarantine, if it is.
    pub fn quarantined(&self, digest: &Digest) -> Option<&Quarantine> {
        self.quarantined.get(digest)
    }

    /// Moves an alias, or makes it. `expected` is the revision that the mover saw (0 where there was none); without it
    /// the alias moves whatever it is. `current` takes `previous` along by one step.
    ///
    /// # Errors
    /// When the version is unknown, not whole or in quarantine, or somebody else moved the alias in between.
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
            function.set(PREVIOUS, before, who, at_ms);
        }
        Ok(function.set(alias, to.into(), who, at_ms))
    }

    /// The version that a reference means, whether it may run or not, and the revision of the alias by which it was found.
    /// For a word that is neither version nor alias, that word: it may be a version that is not here yet.
    ///
    /// # Errors
    /// When there is no such function, no `current`, or no such digest.
    pub fn version_of<'a>(&'a self, reference: &'a Reference) -> Result<(&'a str, Option<u64>)> {
        let function = self.function(&reference.name)?;
        let by_alias =
            |alias: &str| function.aliases.get(alias).map(|a| (a.version.as_str(), Some(a.revision)));
        let found = match &reference.selector {
            Selector::Current => by_alias(CURRENT),
            Selector::AliasOrVersion(word) => by_alias(word).or(Some((word.as_str(), None))),
            Selector::Digest(digest) => {
                let version = function.versions.iter().find(|(_, v)| v.digest == *digest);
                version.map(|(name, _)| (name.as_str(), None))
            }
        };
        found.ok_or_else(|| CatalogueError::UnknownVersion(reference.to_string()))
    }

    /// What a reference means now.
    ///
    /// # Errors
    /// When it means nothing, or nothing that may run.
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

    /// A call of a digest was taken: its content is needed until [`Catalogue::call_closed`].
    pub fn call_opened(&mut self, digest: Digest) {
        *self.open.entry(digest).or_default() += 1;
    }

    /// A call of a digest ended.
    pub fn call_closed(&mut self, digest: Digest) {
        if let Some(count) = self.open.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&digest);
            }
        }
    }

    /// Deletes a version. Calls that are open for it go on, and its content stays until they end.
    ///
    /// # Errors
    /// When an alias means it, or there is none.
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

    /// All content that must be kept: of every version that is not deleted, and of those with calls open.
    pub fn reachable(&self) -> BTreeSet<Digest> {
        let versions = self.functions.values().flat_map(|function| function.versions.values());
        let kept = versions
            .filter(|entry| entry.state != VersionState::Deleted || self.open.contains_key(&entry.digest));
        kept.flat_map(|entry| entry.manifest.layers.iter().map(|layer| layer.digest).chain([entry.digest]))
            .collect()
    }

    /// Every layer of a version, for pulls and checks.
    ///
    /// # Errors
    /// When there is no such version.
    pub fn layers(&self, name: &str, version: &str) -> Result<Vec<LayerRef>> {
        let found = self.function(name)?.versions.get(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        Ok(found.manifest.layers.clone())
    }

    /// The versions of a function.
    ///
    /// # Errors
    /// When there is no such function.
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

    /// The aliases of a function.
    ///
    /// # Errors
    /// When there is no such function.
    pub fn aliases(&self, name: &str) -> Result<Vec<AliasView>> {
        let view = |(name, alias): (&String, &Alias)| AliasView {
            alias: name.clone(),
            version: alias.version.clone(),
            revision: alias.revision,
        };
        Ok(self.function(name)?.aliases.iter().map(view).collect())
    }

    /// An alias's moves, oldest first.
    ///
    /// # Errors
    /// When there is no such alias.
    pub fn history(&self, name: &str, alias: &str) -> Result<&[AliasMove]> {
        let alias_found = self.function(name)?.aliases.get(alias);
        alias_found
            .map(|alias| alias.history.as_slice())
            .ok_or_else(|| CatalogueError::UnknownVersion(alias.into()))
    }
}

impl Function {
    fn set(&mut self, alias: &str, to: String, who: &str, at_ms: i64) -> u64 {
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
