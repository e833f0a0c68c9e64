//! The script of a bad day, as S-expressions: fleet, load, and what goes wrong when. The forms are listed in
//! `docs/operators/chaos-test.md`.

use slatevalve_sexpr::{Fields, File, Form, FormError};
use slatevalve_test_servers::{FaultKind, ServicePlan};

type Res<T> = Result<T, FormError>;

/// A whole script.
#[derive(Clone, Debug)]
pub struct Script {
    /// What it is about, for the report.
    pub name: String,
    /// How long calls are made, in seconds.
    pub seconds: f64,
    /// Gateways, sharing nothing.
    pub gateways: usize,
    /// Client connections.
    pub clients: usize,
    /// Each gateway's settings but workers, listener and name.
    pub settings: String,
    /// The calls.
    pub load: Load,
    /// The workers.
    pub fleet: Fleet,
    /// Fields of the gateways' `plugins` form; with it every function is a plug-in with versions 1 and 2, and `current`
    /// means 1 until they move.
    pub plugins: Option<String>,
    /// A part of the day that is reported by itself: calls made from one time to another, in seconds.
    pub window: Option<(f64, f64)>,
    /// What goes wrong in workers.
    pub faults: Vec<WorkerFault>,
    /// What the operators, the network and the gateways themselves do.
    pub events: Vec<(f64, ScriptedEvent)>,
}

/// The calls that are made.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls a second.
    pub per_second: f64,
    /// Functions of each class.
    pub functions: usize,
    /// Mean work of a call, in milliseconds on a warm lane.
    pub work_ms: f64,
    /// Classes by share.
    pub mix: Vec<(String, f64)>,
    /// Times with more calls: from, for, how many times as many, and of one tenant only.
    pub bursts: Vec<Burst>,
    /// Part of the calls that their clients publish again, how often and after what time.
    pub repeats: Option<Repeats>,
    /// Part of the calls that are for functions asked for once.
    pub scan: f64,
}

/// See [`Load::bursts`].
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// From when, in seconds.
    pub at: f64,
    /// For how long.
    pub lasts: f64,
    /// How many times as many calls.
    pub times: f64,
    /// All the additional calls are of one tenant.
    pub one_tenant: bool,
}

/// See [`Load::repeats`].
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Part of the calls.
    pub part: f64,
    /// How often each.
    pub times: usize,
    /// After how many milliseconds.
    pub after_ms: f64,
}

/// The workers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// How many.
    pub workers: usize,
    /// In how many cells.
    pub cells: usize,
    /// In how many zones.
    pub zones: usize,
    /// What each can do.
    pub service: ServicePlan,
}

/// A fault of a worker.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// From when, in seconds.
    pub at: f64,
    /// For how long.
    pub lasts: f64,
    /// Of which worker, from 0.
    pub worker: usize,
    /// What.
    pub kind: FaultKind,
}

/// What happens from outside the workers.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// The list says that a worker drains.
    Drain(usize),
    /// The list says that a worker is gone.
    Gone(usize),
    /// The list says that a worker is ready.
    Ready(usize),
    /// A worker's process is killed and comes back cold after this many seconds; the list tells of the restart
    /// this much later still.
    Crash {
        /// Which worker.
        worker: usize,
        /// Seconds until it is back.
        down: f64,
        /// Seconds until the list says so.
        told: f64,
    },
    /// A part of the fleet is replaced one by one: drained, stopped, started anew and cold.
    Deploy {
        /// Part of the fleet.
        part: f64,
        /// Seconds between one worker and the next.
        each: f64,
        /// Seconds that each has to finish what it has.
        drain: f64,
    },
    /// A gateway is killed and started anew.
    CrashGateway {
        /// Which.
        gateway: usize,
        /// Seconds until it is back.
        down: f64,
    },
    /// A gateway stands still.
    StallGateway {
        /// Which.
        gateway: usize,
        /// For how many seconds.
        lasts: f64,
    },
    /// Every so many-th client's connection drops.
    DropConnections(usize),
    /// `current` of every plug-in moves to version 2.
    MoveAliases,
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// With file, line and form of the first thing that is wrong.
    pub fn parse(file: &str, text: &str) -> Res<Self> {
        let file = File::parse(file, text)?;
        let mut top = file.forms()?;
        let name = top.need("name")?.text()?;
        let seconds = top.need("seconds")?.number()?;
        let gateways = top.or("gateways", 1, |f| f.whole(16))?.max(1) as usize;
        let clients = top.or("clients", 16, |f| f.whole(1_000))?.max(1) as usize;
        let settings = top.need("settings")?.source()?;
        let load = load(top.need("load")?)?;
        let fleet = fleet(top.need("fleet")?)?;
        let plugins = top.take("plugins")?.map(|f| f.source()).transpose()?;
        let window = match top.take("window")? {
            None => None,
            Some(form) => {
                let mut fields = form.fields()?;
                let window = (fields.need("from-s")?.number()?, fields.need("to-s")?.number()?);
                fields.finish()?;
                Some(window)
            }
        };
        let (mut faults, mut events) = (Vec::new(), Vec::new());
        for form in top.take_all("fault") {
            faults.extend(worker_faults(&form, fleet.workers)?);
        }
        for form in top.take_all("event") {
            events.push(event(&form, fleet.workers, gateways)?);
        }
        top.finish()?;
        if !(0.1..=3_600.0).contains(&seconds) {
            return Err(file.error("(seconds ...) lies between 0.1 and 3,600"));
        }
        events.sort_by(|a: &(f64, ScriptedEvent), b| a.0.total_cmp(&b.0));
        Ok(Script {
            name,
            seconds,
            gateways,
            clients,
            settings,
            load,
            fleet,
            plugins,
            window,
            faults,
            events,
        })
    }
}

