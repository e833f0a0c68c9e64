//! The server's side of the distribution protocol over a folder: pulls with ranges, pushes whole and in parts, tags,
//! referrers, and who may do what. The registry's process calls it with whole requests.
//!
//! It guards the folder: a blob is there when it was verified and renamed, a manifest when all that it names is there, a
//! tag when its manifest is. A crash at any step leaves uploads that are forgotten, and nothing else.

use crate::challenge::Credentials;
use crate::location::{is_repository, is_tag};
use oci_spec::distribution::{ErrorCode, ErrorInfoBuilder, ErrorResponseBuilder, TagListBuilder};
use oci_spec::image::{Descriptor, ImageIndexBuilder, ImageManifest, MediaType};
use serde::{Deserialize, Serialize};
use slatevalve_blobs::{BlobError, BlobStore, Files};
use slatevalve_http::Message;
use slatevalve_plugins::Digest;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const DOCUMENT: &str = "registry.json";
/// Bytes of a manifest.
const MAX_MANIFEST: usize = 4 * 1024 * 1024;
/// Uploads that may be open.
const MAX_UPLOADS: usize = 64;
/// Tags in one answer, where the client asks for no number.
const TAGS_AT_ONCE: usize = 1_000;

/// Why the folder is no registry's.
#[derive(Debug)]
pub enum RegistryError {
    /// The folder.
    Folder(BlobError),
    /// Its document cannot be read.
    Document(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegistryError::Folder(e) => write!(f, "the folder: {e}"),
            RegistryError::Document(words) => write!(f, "{DOCUMENT}: {words}"),
        }
    }
}

impl std::error::Error for RegistryError {}

impl From<BlobError> for RegistryError {
    fn from(e: BlobError) -> Self {
        RegistryError::Folder(e)
    }
}

/// Who is served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// Everybody.
    #[default]
    Open,
    /// Whoever shows this name and password.
    Basic(Credentials),
    /// Whoever shows a token, to be had with this name and password at `/token` of this address.
    Token(Credentials, String),
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Repository {
    tags: BTreeMap<String, Digest>,
    /// What each manifest refers to, where it refers to another.
    manifests: BTreeMap<Digest, Option<Digest>>,
    blobs: BTreeSet<Digest>,
}

struct Upload {
    repository: String,
    size: u64,
}

/// An answer, as bytes to be written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn new(status: u16) -> Self {
        Answer { status, ..Answer::default() }
    }

    fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Answer { status, body, headers: vec![("Content-Type", "application/json".into())] }
    }

    fn error(status: u16, code: ErrorCode, words: &str) -> Self {
        let info = ErrorInfoBuilder::default().code(code).message(words).build();
        let body = info.ok().and_then(|i| ErrorResponseBuilder::default().errors(vec![i]).build().ok());
        body.map_or(Answer::new(status), |b| Answer::json(status, &b))
    }
}

type Served = Result<Answer, Answer>;

fn unknown_blob() -> Answer {
    Answer::error(404, ErrorCode::BlobUnknown, "no such blob")
}

fn disk(e: BlobError) -> Answer {
    match e {
        BlobError::Missing => unknown_blob(),
        BlobError::Corrupt(why) => Answer::error(400, ErrorCode::DigestInvalid, &why.to_string()),
        BlobError::Disk(e) => Answer::error(507, ErrorCode::Unsupported, &e.to_string()),
    }
}

/// See the module's documentation.
pub struct Registry<F> {
    store: BlobStore<F>,
    access: Access,
    repositories: BTreeMap<String, Repository>,
    uploads: BTreeMap<String, Upload>,
    next: u64,
    /// A token that was given; a further one voids none, so one text serves.
    token: String,
}

