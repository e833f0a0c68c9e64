//! Bytes queued for writing on one connection.

use socket2::Socket;
use std::io::{self, Write};
use std::ops::Range;

/// Number of written bytes at the front of the buffer above which they are removed.
const COMPACTION_THRESHOLD: usize = 64 * 1024;

/// Capacity that an empty buffer keeps: a connection that once carried much takes little while it is idle.
const RETAINED_CAPACITY: usize = 4 * 1024;

/// Bytes that the kernel has not accepted yet, with the count of those that it has accepted.
#[derive(Debug, Default)]
pub(crate) struct WriteBuffer {
    bytes: Vec<u8>,
    /// Start of the unwritten bytes in `bytes`.
    start: usize,
    /// Total number of bytes that the kernel accepted.
    written: u64,
}

impl WriteBuffer {
    /// Number of bytes not written yet.
    pub(crate) fn pending(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Total number of bytes that the kernel accepted.
    pub(crate) fn written(&self) -> u64 {
        self.written
    }

    /// Discards all bytes that are not written yet.
    pub(crate) fn clear(&mut self) {
        self.bytes = Vec::new();
        self.start = 0;
    }

    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes a range of bytes if none of them has been written. Positions count from the first byte written
    /// on the connection; those of later bytes decrease. Returns whether the range was removed.
    pub(crate) fn discard(&mut self, range: Range<u64>) -> bool {
        let end = self.written + self.pending() as u64;
        if range.start < self.written || range.start > range.end || range.end > end {
            return false;
        }
        let index = |position: u64| self.start + (position - self.written) as usize;
        self.bytes.drain(index(range.start)..index(range.end));
        true
    }

    /// Writes as many bytes as the kernel accepts without blocking.
    ///
    /// # Errors
    /// If the connection is broken.
    pub(crate) fn write_to(&mut self, stream: &mut Socket) -> io::Result<()> {
        let count = match stream.write(&self.bytes[self.start..]) {
            Err(e) if is_transient(&e) => 0,
            other => other?,
        };
        self.written += count as u64;
        self.start += count;
        if self.pending() == 0 {
            self.bytes.clear();
            self.bytes.shrink_to(RETAINED_CAPACITY);
            self.start = 0;
        } else if self.start > COMPACTION_THRESHOLD {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        Ok(())
    }
}

/// Whether an operation on a non-blocking socket can be retried later: it would have blocked, was
/// interrupted, or the kernel temporarily has no memory for it.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted | io::ErrorKind::OutOfMemory
    ) || error.raw_os_error() == Some(libc::ENOBUFS)
}

#[cfg(test)]
mod tests;
