//! The `members` sub-commands: who is in the registry, what changes there, and drains.

use super::session::{RegistryArguments, Res, Session, WITHIN_US};
use super::Outcome;
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use slatevalve_registry::wire::{
    Bytes, Compare, KeyValue, PlainResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest,
    RANGE, TXN,
};
use slatevalve_registry::{read_member, worker_key, Change, ClientEvent, Member, MemberState, WatchScope};
use std::io::{self, Write};
use std::process::ExitCode;

/// Times that a drain is tried again as somebody else changed the worker's entry meanwhile.
const TRIES: usize = 5;

#[derive(Args)]
pub(super) struct MembersArguments {
    #[command(flatten)]
    registry: RegistryArguments,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: MembersCommand,
}

#[derive(Subcommand)]
enum MembersCommand {
    /// List workers and routers
    List,
    /// Print each change as it comes, until Ctrl-C or for so long
    Watch {
        /// Stop after so many seconds
        #[arg(long)]
        seconds: Option<f64>,
    },
    /// Let a worker drain: routers send it nothing new
    Drain {
        /// The worker
        worker: String,
    },
    /// Let a worker that drains take work again
    Ready {
        /// The worker
        worker: String,
    },
}

pub(super) fn members(arguments: MembersArguments) -> Outcome {
    let MembersArguments { registry, json, command } = arguments;
    let follow = match command {
        MembersCommand::List | MembersCommand::Watch { .. } => WatchScope::All,
        _ => WatchScope::Nothing,
    };
    let mut session = Session::new(registry, follow)?;
    match command {
        MembersCommand::List => {
            let changes = session.first_list()?;
            let rows: Vec<Value> = changes.iter().map(|c| session.row(c)).collect();
            match json {
                true => println!("{}", Value::Array(rows)),
                false => rows.iter().for_each(|r| println!("{}", text(r))),
            }
        }
        MembersCommand::Watch { seconds } => session.watch(seconds, json)?,
        MembersCommand::Drain { worker } => session.set_state(&worker, MemberState::Draining, json)?,
        MembersCommand::Ready { worker } => session.set_state(&worker, MemberState::Ready, json)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn text(row: &Value) -> String {
    let word = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let kind = if row["router"].is_null() { "worker" } else { "router" };
    let name = word(&row[kind]);
    match row["gone"].as_bool() {
        Some(true) => format!("{kind:<8} {name:<32} gone"),
        _ => {
            let state = row["record"]["state"].as_str().unwrap_or("-");
            let (address, zone) = (&row["record"]["address"], &row["record"]["zone"]);
            let known = |v: &Value| if v.is_null() { "-".to_string() } else { word(v) };
            format!("{kind:<8} {name:<32} {state:<10} {:<22} {}", known(address), known(zone))
        }
    }
}

impl Session {
    fn first_list(&mut self) -> Res<Vec<Change>> {
        let until = self.clock.now().0 + WITHIN_US;
        let mut failed = "the registry does not answer".to_string();
        while self.clock.now().0 < until {
            let mut all = Vec::new();
            for heard in self.poll()? {
                match heard {
                    ClientEvent::Changes(changes) => all.extend(changes),
                    ClientEvent::Failed(words) => failed = words,
                    _ => {}
                }
            }
            if self.link.client().watch_state().revision() > 0 {
                return Ok(all);
            }
        }
        Err(failed.into())
    }

    fn row(&self, change: &Change) -> Value {
        let name = |key: &[u8]| {
            let text = String::from_utf8_lossy(key).into_owned();
            text.strip_prefix(&self.prefix).unwrap_or(&text).to_string()
        };
        let (key, record, gone) = match change {
            Change::Put { key, value, .. } => (key, value.clone(), false),
            Change::Deleted { key } => (key, Vec::new(), true),
        };
        let name = name(key);
        let (kind, name) = name.split_once("s/").unwrap_or(("other", &name));
        if gone {
            return json!({kind: name, "gone": true});
        }
        match read_member(&self.prefix, key, &record) {
            Ok(Some(Member::Worker(name, record))) => json!({"worker": name, "record": record}),
            Ok(Some(Member::Router(name, record))) => json!({"router": name, "record": record}),
            Ok(None) => json!({kind: name}),
            Err(error) => json!({kind: name, "error": error.to_string()}),
        }
    }

    fn watch(&mut self, seconds: Option<f64>, json: bool) -> Res<()> {
        let until = seconds.map(|s| self.clock.now().0 + (s * 1e6) as i64);
        let mut out = io::stdout().lock();
        while until.is_none_or(|at| self.clock.now().0 < at) {
            for heard in self.poll()? {
                match heard {
                    ClientEvent::Changes(changes) => {
                        for change in &changes {
                            let row = self.row(change);
                            let line = if json { row.to_string() } else { text(&row) };
                            // Whoever read it may have left.
                            if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
                                return Ok(());
                            }
                        }
                    }
                    ClientEvent::Failed(words) => eprintln!("registry: {words}"),
                    ClientEvent::WatchFault(trouble) => eprintln!("registry: {trouble:?}"),
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Writes a worker's state into its entry as it is, under the lease that it has; tried again where somebody else wrote
    /// it in between.
    fn set_state(&mut self, worker: &str, state: MemberState, json: bool) -> Res<()> {
        let key = Bytes::of(&worker_key(&self.prefix, worker));
        for _ in 0..TRIES {
            let found: RangeResponse =
                self.ask(RANGE, &RangeRequest { key: key.clone(), ..RangeRequest::default() })?;
            let Some(KeyValue { value, mod_revision, lease, .. }) = found.kvs.into_iter().next() else {
                return Err(format!("there is no worker {worker} in the registry").into());
            };
            let Some(Member::Worker(_, mut record)) = read_member(&self.prefix, &key.0, &value.0)? else {
                return Err(format!("{worker} cannot be a worker's name").into());
            };
            record.state = state;
            let put = PutRequest { key: key.clone(), value: Bytes(serde_json::to_vec(&record)?), lease };
            let ask = TxnRequest {
                compare: vec![Compare::unchanged(key.clone(), mod_revision)],
                success: vec![RequestOp { request_put: Some(put), request_delete_range: None }],
            };
            let done: PlainResponse = self.ask(TXN, &ask)?;
            if done.succeeded {
                let row = json!({"worker": worker, "record": record, "revision": done.header.revision});
                println!("{}", if json { row.to_string() } else { text(&row) });
                return Ok(());
            }
        }
        Err(format!("the entry of {worker} is changed again and again by somebody else").into())
    }
}