impl<F: Files> Registry<F> {
    /// A registry over a folder as a crash may have left it. `token` is what it gives as a token: a text that cannot be
    /// guessed, where it matters.
    ///
    /// # Errors
    /// When the folder cannot be read.
    pub fn open(mut store: BlobStore<F>, access: Access, token: &str) -> Result<Self, RegistryError> {
        // Nobody can go on with an upload that this process does not know.
        store.discard_staged(None)?;
        let repositories = match store.document(DOCUMENT) {
            Ok(bytes) => {
                serde_json::from_slice(&bytes).map_err(|e| RegistryError::Document(e.to_string()))?
            }
            Err(BlobError::Missing) => BTreeMap::new(),
            Err(e) => return Err(e.into()),
        };
        Ok(Registry { store, access, repositories, uploads: BTreeMap::new(), next: 0, token: token.into() })
    }

    /// Answers a request.
    pub fn answer(&mut self, request: &Message) -> Vec<u8> {
        let answer = self.serve(request).unwrap_or_else(|refused| refused);
        let mut head = format!("HTTP/1.1 {} {}\r\n", answer.status, phrase(answer.status));
        answer.headers.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
        if !answer.headers.iter().any(|(n, _)| *n == "Content-Length") && answer.status != 204 {
            head += &format!("Content-Length: {}\r\n", answer.body.len());
        }
        head += "Docker-Distribution-API-Version: registry/2.0\r\n\r\n";
        let mut bytes = head.into_bytes();
        if request.head.method != "HEAD" {
            bytes.extend_from_slice(&answer.body);
        }
        bytes
    }

    fn serve(&mut self, request: &Message) -> Served {
        let (path, query) = request.head.target.split_once('?').unwrap_or((&request.head.target, ""));
        let query: BTreeMap<String, String> =
            url::form_urlencoded::parse(query.as_bytes()).into_owned().collect();
        if path == "/token" {
            return self.give_token(request);
        }
        let path = path.strip_prefix("/v2/").ok_or_else(|| Answer::new(404))?;
        self.admit(request)?;
        if path.is_empty() {
            return Ok(Answer::json(200, &serde_json::json!({})));
        }
        let method = request.head.method.as_str();
        let (repository, rest) = split(path)
            .ok_or_else(|| Answer::error(404, ErrorCode::NameInvalid, "no such path or repository name"))?;
        match (method, rest) {
            ("GET" | "HEAD", Rest::Blob(digest)) => self.blob(repository, digest, request),
            ("POST", Rest::Uploads) => self.begin_upload(repository, &query, request),
            ("PATCH", Rest::Upload(id)) => self.add(repository, id, request),
            ("GET", Rest::Upload(id)) => {
                let upload = self.upload(repository, id)?;
                Ok(upload_answer(204, repository, id, upload.size))
            }
            ("PUT", Rest::Upload(id)) => self.finish_upload(repository, id, &query, request),
            ("DELETE", Rest::Upload(id)) => {
                self.upload(repository, id)?;
                self.uploads.remove(id);
                self.store.discard_staged(Some(id)).map_err(disk)?;
                Ok(Answer::new(204))
            }
            ("GET" | "HEAD", Rest::Manifest(reference)) => self.manifest(repository, reference),
            ("PUT", Rest::Manifest(reference)) => self.put_manifest(repository, reference, request),
            ("DELETE", Rest::Manifest(reference)) => self.delete(repository, reference),
            ("GET", Rest::Tags) => self.tags(repository, &query),
            ("GET", Rest::Referrers(digest)) => self.referrers(repository, digest, &query),
            _ => Err(Answer::error(405, ErrorCode::Unsupported, "this is not done here")),
        }
    }

    /// Whether the caller may, by what it shows.
    fn admit(&self, request: &Message) -> Result<(), Answer> {
        let shown = request.head.header("Authorization").unwrap_or_default();
        let (good, challenge) = match &self.access {
            Access::Open => return Ok(()),
            Access::Basic(credentials) => (shown == credentials.basic(), "Basic realm=\"registry\"".into()),
            Access::Token(_, address) => {
                let challenge = format!("Bearer realm=\"{address}/token\",service=\"slatevalve\"");
                (shown == format!("Bearer {}", self.token), challenge)
            }
        };
        if good {
            return Ok(());
        }
        let refused = Answer::error(401, ErrorCode::Unauthorized, "who are you?");
        Err(refused.with("WWW-Authenticate", challenge))
    }

