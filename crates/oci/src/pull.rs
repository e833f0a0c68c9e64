//! A pull: transfers one version of a plug-in from a registry into the blob store, verified and resumable.
//!
//! Phases: the image manifest, the plug-in's own manifest (the image's config), each layer, the signatures.
//! Verified content that is in the store is not requested. A blob is requested in ranges; what arrives is
//! stored, and the next request continues from there. Content that does not match its digest is discarded and
//! requested once more from its start, as the part stored by an earlier process may have been corrupt; the
//! second time the registry is at fault, and the pull fails.

mod download;
mod error;
mod job;

pub use error::PullError;
pub use job::PullJob;

use crate::challenge::Credentials;
use crate::document::{read_signatures, unpack, ImageContent};
use crate::exchange::{
    AttemptFailure, EndOutcome, Exchange, HeadOutcome, Next, Policy, RegistryRequest, IMAGE_MANIFEST_TYPE,
};
use crate::location::{is_tag, Location, LocationError};
use download::{ContentHead, Download};
use slatevalve_blobs::{BlobError, BlobStore, Files};
use slatevalve_http::Head;
use slatevalve_plugins::{check_manifest, ClassRights, Digest, LayerRef, Manifest, Signature, VerifyError};

/// Limit of an image manifest's or list of referrers' size, in bytes (the specification recommends that
/// registries accept 4 MiB).
const MAX_DOCUMENT: usize = 4 * 1024 * 1024;
/// Limit of the size of a plug-in's own manifest, in bytes.
const MAX_CONFIG: u64 = 1024 * 1024;
/// Position of the config among an image's blobs.
const CONFIG_INDEX: usize = 0;

/// Settings of a pull.
#[derive(Clone, Debug)]
pub struct PullSettings {
    /// Address of the registry and prefix of its repositories.
    pub location: Location,
    /// Sent only after a challenge of the registry; `None` for anonymous access.
    pub credentials: Option<Credentials>,
    /// Timeouts, retries and redirects. The deadline and the count of failed attempts span all requests of
    /// the pull.
    pub policy: Policy,
    /// Bytes of content requested at a time; 0 counts as 1.
    pub range: u64,
    /// Limit of the size of one plug-in's config and layers, in bytes.
    pub max_size: u64,
    /// The known classes and which tenant may use which; `None` where they are unknown and not checked.
    pub rights: Option<ClassRights>,
    /// Seed of the random jitter of the backoff.
    pub seed: u64,
}

/// The result of a pull.
#[derive(Clone, Debug, PartialEq)]
pub struct Pulled {
    /// The plug-in's manifest, checked.
    pub manifest: Manifest,
    /// The digest of the manifest's bytes, which identifies the version.
    pub digest: Digest,
    /// The signatures that the registry lists, not verified.
    pub signatures: Vec<Signature>,
    /// Bytes of content that were transferred.
    pub bytes: u64,
    /// Bytes of content that were in the store already.
    pub present_bytes: u64,
    /// Requests that were sent.
    pub requests: u64,
}

enum Phase {
    /// Holds the image manifest, as far as received.
    ImageManifest(Vec<u8>),
    /// The config, then the layers in order.
    Content(Box<Download>),
    /// Holds the list of referrers, as far as received.
    Referrers(Vec<u8>),
    Done,
}

/// The image manifest of the plug-in that is pulled.
struct Image {
    digest: Digest,
    content: ImageContent,
}

/// Whether a blob of the image must be downloaded.
enum BlobStart {
    /// The store has it, verified; holds its content.
    Present(Vec<u8>),
    Download(Box<Download>),
}

/// A pull of one version; see the module's documentation. [`PullJob`] drives it.
pub struct Pull {
    settings: PullSettings,
    name: String,
    reference: String,
    repository: String,
    exchange: Exchange,
    phase: Phase,
    image: Option<Image>,
    manifest: Option<Manifest>,
    /// Whether an image manifest that did not match its digest was received before.
    manifest_was_corrupt: bool,
    signatures: Vec<Signature>,
    transferred_bytes: u64,
    present_bytes: u64,
    requests: u64,
}

