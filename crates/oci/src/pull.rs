//! A pull: one version of a plug-in from a registry into the folder, verified, resumed where it broke off.
//!
//! Phases: the image manifest, the plug-in's own manifest (its config), each layer, the signatures. Content that is here
//! already, verified, is not asked for. A layer is asked for in ranges; what came is kept on the disk and the next request
//! asks for the rest. Content that does not match its digest is thrown away and asked for once more from its start, as the
//! part that an earlier process left may have been what was wrong; twice is the registry's fault and ends the pull.

use crate::challenge::Credentials;
use crate::document::{read_signatures, unpack, DocumentError, Unpacked};
use crate::exchange::{
    Broke, EndOutcome, Exchange, ExchangeError, HeadOutcome, Next, Policy, RegistryRequest,
};
use crate::location::{is_tag, Location, LocationError};
use slatevalve_blobs::{BlobError, BlobStore, Files, Partial};
use slatevalve_http::Head;
use slatevalve_plugins::{
    check_manifest, ClassRights, Digest, LayerRef, Manifest, ManifestProblem, Signature, VerifyError,
};
use std::fmt;

/// Bytes of a manifest or list of referrers (the specification asks registries to take 4 MiB).
const MAX_DOCUMENT: usize = 4 * 1024 * 1024;
/// Bytes of a plug-in's own manifest.
const MAX_CONFIG: u64 = 1024 * 1024;
/// A try that brings one part in so many of what it asked for counts as one that went on.
const GOOD_PART: u64 = 16;
/// Times that content may be wrong before it is the registry's fault.
const SPOILED: u32 = 2;

/// What a pull is to do.
#[derive(Clone, Debug)]
pub struct PullSettings {
    /// The registry.
    pub location: Location,
    /// Who we are, where it wants to know.
    pub credentials: Option<Credentials>,
    /// How long and how often it is asked.
    pub policy: Policy,
    /// Bytes asked for at a time.
    pub range: u64,
    /// Bytes of one plug-in's content at most.
    pub max_size: u64,
    /// What the classes are, and who may use which; `None` where that is not known.
    pub rights: Option<ClassRights>,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Why a pull ended without a version.
#[derive(Debug)]
pub enum PullError {
    /// The name or reference is none that a registry could hold.
    Name(LocationError),
    /// No answer.
    Exchange(ExchangeError),
    /// The registry has no such thing, or does not give it: what, and its status.
    Refused(String, u16),
    /// The content of a digest is not what it promises, twice.
    Corrupt(Digest, VerifyError),
    /// The document is no plug-in's.
    Document(DocumentError),
    /// The plug-in's own manifest is wrong.
    Manifest(Vec<ManifestProblem>),
    /// It is another plug-in or version than was asked for.
    Other {
        /// Asked for.
        wanted: String,
        /// Found.
        found: String,
    },
    /// Its content is larger than is taken: bytes.
    TooLarge(u64),
    /// The folder. What came is kept to be resumed.
    Folder(BlobError),
}

impl fmt::Display for PullError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PullError::Name(e) => e.fmt(f),
            PullError::Exchange(e) => e.fmt(f),
            PullError::Refused(what, status) => write!(f, "the registry answered {status} for {what}"),
            PullError::Corrupt(digest, why) => write!(f, "the registry's content of {digest}: {why}"),
            PullError::Document(e) => e.fmt(f),
            PullError::Manifest(problems) => {
                let words: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&words.join("\n"))
            }
            PullError::Other { wanted, found } => write!(f, "{wanted} was asked for, and it is {found}"),
            PullError::TooLarge(bytes) => write!(f, "its content is {bytes} bytes, more than is taken"),
            PullError::Folder(e) => write!(f, "the folder of plug-ins: {e}"),
        }
    }
}

impl std::error::Error for PullError {}

impl From<ExchangeError> for PullError {
    fn from(e: ExchangeError) -> Self {
        PullError::Exchange(e)
    }
}

impl From<BlobError> for PullError {
    fn from(e: BlobError) -> Self {
        PullError::Folder(e)
    }
}

