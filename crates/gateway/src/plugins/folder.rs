//! The folder of plug-ins, shared by a gateway and the `plugin` commands: blobs and the catalogue. Changes are serialised by a
//! lock file, so that of two operators the second sees what the first did.

use slatevalve_blobs::{BlobError, BlobStore, Disk};
use slatevalve_oci::{Package, Pulled};
use slatevalve_plugins::{
    check_manifest, Catalogue, CatalogueError, ClassRights, Digest, Manifest, ManifestProblem, Reference,
    Selector, VersionState,
};
use std::collections::HashMap;
use std::fmt;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The document that holds the catalogue.
const CATALOGUE: &str = "catalogue.json";
/// A lock file older than this was left by a process that crashed.
const STALE_LOCK_AGE: Duration = Duration::from_secs(30);
/// A change gives up after waiting this long for the lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a lock that is held is tried again.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What is wrong with the folder, or with what was asked of it.
#[derive(Debug)]
pub enum FolderError {
    /// The folder or a file in it.
    Io(PathBuf, io::Error),
    /// A blob or document.
    Blob(BlobError),
    /// The catalogue's document is no catalogue.
    Unreadable(String),
    /// What was asked cannot be.
    Catalogue(CatalogueError),
    /// A manifest.
    Manifest(Vec<ManifestProblem>),
    /// A layer's file is not one that the manifest names.
    Layer(String),
    /// Somebody else is changing the folder.
    Locked(PathBuf),
}

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FolderError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            FolderError::Blob(e) => e.fmt(f),
            FolderError::Unreadable(words) => write!(f, "{CATALOGUE}: {words}"),
            FolderError::Catalogue(e) => e.fmt(f),
            FolderError::Manifest(problems) => {
                let words: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&words.join("\n"))
            }
            FolderError::Layer(words) => f.write_str(words),
            FolderError::Locked(path) => write!(f, "{} is held by somebody else", path.display()),
        }
    }
}

impl std::error::Error for FolderError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            FolderError::Io(_, e) => Some(e),
            FolderError::Blob(e) => Some(e),
            FolderError::Catalogue(e) => Some(e),
            FolderError::Unreadable(_)
            | FolderError::Manifest(_)
            | FolderError::Layer(_)
            | FolderError::Locked(_) => None,
        }
    }
}

impl From<BlobError> for FolderError {
    fn from(e: BlobError) -> Self {
        FolderError::Blob(e)
    }
}

impl From<CatalogueError> for FolderError {
    fn from(e: CatalogueError) -> Self {
        FolderError::Catalogue(e)
    }
}

type Result<T, E = FolderError> = std::result::Result<T, E>;

/// Milliseconds of the Unix clock, for histories.
pub fn unix_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}

/// A folder of plug-ins, opened.
pub struct PluginFolder {
    path: PathBuf,
    /// The blobs.
    pub store: BlobStore<Disk>,
}

/// The lock file of the folder; removed when dropped, stale after [`STALE_LOCK_AGE`] where the process crashed.
struct Lock(PathBuf);

impl Drop for Lock {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

impl PluginFolder {
    /// Opens a folder, which is made where there is none.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn open(path: &Path) -> Result<Self> {
        let disk = Disk::new(path).map_err(|e| FolderError::Io(path.into(), e))?;
        Ok(PluginFolder { path: path.into(), store: BlobStore::new(disk) })
    }

