//! Workers, routers and relays as stored in the registry: the records that are the values of their keys, and
//! the conversion of changed keys into changes of members, removals and drains first. Gateways, relays and
//! test workers write these records.

use crate::watch_state::Change;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Prefix of workers' keys, below the site's prefix.
pub const WORKERS: &str = "workers/";
/// Prefix of routers' keys, below the site's prefix.
pub const ROUTERS: &str = "routers/";
/// Prefix of relays' keys, below the site's prefix.
pub const RELAYS: &str = "relays/";
/// Maximum length of a member's name in bytes.
const NAME_BYTES_MAX: usize = 256;
/// Maximum weight of a worker.
const WEIGHT_MAX: f64 = 1e6;

/// The state that a worker writes into its record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The worker accepts calls.
    #[default]
    Ready,
    /// The worker accepts no new calls and completes those in flight.
    Draining,
}

/// The record of a worker, the value of `PREFIX/workers/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerRecord {
    /// The address on which the worker accepts calls.
    pub address: SocketAddr,
    /// The zone of the worker; `default` if absent.
    #[serde(default = "default_name")]
    pub zone: String,
    /// The kind of machine; `default` if absent.
    #[serde(default = "default_name")]
    pub kind: String,
    /// The cell of the worker; 0 if absent.
    #[serde(default)]
    pub cell: u64,
    /// The capacity relative to other workers: above 0, at most 1,000,000; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Whether the worker accepts calls; `ready` if absent.
    #[serde(default)]
    pub state: MemberState,
    /// The start of the worker's process in milliseconds of its machine's Unix clock. A different value shows
    /// that the process was restarted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up_since_unix_ms: Option<f64>,
}

fn default_name() -> String {
    "default".into()
}

fn default_weight() -> f64 {
    1.0
}

/// The record of a router, the value of `PREFIX/routers/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouterRecord {
    /// The zone of the router; empty if absent.
    #[serde(default)]
    pub zone: String,
    /// The start of the router's process in milliseconds of its machine's Unix clock; 0 if absent.
    #[serde(default)]
    pub up_since_unix_ms: i64,
}

/// The record of a relay, the value of `PREFIX/relays/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RelayRecord {
    /// The number of routers whose entries the relay holds.
    pub routers: usize,
}

/// A rejected record. The member's last valid record remains in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The full key of the record; invalid UTF-8 is replaced.
    pub key: String,
    /// Why the record was rejected.
    pub reason: RecordFault,
}

/// Why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// The value cannot be parsed as a record; holds the parser's message.
    Malformed(String),
    /// The weight is outside of 0 (exclusive) to 1,000,000.
    Weight,
    /// The start time is not a finite number.
    StartTime,
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordFault::Malformed(message) => f.write_str(message),
            RecordFault::Weight => f.write_str("weight must be greater than 0 and at most 1,000,000"),
            RecordFault::StartTime => f.write_str("up-since-unix-ms must be a finite number"),
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for RecordError {}

/// A member that a key and its value describe.
#[derive(Clone, Debug, PartialEq)]
pub enum Member {
    /// A worker, by its name.
    Worker(String, WorkerRecord),
    /// A router, by its name.
    Router(String, RouterRecord),
}

/// Returns the key of the worker `name`; the prefix ends with `/`.
#[must_use]
pub fn worker_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{WORKERS}{name}")
}

/// Returns the key of the router `name`; the prefix ends with `/`.
#[must_use]
pub fn router_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{ROUTERS}{name}")
}

/// The member that a key names.
enum MemberKey {
    Worker(String),
    Router(String),
}

impl MemberKey {
    /// Parses a key; returns `None` if it is not the key of a worker or router, or the name is invalid.
    fn parse(prefix: &str, key: &[u8]) -> Option<Self> {
        let relative = std::str::from_utf8(key).ok()?.strip_prefix(prefix)?;
        let (kind, name): (fn(String) -> MemberKey, &str) = match relative.strip_prefix(WORKERS) {
            Some(name) => (MemberKey::Worker, name),
            None => (MemberKey::Router, relative.strip_prefix(ROUTERS)?),
        };
        let is_valid =
            (1..=NAME_BYTES_MAX).contains(&name.len()) && name.chars().all(|c| c.is_ascii_graphic());
        is_valid.then(|| kind(name.to_string()))
    }
}

impl WorkerRecord {
    /// Checks the fields whose types allow invalid values.
    fn validate(&self) -> Result<(), RecordFault> {
        if !(self.weight > 0.0 && self.weight <= WEIGHT_MAX) {
            return Err(RecordFault::Weight);
        }
        if self.up_since_unix_ms.is_some_and(|start| !start.is_finite()) {
            return Err(RecordFault::StartTime);
        }
        Ok(())
    }
}

