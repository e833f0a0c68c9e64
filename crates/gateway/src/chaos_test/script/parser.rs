//! Parses scripts. The order in which forms are read determines which of several errors is reported.

use super::{
    Burst, ClassShare, Fleet, Load, Repeats, Script, ScriptedEvent, TimedEvent, Window, WorkerFault,
};
use slatevalve_sexpr::{Fields, File, Form, FormError};
use slatevalve_test_servers::{FaultKind, ServicePlan};

type FormResult<T> = Result<T, FormError>;

/// Allowed duration of a script, in seconds.
const DURATIONS_S: std::ops::RangeInclusive<f64> = 0.1..=3_600.0;
const MAX_GATEWAYS: u64 = 16;
const MAX_CLIENTS: u64 = 1_000;
const MAX_WORKERS: u64 = 200;
const MAX_FUNCTIONS: u64 = 100_000;
const MAX_CONCURRENCY: u64 = 1_000;
const MAX_QUEUE: u64 = 100_000;
const MAX_COPIES: u64 = 100_000;
const MAX_REPEATS: u64 = 100;
const DEFAULT_CLIENTS: usize = 16;
/// Default duration of a fault, in seconds; longer than any script.
const UNLIMITED_S: f64 = 1e6;

impl Script {
    /// Parses a script; `file` is its name in error messages.
    ///
    /// # Errors
    /// [`FormError`] with the file, line and form of the first error.
    pub fn parse(file: &str, text: &str) -> FormResult<Self> {
        let file = File::parse(file, text)?;
        let mut top = file.forms()?;
        let name = top.need("name")?.text()?;
        let seconds = top.need("seconds")?.number()?;
        let gateways = parse_count(&mut top, "gateways", 1, MAX_GATEWAYS)?;
        let clients = parse_count(&mut top, "clients", DEFAULT_CLIENTS, MAX_CLIENTS)?;
        let settings = top.need("settings")?.source()?;
        let load = parse_load(&top.need("load")?)?;
        let fleet = parse_fleet(&top.need("fleet")?)?;
        let plugins = top.take("plugins")?.map(|form| form.source()).transpose()?;
        let window = top.take("window")?.map(|form| parse_window(&form)).transpose()?;
        let (mut faults, mut events) = (Vec::new(), Vec::new());
        for form in top.take_all("fault") {
            faults.extend(parse_worker_faults(&form, fleet.workers)?);
        }
        for form in top.take_all("event") {
            events.push(parse_event(&form, fleet.workers, gateways)?);
        }
        top.finish()?;
        if !DURATIONS_S.contains(&seconds) {
            return Err(file.error(format!("(seconds ...) must be between 0.1 and 3,600, found {seconds}")));
        }
        events.sort_by(|left: &TimedEvent, right| left.at_s.total_cmp(&right.at_s));
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

/// Parses a whole number of at least 1.
fn parse_count(fields: &mut Fields<'_>, name: &str, default: usize, max: u64) -> FormResult<usize> {
    Ok(fields.or(name, default as u64, |form| form.whole(max))?.max(1) as usize)
}

fn parse_window(form: &Form<'_>) -> FormResult<Window> {
    let mut fields = form.fields()?;
    let window = Window { from_s: fields.need("from-s")?.number()?, to_s: fields.need("to-s")?.number()? };
    fields.finish()?;
    Ok(window)
}

fn parse_load(form: &Form<'_>) -> FormResult<Load> {
    let mut fields = form.fields()?;
    let mix = parse_mix(form, &fields.need("mix")?)?;
    let bursts = fields.take_all("burst").iter().map(parse_burst).collect::<FormResult<_>>()?;
    let repeats = fields.take("repeats")?.map(|form| parse_repeats(&form)).transpose()?;
    let load = Load {
        per_second: fields.need("per-second")?.number()?,
        functions: parse_count(&mut fields, "functions", 4, MAX_FUNCTIONS)?,
        work_ms: fields.or("work-ms", 4.0, Form::number)?,
        mix,
        bursts,
        repeats,
        scan_share: fields.or("scan", 0.0, Form::number)?,
    };
    fields.finish()?;
    Ok(load)
}

fn parse_mix(load: &Form<'_>, form: &Form<'_>) -> FormResult<Vec<ClassShare>> {
    let classes = form.fields()?.take_rest();
    let share = |class: &Form<'_>| Ok(ClassShare { class: class.name().to_string(), share: class.number()? });
    let mix = classes.iter().map(share).collect::<FormResult<Vec<_>>>()?;
    if mix.iter().map(|entry| entry.share).sum::<f64>() <= 0.0 {
        return Err(load.error("the shares in (mix ...) add up to 0"));
    }
    Ok(mix)
}

fn parse_burst(form: &Form<'_>) -> FormResult<Burst> {
    let mut fields = form.fields()?;
    let burst = Burst {
        at_s: fields.need("at-s")?.number()?,
        duration_s: fields.need("for-s")?.number()?,
        times: fields.need("times")?.number()?,
        one_tenant: fields.or("one-tenant", false, Form::flag)?,
    };
    fields.finish()?;
    Ok(burst)
}

fn parse_repeats(form: &Form<'_>) -> FormResult<Repeats> {
    let mut fields = form.fields()?;
    let repeats = Repeats {
        share: fields.need("part")?.number()?,
        times: fields.or("times", 1, |form| form.whole(MAX_REPEATS))? as usize,
        after_ms: fields.or("after-ms", 100.0, Form::number)?,
    };
    fields.finish()?;
    Ok(repeats)
}

fn parse_fleet(form: &Form<'_>) -> FormResult<Fleet> {
    let mut fields = form.fields()?;
    let service = parse_service(&mut fields)?;
    let fleet = Fleet {
        workers: fields.need("workers")?.whole(MAX_WORKERS)?.max(1) as usize,
        cells: parse_count(&mut fields, "cells", 1, MAX_WORKERS)?,
        zones: parse_count(&mut fields, "zones", 1, MAX_WORKERS)?,
        service,
    };
    fields.finish()?;
    Ok(fleet)
}

fn parse_service(fields: &mut Fields<'_>) -> FormResult<ServicePlan> {
    let default = ServicePlan::default();
    let micros = |form: &Form<'_>| form.millis().map(|micros| micros.0);
    Ok(ServicePlan {
        concurrency: fields.or("lanes", default.concurrency as u64, |form| form.whole(MAX_CONCURRENCY))?
            as usize,
        queue: fields.or("queue", default.queue as u64, |form| form.whole(MAX_QUEUE))? as usize,
        copies: fields.or("copies", default.copies as u64, |form| form.whole(MAX_COPIES))? as usize,
        load_us: fields.or("load-ms", default.load_us, micros)?,
        work_us: default.work_us,
        load_on_call: fields.or("load-on-call", default.load_on_call, Form::flag)?,
        start_capacity: fields.or("start-capacity", default.start_capacity, Form::number)?,
        slow_start_us: fields.or("warm-ms", default.slow_start_us, micros)?,
        preloaded: Vec::new(),
    })
}

/// Parses the number of a worker or a gateway, from 0.
fn parse_index(form: &Form<'_>, count: usize) -> FormResult<usize> {
    Ok(form.whole(count as u64 - 1)? as usize)
}

fn parse_worker_faults(form: &Form<'_>, workers: usize) -> FormResult<Vec<WorkerFault>> {
    let mut fields = form.fields()?;
    let at_s = fields.need("at-s")?.number()?;
    let duration_s = fields.or("for-s", UNLIMITED_S, Form::number)?;
    let affected = match fields.take("worker")? {
        Some(worker) => vec![parse_index(&worker, workers)?],
        None => parse_worker_set(&fields.need("workers")?, workers)?,
    };
    let kinds = fields.take_rest();
    let [kind] = kinds.as_slice() else {
        return Err(form.error(format!("expected one kind of fault, found {}", kinds.len())));
    };
    let kind = parse_fault_kind(kind)?;
    let fault = |worker| WorkerFault { at_s, duration_s, worker, kind: kind.clone() };
    Ok(affected.into_iter().map(fault).collect())
}

fn parse_worker_set(form: &Form<'_>, workers: usize) -> FormResult<Vec<usize>> {
    match form.texts() {
        Ok(words) if words == ["all"] => Ok((0..workers).collect()),
        _ => Ok(form.wholes(workers as u64 - 1)?.into_iter().map(|worker| worker as usize).collect()),
    }
}

fn parse_fault_kind(form: &Form<'_>) -> FormResult<FaultKind> {
    Ok(match form.name() {
        "die" => FaultKind::Die,
        "die-after-accept" => FaultKind::DieAfterAccept,
        "die-mid-answer" => FaultKind::DieMidAnswer,
        "hang" => FaultKind::Hang,
        "garbage" => FaultKind::Garbage,
        "bare-503" => FaultKind::Bare503,
        "late-ms" => FaultKind::Late { by_us: form.millis()?.0 },
        "lose-answers" => FaultKind::LoseAnswers { share: form.number()? },
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
        other => return Err(form.error(format!("unknown kind of fault: {other}"))),
    })
}

fn parse_event(form: &Form<'_>, workers: usize, gateways: usize) -> FormResult<TimedEvent> {
    let mut fields = form.fields()?;
    let at_s = fields.need("at-s")?.number()?;
    let kinds = fields.take_rest();
    let [kind] = kinds.as_slice() else {
        return Err(form.error(format!("expected one kind of event, found {}", kinds.len())));
    };
    let event = match kind.name() {
        "drain" => ScriptedEvent::Drain(parse_index(kind, workers)?),
        "gone" => ScriptedEvent::Gone(parse_index(kind, workers)?),
        "ready" => ScriptedEvent::Ready(parse_index(kind, workers)?),
        "move-aliases" => ScriptedEvent::MoveAliases,
        "drop-connections" => ScriptedEvent::DropConnections(kind.whole(MAX_CLIENTS)?.max(1) as usize),
        _ => parse_event_with_fields(kind, workers, gateways)?,
    };
    Ok(TimedEvent { at_s, event })
}

fn parse_event_with_fields(kind: &Form<'_>, workers: usize, gateways: usize) -> FormResult<ScriptedEvent> {
    let mut fields = kind.fields()?;
    let event = match kind.name() {
        "crash" => ScriptedEvent::CrashWorker {
            worker: parse_index(&fields.need("worker")?, workers)?,
            down_s: parse_seconds(&mut fields, "down-ms", 0.5)?,
            notified_after_s: parse_seconds(&mut fields, "told-ms", 0.2)?,
        },
        "deploy" => ScriptedEvent::Deploy {
            share: fields.or("part", 0.95, Form::number)?,
            interval_s: parse_seconds(&mut fields, "each-ms", 0.3)?,
            drain_s: parse_seconds(&mut fields, "drain-ms", 0.5)?,
        },
        "crash-gateway" => ScriptedEvent::CrashGateway {
            gateway: parse_gateway(&mut fields, gateways)?,
            down_s: parse_seconds(&mut fields, "down-ms", 0.3)?,
        },
        "stall-gateway" => ScriptedEvent::PauseGateway {
            gateway: parse_gateway(&mut fields, gateways)?,
            duration_s: parse_seconds(&mut fields, "for-ms", 1.0)?,
        },
        other => return Err(kind.error(format!("unknown kind of event: {other}"))),
    };
    fields.finish()?;
    Ok(event)
}

/// Parses milliseconds as seconds.
fn parse_seconds(fields: &mut Fields<'_>, name: &str, default_s: f64) -> FormResult<f64> {
    fields.or(name, default_s * 1_000.0, Form::number).map(|ms| ms / 1_000.0)
}

fn parse_gateway(fields: &mut Fields<'_>, gateways: usize) -> FormResult<usize> {
    fields.take("gateway")?.map_or(Ok(0), |form| parse_index(&form, gateways))
}
