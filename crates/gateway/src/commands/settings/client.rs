//! The client of the `settings` sub-commands: a session with the registry, and the documents that were read.

use super::error::SettingsError;
use super::output::{OutputFormat, PendingAcks};
use crate::commands::session::{RegistryArguments, Res, Session};
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

/// The first wait between two checks of a change; each following one is twice as long.
const FIRST_WAIT: Duration = Duration::from_millis(20);
/// The longest wait between two checks of a change.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The longest time that a change can be waited for, in seconds: a day.
const MAX_WAIT_S: f64 = 86_400.0;
/// The exit code of a command that leaves a change prepared and not committed.
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
    /// A commit was requested. Whether it was done, by whomever, shows in the next snapshot.
    CommitRequested,
    /// Acknowledgements are awaited.
    Waiting(PendingAcks),
}

/// Which keys a read covers.
#[derive(Clone, Copy)]
enum KeyRange {
    Key,
    Prefix,
}

/// Entries, and the revision at which they were read.
struct ReadEntries {
    entries: Vec<KeyValue>,
    revision: i64,
}

/// The revision of a read that takes the newest one.
const LATEST: i64 = 0;

/// A session with the documents that were read, which are immutable.
pub(super) struct SettingsClient {
    session: Session,
    pub(super) keys: Keys,
    pub(super) format: OutputFormat,
    documents: BTreeMap<u64, Document>,
}

impl SettingsClient {
    pub(super) fn new(registry: RegistryArguments, format: OutputFormat) -> Res<Self> {
        let keys = Keys::new(&registry.prefix);
        let session = Session::new(registry, WatchScope::Nothing)?;
        Ok(SettingsClient { session, keys, format, documents: BTreeMap::new() })
    }

    fn read_entries(&mut self, key: &str, range: KeyRange, revision: i64) -> Res<ReadEntries> {
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

    /// The state and the leases at one revision, and the documents that they refer to.
    pub(super) fn read(&mut self) -> Res<Snapshot> {
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

    /// The document with a number.
    ///
    /// # Errors
    /// If there is none, it cannot be read, or the registry does not answer.
    pub(super) fn document(&mut self, number: u64) -> Res<Document> {
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

    /// All published documents that can be read, the oldest first.
    pub(super) fn history(&mut self) -> Res<Vec<Document>> {
        let last_number = self.read()?.state.map_or(0, |state| state.value.last_number);
        // One request a document: a response with all of them may be larger than any limit.
        Ok((1..=last_number).filter_map(|number| self.document(number).ok()).collect())
    }

    /// Requests a transaction; returns whether it was done.
    fn write(&mut self, txn: &Txn) -> Res<bool> {
        let response: PlainResponse = self.session.request(TXN, &request(txn))?;
        Ok(response.succeeded)
    }

    /// Requests a transaction.
    ///
    /// # Errors
    /// If it was not done.
    pub(super) fn write_or_fail(&mut self, txn: &Txn) -> Res<()> {
        if self.write(txn)? {
            Ok(())
        } else {
            Err(SettingsError::Conflict.into())
        }
    }

    /// Publishes a document under a number above `above`; returns the number.
    pub(super) fn publish(&mut self, draft: Draft<'_>, above: u64) -> Res<u64> {
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

    /// Drives a change until it is committed, or `wait_s` seconds have passed. With `published`, the change to this document.
    pub(super) fn drive(&mut self, published: Option<u64>, wait_s: f64) -> CommandResult {
        let deadline = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, MAX_WAIT_S));
        let mut rollout = DocumentRollout::new(self.keys.clone());
        let mut printed: Vec<PendingAck> = Vec::new();
        let mut wait = FIRST_WAIT;
        loop {
            let awaited = match self.read() {
                Ok(snapshot) => match self.drive_step(&mut rollout, &snapshot)? {
                    DriveStep::Finished(committed) => return self.finish(published, committed),
                    DriveStep::CommitRequested => continue,
                    DriveStep::Waiting(awaited) => awaited,
                },
                // The registry may come back; the change stays as it is.
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
            std::thread::sleep(wait);
            wait = (wait * 2).min(MAX_WAIT);
        }
    }

    fn drive_step(&mut self, rollout: &mut DocumentRollout, snapshot: &Snapshot) -> Res<DriveStep> {
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

    /// Prints the end of a change. A committed document that is older than the published one means a withdrawal.
    fn finish(&self, published: Option<u64>, committed: u64) -> CommandResult {
        if published.is_some_and(|number| number > committed) {
            return Err(SettingsError::Withdrawn.into());
        }
        let value = json!({"committed": true, "number": committed});
        self.format.print(&value, || format!("document {committed} counts"));
        Ok(ExitCode::SUCCESS)
    }

    fn stop_waiting(&self, awaited: &PendingAcks) -> ExitCode {
        if self.format == OutputFormat::Json {
            println!("{}", json!({"committed": false, "awaited": awaited.names()}));
        }
        ExitCode::from(EXIT_NOT_COMMITTED)
    }
}
