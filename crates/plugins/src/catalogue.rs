//! The catalogue: versions, digests, aliases and their history, quarantine, and what must not be thrown away.
//!
//! Invariants, each with a test: an alias points to a whole version that is not in quarantine, or it does not move; of two
//! who move it at once, the second is told; a version's digest never changes; content that an alias, a kept
//! version or an open call needs is never given up. History is ordered by its count, not by the clock, which may jump.

use crate::digest::Digest;
use crate::manifest::{ClassRights, LayerRef, Manifest};
use crate::reference::{Reference, Selector};
use crate::signature::{KeyList, Signature};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// The alias that a bare name means.
pub const CURRENT: &str = "current";
/// The alias that follows `current` by one step.
pub const PREVIOUS: &str = "previous";
/// Moves that an alias's history keeps.
const HISTORY: usize = 1_000;
/// Signatures that a version keeps; the oldest give way.
const SIGNATURES: usize = 32;

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
    #[serde(default)]
    pub held: bool,
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

/// Why something cannot be done or found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogueError {
    /// No such function.
    UnknownFunction(String),
    /// No such version or alias.
    UnknownVersion(String),
    /// The version was published with other content; versions never change.
    VersionTaken(Digest),
    /// An alias and a version may not have the same name.
    NameTaken(String),
    /// Not all of its content is here.
    Partial(String),
    /// It is in quarantine.
    Quarantined(String),
    /// No key of the list vouches for it.
    Unsigned(String),
    /// It claims what its tenant, or nobody, may at this site.
    NotAllowed(String),
    /// Somebody else moved the alias in between; it is at this revision now.
    Stale(u64),
    /// An alias means this version.
    InUse(String),
    /// A name, alias or version that cannot be one.
    BadName(String),
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogueError::UnknownFunction(name) => write!(f, "there is no plug-in {name}"),
            CatalogueError::UnknownVersion(name) => write!(f, "there is no version or alias {name}"),
            CatalogueError::VersionTaken(digest) => {
                write!(f, "this version is published already, as {digest}")
            }
            CatalogueError::NameTaken(name) => write!(f, "{name} is an alias or a version already"),
            CatalogueError::Partial(version) => write!(f, "not all of version {version} is here"),
            CatalogueError::Quarantined(reason) => write!(f, "in quarantine: {reason}"),
            CatalogueError::Unsigned(version) => {
                write!(f, "no key of the list has signed version {version}")
            }
            CatalogueError::NotAllowed(words) => f.write_str(words),
            CatalogueError::Stale(revision) => {
                write!(f, "somebody else moved this alias in between; it is at revision {revision}")
            }
            CatalogueError::InUse(alias) => write!(f, "alias {alias} means this version"),
            CatalogueError::BadName(name) => write!(f, "{name:?} cannot be a name here"),
        }
    }
}

impl std::error::Error for CatalogueError {}

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

/// What a version must fulfil to run at a site.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The keys of which one must vouch for it; `None` where none is asked for.
    pub keys: Option<KeyList>,
    /// The classes and who may use which; `None` where that is not known.
    pub rights: Option<ClassRights>,
}

impl Terms {
    fn check(&self, name: &str, version: &str, v: &Version) -> Res<()> {
        let problems = self.rights.as_ref().map(|r| r.problems(&format!("{name}@{version}"), &v.manifest));
        if let Some(problem) = problems.into_iter().flatten().next() {
            return Err(CatalogueError::NotAllowed(problem.to_string()));
        }
        match self.keys.as_ref().map(|keys| keys.vouched(&v.digest, &v.signatures)) {
            Some(None) => Err(CatalogueError::Unsigned(version.into())),
            Some(Some(_)) | None => Ok(()),
        }
    }
}

/// See the module's documentation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalogue {
    functions: BTreeMap<String, Function>,
    quarantined: BTreeMap<Digest, Quarantine>,
    /// Calls that are open, by digest; not kept over a restart, which ends them.
    #[serde(skip)]
    open: HashMap<Digest, usize>,
    /// What a version must fulfil to run here; not kept, as it comes from the settings.
    #[serde(skip)]
    terms: Terms,
    /// Versions that do not, and why; worked out when terms or versions change, as a call must not wait for it.
    #[serde(skip)]
    barred: HashMap<Digest, CatalogueError>,
}

type Res<T> = Result<T, CatalogueError>;

