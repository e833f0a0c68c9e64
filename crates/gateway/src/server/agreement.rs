//! The shell's part in the agreement on settings: documents are read and carried out, the right to act is asked for, and what
//! may be sent is looked at before each turn writes.
//!
//! It guards the order of things: a state is said yes to only after it is acted by, and nothing unsafe or keyed is written
//! after the right to act has ended. It decides nothing: [`LeaseHolder`] says what may be sent and what is asked, [`Agreed`] what a
//! document means here. Called by the loop once a turn, and by the start before clients can connect.

use super::{GatewayError, GatewayServer};
use crate::clock::Clock;
use crate::documents::{self, Conductor};
use crate::remembered_file::RememberedFile;
use crate::settings::{Agreed, AgreedSettings, Site};
use slatevalve::{ClassId, Micros, Scope};
use slatevalve_config_versioning::{
    Document, DocumentVersion, Entry, Keys, LeaseHolder, LeaseHolderSettings, LeaseRequest, RolloutStep,
    SendPermission, Snapshot, State, TakeoverTimer, Txn, TxnOutcome,
};
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::wire::{prefix_end, Bytes, PlainResponse, RangeRequest, RangeResponse, RANGE, TXN};
use slatevalve_registry::ClientEvent;
use slatevalve_registry_transport::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::Path;
use std::time::Duration;
use tracing::{error, info, warn};

/// What could not be read is asked for again after this, in microseconds.
const AGAIN: i64 = 300_000;
/// A gateway that starts waits so long for its right, in microseconds; after that it serves what needs none.
const FIRST_RIGHT: i64 = 2_000_000;
/// Whoever began a change has this long, in microseconds, and two rights at least, before others look after it.
const HEAD_START: i64 = 2_000_000;
/// Earlier lives of a name that are remembered.
const LIVES: usize = 8;

/// What a question to the registry was for.
enum For {
    State,
    Own,
    Document(u64),
    Write,
    /// All rights, to see whether a change waits for a driver; and the commit of one.
    Rights,
    Commit,
    Leave,
}

/// See the module's documentation.
pub(crate) struct Agreement {
    link: Link,
    keys: Keys,
    own_key: String,
    holder: LeaseHolder,
    agreed: Agreed,
    documents: BTreeMap<u64, Document>,
    questions: BTreeMap<u64, For>,
    /// Writes what is acted by to a file, where it is to be remembered.
    remembered_file: Option<RememberedFile>,
    /// A state that is known and not yet acted by.
    news: Option<Entry<State>>,
    /// The state is to be read, from then on; and the holder waits for it and its own entry.
    read_at: Option<i64>,
    holder_reads: bool,
    /// The step that could not be carried out, so that it is said once.
    refused: Option<u64>,
    may: SendPermission,
    /// Drives changes whose driver has died.
    patrol: TakeoverTimer,
    conductor: Conductor,
    left: bool,
    /// Held locked while this life lasts.
    _lives: Option<File>,
}

impl Agreement {
    /// One that knows nothing yet.
    ///
    /// # Errors
    /// Where the file of lives cannot be had, or another process that lives holds it.
    pub(crate) fn new(settings: AgreedSettings, agreed: Agreed) -> io::Result<Self> {
        let AgreedSettings { client, addresses, prefix, lives, remember, name } = settings;
        let mut bytes = [0; 8];
        getrandom::fill(&mut bytes).map_err(|e| io::Error::other(e.to_string()))?;
        let life: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        let (lives, before) = match lives {
            Some(path) => {
                let (file, before) = begin_life(&path, &life)?;
                (Some(file), before)
            }
            None => (None, Vec::new()),
        };
        let keys = Keys::new(&prefix);
        let own_key = keys.lease(&name, &life);
        let known = remember.as_deref().and_then(|path| remembered(path, &keys)).unwrap_or_default();
        let conductor = Conductor::new(keys.clone());
        let holder = LeaseHolder::new(LeaseHolderSettings {
            keys: keys.clone(),
            name,
            incarnation: life,
            previous_incarnations: before,
        });
        Ok(Agreement {
            link: Link::new(client, addresses),
            keys,
            own_key,
            holder,
            agreed,
            documents: known.documents,
            remembered_file: remember.map(|path| RememberedFile::open(path, "settings")),
            questions: BTreeMap::new(),
            news: known.state,
            read_at: Some(i64::MIN),
            holder_reads: false,
            refused: None,
            may: SendPermission::Nothing,
            patrol: TakeoverTimer::new(u64::from_be_bytes(bytes)),
            conductor,
            left: false,
            _lives: lives,
        })
    }

