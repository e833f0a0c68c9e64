//! The wire's words on one side, the library's terms on the other.

use serde_json::{json, Value};
use slatevalve::*;
use slatevalve_site_config::object::*;
use slatevalve_site_config::{Names, Site};
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

type Res<T> = Result<T, String>;

/// All instances of this process and the numbered worker lists they share.
#[derive(Default)]
pub struct Hub {
    instances: HashMap<String, Instance>,
    pages: BTreeMap<u64, Vec<Value>>,
}

struct Instance {
    balancer: Balancer,
    names: Names,
    ids: HashMap<String, RequestId>,
    open: HashMap<RequestId, Open>,
    next: u64,
}

/// A request's name on the wire, kept while it or one of its attempts is open.
struct Open {
    name: String,
    out: usize,
    done: bool,
}

fn millis(t: Micros) -> f64 {
    t.0 as f64 / 1000.0
}

fn outcome(o: &Obj) -> Res<Outcome> {
    Ok(match text(o, "rc")? {
        "GOOD" => Outcome::Ok,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Full,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        "MISS" => Outcome::Miss,
        other => return Err(format!("field 'rc' has the unknown value '{other}'")),
    })
}

fn report(o: &Obj) -> Res<Option<Report>> {
    let Some(v) = opt(o, "server_stats") else { return Ok(None) };
    let o = object(v, "server_stats")?;
    let get = |name| if opt(o, name).is_some() { number(o, name).map(Some) } else { Ok(None) };
    Ok(Some(Report { queue: get("backlog")?, inflight: get("outstanding")?, util: get("utilization")? }))
}

fn entry(v: &Value, names: &Names) -> Res<WorkerEntry> {
    let o = object(v, "elements")?;
    Ok(WorkerEntry {
        id: WorkerId(whole(o, "worker")?),
        zone: ZoneId(if opt(o, "az").is_some() { place(&names.zones, o, "az")? } else { 0 }),
        kind: KindId(if opt(o, "machine").is_some() { place(&names.kinds, o, "machine")? } else { 0 }),
        cell: CellId(if opt(o, "cluster").is_some() { whole(o, "cluster")? } else { 0 }),
        state: match text(o, "health")? {
            "SERVING" => WorkerState::Ready,
            "DRAINING" => WorkerState::Draining,
            "DELETED" => WorkerState::Gone,
            other => return Err(format!("field 'health' has the unknown value '{other}'")),
        },
        weight: number_or(o, "power_hint", 1.0)?,
        up_since: Some(time_or(o, "up_since", Micros(0))?).filter(|t| t.0 != 0),
    })
}

impl Instance {
    fn known(&self, o: &Obj) -> Res<Option<RequestId>> {
        Ok(self.ids.get(text(o, "id")?).copied())
    }

