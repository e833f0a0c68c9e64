//! Decodes events of the simulator's wire protocol into events of the load balancer.

use crate::error::EventError;
use crate::requests::RequestTable;
use serde_json::Value;
use slatevalve::{
    Answer, CellId, ClassId, Event, FunctionId, KindId, Listing, Micros, Outcome, Report, Request, RequestId,
    Scope, TenantId, WorkerEntry, WorkerId, WorkerState, ZoneId,
};
use slatevalve_site_config::object::{
    bool_or, index_of, index_or, number, number_or, object, optional, text, time, time_or, unknown_value,
    unsigned, unsigned_or, JsonObject,
};
use slatevalve_site_config::{FieldError, Names};
use std::collections::BTreeMap;

/// Worker lists by number, shared by all instances.
pub(crate) type WorkerLists = BTreeMap<u64, Vec<Value>>;

/// The field `remark` of an answer is the queue depth times this, plus a code below it.
const REMARK_CODES: u64 = 8;
/// The code in `remark` of an answer whose function could not be loaded.
const REMARK_LOAD_FAILED: u64 = 4;

/// Decodes the events of one instance.
pub(crate) struct Decoder<'a> {
    pub names: &'a Names,
    pub requests: &'a mut RequestTable,
    pub lists: &'a WorkerLists,
}

impl Decoder<'_> {
    /// Decodes an event. Returns `None` if its kind is unknown or it concerns a request that has been
    /// removed.
    pub(crate) fn decode(&mut self, kind: &str, event: &JsonObject) -> Result<Option<Event>, EventError> {
        let event = match kind {
            "Knock" => self.request(event)?,
            "Answer" => return Ok(self.answer(event)?),
            "AckFirst" => {
                let Some(id) = self.request_id(event)? else { return Ok(None) };
                Event::Streaming { id, attempt: unsigned(event, "try")? as usize }
            }
            "Vanished" => {
                let Some(id) = self.request_id(event)? else { return Ok(None) };
                Event::ClientDisconnected { id }
            }
            "Members" => self.members(event)?,
            "Probed" => Event::ProbeCompleted {
                worker: worker(event)?,
                outcome: outcome(event)?,
                latency: time_or(event, "lag", Micros(0))?,
                report: report(event)?,
                process: None,
            },
            "InPlace" => Event::LoadCompleted {
                worker: worker(event)?,
                function: FunctionId(unsigned(event, "app")?),
                outcome: outcome(event)?,
                copies: unsigned_or(event, "copies", 0)? as u32,
                latency: time_or(event, "lag", Micros(0))?,
            },
            "Reminder" => Event::Wake { token: unsigned(event, "key_back")? },
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn request_id(&self, event: &JsonObject) -> Result<Option<RequestId>, FieldError> {
        Ok(self.requests.id(text(event, "id")?))
    }

    fn request(&mut self, event: &JsonObject) -> Result<Event, FieldError> {
        let name = text(event, "id")?.to_string();
        let tenant = match optional(event, "account") {
            Some(Value::String(_)) if !self.names.tenants.is_empty() => {
                Some(TenantId(index_of(&self.names.tenants, event, "account")?))
            }
            _ => None,
        };
        let request = Request {
            id: self.requests.next_id(),
            budget: time(event, "budget")?,
            class: ClassId(index_of(&self.names.classes, event, "kind")?),
            tenant,
            function: FunctionId(unsigned(event, "app")?),
            concurrency: unsigned_or(event, "at_once", 1)? as usize,
            work: optional_time(event, "effort")?,
            load_time: optional_time(event, "warm_ms")?,
            memory_mb: number_or(event, "memory_mb", 0.0)?,
            retry: bool_or(event, "is_retry", false)?,
        };
        self.requests.insert(name);
        Ok(Event::Request(request))
    }

    fn answer(&self, event: &JsonObject) -> Result<Option<Event>, FieldError> {
        let Some(id) = self.request_id(event)? else { return Ok(None) };
        let remark = unsigned_or(event, "remark", 0)?;
        let outcome = outcome(event)?;
        let has_depth = self.names.queue_depth && matches!(outcome, Outcome::Ok | Outcome::Full);
        Ok(Some(Event::Answer(Answer {
            id,
            attempt: unsigned(event, "try")? as usize,
            worker: worker(event)?,
            outcome,
            closed: bool_or(event, "no_more", false)?,
            latency: time_or(event, "lag", Micros(0))?,
            queue_depth: has_depth.then_some(remark / REMARK_CODES),
            load_failed: remark % REMARK_CODES == REMARK_LOAD_FAILED,
            report: report(event)?,
            process: None,
        })))
    }

    fn members(&self, event: &JsonObject) -> Result<Event, EventError> {
        let scope = match text(event, "scope")? {
            "changes" => Scope::Changes,
            "all" => Scope::Full,
            "remembered" => Scope::Remembered,
            "refused" => Scope::Refused,
            other => return Ok(unknown_value("scope", other)?),
        };
        if scope == Scope::Refused {
            return Ok(Event::WorkersListed(Listing { scope, entries: Vec::new() }));
        }
        let page = unsigned(event, "page")?;
        let members = self.lists.get(&page).ok_or(EventError::UnknownPage(page))?;
        let entries = members.iter().map(|value| entry(value, self.names)).collect::<Result<_, _>>()?;
        Ok(Event::WorkersListed(Listing { scope, entries }))
    }
}

fn worker(event: &JsonObject) -> Result<WorkerId, FieldError> {
    unsigned(event, "worker").map(WorkerId)
}

fn optional_time(event: &JsonObject, name: &str) -> Result<Option<Micros>, FieldError> {
    optional(event, name).map(|_| time(event, name)).transpose()
}

fn outcome(event: &JsonObject) -> Result<Outcome, FieldError> {
    Ok(match text(event, "rc")? {
        "GOOD" => Outcome::Ok,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Full,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        "MISS" => Outcome::Miss,
        other => return unknown_value("rc", other),
    })
}

fn report(event: &JsonObject) -> Result<Option<Report>, FieldError> {
    let Some(value) = optional(event, "server_stats") else { return Ok(None) };
    let stats = object(value, "server_stats")?;
    let value_of = |name| optional(stats, name).map(|_| number(stats, name)).transpose();
    Ok(Some(Report {
        queue: value_of("backlog")?,
        inflight: value_of("outstanding")?,
        util: value_of("utilization")?,
    }))
}

fn entry(value: &Value, names: &Names) -> Result<WorkerEntry, FieldError> {
    let element = object(value, "elements")?;
    Ok(WorkerEntry {
        id: worker(element)?,
        zone: ZoneId(index_or(&names.zones, element, "az", 0)?),
        kind: KindId(index_or(&names.kinds, element, "machine", 0)?),
        cell: CellId(unsigned_or(element, "cluster", 0)?),
        state: match text(element, "health")? {
            "SERVING" => WorkerState::Ready,
            "DRAINING" => WorkerState::Draining,
            "DELETED" => WorkerState::Gone,
            other => return unknown_value("health", other),
        },
        weight: number_or(element, "power_hint", 1.0)?,
        up_since: Some(time_or(element, "up_since", Micros(0))?).filter(|since| since.0 != 0),
    })
}