    /// Waits for the documents that count and, for a bounded time, for the right to act by them; gives the settings by them.
    /// Meanwhile signals end the process as they do by themselves.
    ///
    /// # Errors
    /// When the poller fails.
    fn first_site(&mut self, clock: &Clock, reactor: &mut Reactor) -> io::Result<Site> {
        info!("waiting for the settings");
        let (mut site, mut until): (Option<Site>, Option<Micros>) = (None, None);
        loop {
            let now = clock.now();
            if let Some(newer) = self.advance(now, reactor, BTreeSet::new, clock) {
                until.get_or_insert(Micros(now.0 + FIRST_RIGHT));
                site = Some(newer);
            }
            if self.may(now) == SendPermission::All || until.is_some_and(|at| at <= now) {
                if let Some(site) = site.take() {
                    // A gateway that was ready once can start again without the registry, also when it is killed at once.
                    self.remembered_file.iter().for_each(RememberedFile::flush);
                    return Ok(site);
                }
            }
            let wait = (self.next_wake(now).0 - now.0).clamp(0, 100_000) as u64;
            let mut happened = Vec::new();
            reactor.poll(Some(Duration::from_micros(wait)), &mut happened)?;
            let now = clock.now();
            for event in &happened {
                self.link.handle_event(now.0, reactor, event);
            }
        }
    }

    /// What may be sent now.
    pub(crate) fn may(&self, now: Micros) -> SendPermission {
        self.holder.send_permission(now.0)
    }

    /// Until when all may be written that is buffered, where that ends; nothing is left to be kept back once it has ended.
    pub(crate) fn writes_until(&self) -> Option<Micros> {
        self.holder.expires_us().filter(|_| self.may == SendPermission::All).map(Micros)
    }

    /// When [`Agreement::advance`] is due.
    pub(crate) fn next_wake(&self, now: Micros) -> Micros {
        let due = [
            Some(self.link.next_wake(now.0)),
            self.holder.next_request_us(),
            self.state_due(),
            self.patrol_due(),
        ];
        Micros(due.into_iter().flatten().min().unwrap_or(i64::MAX).max(now.0))
    }

