//! Traffic counters of a link in buckets of a tenth of a second. The link process writes one JSON object a
//! line; the report reads the file.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The length of one bucket, in microseconds.
pub const BUCKET_US: i64 = 100_000;

/// The Unix clock, in microseconds: the time base that link processes share with scripted events.
pub(crate) fn now_us() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since_epoch.as_micros()).unwrap_or(i64::MAX)
}

/// The traffic within one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bucket {
    /// The start of the bucket, in microseconds of the Unix clock; a multiple of [`BUCKET_US`].
    pub at_us: i64,
    /// Connections accepted by the link, except those that a fault refuses.
    pub connections: u64,
    /// Complete requests, by the last segment of their path.
    pub requests: BTreeMap<String, u64>,
    /// Bytes received from clients, including those that a fault drops.
    #[serde(rename = "bytes_to")]
    pub bytes_to_service: u64,
    /// Bytes received from the service, including those that a fault drops.
    #[serde(rename = "bytes_from")]
    pub bytes_from_service: u64,
}

impl Bucket {
    /// The number of complete requests.
    #[must_use]
    pub fn total_requests(&self) -> u64 {
        self.requests.values().sum()
    }

    /// Bytes in both directions.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.bytes_to_service + self.bytes_from_service
    }

    pub(crate) fn count_request(&mut self, path: &str) {
        *self.requests.entry(path.to_string()).or_default() += 1;
    }

    fn is_empty(&self) -> bool {
        *self == Bucket { at_us: self.at_us, ..Bucket::default() }
    }
}

/// The current bucket and the file that complete buckets are written to.
pub struct TrafficCounters {
    file: Option<File>,
    bucket: Bucket,
}

impl TrafficCounters {
    /// Creates the file, truncating an existing one; without a path nothing is written.
    ///
    /// # Errors
    /// When the file cannot be created.
    pub fn create(path: Option<&Path>) -> io::Result<Self> {
        Ok(TrafficCounters { file: path.map(File::create).transpose()?, bucket: Bucket::default() })
    }

    /// The bucket of a time; writes the previous bucket first if the time is in another one.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn bucket(&mut self, now_us: i64) -> io::Result<&mut Bucket> {
        let at_us = now_us - now_us.rem_euclid(BUCKET_US);
        if at_us != self.bucket.at_us {
            self.flush()?;
            self.bucket.at_us = at_us;
        }
        Ok(&mut self.bucket)
    }

    /// Writes the current bucket, unless it is empty, and starts a new one.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn flush(&mut self) -> io::Result<()> {
        let bucket = std::mem::take(&mut self.bucket);
        match &mut self.file {
            Some(file) if !bucket.is_empty() => {
                writeln!(file, "{}", serde_json::to_string(&bucket).map_err(io::Error::other)?)
            }
            _ => Ok(()),
        }
    }

    /// Reads the buckets from a file.
    ///
    /// # Errors
    /// When the file cannot be read or a line is not a bucket.
    pub fn read(path: &Path) -> io::Result<Vec<Bucket>> {
        let text = std::fs::read_to_string(path)?;
        text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::other)).collect()
    }
}
