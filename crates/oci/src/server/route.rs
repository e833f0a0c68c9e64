//! Paths of the distribution API (distribution specification, "Endpoints") and their query parameters.

use crate::location::is_repository;
use std::collections::BTreeMap;

/// Query parameters by name; the last one of a repeated name counts.
pub(super) type Query = BTreeMap<String, String>;

/// A path below `/v2/` and its query.
pub(super) struct Route<'a> {
    pub(super) repository: &'a str,
    pub(super) resource: Resource<'a>,
    pub(super) query: Query,
}

/// The resource that a path below `/v2/<repository>/` identifies.
pub(super) enum Resource<'a> {
    /// A blob, by its digest.
    Blob(&'a str),
    /// The collection of upload sessions.
    Uploads,
    /// An upload session, by its id.
    Upload(&'a str),
    /// A manifest, by a tag or its digest.
    Manifest(&'a str),
    Tags,
    /// The referrers of a manifest, by its digest.
    Referrers(&'a str),
}

/// Splits a request's target into path and query.
pub(super) fn split_target(target: &str) -> (&str, Query) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    (path, url::form_urlencoded::parse(query.as_bytes()).into_owned().collect())
}

impl<'a> Route<'a> {
    /// Parses a path from its end, as a repository name may have a component such as `blobs`.
    pub(super) fn parse(path: &'a str, query: Query) -> Option<Self> {
        let (repository, resource) = split_path(path)?;
        is_repository(repository).then_some(Route { repository, resource, query })
    }
}

fn split_path(path: &str) -> Option<(&str, Resource<'_>)> {
    if let Some(repository) = path.strip_suffix("/tags/list") {
        return Some((repository, Resource::Tags));
    }
    let uploads = path.strip_suffix("/blobs/uploads/").or_else(|| path.strip_suffix("/blobs/uploads"));
    if let Some(repository) = uploads {
        return Some((repository, Resource::Uploads));
    }
    let (parent, last) = path.rsplit_once('/')?;
    let resources = [
        ("/blobs/uploads", Resource::Upload(last)),
        ("/blobs", Resource::Blob(last)),
        ("/manifests", Resource::Manifest(last)),
        ("/referrers", Resource::Referrers(last)),
    ];
    resources.into_iter().find_map(|(suffix, resource)| Some((parent.strip_suffix(suffix)?, resource)))
}

/// Parses `bytes=A-B`, `bytes=A-` or `bytes=-N` for content of a size (RFC 9110 section 14.1.2) into a
/// half-open range; `None` if it is malformed or not satisfiable.
pub(super) fn parse_range(text: &str, size: usize) -> Option<std::ops::Range<usize>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let range = match (first, last) {
        ("", suffix_length) => size.checked_sub(suffix_length.parse::<usize>().ok()?.min(size))?..size,
        (first, "") => first.parse().ok()?..size,
        (first, last) => first.parse().ok()?..last.parse::<usize>().ok()?.saturating_add(1).min(size),
    };
    (!range.is_empty()).then_some(range)
}
