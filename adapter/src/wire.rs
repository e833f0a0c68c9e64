//! The wire's words on one side, the library's terms on the other.

use serde_json::{json, Map, Value};
use slatevalve::*;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

type Res<T> = Result<T, String>;
type Obj = Map<String, Value>;

/// All instances of this process and the numbered worker lists they share.
#[derive(Default)]
pub struct Hub {
    instances: HashMap<String, Instance>,
    pages: BTreeMap<u64, Vec<Value>>,
}

/// The names of one instance's settings, in the order of their ids.
#[derive(Default)]
struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    crowd: bool,
}

struct Instance {
    brain: Brain,
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

fn field<'a>(o: &'a Obj, name: &str) -> Res<&'a Value> {
    o.get(name).filter(|v| !v.is_null()).ok_or_else(|| format!("field '{name}' is missing"))
}

fn opt<'a>(o: &'a Obj, name: &str) -> Option<&'a Value> {
    o.get(name).filter(|v| !v.is_null())
}

fn text<'a>(o: &'a Obj, name: &str) -> Res<&'a str> {
    field(o, name)?.as_str().ok_or_else(|| format!("field '{name}' is not a text"))
}

fn whole(o: &Obj, name: &str) -> Res<u64> {
    let v = field(o, name)?;
    let f = || v.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0 && *f < 1.8e19).map(|f| f as u64);
    v.as_u64().or_else(f).ok_or_else(|| format!("field '{name}' is not a whole number"))
}

fn number(o: &Obj, name: &str) -> Res<f64> {
    field(o, name)?.as_f64().ok_or_else(|| format!("field '{name}' is not a number"))
}

fn number_or(o: &Obj, name: &str, other: f64) -> Res<f64> {
    if opt(o, name).is_some() {
        number(o, name)
    } else {
        Ok(other)
    }
}

fn time(o: &Obj, name: &str) -> Res<Micros> {
    Ok(Micros((number(o, name)? * 1000.0).round() as i64))
}

fn time_or(o: &Obj, name: &str, other: Micros) -> Res<Micros> {
    if opt(o, name).is_some() {
        time(o, name)
    } else {
        Ok(other)
    }
}

fn flag(o: &Obj, name: &str, other: bool) -> Res<bool> {
    match opt(o, name) {
        None => Ok(other),
        Some(v) => v.as_bool().ok_or_else(|| format!("field '{name}' is not true or false")),
    }
}

fn object<'a>(v: &'a Value, name: &str) -> Res<&'a Obj> {
    v.as_object().ok_or_else(|| format!("'{name}' is not an object"))
}

fn part<'a>(o: &'a Obj, name: &str, none: &'a Obj) -> Res<&'a Obj> {
    opt(o, name).map_or(Ok(none), |v| object(v, name))
}

fn list<'a>(o: &'a Obj, name: &str) -> Res<&'a [Value]> {
    match opt(o, name) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| format!("field '{name}' is not a list")),
    }
}

fn texts(o: &Obj, name: &str) -> Res<Vec<String>> {
    let one =
        |v: &Value| v.as_str().map(String::from).ok_or_else(|| format!("field '{name}' holds no texts"));
    list(o, name)?.iter().map(one).collect()
}

fn millis(t: Micros) -> f64 {
    t.0 as f64 / 1000.0
}

