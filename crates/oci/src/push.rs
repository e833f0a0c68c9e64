//! A push: transfers one version of a plug-in from the blob store to a registry. Blobs that the registry has
//! are not sent; an upload that was interrupted continues from the registry's offset (distribution
//! specification, "Pushing a blob in chunks"); the image manifest is sent last, so that an interrupted push
//! leaves no incomplete version.

mod error;

pub use error::PushError;

use crate::challenge::Credentials;
use crate::document::{pack, pack_signature, EncodedManifest, EMPTY_CONFIG};
use crate::exchange::{
    AttemptFailure, EndOutcome, Exchange, HeadOutcome, Next, Policy, RegistryRequest, IMAGE_MANIFEST_TYPE,
};
use crate::job::Job;
use crate::location::{is_tag, Location, LocationError};
use slatevalve_http::{Head, MessageEvent};
use slatevalve_plugins::{Digest, Manifest, Signature};
use std::sync::Arc;
use url::Url;

/// A version with its content and signatures, to be pushed.
#[derive(Clone, Debug)]
pub struct Package {
    /// The plug-in's manifest; its version becomes the tag.
    pub manifest: Manifest,
    /// The encoded form of `manifest`, whose digest identifies the version.
    pub config: Arc<[u8]>,
    /// The layers' content, in the manifest's order.
    pub layers: Vec<Arc<[u8]>>,
    /// Signatures of the version, pushed as referrers of its image manifest.
    pub signatures: Vec<Signature>,
}

/// The result of a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pushed {
    /// The digest of the image manifest.
    pub image: Digest,
    /// Bytes of content that were transferred.
    pub bytes: u64,
    /// Bytes of content that were not sent, as the registry had them.
    pub present_bytes: u64,
}

/// The next request of a blob's upload.
#[derive(Clone, Debug, PartialEq, Eq)]
enum UploadStep {
    /// Check whether the registry has the blob.
    CheckExistence,
    /// Open an upload session.
    Open,
    /// Send the chunk from this offset on.
    SendChunk(u64),
    /// Query the session's offset.
    QueryOffset,
    /// Close the session with the blob's digest.
    Close,
}

struct Blob {
    digest: Digest,
    content: Arc<[u8]>,
}

impl Blob {
    fn new(content: Arc<[u8]>) -> Self {
        Blob { digest: Digest::of(&content), content }
    }

    fn size(&self) -> u64 {
        self.content.len() as u64
    }

    /// The step of an upload whose offset is known.
    fn step_from(&self, offset: u64) -> UploadStep {
        match offset == self.size() {
            true => UploadStep::Close,
            false => UploadStep::SendChunk(offset),
        }
    }
}

/// A manifest and the tag or digest that it is pushed by.
struct TaggedManifest {
    reference: String,
    packed: EncodedManifest,
}

/// A push of one version; see the module's documentation.
pub struct Push {
    location: Location,
    repository: String,
    exchange: Exchange,
    /// Bytes sent in one request.
    chunk_size: usize,
    blobs: Vec<Blob>,
    /// The plug-in's image manifest, pushed by tag, then the signatures, pushed by digest.
    manifests: Vec<TaggedManifest>,
    /// Index of the current item among the blobs, followed by the manifests.
    position: usize,
    step: UploadStep,
    upload_url: Option<Url>,
    transferred_bytes: u64,
    present_bytes: u64,
    response_head: Option<Head>,
}

impl Push {
    /// A push of a package; its tag is its version. `chunk_size` limits the bytes sent in one request; 0
    /// counts as 1.
    ///
    /// # Errors
    /// [`PushError::Name`] when the name or version is not valid in a registry.
    pub fn new(
        now_us: i64,
        location: Location,
        credentials: Option<Credentials>,
        policy: Policy,
        seed: u64,
        chunk_size: usize,
        package: &Package,
    ) -> Result<Self, PushError> {
        let repository = location.repository(&package.manifest.name)?;
        let tag = &package.manifest.version;
        if !is_tag(tag) {
            return Err(LocationError::Tag(tag.clone()).into());
        }
        let manifests = pack_manifests(package)?;
        let contents = std::iter::once(&package.config).chain(&package.layers);
        let mut blobs: Vec<Blob> = contents.map(|content| Blob::new(content.clone())).collect();
        if !package.signatures.is_empty() {
            blobs.push(Blob::new(Arc::from(EMPTY_CONFIG)));
        }
        let request = existence_request(&location, &repository, &blobs[0].digest);
        Ok(Push {
            location,
            repository,
            exchange: Exchange::new(now_us, policy, credentials, seed, request),
            chunk_size: chunk_size.max(1),
            blobs,
            manifests,
            position: 0,
            step: UploadStep::CheckExistence,
            upload_url: None,
            transferred_bytes: 0,
            present_bytes: 0,
            response_head: None,
        })
    }