    /// Takes a happening on one of its sockets.
    pub(crate) fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        self.link.handle_event(now.0, reactor, event)
    }

    /// Lets time pass. Gives other settings where the documents have changed that this router acts by; they are acted by before
    /// anything is said of them.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        open: impl FnOnce() -> BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Option<Site> {
        for heard in self.link.take_events() {
            match heard {
                // Which state stands there is read, with its revision.
                ClientEvent::Changes(_) => self.read_at = Some(now.0),
                ClientEvent::Answered(ticket, answer) => self.answered(now, ticket, answer, clock),
                _ => {}
            }
        }
        if self.state_due().is_some_and(|at| at <= now.0) {
            self.read_at = None;
            self.ask_key(&self.keys.state(), For::State);
        }
        let site = self.take_news(now, open, clock);
        if self.left {
            self.link.advance(now.0, reactor);
            return site;
        }
        if self.patrol_due().is_some_and(|at| at <= now.0) {
            let rights = self.keys.leases();
            self.ask_range(&rights, Bytes(prefix_end(rights.as_bytes())), For::Rights);
        }
        match self.holder.next_request(now.0) {
            Some(LeaseRequest::Read) => {
                self.holder_reads = true;
                self.read_at = Some(now.0);
            }
            Some(LeaseRequest::Write(txn)) => self.ask_write(&txn, For::Write),
            None => {}
        }
        self.link.advance(now.0, reactor);
        site
    }

    /// When the state is to be read next; not while it is being read.
    fn state_due(&self) -> Option<i64> {
        self.read_at.filter(|_| !self.asks(|f| matches!(f, For::State)))
    }

    /// When to look for a change that waits for a driver; not while one look is under way.
    fn patrol_due(&self) -> Option<i64> {
        self.patrol.next_check_us().filter(|_| !self.asks(|f| matches!(f, For::Rights | For::Commit)))
    }

    fn asks(&self, what: impl Fn(&For) -> bool) -> bool {
        self.questions.values().any(what)
    }

    fn ask_key(&mut self, key: &str, what: For) {
        self.ask_range(key, Bytes::default(), what);
    }

    fn ask_range(&mut self, key: &str, range_end: Bytes, what: For) {
        let ask = RangeRequest { key: Bytes::of(key), range_end, ..RangeRequest::default() };
        let ticket = self.link.client_mut().ask(RANGE, &ask);
        self.questions.insert(ticket, what);
    }

    fn ask_write(&mut self, txn: &Txn, what: For) {
        let ticket = self.link.client_mut().ask(TXN, &documents::request(txn));
        self.questions.insert(ticket, what);
    }

    fn answered(&mut self, now: Micros, ticket: u64, answer: Result<Vec<u8>, String>, clock: &Clock) {
        let Some(what) = self.questions.remove(&ticket) else { return };
        let range = |body: &Vec<u8>| serde_json::from_slice::<RangeResponse>(body).ok();
        let body = answer.ok();
        match what {
            For::State => match body.as_ref().and_then(range) {
                Some(found) => {
                    let snapshot = self.snapshot(&found);
                    snapshot.unreadable.iter().for_each(|error| error!(%error, "the state of the settings"));
                    self.news = snapshot.state.or(self.news.take());
                    if std::mem::take(&mut self.holder_reads) {
                        self.ask_key(&self.own_key.clone(), For::Own);
                    }
                }
                None => self.read_at = Some(now.0 + AGAIN),
            },
            For::Document(number) => match body.as_ref().and_then(range) {
                Some(found) => {
                    let mut snapshot = self.snapshot(&found);
                    snapshot.unreadable.iter().for_each(|error| error!(%error, "a document of the settings"));
                    match snapshot.documents.remove(&number) {
                        Some(document) => drop(self.documents.insert(number, document)),
                        None => (self.news, self.read_at) = (None, Some(now.0 + AGAIN)),
                    }
                }
                None => self.read_at = Some(now.0 + AGAIN),
            },
            For::Own => {
                // Without an answer the holder asks again by itself.
                let Some(found) = body.as_ref().and_then(range) else { return };
                let snapshot = self.snapshot(&found);
                let (own, unreadable) =
                    (snapshot.leases.values().next(), !snapshot.unreadable_leases.is_empty());
                if unreadable {
                    error!(key = self.own_key, "the own right in the registry cannot be read");
                }
                if let Err(trouble) = self.holder.on_read(own) {
                    warn!(%trouble, "settings");
                }
            }
            For::Write => {
                let read = |body: Vec<u8>| serde_json::from_slice::<PlainResponse>(&body).ok();
                self.holder.on_written(match body.and_then(read) {
                    Some(answer) if answer.succeeded => TxnOutcome::Succeeded(answer.header.revision),
                    Some(_) => TxnOutcome::Conflict,
                    None => TxnOutcome::Unknown,
                });
            }
            For::Rights => {
                let found = body.as_ref().and_then(range);
                self.patrol.on_checked(now.0, found.as_ref().map_or(1, |f| f.kvs.len()));
                if let Some(found) = found {
                    let snapshot = self.snapshot(&found);
                    self.drive(snapshot, clock);
                }
            }
            // Whether it was done shows in the state, as with any other's.
            For::Commit => self.read_at = Some(now.0),
            For::Leave => self.left = true,
        }
    }

    /// Commits the change that is prepared, where nobody is waited for any more. The state that the rights are held against is
    /// the newest one heard: a commit on an older one is refused by the registry.
    fn drive(&mut self, mut snapshot: Snapshot, clock: &Clock) {
        let Some(state) = self.holder.state().cloned() else { return };
        let step = state.value.step;
        snapshot.state = Some(state);
        snapshot.documents.clone_from(&self.documents);
        match self.conductor.look(clock, &snapshot) {
            RolloutStep::Commit(txn) => {
                info!(step, "driving the change that is prepared to its commit");
                self.ask_write(&txn, For::Commit);
            }
            RolloutStep::Wait(awaited) => {
                let names: Vec<&str> = awaited.iter().take(5).map(|a| a.name.as_str()).collect();
                info!(step, awaited = awaited.len(), first = ?names, "a change of the settings waits");
            }
            RolloutStep::Idle => {}
        }
    }

    fn snapshot(&self, found: &RangeResponse) -> Snapshot {
        documents::snapshot(&self.keys, &found.kvs)
    }

    /// Acts by the newest state that is known, once its documents are.
    fn take_news(
        &mut self,
        now: Micros,
        open: impl FnOnce() -> BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Option<Site> {
        let state = self.news.take()?;
        if self.refused == Some(state.value.step) {
            return None;
        }
        let known = |e: &DocumentVersion| self.documents.get(&e.number).filter(|d| d.digest == e.digest);
        let missing: Vec<u64> =
            state.value.active_settings.versions().filter(|e| known(e).is_none()).map(|e| e.number).collect();
        if !missing.is_empty() {
            for number in missing {
                if !self.asks(|f| matches!(f, For::Document(n) if *n == number)) {
                    self.ask_key(&self.keys.document(number), For::Document(number));
                }
            }
            self.news = Some(state);
            return None;
        }
        let documents: Vec<Document> =
            state.value.active_settings.versions().filter_map(known).cloned().collect();
        let terms: Vec<_> = documents.iter().map(|d| d.lease_terms()).collect();
        let before = self.holder.active_settings().cloned();
        let mut holder = self.holder.clone();
        match holder.observe_state(&state, &terms) {
            Err(trouble) => {
                warn!(%trouble, "settings");
                self.refused = Some(state.value.step);
                return None;
            }
            Ok(_) if before.as_ref() == Some(&state.value.active_settings) => {
                self.holder = holder;
                return None;
            }
            Ok(_) => {}
        }
        let site = match self.agreed.site(&documents.iter().collect::<Vec<_>>(), &open(), clock) {
            Ok(site) => site,
            Err(error) => {
                error!(%error, step = state.value.step, "settings that cannot be acted by here; the rules stay as they are");
                self.refused = Some(state.value.step);
                // A router that starts has no rules to stay with: it looks again for others.
                self.read_at = before.is_none().then_some(now.0 + AGAIN);
                return None;
            }
        };
        let numbers: Vec<u64> = documents.iter().map(|d| d.number).collect();
        info!(documents = ?numbers, step = state.value.step, "settings");
        let right_us = terms.iter().map(|t| t.lease_us).max().unwrap_or(0);
        let prepared = state.value.active_settings.prepared.as_ref().map(|_| state.value.step);
        self.patrol.observe_state(now.0, prepared, HEAD_START.max(2 * right_us));
        (self.holder, self.refused) = (holder, None);
        self.documents.retain(|number, _| numbers.contains(number));
        if let Some(file) = &self.remembered_file {
            file.write(Snapshot::encode(&self.keys, &state, self.documents.values()));
        }
        Some(site)
    }

    /// Takes the right to act out of the registry.
    pub(crate) fn leave(&mut self) {
        match self.holder.release() {
            Some(txn) => self.ask_write(&txn, For::Leave),
            None => self.left = true,
        }
    }

    pub(crate) fn has_left(&self) -> bool {
        self.left
    }
}