    /// Notes that a request has ended, and forgets its name once no attempt is out.
    fn settle(&mut self, id: RequestId, done: bool, answered: bool) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done |= done;
        open.out = open.out.saturating_sub(usize::from(answered));
        if open.done && open.out == 0 {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(&open.name);
            }
        }
    }

    /// The library's event for one of the wire, or nothing where it speaks of what is over.
    fn event(&mut self, name: &str, o: &Obj, pages: &BTreeMap<u64, Vec<Value>>) -> Res<Option<Event>> {
        let worker = || whole(o, "worker").map(WorkerId);
        Ok(Some(match name {
            "Knock" => {
                let name = text(o, "id")?.to_string();
                let id = RequestId(self.next);
                let tenant = match opt(o, "account") {
                    Some(Value::String(_)) if !self.names.tenants.is_empty() => {
                        Some(TenantId(place(&self.names.tenants, o, "account")?))
                    }
                    _ => None,
                };
                let request = Request {
                    id,
                    budget: time(o, "budget")?,
                    class: ClassId(place(&self.names.classes, o, "kind")?),
                    tenant,
                    function: FunctionId(whole(o, "app")?),
                    concurrency: if opt(o, "at_once").is_some() { whole(o, "at_once")? as usize } else { 1 },
                    work: if opt(o, "effort").is_some() { Some(time(o, "effort")?) } else { None },
                    load_time: if opt(o, "warm_ms").is_some() { Some(time(o, "warm_ms")?) } else { None },
                    memory_mb: number_or(o, "memory_mb", 0.0)?,
                    retry: flag(o, "is_retry", false)?,
                };
                self.next += 1;
                self.ids.insert(name.clone(), id);
                self.open.insert(id, Open { name, out: 0, done: false });
                Event::Request(request)
            }
            "Answer" => {
                let Some(id) = self.known(o)? else { return Ok(None) };
                let remark = if opt(o, "remark").is_some() { whole(o, "remark")? } else { 0 };
                let outcome = outcome(o)?;
                let told = self.names.queue_depth && matches!(outcome, Outcome::Ok | Outcome::Full);
                Event::Answer(Answer {
                    id,
                    attempt: whole(o, "try")? as usize,
                    worker: worker()?,
                    outcome,
                    closed: flag(o, "no_more", false)?,
                    latency: time_or(o, "lag", Micros(0))?,
                    queue_depth: told.then_some(remark / 8),
                    load_failed: remark % 8 == 4,
                    report: report(o)?,
                })
            }
            "AckFirst" => {
                let Some(id) = self.known(o)? else { return Ok(None) };
                Event::Streaming { id, attempt: whole(o, "try")? as usize }
            }
            "Vanished" => {
                let Some(id) = self.known(o)? else { return Ok(None) };
                Event::ClientDisconnected { id }
            }
            "Members" => {
                let scope = match text(o, "scope")? {
                    "changes" => Scope::Changes,
                    "all" => Scope::Full,
                    "remembered" => Scope::Remembered,
                    "refused" => Scope::Refused,
                    other => return Err(format!("field 'scope' has the unknown value '{other}'")),
                };
                let mut entries = Vec::new();
                if scope != Scope::Refused {
                    let page = whole(o, "page")?;
                    let lines =
                        pages.get(&page).ok_or_else(|| format!("field 'page': no list {page} was given"))?;
                    entries = lines.iter().map(|v| entry(v, &self.names)).collect::<Res<_>>()?;
                }
                Event::WorkersListed(Listing { scope, entries })
            }
            "Probed" => Event::ProbeCompleted {
                worker: worker()?,
                outcome: outcome(o)?,
                latency: time_or(o, "lag", Micros(0))?,
                report: report(o)?,
            },
            "InPlace" => Event::LoadCompleted {
                worker: worker()?,
                function: FunctionId(whole(o, "app")?),
                outcome: outcome(o)?,
                copies: if opt(o, "copies").is_some() { whole(o, "copies")? as u32 } else { 0 },
                latency: time_or(o, "lag", Micros(0))?,
            },
            "Reminder" => Event::Wake { token: whole(o, "key_back")? },
            _ => return Ok(None),
        }))
    }

    /// The wire's command for one action of the module.
    fn command(&mut self, inst: &str, action: Action) -> Option<Value> {
        let name = |s: &Self, id: RequestId| s.open.get(&id).map(|o| o.name.clone());
        Some(match action {
            Action::Send { id, worker, timeout } => {
                let mut v = json!({"m": "Deliver", "i": inst, "id": name(self, id)?, "worker": worker.0});
                if let Some(t) = timeout {
                    v["within"] = json!(millis(t));
                }
                if let Some(open) = self.open.get_mut(&id) {
                    open.out += 1;
                }
                v
            }
            Action::Refuse { id, retry_after } => {
                let mut v = json!({"m": "Shed", "i": inst, "id": name(self, id)?});
                if let Some(t) = retry_after {
                    v["retry_in"] = json!(millis(t));
                }
                self.settle(id, true, false);
                v
            }
            Action::Fail { id } => {
                let v = json!({"m": "DropRequest", "i": inst, "id": name(self, id)?});
                self.settle(id, true, false);
                v
            }
            Action::Cancel { id, attempt } => {
                json!({"m": "Recall", "i": inst, "id": name(self, id)?, "try": attempt})
            }
            Action::Load { worker, function, copies } => {
                json!({"m": "Mount", "i": inst, "worker": worker.0, "app": function.0, "copies": copies})
            }
            Action::Drop { worker, function } => {
                json!({"m": "PutAway", "i": inst, "worker": worker.0, "app": function.0})
            }
            Action::Probe { worker } => json!({"m": "SoundOut", "i": inst, "worker": worker.0}),
            Action::Subscribe => json!({"m": "Tail", "i": inst, "on": true}),
            Action::Wake { at, token } => {
                json!({"m": "Remind", "i": inst, "when": millis(at), "key_back": token})
            }
        })
    }
}