    /// The result, once [`Job::next`] has returned [`Next::Done`].
    pub fn result(&self) -> Option<Pushed> {
        let image = self.manifests.first()?.packed.digest;
        let (bytes, present_bytes) = (self.transferred_bytes, self.present_bytes);
        self.is_done().then_some(Pushed { image, bytes, present_bytes })
    }

    fn is_done(&self) -> bool {
        self.position >= self.blobs.len() + self.manifests.len()
    }

    /// The manifest that is being pushed; `None` while blobs are pushed, or when the push is complete.
    fn current_manifest(&self) -> Option<&TaggedManifest> {
        self.manifests.get(self.position.checked_sub(self.blobs.len())?)
    }

    fn handle_end(&mut self, now_us: i64) -> Result<(), PushError> {
        if self.exchange.ended()? == EndOutcome::Resend {
            return Ok(());
        }
        let Some(head) = self.response_head.take() else { return Ok(()) };
        if self.position >= self.blobs.len() {
            self.handle_manifest_response(&head)?;
        } else {
            self.handle_blob_response(now_us, &head)?;
        }
        self.exchange.progress();
        if let Some(request) = self.request() {
            self.exchange.start(request);
        }
        Ok(())
    }

    fn handle_manifest_response(&mut self, head: &Head) -> Result<(), PushError> {
        let Some(TaggedManifest { reference, packed }) = self.current_manifest() else { return Ok(()) };
        if head.status != 201 {
            return Err(PushError::Rejected(format!("{}:{reference}", self.repository), head.status));
        }
        let reported = head.header("Docker-Content-Digest");
        if let Some(other) = reported.filter(|digest| *digest != packed.digest.to_string()) {
            return Err(PushError::OtherDigest(other.into()));
        }
        self.position += 1;
        Ok(())
    }

    fn handle_blob_response(&mut self, now_us: i64, head: &Head) -> Result<(), PushError> {
        match self.next_step(now_us, head)? {
            Some(step) => self.step = step,
            None => {
                self.position += 1;
                self.step = UploadStep::CheckExistence;
                self.upload_url = None;
            }
        }
        Ok(())
    }

    /// The step that follows a response; `None` when the registry has the blob.
    fn next_step(&mut self, now_us: i64, head: &Head) -> Result<Option<UploadStep>, PushError> {
        let blob = &self.blobs[self.position];
        let size = blob.size();
        let rejected = || PushError::Rejected(blob.digest.to_string(), head.status);
        Ok(Some(match (&self.step, head.status) {
            (UploadStep::CheckExistence, 200) => {
                self.present_bytes += size;
                return Ok(None);
            }
            (UploadStep::CheckExistence, 404) => UploadStep::Open,
            (UploadStep::Open, 202) => {
                self.upload_url = Some(self.upload_location(head)?);
                blob.step_from(0)
            }
            (UploadStep::SendChunk(offset), 202) => {
                let sent = size.min(offset + self.chunk_size as u64);
                self.transferred_bytes += sent - offset;
                self.upload_url = Some(self.upload_location(head)?);
                blob.step_from(sent)
            }
            (UploadStep::QueryOffset, 204) => match upload_offset(head) {
                offset if offset > size => return Err(rejected()),
                offset => blob.step_from(offset),
            },
            // The registry's offset differs from the chunk's.
            (UploadStep::SendChunk(_), 416) => UploadStep::QueryOffset,
            // The upload session does not exist any more.
            (UploadStep::QueryOffset | UploadStep::SendChunk(_) | UploadStep::Close, 404) => {
                self.exchange.attempt_failed(now_us, AttemptFailure::ConnectionClosed)?;
                UploadStep::Open
            }
            (UploadStep::Close, 201) => return Ok(None),
            _ => return Err(rejected()),
        }))
    }

    /// The `Location` of an upload session. It must be at the registry's own address, as the content is sent
    /// there.
    fn upload_location(&self, head: &Head) -> Result<Url, PushError> {
        let base = self.current_upload_url();
        let location = head.header("Location").and_then(|location| base.join(location).ok());
        let location = location.ok_or(PushError::Upload)?;
        let registry = self.location.url("");
        let is_same_origin = location.scheme() == registry.scheme()
            && location.host_str() == registry.host_str()
            && location.port_or_known_default() == registry.port_or_known_default();
        match is_same_origin {
            true => Ok(location),
            false => Err(PushError::Upload),
        }
    }

    fn current_upload_url(&self) -> Url {
        self.upload_url.clone().unwrap_or_else(|| self.location.url(""))
    }

