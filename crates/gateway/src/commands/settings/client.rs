//! The client of the `settings` sub-commands: a session with the registry, and the documents that were read.

use super::error::SettingsError;
use super::output::{OutputFormat, PendingAcks};
use crate::commands::session::{RegistryArguments, Session, SessionResult};
use crate::commands::CommandResult;
use crate::documents::{request, snapshot, DocumentRollout};
use crate::settings::SharedSettings;
use serde_json::json;
use slatevalve_config_versioning::{Document, Keys, PendingAck, RolloutStep, Snapshot, Txn};
use slatevalve_registry::wire::{
    prefix_end, Bytes, KeyValue, PlainResponse, RangeRequest, RangeResponse, RANGE, TXN,
};
use slatevalve_registry::WatchScope;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// First interval between two checks of a change; it doubles after each check.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest interval between two checks of a change.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Upper limit of `--wait-s`: a day.
const MAX_WAIT_S: f64 = 86_400.0;
/// Exit code of a command that leaves a change prepared but not committed.
const EXIT_NOT_COMMITTED: u8 = 3;

/// A document to publish.
pub(super) struct Draft<'a> {
    pub(super) text: &'a str,
    pub(super) shared: &'a SharedSettings,
    pub(super) who: String,
    pub(super) why: String,
}

/// The result of one step of a rollout.
enum DriveStep {
    /// Nothing is prepared; the document with this number is committed.
    Finished(u64),
    /// A commit was requested. The next snapshot shows whether this or another request committed the change.
    CommitRequested,
    /// The change waits for acknowledgements.
    Waiting(PendingAcks),
}

/// The keys that a read covers: one key, or all with a prefix.
#[derive(Clone, Copy)]
enum KeyRange {
    Key,
    Prefix,
}

/// Entries and the revision at which they were read.
struct ReadEntries {
    entries: Vec<KeyValue>,
    revision: i64,
}

/// Requests a read at the newest revision.
const LATEST: i64 = 0;

/// A session with a cache of the documents read so far; documents are immutable.
pub(super) struct SettingsClient {
    session: Session,
    pub(super) keys: Keys,
    pub(super) format: OutputFormat,
    documents: BTreeMap<u64, Document>,
}

impl SettingsClient {
    pub(super) fn new(registry: RegistryArguments, format: OutputFormat) -> SessionResult<Self> {
        let keys = Keys::new(&registry.prefix);
        let session = Session::new(registry, WatchScope::Nothing)?;
        Ok(SettingsClient { session, keys, format, documents: BTreeMap::new() })
    }