/// What was acted by when this name ran last. Where there is nothing that can be read the registry is waited for.
fn remembered(path: &Path, keys: &Keys) -> Option<Snapshot> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => {
            warn!(path = %path.display(), %error, "the settings are not remembered");
            return None;
        }
    };
    match Snapshot::decode(keys, &bytes) {
        Ok(snapshot) if snapshot.unreadable.is_empty() => {
            info!(path = %path.display(), "the settings are remembered until the registry answers");
            Some(snapshot)
        }
        Ok(snapshot) => {
            snapshot
                .unreadable
                .iter()
                .for_each(|error| warn!(path = %path.display(), %error, "remembered settings"));
            None
        }
        Err(error) => {
            warn!(path = %path.display(), %error, "remembered settings");
            None
        }
    }
}

/// Locks the file of lives for as long as this process lasts, which proves that all lives in it have ended, and writes this one
/// behind them.
fn begin_life(path: &Path, life: &str) -> io::Result<(File, Vec<String>)> {
    let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    file.try_lock().map_err(|e| io::Error::other(format!("another process that lives holds it: {e}")))?;
    let mut text = String::new();
    Read::by_ref(&mut file).take(1 << 16).read_to_string(&mut text)?;
    let before: Vec<String> =
        text.lines().map(str::to_string).filter(|l| !l.is_empty() && !l.contains('/')).collect();
    let before = before[before.len().saturating_sub(LIVES)..].to_vec();
    let all: String = before.iter().map(String::as_str).chain([life]).map(|l| format!("{l}\n")).collect();
    file.set_len(0)?;
    file.rewind()?;
    file.write_all(all.as_bytes())?;
    file.sync_all()?;
    Ok((file, before))
}

