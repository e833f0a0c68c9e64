//! A push: one version of a plug-in from the folder to a registry. Content that the registry has is not sent; an upload
//! that breaks off goes on from where the registry says that it is (distribution specification, "Pushing a blob in
//! chunks"); the image manifest goes last, so that a push that was killed leaves no version half there.

use crate::challenge::Credentials;
use crate::document::{pack, sign_document, DocumentError, Packed};
use crate::exchange::{
    Broke, EndOutcome, Exchange, ExchangeError, HeadOutcome, Next, Policy, RegistryRequest,
};
use crate::location::{is_tag, Location, LocationError};
use slatevalve_http::Head;
use slatevalve_plugins::{Digest, Manifest, Signature};
use std::fmt;
use std::sync::Arc;
use url::Url;

/// What is pushed.
#[derive(Clone, Debug)]
pub struct Package {
    /// The plug-in's manifest.
    pub manifest: Manifest,
    /// Its bytes.
    pub config: Arc<[u8]>,
    /// Its content, in the manifest's order.
    pub layers: Vec<Arc<[u8]>>,
    /// Signatures that go along.
    pub signatures: Vec<Signature>,
}

/// Why a push ended.
#[derive(Debug)]
pub enum PushError {
    /// The name or version is none that a registry takes.
    Name(LocationError),
    /// No answer.
    Exchange(ExchangeError),
    /// The registry does not take it: what, and its status.
    Refused(String, u16),
    /// A document could not be made.
    Document(DocumentError),
    /// The registry says that the content that it got has this other digest.
    OtherDigest(String),
    /// The registry begins an upload and does not say where, or sends it to another place.
    Upload,
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushError::Name(e) => e.fmt(f),
            PushError::Exchange(e) => e.fmt(f),
            PushError::Refused(what, status) => write!(f, "the registry answered {status} to {what}"),
            PushError::Document(e) => e.fmt(f),
            PushError::OtherDigest(found) => write!(f, "the registry took it as {found}"),
            PushError::Upload => f.write_str("the registry does not say where to upload to"),
        }
    }
}

impl std::error::Error for PushError {}

impl From<ExchangeError> for PushError {
    fn from(e: ExchangeError) -> Self {
        PushError::Exchange(e)
    }
}

impl From<DocumentError> for PushError {
    fn from(e: DocumentError) -> Self {
        PushError::Document(e)
    }
}

/// What a push did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pushed {
    /// The digest of the image manifest.
    pub image: Digest,
    /// Bytes of content that went over.
    pub bytes: u64,
    /// Bytes that the registry had.
    pub had: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Asks whether the registry has the blob.
    Head,
    /// Asks for an upload.
    Begin,
    /// Sends from this byte on.
    Part(u64),
    /// Asks how far the upload is.
    Status,
    /// Ends the upload.
    Finish,
}

/// See the module's documentation.
pub struct Push {
    location: Location,
    repository: String,
    exchange: Exchange,
    /// Bytes sent at a time.
    part: usize,
    blobs: Vec<(Digest, Arc<[u8]>)>,
    /// Manifests after the blobs: the plug-in's by tag, then signatures by digest.
    manifests: Vec<(String, Packed)>,
    /// The blob under way; beyond them the manifest.
    at: usize,
    step: Step,
    upload: Option<Url>,
    bytes: u64,
    had: u64,
    answer: Option<Head>,
}

impl Push {
    /// A push of a package; its tag is its version. `part` is how many bytes are sent at a time.
    ///
    /// # Errors
    /// When registries take no such name or version.
    pub fn new(
        now_us: i64,
        location: Location,
        credentials: Option<Credentials>,
        policy: Policy,
        seed: u64,
        part: usize,
        package: &Package,
    ) -> Result<Self, PushError> {
        let repository = location.repository(&package.manifest.name).map_err(PushError::Name)?;
        let tag = &package.manifest.version;
        if !is_tag(tag) {
            return Err(PushError::Name(LocationError::Tag(tag.clone())));
        }
        let image = pack(&package.manifest, &package.config)?;
        let contents = std::iter::once(&package.config).chain(&package.layers);
        let mut blobs: Vec<_> = contents.map(|c| (Digest::of(c), c.clone())).collect();
        let mut manifests = vec![(tag.clone(), image.clone())];
        for signature in &package.signatures {
            let document = sign_document(&image, signature)?;
            manifests.push((document.digest.to_string(), document));
        }
        if manifests.len() > 1 {
            blobs.push((Digest::of(b"{}"), Arc::from(&b"{}"[..])));
        }
        let ask = head_ask(&location, &repository, &blobs[0].0);
        let exchange = Exchange::new(now_us, policy, credentials, seed, ask);
        Ok(Push {
            location,
            repository,
            exchange,
            part: part.max(1),
            blobs,
            manifests,
            at: 0,
            step: Step::Head,
            upload: None,
            bytes: 0,
            had: 0,
            answer: None,
        })
    }

