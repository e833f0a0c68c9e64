//! The `worker` forms: the list of workers.

use super::forms::{address, optional, whole, Res};
use super::names::NameTables;
use crate::clock::Clock;
use slatevalve::{CellId, KindId, WorkerEntry, WorkerState, ZoneId};
use slatevalve_engine::worker_id;
use slatevalve_registry::{MemberState, WorkerRecord};
use slatevalve_sexpr::{Fields, Form};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The largest weight of a worker.
const MAX_WEIGHT: f64 = 1e6;

/// One worker in the list.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// The worker's name, the same at all gateways and over its restarts.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its entry for the load balancer.
    pub entry: WorkerEntry,
}

impl ListedWorker {
    /// The line of a worker that the registry lists.
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
) -> Res<Vec<ListedWorker>> {
    let mut workers = Vec::new();
    let mut names_by_id = HashMap::new();
    for form in top.take_all("worker") {
        let (name, fields) = form.named_fields()?;
        if let Some(other) = names_by_id.insert(worker_id(&name), name.clone()) {
            let message = if other == name {
                format!("worker \"{name}\" stands twice")
            } else {
                format!("worker \"{name}\" has the same id as \"{other}\"; name one of them anew")
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
) -> Res<ListedWorker> {
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
        return Err(form.error("a weight lies between 0 and 1,000,000"));
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
