//! The `worker` forms: the worker list.

use super::forms::{address, optional, whole, FormResult};
use super::names::NameTables;
use crate::clock::Clock;
use slatevalve::{CellId, KindId, WorkerEntry, WorkerState, ZoneId};
use slatevalve_engine::worker_id;
use slatevalve_registry::{MemberState, WorkerRecord};
use slatevalve_sexpr::{Fields, Form};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Largest weight of a worker.
const MAX_WEIGHT: f64 = 1e6;

/// A worker of the worker list, from the settings or from a registry.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// The worker's name; the same at all gateways and across restarts.
    pub name: String,
    /// The address that calls and probes are sent to.
    pub address: SocketAddr,
    /// Its entry for the load balancer, whose id is derived from the name.
    pub entry: WorkerEntry,
}

impl ListedWorker {
    /// Converts a worker's record in a registry.
    pub(crate) fn from_record(
        name: &str,
        record: &WorkerRecord,
        name_tables: &mut NameTables,
        clock: &Clock,
    ) -> Self {
        let state = match record.state {
            MemberState::Ready => WorkerState::Ready,
            MemberState::Draining => WorkerState::Draining,
        };
        let entry = WorkerEntry {
            id: worker_id(name),
            zone: ZoneId(name_tables.zones.number_of(&record.zone)),
            kind: KindId(name_tables.kinds.number_of(&record.kind)),
            cell: CellId(record.cell),
            state,
            weight: record.weight,
            up_since: record.up_since_unix_ms.map(|ms| clock.at_unix_ms(ms)),
        };
        ListedWorker { name: name.into(), address: record.address, entry }
    }
}

pub(super) fn workers(
    top: &mut Fields<'_>,
    name_tables: &mut NameTables,
    clock: &Clock,
) -> FormResult<Vec<ListedWorker>> {
    let mut workers = Vec::new();
    let mut names_by_id = HashMap::new();
    for form in top.take_all("worker") {
        let (name, fields) = form.named_fields()?;
        if let Some(other) = names_by_id.insert(worker_id(&name), name.clone()) {
            let message = if other == name {
                format!("worker \"{name}\" is listed twice")
            } else {
                format!("worker \"{name}\" has the same id as \"{other}\"; rename one of them")
            };
            return Err(form.error(message));
        }
        workers.push(worker(&form, name, fields, name_tables, clock)?);
    }
    Ok(workers)
}

fn worker(
    form: &Form<'_>,
    name: String,
    mut fields: Fields<'_>,
    name_tables: &mut NameTables,
    clock: &Clock,
) -> FormResult<ListedWorker> {
    let state = optional(&mut fields, "state", Form::text)?;
    let state = match state.as_deref() {
        None | Some("ready") => WorkerState::Ready,
        Some("draining") => WorkerState::Draining,
        Some("gone") => WorkerState::Gone,
        Some(other) => {
            return Err(form.error(format!("expected state ready, draining or gone, found {other}")))
        }
    };
    let zone = fields.or("zone", "default".to_string(), Form::text)?;
    let kind = fields.or("kind", "default".to_string(), Form::text)?;
    let weight = fields.or("weight", 1.0, Form::number)?;
    if weight <= 0.0 || weight > MAX_WEIGHT {
        return Err(form.error("weight must be greater than 0 and at most 1,000,000"));
    }
    let entry = WorkerEntry {
        id: worker_id(&name),
        zone: ZoneId(name_tables.zones.number_of(&zone)),
        kind: KindId(name_tables.kinds.number_of(&kind)),
        cell: CellId(whole(&mut fields, "cell", 0, u64::from(u32::MAX))?),
        state,
        weight,
        up_since: optional(&mut fields, "up-since-unix-ms", Form::number)?
            .map(|unix_ms| clock.at_unix_ms(unix_ms)),
    };
    let address = address(&fields.need("address")?)?;
    fields.finish()?;
    Ok(ListedWorker { name, address, entry })
}