impl Catalogue {
    /// Whether there is a function of this name.
    pub fn knows(&self, name: &str) -> bool {
        self.functions.contains_key(name)
    }

    /// The functions' names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.functions.keys().map(String::as_str)
    }

    fn function(&self, name: &str) -> Res<&Function> {
        self.functions.get(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))
    }

    /// Adds a version, or says again what is known. Until [`Catalogue::complete`] no alias can mean it.
    ///
    /// # Errors
    /// When the version has other content, or its name is an alias's.
    pub fn publish(&mut self, manifest: Manifest, digest: Digest) -> Res<()> {
        let (name, version) = (manifest.name.clone(), manifest.version.clone());
        if !Reference::is_name(&name) || !Reference::is_word(&version) {
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
                if let Err(e) = self.terms.check(&name, &version, &new) {
                    self.barred.insert(digest, e);
                }
                function.versions.insert(version, new);
                Ok(())
            }
        }
    }

    /// From now on a version runs only where it fulfils these terms.
    pub fn require(&mut self, terms: Terms) {
        self.terms = terms;
        self.barred.clear();
        for (name, function) in &self.functions {
            for (version, v) in &function.versions {
                if let Err(e) = self.terms.check(name, version, v) {
                    self.barred.insert(v.digest, e);
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
    pub fn sign(&mut self, name: &str, version: &str, signatures: &[Signature]) -> Res<()> {
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        let found = function.versions.get_mut(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        for signature in
            signatures.iter().filter(|s| !found.signatures.contains(s)).cloned().collect::<Vec<_>>()
        {
            found.signatures.push(signature);
        }
        let excess = found.signatures.len().saturating_sub(SIGNATURES);
        found.signatures.drain(..excess);
        match self.terms.check(name, version, found) {
            Ok(()) => self.barred.remove(&found.digest),
            Err(e) => self.barred.insert(found.digest, e),
        };
        Ok(())
    }

    /// The signatures of a version.
    ///
    /// # Errors
    /// When there is no such version.
    pub fn signatures(&self, name: &str, version: &str) -> Res<&[Signature]> {
        let found = self.function(name)?.versions.get(version);
        found.map(|v| v.signatures.as_slice()).ok_or_else(|| CatalogueError::UnknownVersion(version.into()))
    }

    /// Whether a version's content may run now.
    ///
    /// # Errors
    /// With the reason, where it may not.
    pub fn may_run(&self, digest: &Digest) -> Res<()> {
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
    pub fn complete(&mut self, name: &str, version: &str) -> Res<()> {
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
        let found = Quarantine { reason: reason.into(), at_ms, held: false };
        self.quarantined.entry(digest).or_insert(found);
    }

    /// An operator takes a digest out of use.
    pub fn hold(&mut self, digest: Digest, reason: &str, at_ms: i64) {
        self.quarantined.insert(digest, Quarantine { reason: reason.into(), at_ms, held: true });
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
    ) -> Res<u64> {
        if !Reference::is_word(alias) {
            return Err(CatalogueError::BadName(alias.into()));
        }
        let function = self.function(name)?;
        if function.versions.contains_key(alias) {
            return Err(CatalogueError::NameTaken(alias.into()));
        }
        let revision = function.aliases.get(alias).map_or(0, |a| a.revision);
        if expected.is_some_and(|e| e != revision) {
            return Err(CatalogueError::Stale(revision));
        }
        let version = function.versions.get(to).ok_or_else(|| CatalogueError::UnknownVersion(to.into()))?;
        if version.state != VersionState::Whole {
            return Err(CatalogueError::Partial(to.into()));
        }
        let digest = version.digest;
        self.may_run(&digest)?;
        let function =
            self.functions.get_mut(name).ok_or_else(|| CatalogueError::UnknownFunction(name.into()))?;
        let before = function.aliases.get(alias).map(|a| a.version.clone());
        if let Some(before) = before.filter(|b| alias == CURRENT && b != to) {
            function.set(PREVIOUS, before, who, at_ms);
        }
        Ok(function.set(alias, to.into(), who, at_ms))
    }

    /// The version that a reference means, whether it may run or not, and the revision of the alias by which it was found.
    /// For a word that is neither version nor alias, that word: it may be a version that is not here yet.
    ///
    /// # Errors
    /// When there is no such function, no `current`, or no such digest.
    pub fn version_of<'a>(&'a self, reference: &'a Reference) -> Res<(&'a str, Option<u64>)> {
        let function = self.function(&reference.name)?;
        let by_alias =
            |alias: &str| function.aliases.get(alias).map(|a| (a.version.as_str(), Some(a.revision)));
        let found = match &reference.selector {
            Selector::Current => by_alias(CURRENT),
            Selector::Word(word) => by_alias(word).or(Some((word.as_str(), None))),
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
    pub fn resolve(&self, reference: &Reference) -> Res<Resolved> {
        let (name, revision) = self.version_of(reference)?;
        let version = self.function(&reference.name)?.versions.get(name);
        let version = version.filter(|v| v.state != VersionState::Deleted);
        let version = version.ok_or_else(|| CatalogueError::UnknownVersion(reference.to_string()))?;
        self.may_run(&version.digest)?;
        if version.state == VersionState::Partial {
            return Err(CatalogueError::Partial(name.into()));
        }
        let (digest, manifest) = (version.digest, version.manifest.clone());
        Ok(Resolved { version: name.into(), digest, manifest, revision })
    }

    /// A call of a digest was taken: its content is needed until [`Catalogue::closed`].
    pub fn opened(&mut self, digest: Digest) {
        *self.open.entry(digest).or_default() += 1;
    }

    /// A call of a digest ended.
    pub fn closed(&mut self, digest: Digest) {
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
    pub fn delete(&mut self, name: &str, version: &str) -> Res<()> {
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
        let versions = self.functions.values().flat_map(|f| f.versions.values());
        let kept = versions.filter(|v| v.state != VersionState::Deleted || self.open.contains_key(&v.digest));
        kept.flat_map(|v| v.manifest.layers.iter().map(|l| l.digest).chain([v.digest])).collect()
    }

    /// Every layer of a version, for pulls and checks.
    ///
    /// # Errors
    /// When there is no such version.
    pub fn layers(&self, name: &str, version: &str) -> Res<Vec<LayerRef>> {
        let found = self.function(name)?.versions.get(version);
        let found = found.ok_or_else(|| CatalogueError::UnknownVersion(version.into()))?;
        Ok(found.manifest.layers.clone())
    }

    /// The versions of a function.
    ///
    /// # Errors
    /// When there is no such function.
    pub fn versions(&self, name: &str) -> Res<Vec<VersionView>> {
        let function = self.function(name)?;
        let view = |(version, v): (&String, &Version)| VersionView {
            version: version.clone(),
            digest: v.digest,
            state: v.state,
            quarantine: self.quarantined.get(&v.digest).cloned(),
            signed_by: v.signatures.iter().map(|s| s.key.clone()).collect(),
            open: self.open.get(&v.digest).copied().unwrap_or(0),
            aliases: function
                .aliases
                .iter()
                .filter(|(_, a)| a.version == *version)
                .map(|(n, _)| n.clone())
                .collect(),
        };
        Ok(function.versions.iter().map(view).collect())
    }

    /// The aliases of a function.
    ///
    /// # Errors
    /// When there is no such function.
    pub fn aliases(&self, name: &str) -> Res<Vec<AliasView>> {
        let view = |(alias, a): (&String, &Alias)| AliasView {
            alias: alias.clone(),
            version: a.version.clone(),
            revision: a.revision,
        };
        Ok(self.function(name)?.aliases.iter().map(view).collect())
    }

    /// An alias's moves, oldest first.
    ///
    /// # Errors
    /// When there is no such alias.
    pub fn history(&self, name: &str, alias: &str) -> Res<&[AliasMove]> {
        let alias_found = self.function(name)?.aliases.get(alias);
        alias_found.map(|a| a.history.as_slice()).ok_or_else(|| CatalogueError::UnknownVersion(alias.into()))
    }
}

impl Function {
    fn set(&mut self, alias: &str, to: String, who: &str, at_ms: i64) -> u64 {
        let entry = self.aliases.entry(alias.into()).or_default();
        let from = Some(std::mem::replace(&mut entry.version, to.clone())).filter(|f| !f.is_empty());
        entry.revision += 1;
        entry.history.push(AliasMove { revision: entry.revision, at_ms, who: who.into(), from, to });
        if entry.history.len() > HISTORY {
            entry.history.remove(0);
        }
        entry.revision
    }
}