    fn give_token(&self, request: &Message) -> Served {
        match &self.access {
            Access::Token(credentials, _)
                if request.head.header("Authorization") == Some(&credentials.basic()) =>
            {
                Ok(Answer::json(200, &serde_json::json!({"token": self.token, "expires_in": 300})))
            }
            _ => Err(Answer::error(401, ErrorCode::Unauthorized, "who are you?")),
        }
    }

    fn blob(&mut self, repository: &str, digest: &str, request: &Message) -> Served {
        let digest: Digest = digest.parse().map_err(|_| unknown_blob())?;
        if !self.repositories.get(repository).is_some_and(|r| r.blobs.contains(&digest)) {
            return Err(unknown_blob());
        }
        let of = |status| {
            let answer = Answer::new(status).with("Docker-Content-Digest", digest);
            answer.with("Content-Type", "application/octet-stream").with("Accept-Ranges", "bytes")
        };
        if request.head.method == "HEAD" {
            let size = self.store.size(&digest).map_err(disk)?;
            return Ok(of(200).with("Content-Length", size));
        }
        let content = self.store.read(&digest).map_err(disk)?;
        match request.head.header("Range") {
            None => Ok(Answer { body: content, ..of(200) }),
            Some(range) => match read_range(range, content.len()) {
                Some((from, to)) => {
                    let told = format!("bytes {from}-{}/{}", to - 1, content.len());
                    Ok(Answer { body: content[from..to].to_vec(), ..of(206).with("Content-Range", told) })
                }
                None => Err(of(416).with("Content-Range", format!("bytes */{}", content.len()))),
            },
        }
    }

    fn upload(&self, repository: &str, id: &str) -> Result<&Upload, Answer> {
        let unknown = || Answer::error(404, ErrorCode::BlobUploadUnknown, "no such upload");
        self.uploads.get(id).filter(|u| u.repository == repository).ok_or_else(unknown)
    }

    fn begin_upload(
        &mut self,
        repository: &str,
        query: &BTreeMap<String, String>,
        request: &Message,
    ) -> Served {
        // A blob of another repository may be had without sending it ("Mounting a blob from another repository").
        let mount: Option<Digest> = query.get("mount").and_then(|d| d.parse().ok());
        let from = query.get("from").and_then(|f| self.repositories.get(f));
        if let Some(digest) = mount.filter(|d| from.is_some_and(|r| r.blobs.contains(d))) {
            return self.take_blob(repository, digest);
        }
        if let Some(digest) = query.get("digest") {
            let digest: Digest = digest.parse().map_err(bad_digest)?;
            if Digest::of(&request.body) != digest {
                return Err(Answer::error(400, ErrorCode::DigestInvalid, "the content does not match it"));
            }
            self.store.put(&request.body).map_err(disk)?;
            return self.take_blob(repository, digest);
        }
        if self.uploads.len() >= MAX_UPLOADS {
            let answer = Answer::error(429, ErrorCode::TooManyRequests, "too many uploads are open");
            return Err(answer.with("Retry-After", 1));
        }
        self.next += 1;
        let id = format!("upload-{}", self.next);
        self.store.stage(&id, &[]).map_err(disk)?;
        self.uploads.insert(id.clone(), Upload { repository: repository.into(), size: 0 });
        Ok(upload_answer(202, repository, &id, 0))
    }

