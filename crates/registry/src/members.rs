//! Workers and routers as the registry lists them: what a key's value says, and what a batch of changes means, with
//! drains and departures before all else. The gateway and the stand-in worker write and read these records.

use crate::watch_state::Change;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// What workers' keys begin with, below the site's prefix.
pub const WORKERS: &str = "workers/";
/// What routers' keys begin with, below the site's prefix.
pub const ROUTERS: &str = "routers/";
/// What relays' keys begin with, below the site's prefix.
pub const RELAYS: &str = "relays/";
/// Longest name, in bytes.
const MAX_NAME: usize = 256;

/// A worker's own word of its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes work.
    #[default]
    Ready,
    /// It takes no new work and ends what it has.
    Draining,
}

/// A worker's record, the value of `PREFIX/workers/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerRecord {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default = "default_place")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default = "default_place")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its size beside others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Whether it takes work.
    #[serde(default)]
    pub state: MemberState,
    /// When its process began, in milliseconds of the Unix clock of its machine; a later one is a new process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up_since_unix_ms: Option<f64>,
}

fn default_place() -> String {
    "default".into()
}

fn one() -> f64 {
    1.0
}

/// A router's record, the value of `PREFIX/routers/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouterRecord {
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// When its process began, in milliseconds of the Unix clock of its machine.
    #[serde(default)]
    pub up_since_unix_ms: i64,
}

/// A relay's record, the value of `PREFIX/relays/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RelayRecord {
    /// Routers whose entries it holds.
    pub routers: usize,
}

/// Why a record is not taken. What was known of the member before stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub words: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.words)
    }
}

impl std::error::Error for RecordError {}

/// What a key is of.
#[derive(Clone, Debug, PartialEq)]
pub enum Member {
    /// A worker, by its name.
    Worker(String, WorkerRecord),
    /// A router, by its name.
    Router(String, RouterRecord),
}

/// The key of a worker.
pub fn worker_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{WORKERS}{name}")
}

/// The key of a router.
pub fn router_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{ROUTERS}{name}")
}

/// Whether the key is a worker's (`true`) or a router's, and the name; none for other keys below the prefix.
fn split(prefix: &str, key: &[u8]) -> Option<(bool, String)> {
    let rest = std::str::from_utf8(key).ok()?.strip_prefix(prefix)?;
    let (worker, name) = match rest.strip_prefix(WORKERS) {
        Some(name) => (true, name),
        None => (false, rest.strip_prefix(ROUTERS)?),
    };
    let good = (1..=MAX_NAME).contains(&name.len()) && name.chars().all(|c| c.is_ascii_graphic());
    good.then(|| (worker, name.to_string()))
}

/// Reads a member's key and value; none for a key that is no member's.
///
/// # Errors
/// When the value is no record.
pub fn read_member(prefix: &str, key: &[u8], value: &[u8]) -> Result<Option<Member>, RecordError> {
    let Some((worker, name)) = split(prefix, key) else { return Ok(None) };
    let refuse = |words: String| RecordError { key: String::from_utf8_lossy(key).into_owned(), words };
    if !worker {
        let record = serde_json::from_slice(value).map_err(|e| refuse(e.to_string()))?;
        return Ok(Some(Member::Router(name, record)));
    }
    let record: WorkerRecord = serde_json::from_slice(value).map_err(|e| refuse(e.to_string()))?;
    if !(record.weight > 0.0 && record.weight <= 1e6) {
        return Err(refuse("a weight lies between 0 and 1,000,000".into()));
    }
    if record.up_since_unix_ms.is_some_and(|t| !t.is_finite()) {
        return Err(refuse("up-since-unix-ms is no time".into()));
    }
    Ok(Some(Member::Worker(name, record)))
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// A worker's record as it is now.
    Worker(String, WorkerRecord),
    /// A worker is gone.
    WorkerGone(String),
    /// The number of routers is another one now.
    Routers(usize),
}

/// The members as they are known.
#[derive(Debug)]
pub struct Members {
    prefix: String,
    workers: BTreeMap<String, WorkerRecord>,
    routers: BTreeMap<String, RouterRecord>,
}

impl Members {
    /// Nobody is known below a prefix, which ends with `/`.
    pub fn new(prefix: &str) -> Self {
        Members { prefix: prefix.into(), workers: BTreeMap::new(), routers: BTreeMap::new() }
    }

    /// The workers by name.
    pub fn workers(&self) -> &BTreeMap<String, WorkerRecord> {
        &self.workers
    }

    /// The routers by name.
    pub fn routers(&self) -> &BTreeMap<String, RouterRecord> {
        &self.routers
    }

