//! `slatevalve members`: lists the members in the registry, follows their changes, and drains workers.

use super::session::{RegistryArguments, Session, SessionResult};
use super::CommandResult;
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use slatevalve_registry::wire::{
    Bytes, Compare, KeyValue, PlainResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest,
    RANGE, TXN,
};
use slatevalve_registry::{read_member, worker_key, Change, ClientEvent, Member, MemberState, WatchScope};
use std::io::{self, Write};
use std::process::ExitCode;

/// Maximum number of attempts to change a worker's state while others change its entry at the same time.
const MAX_ATTEMPTS: usize = 5;
const MICROS_PER_SECOND: f64 = 1e6;

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
    /// Print each change as it occurs, until Ctrl-C or for the given time
    Watch {
        /// Stop after this many seconds
        #[arg(long)]
        seconds: Option<f64>,
    },
    /// Drain a worker: routers send it no new calls
    Drain {
        /// Name of the worker
        worker: String,
    },
    /// Let a draining worker take calls again
    Ready {
        /// Name of the worker
        worker: String,
    },
}

/// Runs `slatevalve members`.
pub(super) fn members(arguments: MembersArguments) -> CommandResult {
    let MembersArguments { registry, json, command } = arguments;
    let follow = match command {
        MembersCommand::List | MembersCommand::Watch { .. } => WatchScope::All,
        MembersCommand::Drain { .. } | MembersCommand::Ready { .. } => WatchScope::Nothing,
    };
    let mut session = Session::new(registry, follow)?;
    match command {
        MembersCommand::List => session.print_list(json)?,
        MembersCommand::Watch { seconds } => session.watch(seconds, json)?,
        MembersCommand::Drain { worker } => session.set_state(&worker, MemberState::Draining, json)?,
        MembersCommand::Ready { worker } => session.set_state(&worker, MemberState::Ready, json)?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats a row as a line of JSON, or of text in columns.
fn format_row(row: &Value, json: bool) -> String {
    if json {
        return row.to_string();
    }
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let kind = if row["router"].is_null() { "worker" } else { "router" };
    let name = text(&row[kind]);
    if row["gone"] == true {
        return format!("{kind:<8} {name:<32} gone");
    }
    let or_dash = |value: &Value| if value.is_null() { "-".to_string() } else { text(value) };
    let record = &row["record"];
    let state = record["state"].as_str().unwrap_or("-");
    let (address, zone) = (or_dash(&record["address"]), or_dash(&record["zone"]));
    format!("{kind:<8} {name:<32} {state:<10} {address:<22} {zone}")
}

impl Session {
    fn print_list(&mut self, json: bool) -> SessionResult<()> {
        let changes = self.first_list()?;
        let rows: Vec<Value> = changes.iter().map(|change| self.row(change)).collect();
        if json {
            println!("{}", Value::Array(rows));
        } else {
            rows.iter().for_each(|row| println!("{}", format_row(row, false)));
        }
        Ok(())
    }

    /// Waits for the first complete list.
    fn first_list(&mut self) -> SessionResult<Vec<Change>> {
        self.poll_until(|session, events| {
            let is_complete = session.link.client().watch_state().revision() > 0;
            is_complete.then(|| Ok(events.into_iter().flat_map(changes_of).collect()))
        })
    }

    /// Converts a changed key to a row of JSON.
    fn row(&self, change: &Change) -> Value {
        let (Change::Put { key, .. } | Change::Deleted { key }) = change;
        let key_text = String::from_utf8_lossy(key);
        let relative = key_text.strip_prefix(&self.prefix).unwrap_or(&key_text);
        let (kind, name) = relative.split_once("s/").unwrap_or(("other", relative));
        let Change::Put { value, .. } = change else {
            return json!({kind: name, "gone": true});
        };
        match read_member(&self.prefix, key, value) {
            Ok(Some(Member::Worker(name, record))) => json!({"worker": name, "record": record}),
            Ok(Some(Member::Router(name, record))) => json!({"router": name, "record": record}),
            Ok(None) => json!({kind: name}),
            Err(error) => json!({kind: name, "error": error.to_string()}),
        }
    }

    /// Prints changes until the time has passed or the output is closed.
    fn watch(&mut self, seconds: Option<f64>, json: bool) -> SessionResult<()> {
        let end_us = seconds.map(|seconds| self.clock.now().0 + (seconds * MICROS_PER_SECOND) as i64);
        let mut out = io::stdout().lock();
        while end_us.is_none_or(|end_us| self.clock.now().0 < end_us) {
            for event in self.poll()? {
                let printed = match event {
                    ClientEvent::Changes(changes) => self.print_changes(&mut out, &changes, json),
                    other => {
                        report_fault(&other);
                        Ok(())
                    }
                };
                if printed.is_err() {
                    // The reader of the output may have exited.
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn print_changes(&self, out: &mut impl Write, changes: &[Change], json: bool) -> io::Result<()> {
        for change in changes {
            writeln!(out, "{}", format_row(&self.row(change), json))?;
            out.flush()?;
        }
        Ok(())
    }

    /// Writes a worker's state into its current entry and keeps the entry's lease; retried if the entry
    /// changed meanwhile.
    fn set_state(&mut self, worker: &str, state: MemberState, json: bool) -> SessionResult<()> {
        let key = Bytes::of(&worker_key(&self.prefix, worker));
        for _ in 0..MAX_ATTEMPTS {
            let found: RangeResponse =
                self.request(RANGE, &RangeRequest { key: key.clone(), ..RangeRequest::default() })?;
            let Some(KeyValue { value, mod_revision, lease, .. }) = found.kvs.into_iter().next() else {
                return Err(format!("there is no worker {worker} in the registry").into());
            };
            let Some(Member::Worker(_, mut record)) = read_member(&self.prefix, &key.0, &value.0)? else {
                return Err(format!("{worker} is not a valid worker name").into());
            };
            record.state = state;
            let put = PutRequest { key: key.clone(), value: Bytes(serde_json::to_vec(&record)?), lease };
            let request = TxnRequest {
                compare: vec![Compare::unchanged(key.clone(), mod_revision)],
                success: vec![RequestOp { request_put: Some(put), request_delete_range: None }],
            };
            let response: PlainResponse = self.request(TXN, &request)?;
            if response.succeeded {
                let revision = response.header.revision;
                let row = json!({"worker": worker, "record": record, "revision": revision});
                println!("{}", format_row(&row, json));
                return Ok(());
            }
        }
        Err(format!("the entry of {worker} was changed by another writer in each of {MAX_ATTEMPTS} attempts")
            .into())
    }
}

/// Prints a failure of the client to standard error; ignores other events.
fn report_fault(event: &ClientEvent) {
    match event {
        ClientEvent::Failed(reason) => eprintln!("registry: {reason}"),
        ClientEvent::WatchFault(fault) => eprintln!("registry: {fault:?}"),
        _ => {}
    }
}

fn changes_of(event: ClientEvent) -> Vec<Change> {
    match event {
        ClientEvent::Changes(changes) => changes,
        _ => Vec::new(),
    }
}