    fn add(&mut self, repository: &str, id: &str, request: &Message) -> Served {
        let have = self.upload(repository, id)?.size;
        if let Some(range) = request.head.header("Content-Range") {
            let from = range.split_once('-').and_then(|(from, _)| from.trim().parse::<u64>().ok());
            if from != Some(have) {
                return Err(upload_answer(416, repository, id, have));
            }
        }
        let size = self.store.stage(id, &request.body).map_err(disk)?;
        self.uploads.entry(id.into()).and_modify(|u| u.size = size);
        Ok(upload_answer(202, repository, id, size))
    }

    fn finish_upload(
        &mut self,
        repository: &str,
        id: &str,
        query: &BTreeMap<String, String>,
        request: &Message,
    ) -> Served {
        self.upload(repository, id)?;
        let digest = query.get("digest").map(String::as_str).unwrap_or_default();
        let digest: Digest = digest.parse().map_err(bad_digest)?;
        if !request.body.is_empty() {
            self.add(repository, id, request)?;
        }
        self.uploads.remove(id);
        self.store.commit_staged(id, &digest).map_err(disk)?;
        self.take_blob(repository, digest)
    }

    fn take_blob(&mut self, repository: &str, digest: Digest) -> Served {
        self.repositories.entry(repository.into()).or_default().blobs.insert(digest);
        self.write()?;
        let place = format!("/v2/{repository}/blobs/{digest}");
        Ok(Answer::new(201).with("Location", place).with("Docker-Content-Digest", digest))
    }

    fn write(&mut self) -> Result<(), Answer> {
        let bytes = serde_json::to_vec(&self.repositories).unwrap_or_default();
        self.store.write_document(DOCUMENT, &bytes).map_err(disk)
    }

    fn find(&self, repository: &str, reference: &str) -> Result<Digest, Answer> {
        let unknown = |code| Answer::error(404, code, "no such manifest");
        let found = self.repositories.get(repository).ok_or_else(|| unknown(ErrorCode::NameUnknown))?;
        let digest = match reference.parse::<Digest>() {
            Ok(digest) => Some(digest).filter(|d| found.manifests.contains_key(d)),
            Err(_) => found.tags.get(reference).copied(),
        };
        digest.ok_or_else(|| unknown(ErrorCode::ManifestUnknown))
    }

    fn manifest(&mut self, repository: &str, reference: &str) -> Served {
        let digest = self.find(repository, reference)?;
        let body = self.store.read(&digest).map_err(disk)?;
        let answer = Answer { body, ..Answer::new(200) };
        Ok(answer.with("Content-Type", MediaType::ImageManifest).with("Docker-Content-Digest", digest))
    }

    fn put_manifest(&mut self, repository: &str, reference: &str, request: &Message) -> Served {
        let bad = |words: &str| Answer::error(400, ErrorCode::ManifestInvalid, words);
        if request.body.len() > MAX_MANIFEST {
            return Err(Answer::error(413, ErrorCode::SizeInvalid, "the manifest is too large"));
        }
        let digest = Digest::of(&request.body);
        match reference.parse::<Digest>() {
            Ok(promised) if promised != digest => {
                return Err(Answer::error(400, ErrorCode::DigestInvalid, "the content does not match it"))
            }
            Err(_) if !is_tag(reference) => return Err(bad("this cannot be a tag")),
            _ => {}
        }
        let image: ImageManifest = serde_json::from_slice(&request.body).map_err(|e| bad(&e.to_string()))?;
        let needed = image.layers().iter().chain([image.config()]);
        let here = self.repositories.entry(repository.into()).or_default();
        for descriptor in needed {
            let found: Option<Digest> = descriptor.digest().to_string().parse().ok();
            if !found.is_some_and(|d| here.blobs.contains(&d)) {
                let words = format!("{} is not here", descriptor.digest());
                return Err(Answer::error(404, ErrorCode::ManifestBlobUnknown, &words));
            }
        }
        let subject: Option<Digest> =
            image.subject().as_ref().and_then(|s| s.digest().to_string().parse().ok());
        self.store.put(&request.body).map_err(disk)?;
        here.manifests.insert(digest, subject);
        if reference.parse::<Digest>().is_err() {
            here.tags.insert(reference.into(), digest);
        }
        self.write()?;
        let place = format!("/v2/{repository}/manifests/{digest}");
        let answer = Answer::new(201).with("Location", place).with("Docker-Content-Digest", digest);
        Ok(match subject {
            Some(subject) => answer.with("OCI-Subject", subject),
            None => answer,
        })
    }