impl PullError {
    /// The digest whose content the registry serves wrongly, where that is why.
    pub fn corrupt(&self) -> Option<Digest> {
        match self {
            PullError::Corrupt(digest, _) => Some(*digest),
            _ => None,
        }
    }
}

/// What a pull brought.
#[derive(Clone, Debug, PartialEq)]
pub struct Pulled {
    /// The plug-in's manifest, checked.
    pub manifest: Manifest,
    /// The digest of its bytes: the version's.
    pub digest: Digest,
    /// What vouches for it; not judged here.
    pub signatures: Vec<Signature>,
    /// Bytes of content that came.
    pub bytes: u64,
    /// Bytes that were here already.
    pub had: u64,
    /// Requests that went out.
    pub requests: u64,
}

enum Phase {
    Manifest(Vec<u8>),
    /// The config, then the layers in order.
    Content(Box<Content>),
    Referrers(Vec<u8>),
    Done,
}

struct Content {
    at: usize,
    blob: LayerRef,
    /// `None` between blobs and while what came is thrown away.
    partial: Option<Partial>,
    /// Whether the answer under way is one whose body is content.
    taking: bool,
    /// Bytes that the answer under way brought.
    came: u64,
    spoiled: u32,
}

/// See the module's documentation.
pub struct Pull {
    settings: PullSettings,
    name: String,
    reference: String,
    repository: String,
    exchange: Exchange,
    phase: Phase,
    image: Option<(Digest, Unpacked)>,
    manifest: Option<Manifest>,
    spoiled_manifest: bool,
    signatures: Vec<Signature>,
    bytes: u64,
    had: u64,
    requests: u64,
}

impl Pull {
    /// A pull of a plug-in by tag (its version) or by the digest of its image manifest.
    ///
    /// # Errors
    /// When the name or reference cannot be one.
    pub fn new(now_us: i64, settings: PullSettings, name: &str, reference: &str) -> Result<Self, PullError> {
        let repository = settings.location.repository(name).map_err(PullError::Name)?;
        if reference.parse::<Digest>().is_err() && !is_tag(reference) {
            return Err(PullError::Name(LocationError::Tag(reference.into())));
        }
        let mut ask =
            RegistryRequest::get(settings.location.url(&format!("{repository}/manifests/{reference}")));
        ask.headers.push(("Accept", "application/vnd.oci.image.manifest.v1+json".into()));
        let (policy, credentials) = (settings.policy.clone(), settings.credentials.clone());
        Ok(Pull {
            exchange: Exchange::new(now_us, policy, credentials, settings.seed, ask),
            settings,
            name: name.into(),
            reference: reference.into(),
            repository,
            phase: Phase::Manifest(Vec::new()),
            image: None,
            manifest: None,
            spoiled_manifest: false,
            signatures: Vec::new(),
            bytes: 0,
            had: 0,
            requests: 0,
        })
    }

    /// Whether an answer is waited for or read.
    pub fn is_receiving(&self) -> bool {
        self.exchange.is_receiving()
    }

    /// Bytes of content that came or were here, and all that there will be, as far as is known.
    pub fn progress(&self) -> (u64, u64) {
        let image = self.image.as_ref().map_or(0, |(_, i)| total(i));
        (self.bytes + self.had, image)
    }

    /// What is to be done now.
    ///
    /// # Errors
    /// When the time is up.
    pub fn next(&mut self, now_us: i64) -> Result<Next, PullError> {
        if matches!(self.phase, Phase::Done) {
            return Ok(Next::Done);
        }
        let next = self.exchange.next(now_us)?;
        self.requests += u64::from(matches!(next, Next::Send(_)));
        Ok(next)
    }

