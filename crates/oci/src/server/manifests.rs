//! Manifests, tags and referrers (distribution specification, "Pulling manifests", "Pushing manifests",
//! "Listing tags", "Listing referrers").

use super::response::{Response, ServeResult};
use super::route::Query;
use super::{Registry, Repository};
use crate::location::is_tag;
use oci_spec::distribution::{ErrorCode, TagListBuilder};
use oci_spec::image::{Descriptor, ImageIndexBuilder, ImageManifest, MediaType};
use slatevalve_blobs::Files;
use slatevalve_http::Message;
use slatevalve_plugins::Digest;

/// Limit of a manifest's size, in bytes. The specification recommends at least 4 MB.
const MAX_MANIFEST: usize = 4 * 1024 * 1024;
/// Limit of the tags in one response; also the default where the client requests no number.
const MAX_TAGS_PER_RESPONSE: usize = 1_000;

impl<F: Files> Registry<F> {
    /// Resolves a tag or digest to the digest of a manifest in the repository.
    fn find_manifest(&self, repository: &str, reference: &str) -> Result<Digest, Response> {
        let unknown = |code| Response::error(404, code, "no such manifest");
        let found = self.repositories.get(repository).ok_or_else(|| unknown(ErrorCode::NameUnknown))?;
        let digest = match reference.parse::<Digest>() {
            Ok(digest) => Some(digest).filter(|digest| found.manifests.contains_key(digest)),
            Err(_) => found.tags.get(reference).copied(),
        };
        digest.ok_or_else(|| unknown(ErrorCode::ManifestUnknown))
    }

    pub(super) fn get_manifest(&mut self, repository: &str, reference: &str) -> ServeResult {
        let digest = self.find_manifest(repository, reference)?;
        let content = self.store.read(&digest)?;
        let response = Response::new(200).with_header("Content-Type", MediaType::ImageManifest);
        Ok(response.with_header("Docker-Content-Digest", digest).with_body(content))
    }

    pub(super) fn put_manifest(
        &mut self,
        repository: &str,
        reference: &str,
        request: &Message,
    ) -> ServeResult {
        if request.body.len() > MAX_MANIFEST {
            return Err(Response::error(413, ErrorCode::SizeInvalid, "the manifest is too large"));
        }
        let digest = Digest::of(&request.body);
        let tag = parse_reference(reference, &digest)?;
        let image: ImageManifest =
            serde_json::from_slice(&request.body).map_err(|e| invalid_manifest(&e.to_string()))?;
        let target = self.repositories.entry(repository.into()).or_default();
        check_content(target, &image)?;
        let subject = image.subject().as_ref().and_then(digest_of);
        self.store.put(&request.body)?;
        target.manifests.insert(digest, subject);
        if let Some(tag) = tag {
            target.tags.insert(tag.into(), digest);
        }
        self.write_repositories()?;
        let location = format!("/v2/{repository}/manifests/{digest}");
        let response = Response::new(201).with_header("Location", location);
        let response = response.with_header("Docker-Content-Digest", digest);
        Ok(match subject {
            Some(subject) => response.with_header("OCI-Subject", subject),
            None => response,
        })
    }

    /// Deletes a tag only, or by digest a manifest together with its tags.
    pub(super) fn delete_manifest(&mut self, repository: &str, reference: &str) -> ServeResult {
        let digest = self.find_manifest(repository, reference)?;
        let found = self.repositories.entry(repository.into()).or_default();
        if found.tags.remove(reference).is_none() {
            found.manifests.remove(&digest);
            found.tags.retain(|_, tagged| *tagged != digest);
        }
        self.write_repositories()?;
        Ok(Response::new(202))
    }

    /// Lists the tags in lexical order, those after `last` and at most `n`; a `Link` header points to the
    /// next page.
    pub(super) fn list_tags(&self, repository: &str, query: &Query) -> ServeResult {
        let unknown = || Response::error(404, ErrorCode::NameUnknown, "no such repository");
        let found = self.repositories.get(repository).ok_or_else(unknown)?;
        let requested = query.get("n").and_then(|number| number.parse().ok());
        let limit = requested.unwrap_or(MAX_TAGS_PER_RESPONSE).min(MAX_TAGS_PER_RESPONSE);
        let last = query.get("last").cloned().unwrap_or_default();
        let mut remaining = found.tags.keys().filter(|tag| **tag > last);
        let tags: Vec<String> = remaining.by_ref().take(limit).cloned().collect();
        let next_page = remaining
            .next()
            .and(tags.last())
            .map(|last| format!("</v2/{repository}/tags/list?n={limit}&last={last}>; rel=\"next\""));
        let list = TagListBuilder::default().name(repository).tags(tags).build();
        let response = list.map_or_else(|_| Response::new(500), |list| Response::json(200, &list));
        Ok(match next_page {
            Some(link) => response.with_header("Link", link),
            None => response,
        })
    }