    /// Whether an answer is waited for or read.
    pub fn is_receiving(&self) -> bool {
        self.exchange.is_receiving()
    }

    /// Bytes that went over or were there, and all that there are.
    pub fn progress(&self) -> (u64, u64) {
        (self.bytes + self.had, self.blobs.iter().map(|(_, c)| c.len() as u64).sum())
    }

    /// What is to be done now.
    ///
    /// # Errors
    /// When the time is up.
    pub fn next(&mut self, now_us: i64) -> Result<Next, PushError> {
        if self.at >= self.blobs.len() + self.manifests.len() {
            return Ok(Next::Done);
        }
        Ok(self.exchange.next(now_us)?)
    }

    /// The head of an answer came.
    ///
    /// # Errors
    /// When that ends the push.
    pub fn head(&mut self, now_us: i64, head: &Head) -> Result<(), PushError> {
        let heard = self.exchange.head(now_us, head)?;
        self.answer = (heard == HeadOutcome::ForCaller).then(|| head.clone());
        Ok(())
    }

    /// A piece of an answer's body came; nothing in it matters here.
    ///
    /// # Errors
    /// When that ends the push.
    pub fn piece(&mut self, now_us: i64, piece: &[u8]) -> Result<(), PushError> {
        Ok(self.exchange.body(now_us, piece).map(drop)?)
    }