    /// Takes a batch of changes. Departures come first, then drains, then the rest: whoever carries them out in order has
    /// stopped sending before it does anything else. Of several changes of one worker the last counts, except that one who
    /// went and came back in between is told as gone as well.
    pub fn take(&mut self, changes: Vec<Change>) -> (Vec<MemberChange>, Vec<RecordError>) {
        let (mut gone, mut stays) = (Vec::new(), BTreeMap::new());
        let (mut errors, routers) = (Vec::new(), self.routers.len());
        for change in changes {
            match change {
                Change::Gone { key } => match split(&self.prefix, &key) {
                    Some((true, name)) => {
                        stays.remove(&name);
                        if self.workers.remove(&name).is_some() {
                            gone.push(name);
                        }
                    }
                    Some((false, name)) => {
                        self.routers.remove(&name);
                    }
                    None => {}
                },
                Change::Put { key, value, .. } => match read_member(&self.prefix, &key, &value) {
                    Ok(Some(Member::Worker(name, record))) => {
                        self.workers.insert(name.clone(), record.clone());
                        stays.insert(name, record);
                    }
                    Ok(Some(Member::Router(name, record))) => {
                        self.routers.insert(name, record);
                    }
                    Ok(None) => {}
                    Err(error) => errors.push(error),
                },
            }
        }
        let (draining, ready): (Vec<_>, Vec<_>) =
            stays.into_iter().partition(|(_, record)| record.state == MemberState::Draining);
        let mut told: Vec<MemberChange> = gone.into_iter().map(MemberChange::WorkerGone).collect();
        let put = |(name, record)| MemberChange::Worker(name, record);
        told.extend(draining.into_iter().map(put).chain(ready.into_iter().map(put)));
        if self.routers.len() != routers {
            told.push(MemberChange::Routers(self.routers.len()));
        }
        (told, errors)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(key: &str, value: &str) -> Change {
        Change::Put { key: key.into(), value: value.into(), made: true }
    }

    #[test]
    fn departures_and_drains_come_before_all_else_in_a_batch() {
        let mut members = Members::new("/s/");
        let ready = r#"{"address":"127.0.0.1:1"}"#;
        let draining = r#"{"address":"127.0.0.1:1","state":"draining"}"#;
        members.take(vec![
            put("/s/workers/a", ready),
            put("/s/workers/b", ready),
            put("/s/workers/c", ready),
        ]);
        let (told, errors) = members.take(vec![
            put("/s/workers/d", ready),
            put("/s/routers/r", "{}"),
            put("/s/workers/c", draining),
            Change::Gone { key: b"/s/workers/a".to_vec() },
        ]);
        let names: Vec<String> = told
            .iter()
            .map(|t| match t {
                MemberChange::WorkerGone(name) => format!("-{name}"),
                MemberChange::Worker(name, r) => format!("{name}:{:?}", r.state),
                MemberChange::Routers(n) => n.to_string(),
            })
            .collect();
        assert_eq!((names.join(" ").as_str(), errors.len()), ("-a c:Draining d:Ready 1", 0));
    }

    #[test]
    fn a_worker_that_drains_dies_and_returns_in_one_batch_is_gone_and_then_new() {
        let mut members = Members::new("/s/");
        let at = |ms: u32, state: &str| {
            put(
                "/s/workers/a",
                &format!(r#"{{"address":"127.0.0.1:1","state":"{state}","up-since-unix-ms":{ms}}}"#),
            )
        };
        members.take(vec![at(1, "ready")]);
        let batch = vec![at(1, "draining"), Change::Gone { key: b"/s/workers/a".to_vec() }, at(2, "ready")];
        let (told, _) = members.take(batch);
        assert_eq!(told[0], MemberChange::WorkerGone("a".into()));
        assert!(
            matches!(&told[1], MemberChange::Worker(n, r) if n == "a" && r.up_since_unix_ms == Some(2.0))
        );
    }

    #[test]
    fn a_record_without_sense_is_told_and_changes_nothing_else() {
        let mut members = Members::new("/s/");
        let good = r#"{"address":"127.0.0.1:1","zone":"z","cell":3}"#;
        members.take(vec![put("/s/workers/a", good)]);
        let (told, errors) = members.take(vec![
            put("/s/workers/a", "{"),
            put("/s/workers/b", r#"{"address":"127.0.0.1:1","weight":-1}"#),
            put("/s/workers/ü", good),
            put("/s/else", "x"),
            put("/s/workers/c", good),
        ]);
        assert_eq!((told.len(), errors.len(), members.workers()["a"].cell), (1, 2, 3));
        assert!(errors[0].to_string().starts_with("/s/workers/a: "));
    }
}
