//! The server's side of the distribution protocol over a blob store: pulls with ranges, pushes as a whole and
//! in chunks, tags, referrers, and access control. The registry's process passes it complete requests.
//!
//! Invariants: a blob is listed after it was verified and renamed, a manifest after all that it references, a
//! tag after its manifest. A crash at any step loses the open upload sessions and nothing else.

mod access;
mod blobs;
mod error;
mod garbage;
mod manifests;
mod response;
mod route;

pub use access::Access;
pub use error::RegistryError;

use blobs::Upload;
use oci_spec::distribution::ErrorCode;
use response::{Response, ServeResult};
use route::{split_target, Resource, Route};
use serde::{Deserialize, Serialize};
use slatevalve_blobs::{BlobError, BlobStore, Files};
use slatevalve_http::Message;
use slatevalve_plugins::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// The stored document that holds all [`Repository`]s by name.
const DOCUMENT: &str = "registry.json";

/// The tags, manifests and blobs of a repository; stored as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Repository {
    tags: BTreeMap<String, Digest>,
    /// Manifests, each with its subject if it refers to another one.
    manifests: BTreeMap<Digest, Option<Digest>>,
    blobs: BTreeSet<Digest>,
}

impl Repository {
    fn referrers(&self, subject: &Digest) -> Vec<Digest> {
        let refers = |manifest_subject: &Option<Digest>| manifest_subject.as_ref() == Some(subject);
        self.manifests.iter().filter(|(_, s)| refers(s)).map(|(digest, _)| *digest).collect()
    }
}

/// A registry over a blob store.
pub struct Registry<F> {
    store: BlobStore<F>,
    access: Access,
    repositories: BTreeMap<String, Repository>,
    uploads: BTreeMap<String, Upload>,
    /// Part of the ids of upload sessions that differs between processes.
    instance: String,
    /// Number of the upload session opened last, from 1 in each process.
    last_upload: u64,
    /// The one token that the registry issues; tokens are never revoked.
    token: String,
}

impl<F: Files> Registry<F> {
    /// Opens a registry on a folder, which may be in any state that a crash left. `token` is the bearer token
    /// that the registry issues; where access is restricted it must not be guessable. `instance` must differ
    /// from that of earlier processes, so that no push continues in another one's upload session.
    ///
    /// # Errors
    /// When the folder cannot be read, or its document of repositories cannot be parsed.
    pub fn open(
        mut store: BlobStore<F>,
        access: Access,
        token: &str,
        instance: u64,
    ) -> Result<Self, RegistryError> {
        // Upload sessions do not survive the process that opened them.
        store.discard_all_staged()?;
        let repositories = match store.document(DOCUMENT) {
            Ok(bytes) => serde_json::from_slice(&bytes)?,
            Err(BlobError::Missing) => BTreeMap::new(),
            Err(e) => return Err(e.into()),
        };
        let instance = format!("{instance:016x}");
        let uploads = BTreeMap::new();
        Ok(Registry { store, access, repositories, uploads, instance, last_upload: 0, token: token.into() })
    }

    /// Serves a request; returns the encoded response.
    pub fn answer(&mut self, request: &Message) -> Vec<u8> {
        let response = self.serve(request).unwrap_or_else(|error_response| error_response);
        response.encode(request.head.method != "HEAD")
    }

    fn serve(&mut self, request: &Message) -> ServeResult {
        let (path, query) = split_target(&request.head.target);
        if path == "/token" {
            return self.issue_token(request);
        }
        let path = path.strip_prefix("/v2/").ok_or_else(|| Response::new(404))?;
        self.authorize(request)?;
        if path.is_empty() {
            return Ok(Response::json(200, &serde_json::json!({})));
        }
        let route = Route::parse(path, query)
            .ok_or_else(|| Response::error(404, ErrorCode::NameInvalid, "no such path or repository name"))?;
        self.dispatch(&route, request)
    }

    fn dispatch(&mut self, route: &Route<'_>, request: &Message) -> ServeResult {
        let (repository, query) = (route.repository, &route.query);
        match (request.head.method.as_str(), &route.resource) {
            ("GET" | "HEAD", Resource::Blob(digest)) => self.get_blob(repository, digest, request),
            ("POST", Resource::Uploads) => self.start_upload(repository, query, request),
            ("PATCH", Resource::Upload(id)) => self.append_chunk(repository, id, request),
            ("GET", Resource::Upload(id)) => self.upload_status(repository, id),
            ("PUT", Resource::Upload(id)) => self.finish_upload(repository, id, query, request),
            ("DELETE", Resource::Upload(id)) => self.cancel_upload(repository, id),
            ("GET" | "HEAD", Resource::Manifest(reference)) => self.get_manifest(repository, reference),
            ("PUT", Resource::Manifest(reference)) => self.put_manifest(repository, reference, request),
            ("DELETE", Resource::Manifest(reference)) => self.delete_manifest(repository, reference),
            ("GET", Resource::Tags) => self.list_tags(repository, query),
            ("GET", Resource::Referrers(digest)) => self.list_referrers(repository, digest, query),
            _ => Err(Response::error(405, ErrorCode::Unsupported, "this is not done here")),
        }
    }

    fn write_repositories(&mut self) -> Result<(), BlobError> {
        let bytes = serde_json::to_vec(&self.repositories).unwrap_or_default();
        self.store.write_document(DOCUMENT, &bytes)
    }
}
