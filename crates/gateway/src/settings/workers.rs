//! The worker list.

use super::{address, Named, Places};
use crate::clock::Clock;
use slatevalve::{CellId, KindId, WorkerEntry, WorkerState, ZoneId};
use slatevalve_engine::worker_id;
use slatevalve_registry::{MemberState, WorkerRecord};
use slatevalve_sexpr::{Fields, Form, FormError};
use std::collections::HashMap;
use std::net::SocketAddr;

type Res<T> = Result<T, FormError>;

/// One worker, as the list has it.
#[derive(Clone, Debug)]
pub struct WorkerLine {
    /// Its name, the same at every gateway and over its restarts.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What the module is told.
    pub entry: WorkerEntry,
}

impl WorkerLine {
    /// The line of a worker that the registry lists.
    pub(crate) fn of(name: &str, record: &WorkerRecord, named: &mut Named, clock: &Clock) -> Self {
        let state = match record.state {
            MemberState::Ready => WorkerState::Ready,
            MemberState::Draining => WorkerState::Draining,
        };
        let entry = WorkerEntry {
            id: worker_id(name),
            zone: ZoneId(named.zones.of(&record.zone)),
            kind: KindId(named.kinds.of(&record.kind)),
            cell: CellId(record.cell),
            state,
            weight: record.weight,
            up_since: record.up_since_unix_ms.map(|ms| clock.at_unix_ms(ms)),
        };
        WorkerLine { name: name.into(), address: record.address, entry }
    }
}

pub(crate) fn workers(
    top: &mut Fields<'_>,
    zones: &mut Places,
    kinds: &mut Places,
    clock: &Clock,
) -> Res<Vec<WorkerLine>> {
    let mut workers = Vec::new();
    let mut ids = HashMap::new();
    for form in top.take_all("worker") {
        let (name, mut fields) = form.named_fields()?;
        let id = worker_id(&name);
        if let Some(other) = ids.insert(id, name.clone()) {
            let words = match other == name {
                true => format!("worker \"{name}\" stands twice"),
                false => format!("worker \"{name}\" has the same id as \"{other}\"; name one of them anew"),
            };
            return Err(form.error(words));
        }
        let state = fields.take("state")?;
        let state = match state.as_ref().map(Form::text).transpose()?.as_deref() {
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
        if weight <= 0.0 || weight > 1e6 {
            return Err(form.error("a weight lies between 0 and 1,000,000"));
        }
        let entry = WorkerEntry {
            id,
            zone: ZoneId(zones.of(&zone)),
            kind: KindId(kinds.of(&kind)),
            cell: CellId(fields.or("cell", 0, |f| f.whole(u64::from(u32::MAX)))?),
            state,
            weight,
            up_since: fields
                .take("up-since-unix-ms")?
                .map(|f| f.number())
                .transpose()?
                .map(|ms| clock.at_unix_ms(ms)),
        };
        let address = address(&fields.need("address")?)?;
        fields.finish()?;
        workers.push(WorkerLine { name, address, entry });
    }
    Ok(workers)
}
