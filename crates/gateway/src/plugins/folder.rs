//! The folder of plug-ins, shared by a gateway and the `plugin` commands: blobs and the catalogue. A lock
//! file serialises changes, so that concurrent commands never overwrite each other's changes.

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

/// Name of the document that holds the catalogue.
const CATALOGUE: &str = "catalogue.json";
/// A lock file older than this was left behind by a process that crashed, and is removed.
const STALE_LOCK_AGE: Duration = Duration::from_secs(30);
/// A change fails after waiting this long for the lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between attempts to take the lock.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why reading or changing the folder failed.
#[derive(Debug)]
pub enum FolderError {
    /// A file or directory cannot be read or written.
    Io(PathBuf, io::Error),
    /// A blob or document cannot be read or written, or is corrupt.
    Blob(BlobError),
    /// The catalogue's document cannot be parsed or serialized.
    Unreadable(String),
    /// The catalogue refused the operation.
    Catalogue(CatalogueError),
    /// The manifest is invalid; holds all violations.
    Manifest(Vec<ManifestProblem>),
    /// A layer does not match the manifest, or a reference is malformed. Holds the whole message.
    Layer(String),
    /// Another process held the lock file until the timeout.
    Locked(PathBuf),
}

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FolderError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            FolderError::Blob(e) => e.fmt(f),
            FolderError::Unreadable(message) => write!(f, "{CATALOGUE}: {message}"),
            FolderError::Catalogue(e) => e.fmt(f),
            FolderError::Manifest(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            FolderError::Layer(message) => f.write_str(message),
            FolderError::Locked(path) => write!(f, "{}: the lock is held by another process", path.display()),
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

/// Current time in milliseconds since the Unix epoch, for histories; 0 if the clock is before it.
pub fn unix_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}

/// An open folder of plug-ins.
pub struct PluginFolder {
    path: PathBuf,
    /// The content, by digest.
    pub store: BlobStore<Disk>,
}

/// The lock file of the folder; removed when dropped, stale after [`STALE_LOCK_AGE`] where the process
/// crashed.
struct Lock(PathBuf);

impl Drop for Lock {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

impl PluginFolder {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn open(path: &Path) -> Result<Self> {
        let disk = Disk::new(path).map_err(|e| FolderError::Io(path.into(), e))?;
        Ok(PluginFolder { path: path.into(), store: BlobStore::new(disk) })
    }

    /// Reads the catalogue; returns an empty one if none was written yet.
    ///
    /// # Errors
    /// If it cannot be read or parsed.
    pub fn catalogue(&self) -> Result<Catalogue> {
        match self.store.document(CATALOGUE) {
            Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| FolderError::Unreadable(e.to_string())),
            Err(BlobError::Missing) => Ok(Catalogue::default()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads the catalogue, applies `change` to it and writes it, while holding the lock.
    ///
    /// # Errors
    /// Any error of `change`, in which case the catalogue is not written; or if the lock cannot be taken, or
    /// the catalogue cannot be read or written.
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

    /// Adds a version from files: checks the manifest, matches the layers by digest, and stores them before
    /// the catalogue.
    ///
    /// # Errors
    /// If the manifest is invalid, a layer is missing or not named by the manifest, or the folder cannot be
    /// changed.
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

    /// Adds a version whose content a pull has stored.
    ///
    /// # Errors
    /// If the version exists with other content, or content that was pulled is missing or corrupt.
    pub fn add_pulled(&mut self, pulled: Pulled) -> Result<()> {
        self.change(|catalogue, store| {
            catalogue.publish(pulled.manifest.clone(), pulled.digest)?;
            store.read(&pulled.digest)?;
            complete(catalogue, store, &pulled.manifest)?;
            let (name, version) = (&pulled.manifest.name, &pulled.manifest.version);
            Ok(catalogue.sign(name, version, &pulled.signatures)?)
        })
    }

    /// Reads and verifies all content of a version, to be pushed to a registry.
    ///
    /// # Errors
    /// If there is no such version, it may not run, or content is missing or corrupt.
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

/// Verifies all layers of a version and marks it complete.
fn complete(catalogue: &mut Catalogue, store: &mut BlobStore<Disk>, manifest: &Manifest) -> Result<()> {
    for layer in &manifest.layers {
        match store.read(&layer.digest) {
            Ok(content) if content.len() as u64 == layer.size => {}
            Ok(content) => {
                let (found, expected) = (content.len(), layer.size);
                let message = format!("layer {}: {found} bytes, not {expected}", layer.digest);
                return Err(FolderError::Layer(message));
            }
            Err(e) => return Err(FolderError::Layer(format!("layer {}: {e}", layer.digest))),
        }
    }
    Ok(catalogue.complete(&manifest.name, &manifest.version)?)
}

/// A version that [`verify`] put into quarantine.
pub struct QuarantinedVersion {
    /// Formatted as `NAME@VERSION`.
    pub version: String,
    /// Digest of the version's manifest.
    pub digest: Digest,
    /// Digest of the blob that is missing or corrupt, and the error.
    pub reason: String,
}

/// Verifies all content of all complete versions; quarantines and returns those with missing or corrupt
/// content. `progress` is called with the number of versions done, and the total.
pub fn verify(
    catalogue: &mut Catalogue,
    store: &mut BlobStore<Disk>,
    at_ms: i64,
    progress: &mut dyn FnMut((u64, u64)),
) -> Vec<QuarantinedVersion> {
    let all = whole_versions(catalogue);
    let mut found = Vec::new();
    // Versions may share layers; each blob is read once.
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

/// A version with all its content in the folder.
pub struct WholeVersion {
    /// Name of the plug-in.
    pub name: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the version's manifest.
    pub digest: Digest,
}

/// All complete versions, sorted by plug-in and version.
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
