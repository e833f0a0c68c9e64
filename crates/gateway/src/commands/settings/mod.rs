//! The `settings` sub-commands: check and compare documents, publish one and drive its change, take it back, see who said yes.
//!
//! They decide nothing: what contradicts, what is published and when a change is committed is `slatevalve-config-versioning`'s. A
//! command may be killed at any step; `settings drive` goes on with the change.

use super::session::{RegistryArguments, Res, Session};
use super::Outcome;
use crate::clock::Clock;
use crate::documents::{request, snapshot, DocumentRollout};
use crate::settings::{self, SharedSettings};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use slatevalve_config_versioning::{
    contradictions, ActLease, Document, DocumentVersion, Entry, Keys, PendingAck, RolloutStep, RouterId,
    Snapshot, State, Terms, Txn, WaitReason,
};
use slatevalve_registry::wire::{
    prefix_end, Bytes, KeyValue, PlainResponse, RangeRequest, RangeResponse, RANGE, TXN,
};
use slatevalve_registry::WatchScope;
use std::collections::BTreeMap;
use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What waits is looked at again after this, at first and at most.
const LOOK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// A change is prepared and not committed.
const WAITS: u8 = 3;

#[derive(Args)]
pub(super) struct SettingsArguments {
    #[command(flatten)]
    registry: RegistryArguments,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: SettingsCommand,
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Check a document, without a registry
    Check {
        /// The file
        file: PathBuf,
    },
    /// Say in which fields two documents contradict each other, and what is refused while one replaces the other
    ///
    /// Each is a file, or the number of a published document. Exits with 1 where they contradict.
    Diff {
        /// The old one
        old: String,
        /// The new one
        new: String,
    },
    /// Publish a document and drive the change until it is committed
    Publish {
        /// The file
        file: PathBuf,
        /// Why
        #[arg(long)]
        why: String,
        /// Who publishes it
        #[arg(long, default_value = "operator")]
        who: String,
        /// Give a number above this one; for a registry that was put back to an older content
        #[arg(long, default_value_t = 0)]
        above: u64,
        /// Stop waiting after so many seconds; the change stays prepared
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Drive a change that somebody else began, until it is committed
    Drive {
        /// Stop waiting after so many seconds
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Show what counts, what is prepared, and who has said yes
    Status,
    /// List the published documents
    History,
    /// Take a prepared change back; where none is, publish an older document anew
    Rollback {
        /// The document; the parent of the one that counts if none is named
        number: Option<u64>,
        /// Stop waiting after so many seconds
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Take a router's right to act out, by your word that it sends nothing any more
    DeclareGone {
        /// Its name
        name: String,
        /// One life of it; all if none is named
        #[arg(long)]
        life: Option<String>,
    },
}

pub(super) fn settings(arguments: SettingsArguments) -> Outcome {
    let SettingsArguments { registry, json, command } = arguments;
    let print = |value: Value, words: String| match json {
        true => println!("{value}"),
        false => println!("{words}"),
    };
    match command {
        SettingsCommand::Check { file } => {
            let (text, shared) = read_file(&file)?;
            let (classes, routes) = (shared.site.classes.len(), shared.site.front.routes.routes.len());
            let digest = Document::digest_of(&text);
            let words = format!("{}: {classes} classes, {routes} routes, digest {digest}", file.display());
            print(json!({"classes": classes, "routes": routes, "digest": digest}), words);
        }
        SettingsCommand::Diff { old, new } => return diff(registry, json, &old, &new),
        SettingsCommand::Publish { file, why, who, above, wait_s } => {
            let (text, shared) = read_file(&file)?;
            let mut desk = SettingsClient::new(registry, json)?;
            let number = desk.publish(&text, &shared, (who, why), above)?;
            return desk.drive(Some(number), wait_s);
        }
        SettingsCommand::Drive { wait_s } => return SettingsClient::new(registry, json)?.drive(None, wait_s),
        SettingsCommand::Status => {
            let mut desk = SettingsClient::new(registry, json)?;
            let snapshot = desk.read()?;
            let rows = desk.status(&snapshot);
            print(rows.clone(), status_words(&rows));
        }
        SettingsCommand::History => {
            let all = SettingsClient::new(registry, json)?.history()?;
            let row = |d: &Document| {
                let (number, parent, digest) = (d.number, d.parent, &d.digest);
                json!({"number": number, "parent": parent, "digest": digest, "who": d.who, "why": d.why})
            };
            let line = |d: &Document| {
                format!("{:>6} of {:<6} {:.12} {}: {}", d.number, d.parent, d.digest, d.who, d.why)
            };
            let words: Vec<String> = all.iter().map(line).collect();
            print(all.iter().map(row).collect(), words.join("\n"));
        }
        SettingsCommand::Rollback { number, wait_s } => {
            let mut desk = SettingsClient::new(registry, json)?;
            let snapshot = desk.read()?;
            if let (Some(txn), None) = (snapshot.withdraw(&desk.keys), number) {
                desk.must(&txn)?;
                print(json!({"withdrawn": true}), "the prepared change is taken back".into());
                return Ok(ExitCode::SUCCESS);
            }
            let state = snapshot.state.as_ref().ok_or("nothing was published yet")?;
            let committed = &state.value.active_settings.committed;
            let parent = snapshot.document(committed).map_or(0, |d| d.parent);
            let wanted = desk.document(number.unwrap_or(parent))?;
            let shared = read_text("document", &wanted.text)?;
            let why = format!("back to document {}", wanted.number);
            let number = desk.publish(&wanted.text, &shared, ("rollback".into(), why), 0)?;
            return desk.drive(Some(number), wait_s);
        }
        SettingsCommand::DeclareGone { name, life } => {
            let mut desk = SettingsClient::new(registry, json)?;
            let snapshot = desk.read()?;
            let txn = snapshot.declare_gone(&desk.keys, &name, life.as_deref());
            let txn = txn.ok_or_else(|| format!("{name} has no right to act in the registry"))?;
            desk.must(&txn)?;
            let lives = txn.deletes.len();
            print(
                json!({"gone": name, "lives": lives}),
                format!("{name} is declared gone, {lives} of its lives"),
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn read_text(name: &str, text: &str) -> Res<SharedSettings> {
    Ok(SharedSettings::parse(name, text, &Clock::start())?)
}

fn read_file(path: &Path) -> Res<(String, SharedSettings)> {
    let (name, text) = settings::read_text(path)?;
    let shared = read_text(&name, &text)?;
    Ok((text, shared))
}

fn diff(registry: RegistryArguments, json: bool, old: &str, new: &str) -> Outcome {
    let mut desk = None;
    let published = |name: &str| name.parse::<u64>().ok().filter(|_| !Path::new(name).exists());
    if published(old).or(published(new)).is_some() {
        desk = Some(SettingsClient::new(registry, json)?);
    }
    let mut terms = |name: &str| -> Res<Terms> {
        match (published(name), desk.as_mut()) {
            (Some(number), Some(desk)) => Ok(read_text(name, &desk.document(number)?.text)?.terms()),
            _ => Ok(read_file(Path::new(name))?.1.terms()),
        }
    };
    let (old, new) = (terms(old)?, terms(new)?);
    let found = contradictions(&old, &new);
    let meet = old.meet(&new);
    // Classes that lose something, and topics' classes that only one side knows.
    let stricter = meet.classes.iter().filter(|(name, class)| {
        let sides = [old.classes.get(*name), new.classes.get(*name)];
        sides.iter().any(|side| {
            side.is_none_or(|s| s.retry != class.retry || s.attempts.applied != class.attempts.applied)
        })
    });
    let stricter: Vec<&String> = stricter.map(|(name, _)| name).collect();
    if json {
        let rows: Vec<Value> = found.iter().map(|c| json!({"field": c.field, "reason": c.reason})).collect();
        println!("{}", json!({"contradictions": rows, "stricter-meanwhile": stricter}));
    } else {
        found.iter().for_each(|c| println!("{c}"));
        if found.is_empty() {
            println!("nothing contradicts: the change waits for nobody");
        } else {
            println!("until all routers have said yes: what is named above is refused or kept to by the stricter side");
            println!("classes under stricter rules meanwhile: {stricter:?}");
        }
    }
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A session with what was read of documents, which never change.
struct SettingsClient {
    session: Session,
    keys: Keys,
    json: bool,
    documents: BTreeMap<u64, Document>,
}

impl SettingsClient {
    fn new(registry: RegistryArguments, json: bool) -> Res<Self> {
        let keys = Keys::new(&registry.prefix);
        let session = Session::new(registry, WatchScope::Nothing)?;
        Ok(SettingsClient { session, keys, json, documents: BTreeMap::new() })
    }

    fn range(&mut self, key: &str, prefix: bool, revision: i64) -> Res<(Vec<KeyValue>, i64)> {
        let range_end = Bytes(if prefix { prefix_end(key.as_bytes()) } else { Vec::new() });
        let ask = RangeRequest { key: Bytes::of(key), range_end, revision, ..RangeRequest::default() };
        let answer: RangeResponse = self.session.ask(RANGE, &ask)?;
        Ok((answer.kvs, answer.header.revision))
    }

    /// State and rights at one revision, and the documents that they name.
    fn read(&mut self) -> Res<Snapshot> {
        let (mut entries, revision) = self.range(&self.keys.leases(), true, 0)?;
        entries.extend(self.range(&self.keys.state(), false, revision)?.0);
        let mut snapshot = snapshot(&self.keys, &entries);
        let named: Vec<u64> = snapshot.referenced_versions().into_iter().map(|e| e.number).collect();
        for number in named {
            if let Ok(document) = self.document(number) {
                snapshot.documents.insert(document.number, document);
            }
        }
        Ok(snapshot)
    }

    fn document(&mut self, number: u64) -> Res<Document> {
        if let Some(document) = self.documents.get(&number) {
            return Ok(document.clone());
        }
        let (found, _) = self.range(&self.keys.document(number), false, 0)?;
        let mut snapshot = snapshot(&self.keys, &found);
        let document =
            snapshot.documents.remove(&number).ok_or_else(|| match snapshot.unreadable.first() {
                Some(error) => error.to_string(),
                None => format!("there is no document {number}"),
            })?;
        self.documents.insert(number, document.clone());
        Ok(document)
    }

    fn history(&mut self) -> Res<Vec<Document>> {
        // One after the other: an answer with all of them may be larger than any limit.
        let snapshot = self.read()?;
        let last = snapshot.state.map_or(0, |s| s.value.last_number);
        Ok((1..=last).filter_map(|number| self.document(number).ok()).collect())
    }

    /// Whether a transaction was done.
    fn write(&mut self, txn: &Txn) -> Res<bool> {
        let answer: PlainResponse = self.session.ask(TXN, &request(txn))?;
        Ok(answer.succeeded)
    }

    fn must(&mut self, txn: &Txn) -> Res<()> {
        match self.write(txn)? {
            true => Ok(()),
            false => {
                Err("somebody else changed it at the same time; look at the status and try again".into())
            }
        }
    }

    fn publish(
        &mut self,
        text: &str,
        shared: &SharedSettings,
        (who, why): (String, String),
        above: u64,
    ) -> Res<u64> {
        let snapshot = self.read()?;
        let (expiry_policy, lease_us) = (shared.expiry_policy, shared.lease.0);
        let (digest, text) = (String::new(), text.to_string());
        let draft = Document { number: 0, parent: 0, digest, text, who, why, expiry_policy, lease_us };
        let (document, txn) = snapshot.publish(&self.keys, &draft, above)?;
        self.must(&txn).map_err(|e| format!("document {} may not be published: {e}", document.number))?;
        Ok(document.number)
    }

    /// Drives a change until it is committed, or time is up.
    fn drive(&mut self, wanted: Option<u64>, wait_s: f64) -> Outcome {
        let until = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, 86_400.0));
        let mut rollout = DocumentRollout::new(self.keys.clone());
        let (mut shown, mut wait) = (Vec::new(), LOOK.0);
        loop {
            let waits = match self.read() {
                Ok(snapshot) => {
                    let state = snapshot.state.as_ref().ok_or("nothing was published yet")?;
                    if state.value.active_settings.prepared.is_none() {
                        return self.ended(wanted, &state.value);
                    }
                    match rollout.advance(&self.session.clock, &snapshot) {
                        RolloutStep::Commit(txn) => {
                            // Whether it was done shows at the next look, whoever did it.
                            self.write(&txn)?;
                            continue;
                        }
                        RolloutStep::Wait(awaited) => (awaited, snapshot.leases.len()),
                        RolloutStep::Idle => (Vec::new(), 0),
                    }
                }
                // The registry may come back; the change stays as it is.
                Err(error) if Instant::now() < until => {
                    eprintln!("registry: {error}");
                    (Vec::new(), 0)
                }
                Err(error) => return Err(error),
            };
            self.show(&waits, &mut shown);
            if Instant::now() >= until {
                if self.json {
                    let names: Vec<&str> = waits.0.iter().map(|a| a.name.as_str()).collect();
                    println!("{}", json!({"committed": false, "awaited": names}));
                }
                return Ok(ExitCode::from(WAITS));
            }
            std::thread::sleep(wait);
            wait = (wait * 2).min(LOOK.1);
        }
    }

    fn ended(&self, wanted: Option<u64>, state: &State) -> Outcome {
        let committed = state.active_settings.committed.number;
        if wanted.is_some_and(|number| number > committed) {
            return Err("the change was taken back by somebody else".into());
        }
        match self.json {
            true => println!("{}", json!({"committed": true, "number": committed})),
            false => println!("document {committed} counts"),
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Who is awaited, where that has changed; a bar on a terminal.
    fn show(&self, (awaited, routers): &(Vec<PendingAck>, usize), shown: &mut Vec<PendingAck>) {
        if self.json || awaited == shown {
            return;
        }
        let all = (*routers).max(awaited.len()).max(1);
        let said = all - awaited.len();
        let names: Vec<String> = awaited.iter().take(5).map(awaited_words).collect();
        let mut out = io::stderr().lock();
        let bar = if out.is_terminal() {
            let full = said * 20 / all;
            format!("[{}{}] ", "#".repeat(full), ".".repeat(20 - full))
        } else {
            String::new()
        };
        let _ = writeln!(out, "{bar}{said} of {all} routers have said yes; awaited: {}", names.join(", "));
        shown.clone_from(awaited);
    }

    fn status(&mut self, snapshot: &Snapshot) -> Value {
        let Some(state) = &snapshot.state else { return json!({"published": false}) };
        let active_settings = &state.value.active_settings;
        let known = |e: &DocumentVersion| {
            let document = snapshot.document(e);
            let words = |f: fn(&Document) -> String| document.map(f);
            json!({"number": e.number, "digest": e.digest, "who": words(|d| d.who.clone()),
                "why": words(|d| d.why.clone()), "in-doubt": document.map(|d| d.expiry_policy)})
        };
        let right = |(RouterId { name, incarnation }, entry): (&RouterId, &Entry<ActLease>)| {
            let right = &entry.value;
            let yes = right.acknowledges(&state.value);
            let numbers: Vec<u64> = right.active_settings.versions().map(|e| e.number).collect();
            json!({"router": name, "life": incarnation, "acts-by": numbers, "said-yes": yes, "in-doubt": right.expiry_policy})
        };
        let unreadable: Vec<String> = snapshot.unreadable.iter().map(ToString::to_string).collect();
        json!({"published": true, "step": state.value.step, "committed": known(&active_settings.committed),
            "prepared": active_settings.prepared.as_ref().map(known),
            "routers": snapshot.leases.iter().map(right).collect::<Vec<_>>(), "unread": unreadable})
    }
}

fn awaited_words(awaited: &PendingAck) -> String {
    let why = match awaited.reason {
        WaitReason::Acknowledgement => "goes on by the rules it has",
        WaitReason::LeaseExpiry(_) => "until its right ends",
        WaitReason::UnreadableLease => "what it wrote cannot be read here",
    };
    format!("{} ({why})", awaited.name)
}

fn status_words(rows: &Value) -> String {
    if rows["published"] == false {
        return "nothing is published".into();
    }
    let version = |v: &Value| format!("document {} ({}: {})", v["number"], v["who"], v["why"]);
    let mut lines = vec![format!("counts: {}", version(&rows["committed"]))];
    if !rows["prepared"].is_null() {
        lines.push(format!("prepared: {}", version(&rows["prepared"])));
    }
    for router in rows["routers"].as_array().into_iter().flatten() {
        let word = if router["said-yes"] == true { "yes" } else { "awaited" };
        let name = router["router"].as_str().unwrap_or_default();
        lines.push(format!("router {name:<32} {word:<8} acts by {}", router["acts-by"]));
    }
    for unreadable in rows["unread"].as_array().into_iter().flatten() {
        lines.push(format!("cannot be read: {unreadable}"));
    }
    lines.join("\n")
}