    /// Lists the manifests that refer to a digest, as an image index, filtered by artifact type if the query
    /// names one.
    pub(super) fn list_referrers(&mut self, repository: &str, digest: &str, query: &Query) -> ServeResult {
        let subject: Digest = digest.parse().map_err(Response::invalid_digest)?;
        let referrers = self.repositories.get(repository).map(|found| found.referrers(&subject));
        let mut descriptors = Vec::new();
        for manifest in referrers.unwrap_or_default() {
            let bytes = self.store.read(&manifest)?;
            descriptors.extend(describe(&manifest, &bytes));
        }
        let filter = query.get("artifactType");
        if let Some(filter) = filter {
            let is_match = |artifact_type: &MediaType| artifact_type.to_string() == *filter;
            descriptors.retain(|descriptor| descriptor.artifact_type().as_ref().is_some_and(is_match));
        }
        let index = ImageIndexBuilder::default()
            .schema_version(2u32)
            .media_type(MediaType::ImageIndex)
            .manifests(descriptors)
            .build();
        let response = match index {
            Ok(index) => Response::json_as(MediaType::ImageIndex, 200, &index),
            Err(_) => Response::new(500).with_header("Content-Type", MediaType::ImageIndex),
        };
        Ok(match filter {
            Some(_) => response.with_header("OCI-Filters-Applied", "artifactType"),
            None => response,
        })
    }
}

/// Returns the tag of a reference, or `None` if it is a digest, which must then be that of the content.
fn parse_reference<'a>(reference: &'a str, digest: &Digest) -> Result<Option<&'a str>, Response> {
    match reference.parse::<Digest>() {
        Ok(expected) if expected == *digest => Ok(None),
        Ok(_) => Err(Response::invalid_digest("the content does not match it")),
        Err(_) if is_tag(reference) => Ok(Some(reference)),
        Err(_) => Err(invalid_manifest("this cannot be a tag")),
    }
}

/// Checks that the repository holds the config and all layers of a manifest.
fn check_content(repository: &Repository, image: &ImageManifest) -> Result<(), Response> {
    for descriptor in referenced_blobs(image) {
        if !digest_of(descriptor).is_some_and(|digest| repository.blobs.contains(&digest)) {
            let message = format!("{} is not here", descriptor.digest());
            return Err(Response::error(404, ErrorCode::ManifestBlobUnknown, &message));
        }
    }
    Ok(())
}

/// The descriptors of a manifest's layers, followed by that of its config.
pub(super) fn referenced_blobs(image: &ImageManifest) -> impl Iterator<Item = &Descriptor> {
    image.layers().iter().chain([image.config()])
}

/// The digest of a descriptor; `None` where its algorithm is not supported.
pub(super) fn digest_of(descriptor: &Descriptor) -> Option<Digest> {
    descriptor.digest().to_string().parse().ok()
}

fn invalid_manifest(message: &str) -> Response {
    Response::error(400, ErrorCode::ManifestInvalid, message)
}

/// The entry of a manifest in a list of referrers; `None` if it is not an image manifest.
fn describe(digest: &Digest, bytes: &[u8]) -> Option<Descriptor> {
    let image: ImageManifest = serde_json::from_slice(bytes).ok()?;
    let oci_digest = digest.to_string().parse::<oci_spec::image::Digest>().ok()?;
    let mut descriptor = Descriptor::new(MediaType::ImageManifest, bytes.len() as u64, oci_digest);
    let artifact_type = image.artifact_type().as_ref().unwrap_or(image.config().media_type());
    descriptor.set_artifact_type(Some(artifact_type.clone()));
    descriptor.set_annotations(image.annotations().clone());
    Some(descriptor)
}
