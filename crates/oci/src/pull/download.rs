//! The download of one blob in ranges (distribution specification, "Pulling blobs"; RFC 9110 section 14).

use super::PullSettings;
use crate::exchange::RegistryRequest;
use slatevalve_blobs::{BlobError, BlobStore, Files, Partial};
use slatevalve_http::Head;
use slatevalve_plugins::LayerRef;

/// A failed attempt counts as progress if it received at least 1/16 of the bytes that it requested.
const PROGRESS_FRACTION: u64 = 16;
/// The pull fails when a blob is corrupt this many times. The first time may be due to a corrupt part that an
/// earlier process stored; the second time the registry is at fault.
const MAX_CORRUPTIONS: u32 = 2;

/// A blob that is being downloaded.
pub(super) struct Download {
    /// Position among the image's blobs: the config at 0, its layers from 1 on.
    pub(super) index: usize,
    pub(super) blob: LayerRef,
    /// `None` after a commit was attempted.
    partial: Option<Partial>,
    /// Whether the body of the current response is content of the blob.
    accepting: bool,
    /// Bytes received in the current attempt.
    received: u64,
    corruptions: u32,
}

/// The consequence of a response's head for a download.
pub(super) enum ContentHead {
    /// The body continues the blob.
    Continues,
    /// The body is the whole blob, though a range was requested.
    Restarts,
    /// The body is another range than the requested one.
    WrongRange,
    /// The blob has no such range, so the stored bytes cannot be a part of it.
    RangeUnsatisfiable,
    /// The registry does not serve the blob; holds the status.
    Rejected(u16),
}

impl Download {
    pub(super) fn new(index: usize, blob: LayerRef, partial: Partial) -> Self {
        Download { index, blob, partial: Some(partial), accepting: false, received: 0, corruptions: 0 }
    }

    /// Bytes stored, from the start of the blob.
    pub(super) fn stored(&self) -> u64 {
        self.partial.as_ref().map_or(0, Partial::stored_bytes)
    }

    fn missing(&self) -> u64 {
        self.blob.size.saturating_sub(self.stored())
    }

    pub(super) fn is_complete(&self) -> bool {
        self.missing() == 0
    }

    /// The request for the next range of at most [`PullSettings::range`] bytes; without `Range` where that is
    /// the whole blob.
    pub(super) fn request(&self, settings: &PullSettings, repository: &str) -> RegistryRequest {
        let url = settings.location.url(&format!("{repository}/blobs/{}", self.blob.digest));
        let mut request = RegistryRequest::get(url);
        let first = self.stored();
        let last = first.saturating_add(settings.range.max(1)).min(self.blob.size).saturating_sub(1);
        if first > 0 || last + 1 < self.blob.size {
            request.headers.push(("Range", format!("bytes={first}-{last}")));
        }
        request
    }

    /// Starts reading a response.
    pub(super) fn handle_head(&mut self, head: &Head) -> ContentHead {
        self.received = 0;
        let stored = self.stored();
        let content = match head.status {
            200 if stored > 0 => ContentHead::Restarts,
            200 => ContentHead::Continues,
            206 if content_range_start(head) == Some(stored) => ContentHead::Continues,
            206 => ContentHead::WrongRange,
            416 => ContentHead::RangeUnsatisfiable,
            status => ContentHead::Rejected(status),
        };
        self.accepting = matches!(content, ContentHead::Continues | ContentHead::Restarts);
        content
    }

    /// Appends a chunk of a response's body.
    ///
    /// # Errors
    /// [`BlobError::Corrupt`] when the blob grows beyond its size, after which the rest of the body is
    /// ignored, or when the store fails.
    pub(super) fn append<F: Files>(
        &mut self,
        store: &mut BlobStore<F>,
        chunk: &[u8],
    ) -> Result<(), BlobError> {
        let Some(partial) = self.partial.as_mut() else { return Ok(()) };
        self.received += chunk.len() as u64;
        let appended = store.append(partial, chunk);
        if matches!(appended, Err(BlobError::Corrupt(_))) {
            self.accepting = false;
        }
        appended
    }

    /// Whether the body of the current response is content of the blob.
    pub(super) fn is_accepting(&self) -> bool {
        self.accepting && self.partial.is_some()
    }

    /// Whether the current attempt received any bytes.
    pub(super) fn has_received(&self) -> bool {
        self.received > 0
    }

    /// Whether a failed attempt received enough of the requested bytes to count as progress. A few bytes do
    /// not suffice, as a registry that sends one byte per connection would otherwise keep the pull busy until
    /// its deadline.
    pub(super) fn has_progressed(&self, range: u64) -> bool {
        let requested = (self.missing() + self.received).min(range);
        self.has_received() && self.received.saturating_mul(PROGRESS_FRACTION) >= requested
    }

    /// Ends the current attempt; the bytes it received are kept.
    pub(super) fn end_attempt(&mut self) {
        self.received = 0;
        self.accepting = false;
    }

    /// Discards the stored bytes and starts from the first one.
    pub(super) fn restart<F: Files>(&mut self, store: &mut BlobStore<F>) -> Result<(), BlobError> {
        store.discard(&self.blob.digest)?;
        self.partial = Some(store.open_partial(self.blob.digest, self.blob.size)?);
        Ok(())
    }

    /// Discards corrupt content and starts from the first byte; returns false when the blob was corrupt too
    /// often.
    pub(super) fn restart_corrupt<F: Files>(&mut self, store: &mut BlobStore<F>) -> Result<bool, BlobError> {
        self.corruptions += 1;
        if self.corruptions >= MAX_CORRUPTIONS {
            store.discard(&self.blob.digest)?;
            return Ok(false);
        }
        self.restart(store)?;
        self.received = 0;
        Ok(true)
    }

    /// Makes the complete content a blob of the store.
    ///
    /// # Errors
    /// [`BlobError::Corrupt`] when it does not match its digest, or when the store fails.
    pub(super) fn commit<F: Files>(&mut self, store: &mut BlobStore<F>) -> Result<(), BlobError> {
        self.partial.take().map_or(Ok(()), |partial| store.commit(partial))
    }
}

/// The first byte of a partial response's range (RFC 9110 section 14.4).
fn content_range_start(head: &Head) -> Option<u64> {
    let (start, _) = head.header("Content-Range")?.strip_prefix("bytes ")?.split_once('-')?;
    start.parse().ok()
}