fn load(form: Form<'_>) -> Res<Load> {
    let mut fields = form.fields()?;
    let mut mix = Vec::new();
    for class in fields.need("mix")?.fields()?.take_rest() {
        mix.push((class.name().to_string(), class.number()?));
    }
    if mix.iter().map(|m| m.1).sum::<f64>() <= 0.0 {
        return Err(form.error("the mix has no calls"));
    }
    let mut bursts = Vec::new();
    for burst in fields.take_all("burst") {
        let mut fields = burst.fields()?;
        bursts.push(Burst {
            at: fields.need("at-s")?.number()?,
            lasts: fields.need("for-s")?.number()?,
            times: fields.need("times")?.number()?,
            one_tenant: fields.or("one-tenant", false, Form::flag)?,
        });
        fields.finish()?;
    }
    let repeats = match fields.take("repeats")? {
        None => None,
        Some(form) => {
            let mut fields = form.fields()?;
            let repeats = Repeats {
                part: fields.need("part")?.number()?,
                times: fields.or("times", 1, |f| f.whole(100))? as usize,
                after_ms: fields.or("after-ms", 100.0, Form::number)?,
            };
            fields.finish()?;
            Some(repeats)
        }
    };
    let load = Load {
        per_second: fields.need("per-second")?.number()?,
        functions: fields.or("functions", 4, |f| f.whole(100_000))?.max(1) as usize,
        work_ms: fields.or("work-ms", 4.0, Form::number)?,
        mix,
        bursts,
        repeats,
        scan: fields.or("scan", 0.0, Form::number)?,
    };
    fields.finish()?;
    Ok(load)
}

fn fleet(form: Form<'_>) -> Res<Fleet> {
    let mut f = form.fields()?;
    let base = ServicePlan::default();
    let micros = |form: &Form<'_>| form.millis().map(|m| m.0);
    let service = ServicePlan {
        lanes: f.or("lanes", base.lanes as u64, |f| f.whole(1_000))? as usize,
        queue: f.or("queue", base.queue as u64, |f| f.whole(100_000))? as usize,
        copies: f.or("copies", base.copies as u64, |f| f.whole(100_000))? as usize,
        load_us: f.or("load-ms", base.load_us, micros)?,
        work_us: base.work_us,
        load_on_call: f.or("load-on-call", base.load_on_call, Form::flag)?,
        start_capacity: f.or("start-capacity", base.start_capacity, Form::number)?,
        warm_us: f.or("warm-ms", base.warm_us, micros)?,
        preloaded: Vec::new(),
    };
    let fleet = Fleet {
        workers: f.need("workers")?.whole(200)?.max(1) as usize,
        cells: f.or("cells", 1, |f| f.whole(200))?.max(1) as usize,
        zones: f.or("zones", 1, |f| f.whole(200))?.max(1) as usize,
        service,
    };
    f.finish()?;
    Ok(fleet)
}

fn which(form: &Form<'_>, count: usize) -> Res<usize> {
    Ok(form.whole(count as u64 - 1)? as usize)
}

