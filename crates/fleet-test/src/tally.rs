//! What passed a link, by tenths of a second. The link counts, the report reads; lines of JSON between them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds of one bucket.
pub const BUCKET_US: i64 = 100_000;

/// The Unix clock, in microseconds: what is counted and what happens by script are told by the same one.
pub(crate) fn now_us() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_micros()).unwrap_or(i64::MAX)
}

/// What passed within one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bucket {
    /// Where it begins, in microseconds of the Unix clock; a multiple of [`BUCKET_US`].
    pub at_us: i64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Requests that came whole, by the last word of their path.
    pub requests: BTreeMap<String, u64>,
    /// Bytes towards the service.
    pub bytes_to: u64,
    /// Bytes from it.
    pub bytes_from: u64,
}

impl Bucket {
    /// All requests.
    pub fn all_requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// Counts into the bucket of now and writes those that are over.
pub struct Tally {
    file: Option<File>,
    bucket: Bucket,
}

impl Tally {
    /// A tally written to a file, if one is named.
    ///
    /// # Errors
    /// When the file cannot be made.
    pub fn new(path: Option<&Path>) -> io::Result<Self> {
        Ok(Tally { file: path.map(File::create).transpose()?, bucket: Bucket::default() })
    }

    /// The bucket of a time.
    ///
    /// # Errors
    /// When one that is over cannot be written.
    pub fn at(&mut self, now_us: i64) -> io::Result<&mut Bucket> {
        let at_us = now_us - now_us.rem_euclid(BUCKET_US);
        if at_us != self.bucket.at_us {
            self.write()?;
            self.bucket.at_us = at_us;
        }
        Ok(&mut self.bucket)
    }

    /// Writes what is not written yet.
    ///
    /// # Errors
    /// When the file takes nothing.
    pub fn write(&mut self) -> io::Result<()> {
        let bucket = std::mem::take(&mut self.bucket);
        match &mut self.file {
            Some(file) if bucket != (Bucket { at_us: bucket.at_us, ..Bucket::default() }) => {
                writeln!(file, "{}", serde_json::to_string(&bucket).map_err(io::Error::other)?)
            }
            _ => Ok(()),
        }
    }

    /// Reads what was written.
    ///
    /// # Errors
    /// When the file cannot be read or is no tally.
    pub fn read(path: &Path) -> io::Result<Vec<Bucket>> {
        let text = std::fs::read_to_string(path)?;
        text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::other)).collect()
    }
}