impl Hub {
    /// Answers one batch, or says what is wrong with it.
    pub fn batch(&mut self, line: &str) -> Res<String> {
        let v: Value = serde_json::from_str(line).map_err(|e| format!("batch: not JSON: {e}"))?;
        let o = object(&v, "batch").map_err(|e| format!("batch: {e}"))?;
        let number = whole(o, "batch").map_err(|e| format!("batch: {e}"))?;
        let mut commands = Vec::new();
        self.events(o, &mut commands).map_err(|e| format!("batch {number}: {e}"))?;
        Ok(json!({"batch": number, "cmds": commands}).to_string())
    }

    fn events(&mut self, o: &Obj, commands: &mut Vec<Value>) -> Res<()> {
        let now = time(o, "at_time")?;
        field(o, "arrivals")?;
        for (n, v) in list(o, "arrivals")?.iter().enumerate() {
            let e = object(v, "arrivals").map_err(|e| format!("event {n}: {e}"))?;
            let name = text(e, "m").map_err(|e| format!("event {n}: {e}"))?;
            self.one(now, name, e, commands).map_err(|e| format!("event {n} ({name}): {e}"))?;
        }
        Ok(())
    }

    fn one(&mut self, now: Micros, name: &str, o: &Obj, commands: &mut Vec<Value>) -> Res<()> {
        if name == "Ledger" {
            field(o, "elements")?;
            self.pages.insert(whole(o, "page")?, list(o, "elements")?.to_vec());
            return Ok(());
        }
        let inst = text(o, "i")?;
        match name {
            "PowerOn" => {
                let seed = whole(o, "random_seed")?;
                let Site { settings, names, .. } = Site::read(object(field(o, "settings")?, "settings")?)?;
                let balancer = Balancer::new(settings, seed);
                let (ids, open) = (HashMap::new(), HashMap::new());
                self.instances.insert(inst.into(), Instance { balancer, names, ids, open, next: 1 });
            }
            "Exit" => {
                self.instances.remove(inst);
                // A killed instance must not act: what it still wanted in this batch is void.
                commands.retain(|c| c["i"] != inst);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(inst) else {
                    return Err(format!("field 'i': no instance '{inst}' is running"));
                };
                let Some(event) = instance.event(name, o, &self.pages)? else { return Ok(()) };
                // A request that this event ends keeps its name until the module has been told.
                let ended = match &event {
                    Event::Answer(a) => Some((a.id, a.closed, true)),
                    Event::ClientDisconnected { id } => Some((*id, true, false)),
                    _ => None,
                };
                let mut actions = Vec::new();
                let balancer = &mut instance.balancer;
                if catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions))).is_err() {
                    commands.push(json!({"m": "Die", "i": inst, "words": format!("panic at {name}")}));
                    return Ok(());
                }
                let mut told = Vec::new();
                for action in actions {
                    told.extend(instance.command(inst, action));
                }
                commands.append(&mut told);
                if let Some((id, done, answered)) = ended {
                    instance.settle(id, done, answered);
                }
            }
        }
        Ok(())
    }
}