    /// The head of an answer came.
    ///
    /// # Errors
    /// When that ends the pull.
    pub fn head<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        head: &Head,
    ) -> Result<(), PullError> {
        if self.exchange.head(now_us, head)? == HeadOutcome::Consumed {
            return Ok(());
        }
        match &mut self.phase {
            Phase::Manifest(bytes) => {
                bytes.clear();
                match head.status {
                    200 => Ok(()),
                    status => {
                        Err(PullError::Refused(format!("{}:{}", self.repository, self.reference), status))
                    }
                }
            }
            // Registries without the list of referrers answer 404: there are no signatures then.
            Phase::Referrers(bytes) => {
                bytes.clear();
                Ok(())
            }
            Phase::Content(_) => self.content_head(now_us, store, head),
            Phase::Done => Ok(()),
        }
    }

    fn content_head<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        head: &Head,
    ) -> Result<(), PullError> {
        let Phase::Content(content) = &mut self.phase else { return Ok(()) };
        let have = content.partial.as_ref().map_or(0, Partial::have);
        content.came = 0;
        content.taking = true;
        match head.status {
            // The whole of it, though a part was asked for: what is here gives way to it.
            200 if have > 0 => {
                store.discard(&content.blob.digest)?;
                content.partial = Some(store.begin(content.blob.digest, content.blob.size)?);
                self.had = self.had.saturating_sub(have);
                Ok(())
            }
            200 => Ok(()),
            206 if range_start(head) == Some(have) => Ok(()),
            206 => {
                content.taking = false;
                self.exchange.broke(now_us, Broke::Range)?;
                Ok(())
            }
            // Nothing there from where we are: what is here cannot be a part of it.
            416 => {
                content.taking = false;
                let digest = content.blob.digest;
                self.spoiled(now_us, store, digest, VerifyError::TooLong)
            }
            status => Err(PullError::Refused(content.blob.digest.to_string(), status)),
        }
    }

    /// A piece of an answer's body came.
    ///
    /// # Errors
    /// When that ends the pull.
    pub fn piece<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        piece: &[u8],
    ) -> Result<(), PullError> {
        if !self.exchange.body(now_us, piece)? {
            return Ok(());
        }
        match &mut self.phase {
            Phase::Manifest(bytes) | Phase::Referrers(bytes) => {
                bytes.extend_from_slice(piece);
                match bytes.len() > MAX_DOCUMENT {
                    true => Err(PullError::TooLarge(bytes.len() as u64)),
                    false => Ok(()),
                }
            }
            Phase::Content(content) => {
                let Some(partial) = content.partial.as_mut().filter(|_| content.taking) else {
                    return Ok(());
                };
                content.came += piece.len() as u64;
                self.bytes += piece.len() as u64;
                match store.append(partial, piece) {
                    Ok(()) => Ok(()),
                    // An endless body ends here, at the promised size.
                    Err(BlobError::Corrupt(why)) => {
                        content.taking = false;
                        let digest = content.blob.digest;
                        self.spoiled(now_us, store, digest, why)
                    }
                    Err(e) => Err(e.into()),
                }
            }
            Phase::Done => Ok(()),
        }
    }

    /// An answer is whole.
    ///
    /// # Errors
    /// When that ends the pull.
    pub fn ended<F: Files>(&mut self, now_us: i64, store: &mut BlobStore<F>) -> Result<(), PullError> {
        if self.exchange.ended()? == EndOutcome::Resend {
            return Ok(());
        }
        match std::mem::replace(&mut self.phase, Phase::Done) {
            Phase::Manifest(bytes) => self.manifest_came(now_us, store, bytes),
            Phase::Content(content) => self.content_came(now_us, store, content),
            Phase::Referrers(bytes) => {
                self.signatures = read_signatures(&bytes).unwrap_or_default();
                Ok(())
            }
            Phase::Done => Ok(()),
        }
    }

    /// A connection failed within a request, or before.
    ///
    /// # Errors
    /// When it was the last try.
    pub fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), PullError> {
        // What came is kept, so a try that brought a good part of what it asked for is none in vain. One that brought a few
        // bytes is: a registry that drips a byte for each connection would hold the pull for all the time that it has.
        let asked =
            |c: &Content| c.blob.size.saturating_sub(c.partial.as_ref().map_or(0, Partial::have)) + c.came;
        if matches!(&self.phase, Phase::Content(c)
            if c.came > 0 && c.came.saturating_mul(GOOD_PART) >= asked(c).min(self.settings.range))
        {
            self.exchange.progress();
        }
        self.exchange.broke(now_us, broke)?;
        // The next try asks for what is still missing.
        if let Phase::Content(content) = &mut self.phase {
            content.came = 0;
            content.taking = false;
            let ask = content_ask(&self.settings, &self.repository, content);
            self.exchange.replace(ask);
        }
        Ok(())
    }

    fn manifest_came<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        bytes: Vec<u8>,
    ) -> Result<(), PullError> {
        let digest = Digest::of(&bytes);
        let promised = self.reference.parse::<Digest>().ok();
        if promised.is_some_and(|p| p != digest) {
            if std::mem::replace(&mut self.spoiled_manifest, true) {
                return Err(PullError::Corrupt(promised.unwrap_or(digest), VerifyError::Other));
            }
            self.phase = Phase::Manifest(Vec::new());
            self.exchange.broke(now_us, Broke::Garbage)?;
            return Ok(());
        }
        let image = unpack(&bytes).map_err(PullError::Document)?;
        let size = total(&image);
        if size > self.settings.max_size || image.config.size > MAX_CONFIG {
            return Err(PullError::TooLarge(size));
        }
        self.image = Some((digest, image));
        self.exchange.progress();
        self.content(store, 0)
    }

    /// Goes on with the blob at a place: the config at 0, layers from 1 on.
    fn content<F: Files>(&mut self, store: &mut BlobStore<F>, from: usize) -> Result<(), PullError> {
        for at in from.. {
            let Some((image_digest, image)) = &self.image else { return Ok(()) };
            let blob = if at == 0 { Some(&image.config) } else { image.layers.get(at - 1) };
            let Some(blob) = blob.copied() else {
                let path = format!("{}/referrers/{image_digest}", self.repository);
                self.phase = Phase::Referrers(Vec::new());
                self.exchange.start(RegistryRequest::get(self.settings.location.url(&path)));
                return Ok(());
            };
            // Here already counts only when it is whole: reading verifies.
            match store.read(&blob.digest) {
                Ok(content) if content.len() as u64 == blob.size => {
                    self.had += blob.size;
                    self.check_config(at, &content)?;
                    continue;
                }
                Ok(_) => return Err(PullError::Corrupt(blob.digest, VerifyError::Other)),
                Err(BlobError::Missing | BlobError::Corrupt(_)) => {}
                Err(e) => return Err(e.into()),
            }
            let content = Content { at, blob, partial: None, taking: false, came: 0, spoiled: 0 };
            let mut content = Box::new(content);
            let partial = store.begin(blob.digest, blob.size)?;
            self.had += partial.have();
            content.partial = Some(partial);
            let whole = content.partial.as_ref().is_some_and(|p| p.have() == blob.size);
            if whole {
                // All of it was written before a crash, only not taken in; or it is empty.
                match content.partial.take().map_or(Ok(()), |p| store.commit(p)) {
                    Ok(()) => {
                        let bytes = store.read(&blob.digest)?;
                        self.check_config(at, &bytes)?;
                        continue;
                    }
                    Err(BlobError::Corrupt(_)) => {
                        self.had = self.had.saturating_sub(blob.size);
                        content.partial = Some(store.begin(blob.digest, blob.size)?);
                    }
                    Err(e) => return Err(e.into()),
                }
            }
            self.exchange.start(content_ask(&self.settings, &self.repository, &content));
            self.phase = Phase::Content(content);
            return Ok(());
        }
        Ok(())
    }

    fn content_came<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        mut content: Box<Content>,
    ) -> Result<(), PullError> {
        let have = content.partial.as_ref().map_or(0, Partial::have);
        if have < content.blob.size {
            let nothing = content.came == 0;
            content.came = 0;
            content.taking = false;
            let ask = content_ask(&self.settings, &self.repository, &content);
            self.phase = Phase::Content(content);
            if nothing {
                self.exchange.broke(now_us, Broke::Cut)?;
                self.exchange.replace(ask);
            } else {
                self.exchange.progress();
                self.exchange.start(ask);
            }
            return Ok(());
        }
        let (at, digest) = (content.at, content.blob.digest);
        match content.partial.take().map_or(Ok(()), |p| store.commit(p)) {
            Ok(()) => {}
            Err(BlobError::Corrupt(why)) => {
                self.phase = Phase::Content(content);
                return self.spoiled(now_us, store, digest, why);
            }
            Err(e) => return Err(e.into()),
        }
        self.exchange.progress();
        if at == 0 {
            let bytes = store.read(&digest)?;
            self.check_config(0, &bytes)?;
        }
        self.content(store, at + 1)
    }

    /// Content was wrong: thrown away, and asked for from its start.
    fn spoiled<F: Files>(
        &mut self,
        now_us: i64,
        store: &mut BlobStore<F>,
        digest: Digest,
        why: VerifyError,
    ) -> Result<(), PullError> {
        let Phase::Content(content) = &mut self.phase else { return Ok(()) };
        store.discard(&digest)?;
        content.spoiled += 1;
        if content.spoiled >= SPOILED {
            return Err(PullError::Corrupt(digest, why));
        }
        content.partial = Some(store.begin(content.blob.digest, content.blob.size)?);
        content.came = 0;
        let ask = content_ask(&self.settings, &self.repository, content);
        self.exchange.broke(now_us, Broke::Garbage)?;
        self.exchange.replace(ask);
        Ok(())
    }

    /// The plug-in's own manifest is checked as soon as it is here: a layer is not pulled for what will be refused.
    fn check_config(&mut self, at: usize, bytes: &[u8]) -> Result<(), PullError> {
        if at != 0 {
            return Ok(());
        }
        let file = format!("{}:{}", self.repository, self.reference);
        let rights = self.settings.rights.as_ref();
        let (manifest, _) = check_manifest(&file, bytes, rights).map_err(PullError::Manifest)?;
        let by_digest = self.reference.contains(':');
        if manifest.name != self.name || (!by_digest && manifest.version != self.reference) {
            return Err(PullError::Other {
                wanted: format!("{}@{}", self.name, self.reference),
                found: format!("{}@{}", manifest.name, manifest.version),
            });
        }
        if let Some((_, image)) = &self.image {
            image.matches(&manifest).map_err(PullError::Document)?;
        }
        self.manifest = Some(manifest);
        Ok(())
    }

    /// The plug-in's manifest and digest as soon as they are here and checked, whatever comes of its layers.
    pub fn begun(&self) -> Option<(Manifest, Digest)> {
        Some((self.manifest.clone()?, self.image.as_ref()?.1.config.digest))
    }

    /// What it brought, once [`Pull::next`] says that it is done.
    pub fn result(self) -> Option<Pulled> {
        let (manifest, (_, image)) = (self.manifest?, self.image?);
        let (bytes, had, requests) = (self.bytes, self.had, self.requests);
        let done = matches!(self.phase, Phase::Done);
        let digest = image.config.digest;
        done.then_some(Pulled { manifest, digest, signatures: self.signatures, bytes, had, requests })
    }
}

fn total(image: &Unpacked) -> u64 {
    image.layers.iter().fold(image.config.size, |sum, l| sum.saturating_add(l.size))
}

fn content_ask(settings: &PullSettings, repository: &str, content: &Content) -> RegistryRequest {
    let mut ask =
        RegistryRequest::get(settings.location.url(&format!("{repository}/blobs/{}", content.blob.digest)));
    let have = content.partial.as_ref().map_or(0, Partial::have);
    let last = have.saturating_add(settings.range.max(1)).min(content.blob.size).saturating_sub(1);
    if have > 0 || last + 1 < content.blob.size {
        ask.headers.push(("Range", format!("bytes={have}-{last}")));
    }
    ask
}

/// Where the part in a 206 answer begins (RFC 9110 section 14.4).
fn range_start(head: &Head) -> Option<u64> {
    let (start, _) = head.header("Content-Range")?.strip_prefix("bytes ")?.split_once('-')?;
    start.parse().ok()
}