    /// The catalogue as it stands; an empty one where none was written yet.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn catalogue(&self) -> Result<Catalogue> {
        match self.store.document(CATALOGUE) {
            Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| FolderError::Unreadable(e.to_string())),
            Err(BlobError::Missing) => Ok(Catalogue::default()),
            Err(e) => Err(e.into()),
        }
    }

    /// Changes the catalogue: reads it, lets `change` work on it, writes it, all under the lock.
    ///
    /// # Errors
    /// What `change` says, in which case nothing is written; or what the folder says.
    pub fn change<T>(
        &mut self,
        change: impl FnOnce(&mut Catalogue, &mut BlobStore<Disk>) -> Result<T>,
    ) -> Result<T> {
        let _lock = self.lock()?;
        let mut catalogue = self.catalogue()?;
        let done = change(&mut catalogue, &mut self.store)?;
        let bytes =
            serde_json::to_vec_pretty(&catalogue).map_err(|e| FolderError::Unreadable(e.to_string()))?;
        self.store.write_document(CATALOGUE, &bytes)?;
        Ok(done)
    }

    fn lock(&self) -> Result<Lock> {
        let path = self.path.join("lock");
        let start = Instant::now();
        loop {
            match OpenOptions::new().write(true).create_new(true).open(&path) {
                Ok(_) => return Ok(Lock(path)),
                Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(FolderError::Io(path, e)),
                Err(_) => {}
            }
            let modified = fs::metadata(&path).and_then(|metadata| metadata.modified()).ok();
            let age = modified.and_then(|time| time.elapsed().ok());
            if age.is_some_and(|age| age > STALE_LOCK_AGE) {
                let _ = fs::remove_file(&path);
            } else if start.elapsed() > LOCK_TIMEOUT {
                return Err(FolderError::Locked(path));
            } else {
                std::thread::sleep(LOCK_POLL_INTERVAL);
            }
        }
    }

    /// Takes a version in: manifest checked, layers matched by digest and written, then the catalogue.
    ///
    /// # Errors
    /// With everything that is wrong with the manifest, the layer that is missing, or what the folder says.
    pub fn push(
        &mut self,
        manifest: &Path,
        layers: &[PathBuf],
        rights: Option<&ClassRights>,
    ) -> Result<(Manifest, Digest)> {
        let read = |path: &Path| fs::read(path).map_err(|e| FolderError::Io(path.into(), e));
        let bytes = read(manifest)?;
        let (checked, digest) =
            check_manifest(&manifest.display().to_string(), &bytes, rights).map_err(FolderError::Manifest)?;
        let mut contents = Vec::new();
        for path in layers {
            let content = read(path)?;
            if !checked.layers.iter().any(|layer| layer.digest == Digest::of(&content)) {
                return Err(FolderError::Layer(format!(
                    "{}: the manifest names no such layer",
                    path.display()
                )));
            }
            contents.push(content);
        }
        self.change(|catalogue, store| {
            catalogue.publish(checked.clone(), digest)?;
            for content in &contents {
                store.put(content)?;
            }
            store.put(&bytes)?;
            complete(catalogue, store, &checked)?;
            Ok((checked, digest))
        })
    }

    /// Takes a version in whose content a pull brought.
    ///
    /// # Errors
    /// When the version has other content here, or what came was lost in between.
    pub fn take_pulled(&mut self, pulled: Pulled) -> Result<()> {
        self.change(|catalogue, store| {
            catalogue.publish(pulled.manifest.clone(), pulled.digest)?;
            store.read(&pulled.digest)?;
            complete(catalogue, store, &pulled.manifest)?;
            let (name, version) = (&pulled.manifest.name, &pulled.manifest.version);
            Ok(catalogue.sign(name, version, &pulled.signatures)?)
        })
    }

    /// A version as it goes to a registry, all of it read and verified.
    ///
    /// # Errors
    /// When there is no such version, or its content is not whole.
    pub fn package(&mut self, name: &str, version: &str) -> Result<Package> {
        let catalogue = self.catalogue()?;
        let reference = Reference { name: name.into(), selector: Selector::AliasOrVersion(version.into()) };
        let found = catalogue.resolve(&reference)?;
        let config = self.store.read(&found.digest)?;
        let layers = found.manifest.layers.iter().map(|layer| Ok(self.store.read(&layer.digest)?.into()));
        let layers = layers.collect::<Result<_>>()?;
        let signatures = catalogue.signatures(name, &found.version)?.to_vec();
        let manifest = Manifest::clone(&found.manifest);
        Ok(Package { manifest, config: config.into(), layers, signatures })
    }
}

/// Marks a version whole once all that its manifest names is here, verified.
fn complete(catalogue: &mut Catalogue, store: &mut BlobStore<Disk>, manifest: &Manifest) -> Result<()> {
    for layer in &manifest.layers {
        match store.read(&layer.digest) {
            Ok(content) if content.len() as u64 == layer.size => {}
            Ok(content) => {
                let words = format!("layer {}: {} bytes, not {}", layer.digest, content.len(), layer.size);
                return Err(FolderError::Layer(words));
            }
            Err(e) => return Err(FolderError::Layer(format!("layer {}: {e}", layer.digest))),
        }
    }
    Ok(catalogue.complete(&manifest.name, &manifest.version)?)
}

/// A version that a verification put into quarantine.
pub struct QuarantinedVersion {
    /// NAME@VERSION.
    pub version: String,
    /// The version's digest.
    pub digest: Digest,
    /// The blob that is missing or corrupt, and how.
    pub reason: String,
}

/// Checks all content of all whole versions and puts into quarantine what is missing or corrupt; returns those versions.
/// `progress` is called with how many versions are done, and of how many.
pub fn verify(
    catalogue: &mut Catalogue,
    store: &mut BlobStore<Disk>,
    at_ms: i64,
    progress: &mut dyn FnMut((u64, u64)),
) -> Vec<QuarantinedVersion> {
    let all = whole_versions(catalogue);
    let mut found = Vec::new();
    // Versions share layers: each is read once.
    let mut checked: HashMap<Digest, Option<String>> = HashMap::new();
    for (index, WholeVersion { name, version, digest }) in all.iter().enumerate() {
        let layers = catalogue.layers(name, version).unwrap_or_default();
        let mut digests = layers.iter().map(|layer| layer.digest).chain([*digest]);
        let mut check = |blob: Digest| store.read(&blob).err().map(|error| format!("{blob}: {error}"));
        if let Some(reason) =
            digests.find_map(|blob| checked.entry(blob).or_insert_with(|| check(blob)).clone())
        {
            catalogue.quarantine(*digest, &reason, at_ms);
            found.push(QuarantinedVersion { version: format!("{name}@{version}"), digest: *digest, reason });
        }
        progress((index as u64 + 1, all.len() as u64));
    }
    found
}

/// A version all of whose content is in the folder.
pub struct WholeVersion {
    /// The plug-in's name.
    pub name: String,
    /// The version.
    pub version: String,
    /// Its digest.
    pub digest: Digest,
}

/// Every version that is whole.
pub fn whole_versions(catalogue: &Catalogue) -> Vec<WholeVersion> {
    let mut all = Vec::new();
    for name in catalogue.names() {
        let versions = catalogue.versions(name).unwrap_or_default().into_iter();
        let whole = versions.filter(|view| view.state == VersionState::Whole);
        all.extend(whole.map(|view| WholeVersion {
            name: name.to_string(),
            version: view.version,
            digest: view.digest,
        }));
    }
    all
}