    /// The request of the current position and step; `None` when the push is complete.
    fn request(&self) -> Option<RegistryRequest> {
        match self.blobs.get(self.position) {
            Some(blob) => Some(self.blob_request(blob)),
            None => self.current_manifest().map(|manifest| self.manifest_request(manifest)),
        }
    }

    fn manifest_request(&self, manifest: &TaggedManifest) -> RegistryRequest {
        let path = format!("{}/manifests/{}", self.repository, manifest.reference);
        RegistryRequest {
            headers: vec![("Content-Type", IMAGE_MANIFEST_TYPE.to_string())],
            body: manifest.packed.bytes.clone(),
            ..RegistryRequest::new("PUT", self.location.url(&path))
        }
    }

    fn blob_request(&self, blob: &Blob) -> RegistryRequest {
        match self.step {
            UploadStep::CheckExistence => existence_request(&self.location, &self.repository, &blob.digest),
            UploadStep::Open => {
                let path = format!("{}/blobs/uploads/", self.repository);
                RegistryRequest::new("POST", self.location.url(&path))
            }
            UploadStep::SendChunk(offset) => self.chunk_request(blob, offset),
            UploadStep::QueryOffset => RegistryRequest::get(self.current_upload_url()),
            UploadStep::Close => {
                let mut url = self.current_upload_url();
                url.query_pairs_mut().append_pair("digest", &blob.digest.to_string());
                RegistryRequest::new("PUT", url)
            }
        }
    }

    fn chunk_request(&self, blob: &Blob, offset: u64) -> RegistryRequest {
        let size = blob.content.len();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(size);
        let end = start.saturating_add(self.chunk_size).min(size);
        let headers = vec![
            ("Content-Type", "application/octet-stream".to_string()),
            ("Content-Range", format!("{start}-{}", end.saturating_sub(1))),
        ];
        let body = blob.content[start..end].to_vec();
        RegistryRequest { headers, body, ..RegistryRequest::new("PATCH", self.current_upload_url()) }
    }
}

impl Job for Push {
    type Error = PushError;

    fn next(&mut self, now_us: i64) -> Result<Next, PushError> {
        if self.is_done() {
            return Ok(Next::Done);
        }
        Ok(self.exchange.next(now_us)?)
    }

    fn response_event(&mut self, now_us: i64, response_part: MessageEvent) -> Result<(), PushError> {
        match response_part {
            MessageEvent::Head(head) => {
                let outcome = self.exchange.head(now_us, &head)?;
                self.response_head = (outcome == HeadOutcome::ForCaller).then_some(head);
                Ok(())
            }
            // A push does not use the bodies of responses.
            MessageEvent::Body(chunk) => Ok(self.exchange.body(now_us, &chunk).map(drop)?),
            MessageEvent::End => self.handle_end(now_us),
        }
    }

    fn attempt_failed(&mut self, now_us: i64, failure: AttemptFailure) -> Result<(), PushError> {
        self.exchange.attempt_failed(now_us, failure)?;
        // How much of the chunk arrived is known only from the registry's response.
        if matches!(self.step, UploadStep::SendChunk(_)) {
            self.step = UploadStep::QueryOffset;
            if let Some(request) = self.request() {
                self.exchange.replace(request);
            }
        }
        Ok(())
    }

    fn is_receiving(&self) -> bool {
        self.exchange.is_receiving()
    }

    fn progress(&self) -> (u64, u64) {
        let total = self.blobs.iter().map(Blob::size).sum();
        (self.transferred_bytes + self.present_bytes, total)
    }
}

/// Encodes the image manifest, followed by the manifests of the signatures.
fn pack_manifests(package: &Package) -> Result<Vec<TaggedManifest>, PushError> {
    let image = pack(&package.manifest, &package.config)?;
    let mut manifests = Vec::new();
    for signature in &package.signatures {
        let packed = pack_signature(&image, signature)?;
        manifests.push(TaggedManifest { reference: packed.digest.to_string(), packed });
    }
    manifests.insert(0, TaggedManifest { reference: package.manifest.version.clone(), packed: image });
    Ok(manifests)
}

fn existence_request(location: &Location, repository: &str, digest: &Digest) -> RegistryRequest {
    RegistryRequest::new("HEAD", location.url(&format!("{repository}/blobs/{digest}")))
}

/// Bytes that an upload session holds. `Range` is inclusive, so `0-0` is one byte; it is absent when no byte
/// was received.
fn upload_offset(head: &Head) -> u64 {
    let last = head.header("Range").and_then(|range| range.split_once('-')?.1.parse::<u64>().ok());
    last.map_or(0, |last| last.saturating_add(1))
}