fn place(names: &[String], o: &Obj, name: &str) -> Res<usize> {
    let word = text(o, name)?;
    names
        .iter()
        .position(|n| n == word)
        .ok_or_else(|| format!("field '{name}' has the unknown value '{word}'"))
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

fn settings(o: &Obj) -> Res<(Settings, Names)> {
    let none = Map::new();
    let sub = |name| part(o, name, &none);
    let names = |key: &str| -> Res<Vec<String>> {
        list(o, key)?.iter().map(|v| Ok(text(object(v, key)?, "name")?.to_string())).collect()
    };
    let zones = texts(o, "zones")?;
    let (fam, limits, rules) = (sub("family_info")?, sub("limits")?, sub("rules")?);
    let (fees, telemetry) = (sub("fees")?, sub("telemetry")?);
    let base = Settings::default();
    let mut classes = Vec::new();
    for v in list(o, "categories")? {
        let c = object(v, "categories")?;
        let effect = match text(c, "effect")? {
            "pure" => Effect::Safe,
            "side_effect" => Effect::Unsafe,
            "token" => Effect::Keyed {
                group: match text(c, "group")? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    other => return Err(format!("field 'group' has the unknown value '{other}'")),
                },
                memory: time(c, "key_ttl")?,
            },
            other => return Err(format!("field 'effect' has the unknown value '{other}'")),
        };
        classes.push(Class {
            aim: time(c, "aim")?,
            aim_stretch: number_or(c, "aim_stretch", 0.0)?,
            deadline: time(c, "deadline")?,
            worth: number_or(c, "points", 1.0)?,
            late_worth: number_or(c, "late_value", 0.0)?,
            effect,
            stream: flag(c, "stream", false)?,
        });
    }
    let mut tenants = Vec::new();
    for v in list(o, "tenants")? {
        tenants.push(Tenant { quota_per_s: number_or(object(v, "tenants")?, "quota_per_s", 0.0)? });
    }
    let memory = list(fam, "memory_mb_by_kind")?;
    let settings = Settings {
        routers: number_or(o, "instances", 1.0)? as usize,
        zone: ZoneId(if opt(o, "my_zone").is_some() { place(&zones, o, "my_zone")? } else { 0 }),
        step: time_or(o, "step", base.step)?,
        classes,
        tenants,
        over_share_worth: number_or(o, "over_share_worth", 1.0)?,
        worth_by_work: opt(o, "counted_by").and_then(Value::as_str) == Some("work"),
        must_ask: opt(o, "membership_mode").and_then(Value::as_str) == Some("subscribe"),
        weights: match opt(o, "weight_kind").and_then(Value::as_str) {
            Some("nominal" | "rough") => Weights::Size,
            Some("live") => Weights::Live,
            _ => Weights::None,
        },
        reports: match opt(telemetry, "via").and_then(Value::as_str) {
            Some("answers") => Reports::Answers,
            Some("probe") => Reports::Probes,
            _ => Reports::None,
        },
        loading: Loading {
            on_request: opt(fam, "if_cold").and_then(Value::as_str) == Some("load"),
            orders: flag(fam, "may_order", false)?,
            keep: time_or(fam, "linger_idle", base.loading.keep)?,
            order_timeout: time_or(fam, "load_wait", Micros(10_000_000))?,
            ration_window: time_or(fam, "load_window", Micros(0))?,
            ration_free: number_or(fam, "load_free", 0.0)?,
            ration_share: number_or(fam, "load_ratio", 0.0)?,
            kind_memory_mb: memory.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect(),
            memory_price: number_or(fam, "price_of_idle", 0.0)?,
        },
        limits: Limits {
            cancel: flag(limits, "cancel", false)?,
            probes: flag(limits, "probes", false)?,
            second_copies: flag(limits, "second_copies", false)?,
            retry_after: flag(limits, "retry_after", false)?,
            max_retry_after: time_or(limits, "max_retry_after", Micros(0))?,
            max_attempts: number_or(limits, "max_attempts", 1.0)? as usize,
        },
        rules: Rules {
            answer_slack: time_or(rules, "answer_slack", base.rules.answer_slack)?,
            drain_grace: time_or(rules, "drain_grace", Micros(0))?,
            ask_within: time_or(rules, "must_ask_in", base.rules.ask_within)?,
            start_capacity: number_or(rules, "start_capacity", base.rules.start_capacity)?,
            warm_within: time_or(rules, "warm_within", base.rules.warm_within)?,
            fall_multiple: number_or(rules, "fall_multiple", base.rules.fall_multiple)?,
            fall_window: time_or(rules, "overload_for", base.rules.fall_window)?,
        },
        probe_price: number_or(fees, "probe", 0.0)?,
    };
    let names = Names {
        classes: names("categories")?,
        tenants: names("tenants")?,
        zones,
        kinds: texts(o, "machine_types")?,
        crowd: flag(fam, "tells_crowd", false)?,
    };
    Ok((settings, names))
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
                    lanes: if opt(o, "at_once").is_some() { whole(o, "at_once")? as usize } else { 1 },
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
                let told = self.names.crowd && matches!(outcome, Outcome::Ok | Outcome::Full);
                Event::Answer(Answer {
                    id,
                    attempt: whole(o, "try")? as usize,
                    worker: worker()?,
                    outcome,
                    closed: flag(o, "no_more", false)?,
                    latency: time_or(o, "lag", Micros(0))?,
                    crowd: told.then_some(remark / 8),
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
                Event::Left { id }
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
                Event::Listed(Listing { scope, entries })
            }
            "Probed" => Event::Probed {
                worker: worker()?,
                outcome: outcome(o)?,
                latency: time_or(o, "lag", Micros(0))?,
                report: report(o)?,
            },
            "InPlace" => Event::Loaded {
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
                let (settings, names) = settings(object(field(o, "settings")?, "settings")?)?;
                let brain = Brain::new(settings, seed);
                let (ids, open) = (HashMap::new(), HashMap::new());
                self.instances.insert(inst.into(), Instance { brain, names, ids, open, next: 1 });
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
                    Event::Left { id } => Some((*id, true, false)),
                    _ => None,
                };
                let mut actions = Vec::new();
                let brain = &mut instance.brain;
                if catch_unwind(AssertUnwindSafe(|| brain.handle(now, event, &mut actions))).is_err() {
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
