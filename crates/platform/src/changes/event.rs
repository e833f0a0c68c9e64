//! Parsing of the change log's JSON events into membership changes.

use super::starts::StartTimes;
use serde_json::Value;
use slatevalve::{CellId, KindId, Listing, Micros, Scope, WorkerEntry, WorkerState, ZoneId};
use slatevalve_engine::worker_id;
use slatevalve_site_config::object::{
    array, bool_or, number_or, object, optional, text, unknown_value, unsigned, JsonObject,
};
use slatevalve_site_config::{FieldError, Names};
use std::net::SocketAddr;

/// One member of an event.
#[derive(Clone, Debug)]
pub struct MemberLine {
    /// The worker in the load balancer's terms.
    pub entry: WorkerEntry,
    /// The `id` of the member in the log; [`WorkerEntry::id`] is derived from it.
    pub name: String,
    /// Where the worker accepts connections; `None` only for a worker that is gone.
    pub address: Option<SocketAddr>,
}

/// The membership change of one event.
#[derive(Clone, Debug)]
pub struct Change {
    /// Whether `lines` is the complete worker list rather than a difference from the previous one.
    pub complete: bool,
    /// The members, in the order of the event.
    pub lines: Vec<MemberLine>,
}

impl Change {
    /// Converts the change to the load balancer's terms.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let scope = if self.complete { Scope::Full } else { Scope::Changes };
        Listing { scope, entries: self.lines.iter().map(|line| line.entry.clone()).collect() }
    }
}

/// One numbered event of an answer.
pub(super) struct Event {
    pub seq: u64,
    /// `None` for an event of another kind.
    pub change: Option<Change>,
    /// One error for each malformed member; such members are left out of `change`.
    pub malformed: Vec<FieldError>,
}

/// Parses events, using the zone and kind names from the operators' settings.
pub(super) struct EventReader {
    names: Names,
    starts: StartTimes,
}

impl EventReader {
    pub(super) fn new(names: Names, at_unix_ms: Box<dyn Fn(f64) -> Micros>) -> Self {
        EventReader { names, starts: StartTimes::new(at_unix_ms) }
    }

    /// Parses an event; `None` if its sequence number is not above `after`. `now` is when the event was
    /// received; `None` for events from the configuration.
    ///
    /// # Errors
    /// If the event itself is malformed. Errors of its members are collected in [`Event::malformed`].
    pub(super) fn read(
        &mut self,
        now: Option<Micros>,
        value: &Value,
        after: u64,
    ) -> Result<Option<Event>, FieldError> {
        let event = object(value, "results")?;
        let seq = unsigned(event, "seq")?;
        if seq <= after {
            return Ok(None);
        }
        let mut malformed = Vec::new();
        let fleet = optional(event, "fleet").map(|fleet| object(fleet, "fleet")).transpose()?;
        let change = fleet.map(|fleet| self.change(now, fleet, &mut malformed)).transpose()?;
        Ok(Some(Event { seq, change, malformed }))
    }

    fn change(
        &mut self,
        now: Option<Micros>,
        fleet: &JsonObject,
        malformed: &mut Vec<FieldError>,
    ) -> Result<Change, FieldError> {
        let complete = bool_or(fleet, "complete", false)?;
        let received_at = now.filter(|_| !complete);
        let mut lines = Vec::new();
        for value in array(fleet, "members")? {
            match object(value, "members").and_then(|member| self.member(received_at, member)) {
                Ok(line) => lines.push(line),
                Err(error) => malformed.push(error),
            }
        }
        if complete {
            self.starts.retain(&lines.iter().map(|line| line.entry.id).collect());
        }
        Ok(Change { complete, lines })
    }

    /// Parses a member of a difference received at `received_at`, or of a complete list if that is `None`.
    fn member(&mut self, received_at: Option<Micros>, member: &JsonObject) -> Result<MemberLine, FieldError> {
        let name = text(member, "id")?.to_string();
        let state = match text(member, "phase")? {
            "active" => WorkerState::Ready,
            "leaving" => WorkerState::Draining,
            "left" => WorkerState::Gone,
            other => return unknown_value("phase", other),
        };
        let address = address(member, state)?;
        let up_since_ms = number_or(member, "up_since_ms", 0.0)?;
        let id = worker_id(&name);
        let entry = WorkerEntry {
            id,
            zone: ZoneId(index_of_name(&self.names.zones, member, "locality")?),
            kind: KindId(index_of_name(&self.names.kinds, member, "flavor")?),
            cell: CellId(optional(member, "cell").map_or(Ok(0), |_| unsigned(member, "cell"))?),
            state,
            weight: number_or(member, "size", 1.0)?,
            up_since: (up_since_ms > 0.0).then(|| match received_at {
                Some(now) => self.starts.announced(now, id, up_since_ms),
                None => self.starts.listed(id, up_since_ms),
            }),
        };
        if state == WorkerState::Gone {
            self.starts.forget(id);
        }
        Ok(MemberLine { entry, name, address })
    }
}

fn address(member: &JsonObject, state: WorkerState) -> Result<Option<SocketAddr>, FieldError> {
    if state == WorkerState::Gone && optional(member, "host_port").is_none() {
        return Ok(None);
    }
    let address = text(member, "host_port")?;
    address.parse().map_or_else(|_| unknown_value("host_port", address), |parsed| Ok(Some(parsed)))
}

/// The index of a zone or kind; 0 if the field is absent. A name that the settings do not list gets an index
/// above the listed ones that is derived from the name, so that all routers use the same index.
fn index_of_name(names: &[String], member: &JsonObject, field: &str) -> Result<usize, FieldError> {
    if optional(member, field).is_none() {
        return Ok(0);
    }
    let name = text(member, field)?;
    let unlisted_index = || names.len() + (worker_id(name).0 >> 32) as usize;
    Ok(names.iter().position(|known| known == name).unwrap_or_else(unlisted_index))
}