fn worker_faults(form: &Form<'_>, count: usize) -> Res<Vec<WorkerFault>> {
    let mut fields = form.fields()?;
    let at = fields.need("at-s")?.number()?;
    let lasts = fields.or("for-s", 1e6, Form::number)?;
    let workers: Vec<usize> = match fields.take("worker")? {
        Some(worker) => vec![which(&worker, count)?],
        None => {
            let workers = fields.need("workers")?;
            match workers.texts() {
                Ok(words) if words == ["all"] => (0..count).collect(),
                _ => workers.wholes(count as u64 - 1)?.into_iter().map(|n| n as usize).collect(),
            }
        }
    };
    let mut kinds = fields.take_rest();
    if kinds.len() != 1 {
        return Err(form.error("a fault has one kind"));
    }
    let kind = fault_kind(&kinds.remove(0))?;
    Ok(workers.into_iter().map(|worker| WorkerFault { at, lasts, worker, kind: kind.clone() }).collect())
}

fn fault_kind(form: &Form<'_>) -> Res<FaultKind> {
    Ok(match form.name() {
        "die" => FaultKind::Die,
        "die-after-accept" => FaultKind::DieAfterAccept,
        "die-mid-answer" => FaultKind::DieMidAnswer,
        "hang" => FaultKind::Hang,
        "garbage" => FaultKind::Garbage,
        "bare-503" => FaultKind::Bare503,
        "late-ms" => FaultKind::Late { by_us: form.millis()?.0 },
        "lose-answers" => FaultKind::LoseAnswers { part: form.number()? },
        "slow" => FaultKind::Slow { factor: form.number()? },
        "pause" => FaultKind::Pause,
        "refuse-class" => FaultKind::RefuseClass { class: form.text()? },
        "fail-class" => FaultKind::FailClass { class: form.text()? },
        "refuse-connections" => FaultKind::RefuseConnections,
        "turn-away" => FaultKind::Drain,
        "restart-cold" => FaultKind::RestartCold,
        "flush" => FaultKind::Flush,
        "slow-loads" => FaultKind::SlowLoads { factor: form.number()? },
        "corrupt-copies" => FaultKind::CorruptCopies,
        "old-reports-ms" => FaultKind::OldReports { by_us: form.millis()?.0 },
        other => return Err(form.error(format!("there is no fault {other}"))),
    })
}

fn event(form: &Form<'_>, workers: usize, gateways: usize) -> Res<(f64, ScriptedEvent)> {
    let mut fields = form.fields()?;
    let at = fields.need("at-s")?.number()?;
    let mut rest = fields.take_rest();
    if rest.len() != 1 {
        return Err(form.error("an event has one kind"));
    }
    let kind = rest.remove(0);
    let happens = match kind.name() {
        "drain" => ScriptedEvent::Drain(which(&kind, workers)?),
        "gone" => ScriptedEvent::Gone(which(&kind, workers)?),
        "ready" => ScriptedEvent::Ready(which(&kind, workers)?),
        "move-aliases" => ScriptedEvent::MoveAliases,
        "drop-connections" => ScriptedEvent::DropConnections(kind.whole(1_000)?.max(1) as usize),
        _ => composed(&kind, workers, gateways)?,
    };
    Ok((at, happens))
}

fn composed(kind: &Form<'_>, workers: usize, gateways: usize) -> Res<ScriptedEvent> {
    let mut fields = kind.fields()?;
    let seconds = |fields: &mut Fields<'_>, name: &str, other: f64| {
        fields.or(name, other * 1_000.0, Form::number).map(|ms| ms / 1_000.0)
    };
    let happens = match kind.name() {
        "crash" => ScriptedEvent::Crash {
            worker: which(&fields.need("worker")?, workers)?,
            down: seconds(&mut fields, "down-ms", 0.5)?,
            told: seconds(&mut fields, "told-ms", 0.2)?,
        },
        "deploy" => ScriptedEvent::Deploy {
            part: fields.or("part", 0.95, Form::number)?,
            each: seconds(&mut fields, "each-ms", 0.3)?,
            drain: seconds(&mut fields, "drain-ms", 0.5)?,
        },
        "crash-gateway" => ScriptedEvent::CrashGateway {
            gateway: fields.take("gateway")?.map_or(Ok(0), |f| which(&f, gateways))?,
            down: seconds(&mut fields, "down-ms", 0.3)?,
        },
        "stall-gateway" => ScriptedEvent::StallGateway {
            gateway: fields.take("gateway")?.map_or(Ok(0), |f| which(&f, gateways))?,
            lasts: seconds(&mut fields, "for-ms", 1.0)?,
        },
        other => return Err(kind.error(format!("there is no event {other}"))),
    };
    fields.finish()?;
    Ok(happens)
}