    fn delete(&mut self, repository: &str, reference: &str) -> Served {
        let digest = self.find(repository, reference)?;
        let found = self.repositories.entry(repository.into()).or_default();
        // A tag goes alone; a manifest takes its tags with it.
        if found.tags.remove(reference).is_none() {
            found.manifests.remove(&digest);
            found.tags.retain(|_, d| *d != digest);
        }
        self.write()?;
        Ok(Answer::new(202))
    }

    fn tags(&self, repository: &str, query: &BTreeMap<String, String>) -> Served {
        let found = self.repositories.get(repository);
        let found = found.ok_or_else(|| Answer::error(404, ErrorCode::NameUnknown, "no such repository"))?;
        let most = query.get("n").and_then(|n| n.parse().ok()).unwrap_or(TAGS_AT_ONCE).min(TAGS_AT_ONCE);
        let last = query.get("last").cloned().unwrap_or_default();
        let mut rest = found.tags.keys().filter(|t| **t > last);
        let tags: Vec<String> = rest.by_ref().take(most).cloned().collect();
        let next = rest
            .next()
            .and(tags.last())
            .map(|last| format!("</v2/{repository}/tags/list?n={most}&last={last}>; rel=\"next\""));
        let list = TagListBuilder::default().name(repository).tags(tags).build();
        let answer = list.map(|l| Answer::json(200, &l)).unwrap_or_else(|_| Answer::new(500));
        Ok(match next {
            Some(next) => answer.with("Link", next),
            None => answer,
        })
    }

    fn referrers(&mut self, repository: &str, digest: &str, query: &BTreeMap<String, String>) -> Served {
        let subject: Digest = digest.parse().map_err(bad_digest)?;
        let found = self.repositories.get(repository).map(|r| &r.manifests);
        let refer = found.into_iter().flatten().filter(|(_, s)| **s == Some(subject)).map(|(d, _)| *d);
        let mut list = Vec::new();
        for manifest in refer.collect::<Vec<_>>() {
            let bytes = self.store.read(&manifest).map_err(disk)?;
            list.extend(describe(&manifest, &bytes));
        }
        let wanted = query.get("artifactType");
        if let Some(wanted) = wanted {
            list.retain(|d| d.artifact_type().as_ref().is_some_and(|t| t.to_string() == *wanted));
        }
        let index = ImageIndexBuilder::default()
            .schema_version(2u32)
            .media_type(MediaType::ImageIndex)
            .manifests(list)
            .build();
        let mut answer = index.map(|i| Answer::json(200, &i)).unwrap_or_else(|_| Answer::new(500));
        answer.headers.retain(|(n, _)| *n != "Content-Type");
        let answer = answer.with("Content-Type", MediaType::ImageIndex);
        Ok(if wanted.is_some() { answer.with("OCI-Filters-Applied", "artifactType") } else { answer })
    }