fn parse_record<T: DeserializeOwned>(value: &[u8]) -> Result<T, RecordFault> {
    serde_json::from_slice(value).map_err(|error| RecordFault::Malformed(error.to_string()))
}

/// Parses a member's key and value; returns `None` if the key is not that of a worker or router.
///
/// # Errors
/// When the value is not a valid record.
pub fn read_member(prefix: &str, key: &[u8], value: &[u8]) -> Result<Option<Member>, RecordError> {
    let member = match MemberKey::parse(prefix, key) {
        None => return Ok(None),
        Some(MemberKey::Router(name)) => parse_record(value).map(|record| Member::Router(name, record)),
        Some(MemberKey::Worker(name)) => parse_record(value).and_then(|record: WorkerRecord| {
            record.validate()?;
            Ok(Member::Worker(name, record))
        }),
    };
    let rejected = |reason| RecordError { key: String::from_utf8_lossy(key).into_owned(), reason };
    member.map(Some).map_err(rejected)
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// A worker was added or its record changed; holds the current record.
    Worker(String, WorkerRecord),
    /// A worker was removed.
    WorkerRemoved(String),
    /// The number of routers changed to this value.
    Routers(usize),
}

/// The outcome of [`Members::apply`].
#[derive(Debug)]
pub struct AppliedChanges {
    /// The changes of members, in the order in which they are to be applied.
    pub changes: Vec<MemberChange>,
    /// The rejected records, which caused no changes.
    pub errors: Vec<RecordError>,
}

/// The workers and routers below a prefix, with their last valid records.
#[derive(Debug)]
pub struct Members {
    prefix: String,
    workers: BTreeMap<String, WorkerRecord>,
    routers: BTreeMap<String, RouterRecord>,
}

/// The changes of workers that a batch of changed keys causes.
#[derive(Default)]
struct WorkerChanges {
    removed: Vec<String>,
    /// The last record of each worker that was not removed later in the batch.
    updated: BTreeMap<String, WorkerRecord>,
}

impl WorkerChanges {
    /// Returns the changes in the order in which they are to be applied: removals, drains, then the rest.
    fn in_order(self) -> Vec<MemberChange> {
        let (draining, ready): (Vec<_>, Vec<_>) =
            self.updated.into_iter().partition(|(_, record)| record.state == MemberState::Draining);
        let removed = self.removed.into_iter().map(MemberChange::WorkerRemoved);
        let updated = draining.into_iter().chain(ready);
        removed.chain(updated.map(|(name, record)| MemberChange::Worker(name, record))).collect()
    }
}

impl Members {
    /// Creates an empty set for the members below `prefix`, which ends with `/`.
    pub fn new(prefix: &str) -> Self {
        Members { prefix: prefix.into(), workers: BTreeMap::new(), routers: BTreeMap::new() }
    }

    /// Returns the workers' records by name.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<String, WorkerRecord> {
        &self.workers
    }

    /// Returns the routers' records by name.
    #[must_use]
    pub fn routers(&self) -> &BTreeMap<String, RouterRecord> {
        &self.routers
    }

    /// Applies a batch of changed keys. The resulting changes are ordered so that calls to removed and
    /// draining workers stop before anything else happens: removals, then drains, then the rest. Of several
    /// changes of a worker only the last one is returned, except that a worker that was removed and added
    /// again is also returned as removed.
    pub fn apply(&mut self, changes: Vec<Change>) -> AppliedChanges {
        let routers_before = self.routers.len();
        let (mut worker_changes, mut errors) = (WorkerChanges::default(), Vec::new());
        for change in changes {
            match change {
                Change::Deleted { key } => self.remove(&key, &mut worker_changes),
                Change::Put { key, value, .. } => match read_member(&self.prefix, &key, &value) {
                    Ok(Some(member)) => self.insert(member, &mut worker_changes),
                    Ok(None) => {}
                    Err(error) => errors.push(error),
                },
            }
        }
        let mut member_changes = worker_changes.in_order();
        if self.routers.len() != routers_before {
            member_changes.push(MemberChange::Routers(self.routers.len()));
        }
        AppliedChanges { changes: member_changes, errors }
    }

    fn remove(&mut self, key: &[u8], changes: &mut WorkerChanges) {
        match MemberKey::parse(&self.prefix, key) {
            Some(MemberKey::Worker(name)) => {
                changes.updated.remove(&name);
                if self.workers.remove(&name).is_some() {
                    changes.removed.push(name);
                }
            }
            Some(MemberKey::Router(name)) => {
                self.routers.remove(&name);
            }
            None => {}
        }
    }

    fn insert(&mut self, member: Member, changes: &mut WorkerChanges) {
        match member {
            Member::Worker(name, record) => {
                self.workers.insert(name.clone(), record.clone());
                changes.updated.insert(name, record);
            }
            Member::Router(name, record) => {
                self.routers.insert(name, record);
            }
        }
    }
}

#[cfg(test)]
mod tests;