    fn read_entries(&mut self, key: &str, range: KeyRange, revision: i64) -> SessionResult<ReadEntries> {
        let range_end = match range {
            KeyRange::Key => Vec::new(),
            KeyRange::Prefix => prefix_end(key.as_bytes()),
        };
        let request = RangeRequest {
            key: Bytes::of(key),
            range_end: Bytes(range_end),
            revision,
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.session.request(RANGE, &request)?;
        Ok(ReadEntries { entries: response.kvs, revision: response.header.revision })
    }

    /// Reads the state and the leases at one revision, and the documents that they refer to.
    pub(super) fn read(&mut self) -> SessionResult<Snapshot> {
        let ReadEntries { mut entries, revision } =
            self.read_entries(&self.keys.leases(), KeyRange::Prefix, LATEST)?;
        entries.extend(self.read_entries(&self.keys.state(), KeyRange::Key, revision)?.entries);
        let mut snapshot = snapshot(&self.keys, &entries);
        let numbers: Vec<u64> =
            snapshot.referenced_versions().into_iter().map(|version| version.number).collect();
        for number in numbers {
            if let Ok(document) = self.document(number) {
                snapshot.documents.insert(document.number, document);
            }
        }
        Ok(snapshot)
    }

    /// Reads the document with a number.
    ///
    /// # Errors
    /// If there is none, it cannot be read, or the registry does not answer.
    pub(super) fn document(&mut self, number: u64) -> SessionResult<Document> {
        if let Some(document) = self.documents.get(&number) {
            return Ok(document.clone());
        }
        let read = self.read_entries(&self.keys.document(number), KeyRange::Key, LATEST)?;
        let Snapshot { mut documents, unreadable, .. } = snapshot(&self.keys, &read.entries);
        match (documents.remove(&number), unreadable.into_iter().next()) {
            (Some(document), _) => {
                self.documents.insert(number, document.clone());
                Ok(document)
            }
            (None, Some(error)) => Err(error.into()),
            (None, None) => Err(SettingsError::NoDocument(number).into()),
        }
    }

    /// Reads all published documents, the oldest first; unreadable ones are omitted.
    pub(super) fn history(&mut self) -> SessionResult<Vec<Document>> {
        let last_number = self.read()?.state.map_or(0, |state| state.value.last_number);
        // One request per document, as a response with all of them could exceed size limits.
        Ok((1..=last_number).filter_map(|number| self.document(number).ok()).collect())
    }

    /// Requests a transaction; returns whether it was executed.
    fn write(&mut self, txn: &Txn) -> SessionResult<bool> {
        let response: PlainResponse = self.session.request(TXN, &request(txn))?;
        Ok(response.succeeded)
    }

    /// Requests a transaction.
    ///
    /// # Errors
    /// If it was not executed because its entries had changed.
    pub(super) fn write_or_fail(&mut self, txn: &Txn) -> SessionResult<()> {
        if self.write(txn)? {
            Ok(())
        } else {
            Err(SettingsError::Conflict.into())
        }
    }

    /// Publishes a document under a number above `above`; returns the number.
    pub(super) fn publish(&mut self, draft: Draft<'_>, above: u64) -> SessionResult<u64> {
        let snapshot = self.read()?;
        let document = Document {
            number: 0,
            parent: 0,
            digest: String::new(),
            text: draft.text.to_string(),
            who: draft.who,
            why: draft.why,
            expiry_policy: draft.shared.expiry_policy,
            lease_us: draft.shared.lease.0,
        };
        let (Document { number, .. }, txn) = snapshot.publish(&self.keys, &document, above)?;
        self.write_or_fail(&txn).map_err(|source| SettingsError::NotPublished { number, source })?;
        Ok(number)
    }

    /// Drives a change until it is committed or `wait_s` seconds have passed. With `published`, it is the
    /// change to this document.
    pub(super) fn drive(&mut self, published: Option<u64>, wait_s: f64) -> CommandResult {
        let deadline = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, MAX_WAIT_S));
        let mut rollout = DocumentRollout::new(self.keys.clone());
        let mut printed: Vec<PendingAck> = Vec::new();
        let mut interval = FIRST_CHECK_INTERVAL;
        loop {
            let awaited = match self.read() {
                Ok(snapshot) => match self.drive_step(&mut rollout, &snapshot)? {
                    DriveStep::Finished(committed) => return self.finish(published, committed),
                    DriveStep::CommitRequested => continue,
                    DriveStep::Waiting(awaited) => awaited,
                },
                // The registry may become available again; the change remains prepared.
                Err(error) if Instant::now() < deadline => {
                    eprintln!("registry: {error}");
                    PendingAcks::default()
                }
                Err(error) => return Err(error),
            };
            if self.format == OutputFormat::Text && awaited.acks != printed {
                awaited.print();
                printed.clone_from(&awaited.acks);
            }
            if Instant::now() >= deadline {
                return Ok(self.stop_waiting(&awaited));
            }
            std::thread::sleep(interval);
            interval = (interval * 2).min(MAX_CHECK_INTERVAL);
        }
    }

    fn drive_step(&mut self, rollout: &mut DocumentRollout, snapshot: &Snapshot) -> SessionResult<DriveStep> {
        let state = snapshot.state.as_ref().ok_or(SettingsError::NothingPublished)?;
        let active_settings = &state.value.active_settings;
        if active_settings.prepared.is_none() {
            return Ok(DriveStep::Finished(active_settings.committed.number));
        }
        match rollout.advance(&self.session.clock, snapshot) {
            RolloutStep::Commit(txn) => {
                self.write(&txn)?;
                Ok(DriveStep::CommitRequested)
            }
            RolloutStep::Wait(acks) => {
                Ok(DriveStep::Waiting(PendingAcks { acks, routers: snapshot.leases.len() }))
            }
            RolloutStep::Idle => Ok(DriveStep::Waiting(PendingAcks::default())),
        }
    }

    /// Prints the end of a change. A committed document that is older than the published one means that the
    /// change was withdrawn.
    fn finish(&self, published: Option<u64>, committed: u64) -> CommandResult {
        if published.is_some_and(|number| number > committed) {
            return Err(SettingsError::Withdrawn.into());
        }
        let value = json!({"committed": true, "number": committed});
        self.format.print(&value, || format!("document {committed} is committed"));
        Ok(ExitCode::SUCCESS)
    }

    fn stop_waiting(&self, awaited: &PendingAcks) -> ExitCode {
        if self.format == OutputFormat::Json {
            println!("{}", json!({"committed": false, "awaited": awaited.names()}));
        }
        ExitCode::from(EXIT_NOT_COMMITTED)
    }
}