impl Pull {
    /// A pull of a plug-in by tag (its version) or by the digest of its image manifest.
    ///
    /// # Errors
    /// [`PullError::Name`] when the name or reference is not valid in a registry.
    pub fn new(now_us: i64, settings: PullSettings, name: &str, reference: &str) -> Result<Self, PullError> {
        let repository = settings.location.repository(name)?;
        if reference.parse::<Digest>().is_err() && !is_tag(reference) {
            return Err(LocationError::Tag(reference.into()).into());
        }
        let url = settings.location.url(&format!("{repository}/manifests/{reference}"));
        let mut request = RegistryRequest::get(url);
        request.headers.push(("Accept", IMAGE_MANIFEST_TYPE.into()));
        let (policy, credentials) = (settings.policy.clone(), settings.credentials.clone());
        Ok(Pull {
            exchange: Exchange::new(now_us, policy, credentials, settings.seed, request),
            settings,
            name: name.into(),
            reference: reference.into(),
            repository,
            phase: Phase::ImageManifest(Vec::new()),
            image: None,
            manifest: None,
            manifest_was_corrupt: false,
            signatures: Vec::new(),
            transferred_bytes: 0,
            present_bytes: 0,
            requests: 0,
        })
    }

    /// The plug-in's manifest and its digest once they are received and checked, even if the layers fail
    /// afterwards.
    pub fn checked_manifest(&self) -> Option<(Manifest, Digest)> {
        Some((self.manifest.clone()?, self.image.as_ref()?.content.config.digest))
    }

    /// The result, once [`crate::Job::next`] has returned [`Next::Done`].
    pub fn result(self) -> Option<Pulled> {
        if !matches!(self.phase, Phase::Done) {
            return None;
        }
        Some(Pulled {
            manifest: self.manifest?,
            digest: self.image?.content.config.digest,
            signatures: self.signatures,
            bytes: self.transferred_bytes,
            present_bytes: self.present_bytes,
            requests: self.requests,
        })
    }

    fn is_receiving(&self) -> bool {
        self.exchange.is_receiving()
    }

    fn progress(&self) -> (u64, u64) {
        let total = self.image.as_ref().map_or(0, |image| image.content.size());
        (self.transferred_bytes + self.present_bytes, total)
    }

    fn next(&mut self, now_us: i64) -> Result<Next, PullError> {
        if matches!(self.phase, Phase::Done) {
            return Ok(Next::Done);
        }
        let next = self.exchange.next(now_us)?;
        self.requests += u64::from(matches!(next, Next::Send(_)));
        Ok(next)
    }