    /// Removes manifests that neither a tag nor a manifest with a tag needs, and blobs that no manifest names; gives how
    /// many blobs went. An upload that is open keeps what it has; content pushed for a manifest that has not come yet goes,
    /// so it is for a registry at rest.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn collect(&mut self) -> Result<usize, RegistryError> {
        let mut keep = BTreeSet::new();
        for repository in self.repositories.values_mut() {
            let tagged: BTreeSet<Digest> = repository.tags.values().copied().collect();
            let subject_stands = |s: &Option<Digest>| s.is_some_and(|s| tagged.contains(&s));
            repository.manifests.retain(|d, s| tagged.contains(d) || subject_stands(s));
            let mut named = BTreeSet::new();
            for digest in repository.manifests.keys() {
                keep.insert(*digest);
                let Ok(bytes) = self.store.read(digest) else { continue };
                let Ok(image) = serde_json::from_slice::<ImageManifest>(&bytes) else { continue };
                let all = image.layers().iter().chain([image.config()]);
                named.extend(all.filter_map(|d| d.digest().to_string().parse::<Digest>().ok()));
            }
            repository.blobs.retain(|d| named.contains(d));
            keep.extend(named);
        }
        self.repositories.retain(|_, r| !r.manifests.is_empty());
        // The document first: what it names is there at every moment.
        let bytes = serde_json::to_vec(&self.repositories).unwrap_or_default();
        self.store.write_document(DOCUMENT, &bytes)?;
        Ok(self.store.collect(&keep)?)
    }
}

fn bad_digest(e: impl fmt::Display) -> Answer {
    Answer::error(400, ErrorCode::DigestInvalid, &e.to_string())
}

fn upload_answer(status: u16, repository: &str, id: &str, size: u64) -> Answer {
    let answer = Answer::new(status).with("Location", format!("/v2/{repository}/blobs/uploads/{id}"));
    match size {
        0 => answer,
        size => answer.with("Range", format!("0-{}", size - 1)),
    }
}

/// How a list of referrers names one.
fn describe(digest: &Digest, bytes: &[u8]) -> Option<Descriptor> {
    let image: ImageManifest = serde_json::from_slice(bytes).ok()?;
    let oci = digest.to_string().parse::<oci_spec::image::Digest>().ok()?;
    let mut descriptor = Descriptor::new(MediaType::ImageManifest, bytes.len() as u64, oci);
    let config = || image.config().media_type().clone();
    descriptor.set_artifact_type(Some(image.artifact_type().clone().unwrap_or_else(config)));
    descriptor.set_annotations(image.annotations().clone());
    Some(descriptor)
}

/// What a path below `/v2/NAME/` is.
enum Rest<'a> {
    Blob(&'a str),
    Uploads,
    Upload(&'a str),
    Manifest(&'a str),
    Tags,
    Referrers(&'a str),
}

/// Splits a path into repository and rest; a repository may have a component like `blobs`, so it is read from the end.
fn split(path: &str) -> Option<(&str, Rest<'_>)> {
    let (repository, rest) = if let Some(repository) = path.strip_suffix("/tags/list") {
        (repository, Rest::Tags)
    } else if let Some(repository) =
        path.strip_suffix("/blobs/uploads/").or_else(|| path.strip_suffix("/blobs/uploads"))
    {
        (repository, Rest::Uploads)
    } else {
        let (before, last) = path.rsplit_once('/')?;
        let kinds = [
            ("/blobs/uploads", Rest::Upload(last)),
            ("/blobs", Rest::Blob(last)),
            ("/manifests", Rest::Manifest(last)),
            ("/referrers", Rest::Referrers(last)),
        ];
        kinds.into_iter().find_map(|(suffix, rest)| Some((before.strip_suffix(suffix)?, rest)))?
    };
    is_repository(repository).then_some((repository, rest))
}

/// `bytes=A-B`, `bytes=A-` and `bytes=-N` within a size (RFC 9110 section 14.1.2); the end is exclusive.
fn read_range(text: &str, size: usize) -> Option<(usize, usize)> {
    let (from, to) = text.strip_prefix("bytes=")?.split_once('-')?;
    let (from, to) = match (from, to) {
        ("", last) => (size.checked_sub(last.parse::<usize>().ok()?.min(size))?, size),
        (from, "") => (from.parse().ok()?, size),
        (from, to) => (from.parse().ok()?, to.parse::<usize>().ok()?.saturating_add(1).min(size)),
    };
    (from < to).then_some((from, to))
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        429 => "Too Many Requests",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}