    /// A connection failed.
    ///
    /// # Errors
    /// When it was the last try.
    pub fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), PushError> {
        self.exchange.broke(now_us, broke)?;
        // How much of a part arrived only the registry knows.
        if matches!(self.step, Step::Part(_)) {
            self.step = Step::Status;
            if let Some(ask) = self.ask() {
                self.exchange.replace(ask);
            }
        }
        Ok(())
    }

    /// An answer is whole.
    ///
    /// # Errors
    /// When that ends the push.
    pub fn ended(&mut self, now_us: i64) -> Result<(), PushError> {
        if self.exchange.ended()? == EndOutcome::Resend {
            return Ok(());
        }
        let Some(head) = self.answer.take() else { return Ok(()) };
        if self.at >= self.blobs.len() {
            self.manifest_answered(&head)?;
        } else {
            self.blob_answered(now_us, &head)?;
        }
        self.exchange.progress();
        if let Some(ask) = self.ask() {
            self.exchange.start(ask);
        }
        Ok(())
    }

    fn manifest_answered(&mut self, head: &Head) -> Result<(), PushError> {
        let (reference, packed) = &self.manifests[self.at - self.blobs.len()];
        if head.status != 201 {
            return Err(PushError::Refused(format!("{}:{reference}", self.repository), head.status));
        }
        let told = head.header("Docker-Content-Digest");
        if let Some(other) = told.filter(|d| *d != packed.digest.to_string()) {
            return Err(PushError::OtherDigest(other.into()));
        }
        self.at += 1;
        Ok(())
    }

    fn blob_answered(&mut self, now_us: i64, head: &Head) -> Result<(), PushError> {
        let (digest, size) = (self.blobs[self.at].0, self.blobs[self.at].1.len() as u64);
        let refused = || Err(PushError::Refused(digest.to_string(), head.status));
        self.step = match (&self.step, head.status) {
            (Step::Head, 200) => {
                self.had += size;
                self.next_blob();
                return Ok(());
            }
            (Step::Head, 404) => Step::Begin,
            (Step::Begin, 202) => {
                self.upload = Some(self.place(head)?);
                if size == 0 {
                    Step::Finish
                } else {
                    Step::Part(0)
                }
            }
            (Step::Part(from), 202) => {
                let sent = size.min(from + self.part as u64);
                self.bytes += sent - from;
                self.upload = Some(self.place(head)?);
                if sent == size {
                    Step::Finish
                } else {
                    Step::Part(sent)
                }
            }
            (Step::Status, 204) => {
                // "0-N" is N + 1 bytes, and so is "0-0": one that holds none says no range.
                let here = head.header("Range").and_then(|r| r.split_once('-')?.1.parse::<u64>().ok());
                let here = here.map_or(0, |last| last.saturating_add(1));
                if here > size {
                    return refused();
                }
                if here == size {
                    Step::Finish
                } else {
                    Step::Part(here)
                }
            }
            // It counts otherwise than we do: it says from where it wants to go on.
            (Step::Part(_), 416) => Step::Status,
            // The upload is not there any more.
            (Step::Status | Step::Part(_) | Step::Finish, 404) => {
                self.exchange.broke(now_us, Broke::Cut)?;
                Step::Begin
            }
            (Step::Finish, 201) => {
                self.next_blob();
                return Ok(());
            }
            _ => return refused(),
        };
        Ok(())
    }

    fn next_blob(&mut self) {
        self.at += 1;
        self.step = Step::Head;
        self.upload = None;
    }

    /// Where an upload goes on: below the registry itself, as it gets the content.
    fn place(&self, head: &Head) -> Result<Url, PushError> {
        let base = self.upload.clone().unwrap_or_else(|| self.location.url(""));
        let to = head.header("Location").and_then(|l| base.join(l).ok()).ok_or(PushError::Upload)?;
        let own = self.location.url("");
        let same = to.scheme() == own.scheme()
            && to.host_str() == own.host_str()
            && to.port_or_known_default() == own.port_or_known_default();
        if same {
            Ok(to)
        } else {
            Err(PushError::Upload)
        }
    }

    /// The request of the present step; none when all is done.
    fn ask(&self) -> Option<RegistryRequest> {
        let Some((digest, content)) = self.blobs.get(self.at) else {
            let (reference, packed) = self.manifests.get(self.at.checked_sub(self.blobs.len())?)?;
            let url = self.location.url(&format!("{}/manifests/{reference}", self.repository));
            let headers = vec![("Content-Type", "application/vnd.oci.image.manifest.v1+json".to_string())];
            return Some(RegistryRequest { method: "PUT", url, headers, body: packed.bytes.clone() });
        };
        let upload = || self.upload.clone().unwrap_or_else(|| self.location.url(""));
        Some(match self.step {
            Step::Head => head_ask(&self.location, &self.repository, digest),
            Step::Begin => {
                let url = self.location.url(&format!("{}/blobs/uploads/", self.repository));
                RegistryRequest { method: "POST", url, headers: Vec::new(), body: Vec::new() }
            }
            Step::Part(from) => {
                let from = usize::try_from(from).unwrap_or(usize::MAX).min(content.len());
                let to = from.saturating_add(self.part).min(content.len());
                let headers = vec![
                    ("Content-Type", "application/octet-stream".to_string()),
                    ("Content-Range", format!("{from}-{}", to.saturating_sub(1))),
                ];
                RegistryRequest { method: "PATCH", url: upload(), headers, body: content[from..to].to_vec() }
            }
            Step::Status => RegistryRequest::get(upload()),
            Step::Finish => {
                let mut url = upload();
                url.query_pairs_mut().append_pair("digest", &digest.to_string());
                RegistryRequest { method: "PUT", url, headers: Vec::new(), body: Vec::new() }
            }
        })
    }

    /// What it did, once [`Push::next`] says that it is done.
    pub fn result(&self) -> Option<Pushed> {
        let image = self.manifests.first()?.1.digest;
        let done = self.at >= self.blobs.len() + self.manifests.len();
        done.then_some(Pushed { image, bytes: self.bytes, had: self.had })
    }
}

fn head_ask(location: &Location, repository: &str, digest: &Digest) -> RegistryRequest {
    RegistryRequest {
        method: "HEAD",
        ..RegistryRequest::get(location.url(&format!("{repository}/blobs/{digest}")))
    }
}