    fn handle_head<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        head: &Head,
    ) -> Result<(), PullError> {
        if self.exchange.head(now_us, head)? == HeadOutcome::Consumed {
            return Ok(());
        }
        match &mut self.phase {
            Phase::ImageManifest(_) if head.status != 200 => {
                let subject = format!("{}:{}", self.repository, self.reference);
                Err(PullError::Rejected(subject, head.status))
            }
            // A registry without the referrers API answers 404; its body is not an image index, so there are
            // no signatures.
            Phase::ImageManifest(bytes) | Phase::Referrers(bytes) => {
                bytes.clear();
                Ok(())
            }
            Phase::Content(_) => self.handle_content_head(now_us, store, head),
            Phase::Done => Ok(()),
        }
    }

    fn handle_content_head<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        head: &Head,
    ) -> Result<(), PullError> {
        let Phase::Content(download) = &mut self.phase else { return Ok(()) };
        let stored = download.stored();
        match download.handle_head(head) {
            ContentHead::Continues => {}
            ContentHead::Restarts => {
                download.restart(store)?;
                self.present_bytes = self.present_bytes.saturating_sub(stored);
            }
            ContentHead::WrongRange => self.exchange.attempt_failed(now_us, AttemptFailure::Range)?,
            ContentHead::RangeUnsatisfiable => {
                return self.restart_corrupt(now_us, store, VerifyError::TooLong);
            }
            ContentHead::Rejected(status) => {
                return Err(PullError::Rejected(download.blob.digest.to_string(), status));
            }
        }
        Ok(())
    }

    fn handle_body<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        chunk: &[u8],
    ) -> Result<(), PullError> {
        if !self.exchange.body(now_us, chunk)? {
            return Ok(());
        }
        match &mut self.phase {
            Phase::ImageManifest(bytes) | Phase::Referrers(bytes) => {
                bytes.extend_from_slice(chunk);
                match bytes.len() > MAX_DOCUMENT {
                    true => Err(PullError::TooLarge(bytes.len() as u64)),
                    false => Ok(()),
                }
            }
            Phase::Content(download) if download.is_accepting() => {
                self.transferred_bytes += chunk.len() as u64;
                match download.append(store, chunk) {
                    // The body exceeds the blob's size; this also bounds an endless one.
                    Err(BlobError::Corrupt(reason)) => self.restart_corrupt(now_us, store, reason),
                    appended => Ok(appended?),
                }
            }
            Phase::Content(_) | Phase::Done => Ok(()),
        }
    }

    fn handle_end<F: Files>(&mut self, now_us: i64, store: &mut BlobStore<F>) -> Result<(), PullError> {
        if self.exchange.ended()? == EndOutcome::Resend {
            return Ok(());
        }
        match std::mem::replace(&mut self.phase, Phase::Done) {
            Phase::ImageManifest(bytes) => self.finish_image_manifest(now_us, store, &bytes),
            Phase::Content(download) if download.is_complete() => {
                self.finish_download(now_us, store, download)
            }
            Phase::Content(download) => self.continue_download(now_us, download),
            Phase::Referrers(bytes) => {
                self.signatures = read_signatures(&bytes).unwrap_or_default();
                Ok(())
            }
            Phase::Done => Ok(()),
        }
    }

    fn handle_failure(&mut self, now_us: i64, failure: AttemptFailure) -> Result<(), PullError> {
        let range = self.settings.range;
        if matches!(&self.phase, Phase::Content(download) if download.has_progressed(range)) {
            self.exchange.progress();
        }
        self.exchange.attempt_failed(now_us, failure)?;
        // The next attempt requests only the bytes that are still missing.
        if let Phase::Content(download) = &mut self.phase {
            download.end_attempt();
            self.exchange.replace(download.request(&self.settings, &self.repository));
        }
        Ok(())
    }

    fn finish_image_manifest<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        bytes: &[u8],
    ) -> Result<(), PullError> {
        let digest = Digest::of(bytes);
        if let Ok(expected) = self.reference.parse::<Digest>() {
            if expected != digest {
                return self.retry_image_manifest(now_us, expected);
            }
        }
        let content = unpack(bytes)?;
        let size = content.size();
        if size > self.settings.max_size || content.config.size > MAX_CONFIG {
            return Err(PullError::TooLarge(size));
        }
        self.image = Some(Image { digest, content });
        self.exchange.progress();
        self.start_blobs(store, CONFIG_INDEX)
    }

    /// Requests an image manifest that did not match its digest once more; the second mismatch fails the
    /// pull.
    fn retry_image_manifest(&mut self, now_us: i64, expected: Digest) -> Result<(), PullError> {
        if std::mem::replace(&mut self.manifest_was_corrupt, true) {
            return Err(PullError::Corrupt(expected, VerifyError::Mismatch));
        }
        self.phase = Phase::ImageManifest(Vec::new());
        Ok(self.exchange.attempt_failed(now_us, AttemptFailure::MalformedResponse)?)
    }

    /// Starts the download of the first blob from an index on that is not in the store, or requests the
    /// referrers after the last one.
    fn start_blobs<F: Files>(&mut self, store: &mut BlobStore<F>, first: usize) -> Result<(), PullError> {
        for index in first.. {
            let Some(image) = &self.image else { return Ok(()) };
            let Some(blob) = image.content.blob(index) else {
                let path = format!("{}/referrers/{}", self.repository, image.digest);
                self.phase = Phase::Referrers(Vec::new());
                self.exchange.start(RegistryRequest::get(self.settings.location.url(&path)));
                return Ok(());
            };
            match self.start_blob(store, index, blob)? {
                BlobStart::Present(content) => self.check_config(index, &content)?,
                BlobStart::Download(download) => {
                    self.exchange.start(download.request(&self.settings, &self.repository));
                    self.phase = Phase::Content(download);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn start_blob<F: Files>(
        &mut self,
        store: &mut BlobStore<F>,
        index: usize,
        blob: LayerRef,
    ) -> Result<BlobStart, PullError> {
        // Reading verifies a stored blob; a corrupt one is downloaded again.
        match store.read(&blob.digest) {
            Ok(content) if content.len() as u64 == blob.size => {
                self.present_bytes += blob.size;
                return Ok(BlobStart::Present(content));
            }
            Ok(_) => return Err(PullError::Corrupt(blob.digest, VerifyError::Mismatch)),
            Err(BlobError::Missing | BlobError::Corrupt(_)) => {}
            Err(e) => return Err(e.into()),
        }
        let partial = store.open_partial(blob.digest, blob.size)?;
        self.present_bytes += partial.stored_bytes();
        if partial.stored_bytes() < blob.size {
            return Ok(BlobStart::Download(Box::new(Download::new(index, blob, partial))));
        }
        // The whole blob was written but not committed before a crash, or the blob is empty.
        match store.commit(partial) {
            Ok(()) => Ok(BlobStart::Present(store.read(&blob.digest)?)),
            Err(BlobError::Corrupt(_)) => {
                self.present_bytes = self.present_bytes.saturating_sub(blob.size);
                let partial = store.open_partial(blob.digest, blob.size)?;
                Ok(BlobStart::Download(Box::new(Download::new(index, blob, partial))))
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Requests the next range after a complete response.
    fn continue_download(&mut self, now_us: i64, mut download: Box<Download>) -> Result<(), PullError> {
        let has_received = download.has_received();
        download.end_attempt();
        let request = download.request(&self.settings, &self.repository);
        self.phase = Phase::Content(download);
        if has_received {
            self.exchange.progress();
            self.exchange.start(request);
        } else {
            // An empty response counts as a failed attempt, so that a registry cannot keep the pull busy with
            // them.
            self.exchange.attempt_failed(now_us, AttemptFailure::ConnectionClosed)?;
            self.exchange.replace(request);
        }
        Ok(())
    }

    fn finish_download<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        mut download: Box<Download>,
    ) -> Result<(), PullError> {
        let (index, digest) = (download.index, download.blob.digest);
        match download.commit(store) {
            Err(BlobError::Corrupt(reason)) => {
                self.phase = Phase::Content(download);
                return self.restart_corrupt(now_us, store, reason);
            }
            committed => committed?,
        }
        self.exchange.progress();
        if index == CONFIG_INDEX {
            let bytes = store.read(&digest)?;
            self.check_config(index, &bytes)?;
        }
        self.start_blobs(store, index + 1)
    }

    /// Discards the corrupt content of the current download and requests the blob from its first byte.
    fn restart_corrupt<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        reason: VerifyError,
    ) -> Result<(), PullError> {
        let Phase::Content(download) = &mut self.phase else { return Ok(()) };
        if !download.restart_corrupt(store)? {
            return Err(PullError::Corrupt(download.blob.digest, reason));
        }
        let request = download.request(&self.settings, &self.repository);
        self.exchange.attempt_failed(now_us, AttemptFailure::MalformedResponse)?;
        self.exchange.replace(request);
        Ok(())
    }

    /// Checks the plug-in's own manifest as soon as it is stored, so that no layer of a rejected plug-in is
    /// pulled. Does nothing for other blobs.
    fn check_config(&mut self, index: usize, bytes: &[u8]) -> Result<(), PullError> {
        if index != CONFIG_INDEX {
            return Ok(());
        }
        let file = format!("{}:{}", self.repository, self.reference);
        let rights = self.settings.rights.as_ref();
        let (manifest, _) = check_manifest(&file, bytes, rights).map_err(PullError::Manifest)?;
        let is_by_digest = self.reference.contains(':');
        if manifest.name != self.name || (!is_by_digest && manifest.version != self.reference) {
            return Err(PullError::OtherVersion {
                requested: format!("{}@{}", self.name, self.reference),
                found: format!("{}@{}", manifest.name, manifest.version),
            });
        }
        if let Some(image) = &self.image {
            image.content.matches(&manifest)?;
        }
        self.manifest = Some(manifest);
        Ok(())
    }
}
