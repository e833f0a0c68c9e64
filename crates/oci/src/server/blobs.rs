//! Pulling blobs, and pushing them whole or in chunks (distribution specification, "Pulling blobs", "Pushing
//! blobs").

use super::response::{Response, ServeResult};
use super::route::{parse_range, Query};
use super::Registry;
use oci_spec::distribution::ErrorCode;
use slatevalve_blobs::Files;
use slatevalve_http::Message;
use slatevalve_plugins::Digest;

/// Limit of the upload sessions that are open at a time.
const MAX_UPLOADS: usize = 64;
/// `Retry-After` of the response to a request beyond [`MAX_UPLOADS`], in seconds.
const UPLOADS_RETRY_AFTER_S: u32 = 1;

/// An open upload session.
pub(super) struct Upload {
    repository: String,
    /// Bytes received so far.
    size: u64,
}

impl<F: Files> Registry<F> {
    pub(super) fn get_blob(&mut self, repository: &str, digest: &str, request: &Message) -> ServeResult {
        let digest: Digest = digest.parse().map_err(|_| Response::unknown_blob())?;
        if !self.repositories.get(repository).is_some_and(|r| r.blobs.contains(&digest)) {
            return Err(Response::unknown_blob());
        }
        let blob_response = |status| {
            Response::new(status)
                .with_header("Docker-Content-Digest", digest)
                .with_header("Content-Type", "application/octet-stream")
                .with_header("Accept-Ranges", "bytes")
        };
        if request.head.method == "HEAD" {
            let size = self.store.size(&digest)?;
            return Ok(blob_response(200).with_header("Content-Length", size));
        }
        let content = self.store.read(&digest)?;
        let size = content.len();
        let Some(range) = request.head.header("Range") else {
            return Ok(blob_response(200).with_body(content));
        };
        match parse_range(range, size) {
            Some(range) => {
                let content_range = format!("bytes {}-{}/{size}", range.start, range.end - 1);
                let response = blob_response(206).with_header("Content-Range", content_range);
                Ok(response.with_body(content[range].to_vec()))
            }
            None => Err(blob_response(416).with_header("Content-Range", format!("bytes */{size}"))),
        }
    }

    fn find_upload(&self, repository: &str, id: &str) -> Result<&Upload, Response> {
        let unknown = || Response::error(404, ErrorCode::BlobUploadUnknown, "no such upload");
        self.uploads.get(id).filter(|upload| upload.repository == repository).ok_or_else(unknown)
    }

    /// Mounts a blob of another repository, stores the body as a blob, or opens an upload session, depending
    /// on the query.
    pub(super) fn start_upload(&mut self, repository: &str, query: &Query, request: &Message) -> ServeResult {
        if let Some(digest) = self.mountable_blob(query) {
            return self.add_blob(repository, digest);
        }
        if let Some(digest) = query.get("digest") {
            return self.put_whole_blob(repository, digest, request);
        }
        if self.uploads.len() >= MAX_UPLOADS {
            let response = Response::error(429, ErrorCode::TooManyRequests, "too many uploads are open");
            return Err(response.with_header("Retry-After", UPLOADS_RETRY_AFTER_S));
        }
        self.last_upload += 1;
        let id = format!("upload-{}-{}", self.instance, self.last_upload);
        self.store.append_staged(&id, &[])?;
        self.uploads.insert(id.clone(), Upload { repository: repository.into(), size: 0 });
        Ok(upload_response(202, repository, &id, 0))
    }

    /// The blob that a request mounts, if the repository it names has that blob (distribution specification,
    /// "Mounting a blob from another repository").
    fn mountable_blob(&self, query: &Query) -> Option<Digest> {
        let digest: Digest = query.get("mount")?.parse().ok()?;
        let source = self.repositories.get(query.get("from")?)?;
        source.blobs.contains(&digest).then_some(digest)
    }

    fn put_whole_blob(&mut self, repository: &str, digest: &str, request: &Message) -> ServeResult {
        let digest: Digest = digest.parse().map_err(Response::invalid_digest)?;
        if Digest::of(&request.body) != digest {
            return Err(Response::invalid_digest("the content does not match it"));
        }
        self.store.put(&request.body)?;
        self.add_blob(repository, digest)
    }

    pub(super) fn upload_status(&self, repository: &str, id: &str) -> ServeResult {
        let upload = self.find_upload(repository, id)?;
        Ok(upload_response(204, repository, id, upload.size))
    }

    pub(super) fn append_chunk(&mut self, repository: &str, id: &str, request: &Message) -> ServeResult {
        let received = self.find_upload(repository, id)?.size;
        if let Some(range) = request.head.header("Content-Range") {
            let start = range.split_once('-').and_then(|(start, _)| start.trim().parse::<u64>().ok());
            if start != Some(received) {
                return Err(upload_response(416, repository, id, received));
            }
        }
        let size = self.store.append_staged(id, &request.body)?;
        self.uploads.entry(id.into()).and_modify(|upload| upload.size = size);
        Ok(upload_response(202, repository, id, size))
    }

    /// Closes an upload session: appends the last chunk, if any, and makes the content a blob if it matches
    /// the digest.
    pub(super) fn finish_upload(
        &mut self,
        repository: &str,
        id: &str,
        query: &Query,
        request: &Message,
    ) -> ServeResult {
        self.find_upload(repository, id)?;
        let digest = query.get("digest").map(String::as_str).unwrap_or_default();
        let digest: Digest = digest.parse().map_err(Response::invalid_digest)?;
        if !request.body.is_empty() {
            self.append_chunk(repository, id, request)?;
        }
        self.uploads.remove(id);
        self.store.commit_staged(id, &digest)?;
        self.add_blob(repository, digest)
    }

    pub(super) fn cancel_upload(&mut self, repository: &str, id: &str) -> ServeResult {
        self.find_upload(repository, id)?;
        self.uploads.remove(id);
        self.store.discard_staged(id)?;
        Ok(Response::new(204))
    }

    fn add_blob(&mut self, repository: &str, digest: Digest) -> ServeResult {
        self.repositories.entry(repository.into()).or_default().blobs.insert(digest);
        self.write_repositories()?;
        let location = format!("/v2/{repository}/blobs/{digest}");
        let response = Response::new(201).with_header("Location", location);
        Ok(response.with_header("Docker-Content-Digest", digest))
    }
}

/// Encodes the state of an upload session; `Range` is inclusive, and absent when no byte was received.
fn upload_response(status: u16, repository: &str, id: &str, size: u64) -> Response {
    let location = format!("/v2/{repository}/blobs/uploads/{id}");
    let response = Response::new(status).with_header("Location", location);
    match size {
        0 => response,
        size => response.with_header("Range", format!("0-{}", size - 1)),
    }
}