impl GatewayServer {
    /// A gateway that acts by documents: it waits for them first.
    ///
    /// # Errors
    /// As [`GatewayServer::new`], and where the file of lives cannot be had.
    pub fn agreed(settings: AgreedSettings, agreed: Agreed, clock: Clock) -> Result<Self, GatewayError> {
        let lives = settings.lives.clone().unwrap_or_default();
        let mut agreement = Agreement::new(settings, agreed).map_err(|e| GatewayError::Record(lives, e))?;
        let mut reactor = Reactor::new(super::MAX_BUFFERED).map_err(GatewayError::Loop)?;
        let site = agreement.first_site(&clock, &mut reactor).map_err(GatewayError::Loop)?;
        let mut shell = GatewayServer::with(site, None, clock, reactor)?;
        shell.agreement = Some(agreement);
        Ok(shell)
    }

    /// Before a turn writes: what may not be sent any more is taken back.
    pub(super) fn look_at_right(&mut self) {
        let now = self.clock.now();
        let Some(agreement) = &mut self.agreement else { return };
        let may = agreement.may(now);
        if may == std::mem::replace(&mut agreement.may, may) {
            return;
        }
        self.engine.suspend_non_idempotent(may != SendPermission::All);
        if may == SendPermission::All {
            info!("the right to act by the settings stands");
            return;
        }
        warn!("no right to act by the settings: keyed and unsafe calls are not sent");
        let engine = &self.engine;
        let ends =
            self.pool.cancel_unsent_where(now, &mut self.reactor, |of| engine.is_suspended(of.request));
        for end in ends {
            self.ended(now, end);
        }
        self.drain_outputs(now);
    }

    /// The agreement's part of a turn.
    pub(super) fn agree(&mut self, now: Micros) {
        let Some(agreement) = &mut self.agreement else { return };
        let open = || self.engine.open_classes();
        let Some(mut site) = agreement.advance(now, &mut self.reactor, open, &self.clock) else { return };
        self.front.take_routes(site.front.routes.clone(), site.front.documents.clone());
        self.pool.sends_by(&site.documents);
        self.engine.update_settings(site.engine.clone());
        // What a gateway is told at its start alone stays; the number of routers is told by itself.
        site.listen = self.site.listen;
        let list = self.source.is_none().then(|| site.workers.clone());
        site.named = if self.source.is_none() { site.named } else { std::mem::take(&mut self.site.named) };
        self.site = site;
        if let Some(workers) = list {
            self.take_list(Scope::Full, &workers);
        }
    }
}
