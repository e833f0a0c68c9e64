//! What a router keeps in mind, and the arithmetic of times and counts. No decision is made here.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A stable 64-bit mix (the finaliser of splitmix64), the same on every router and in every build.
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a number from 0 to 1.
pub(crate) fn part(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

pub(crate) fn secs(t: Micros) -> f64 {
    t.0 as f64 / 1e6
}

pub(crate) fn micros(s: f64) -> Micros {
    Micros((s * 1e6) as i64)
}

pub(crate) fn since(a: Micros, b: Micros) -> Micros {
    Micros(a.0.saturating_sub(b.0))
}

pub(crate) fn after(a: Micros, b: Micros) -> Micros {
    Micros(a.0.saturating_add(b.0))
}

/// Moves a running mean towards a new value.
pub(crate) fn blend(mean: &mut f64, value: f64, part: f64) {
    *mean += (value - *mean) * part;
}

/// A count that fades with time, so that it tells of the last so many seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCounter(pub(crate) f64, pub(crate) Micros);

impl DecayingCounter {
    pub(crate) fn at(&self, now: Micros, over: f64) -> f64 {
        self.0 * (-secs(since(now, self.1)).max(0.0) / over).exp()
    }

    pub(crate) fn add(&mut self, now: Micros, over: f64, x: f64) {
        *self = DecayingCounter(self.at(now, over) + x, now);
    }
}

/// Bad evidence in a row about one worker's calls of one class, and until when it rests; then one trial call
/// decides.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureRecord {
    pub(crate) times: u32,
    pub(crate) until: Micros,
    pub(crate) full: bool,
    /// One piece of bad evidence while the worker served others: a second in a row counts.
    pub(crate) struck: bool,
}

#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// When it last started cold, as far as told or seen.
    pub(crate) started: Option<Micros>,
    /// Own calls there that do not wait for a load.
    pub(crate) own: usize,
    /// Evidence on its connections, and on each class.
    pub(crate) link: FailureRecord,
    pub(crate) classes: Vec<FailureRecord>,
    pub(crate) last_good: Micros,
    /// Latency beside what its functions take elsewhere.
    pub(crate) slow: f64,
    /// What the ring gives it of the functions known, in a mean worker's load; kept up while it is cold.
    pub(crate) offered: f64,
    /// When anything was heard from it, and the requests that waited there by its last report.
    pub(crate) heard: Option<Micros>,
    pub(crate) queue: Option<(Micros, f64)>,
    /// When the probe went out that has no answer yet, and the calls that wait for it.
    pub(crate) asked: Option<Micros>,
    pub(crate) asking: Vec<RequestId>,
    /// Work sent lately, for the cold budget.
    pub(crate) sent: VecDeque<(Micros, f64)>,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, classes: usize) -> Self {
        Worker { entry, slow: 1.0, classes: vec![FailureRecord::default(); classes], ..Worker::default() }
    }

    /// Whether bad evidence stands that no good answer has cleared yet, its rest over or not.
    pub(crate) fn is_suspect(&self) -> bool {
        self.link.times > 0 || self.classes.iter().any(|r| r.times > 0)
    }

    pub(crate) fn ready(&self) -> bool {
        self.entry.state == WorkerState::Ready
    }
}

#[derive(Clone, Default)]
pub(crate) struct Replica {
    pub(crate) own: usize,
    /// Last moments at which a copy is known to have stood, and to have been missing.
    pub(crate) stood: Option<Micros>,
    pub(crate) missed: Option<Micros>,
    pub(crate) copies: u32,
    /// When the outstanding order went out, and when the load under way should be done.
    pub(crate) ordered: Option<Micros>,
    pub(crate) due: Option<Micros>,
    /// No further order before this; it grows with each one that found no room in a row.
    pub(crate) rest: Micros,
    pub(crate) no_room: u32,
}

#[derive(Default)]
pub(crate) struct Function {
    pub(crate) concurrency: usize,
    pub(crate) load: f64,
    pub(crate) svc: f64,
    pub(crate) calls: DecayingCounter,
    /// A worker served it once.
    pub(crate) served: bool,
    pub(crate) places: BTreeMap<WorkerId, Replica>,
}

#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: Micros,
    /// When the first try was sent that might have run when this one was: a key's time counts from there,
    /// also when that try turns out later not to have run.
    pub(crate) anchor: Micros,
    pub(crate) loading: bool,
    /// Sent on the belief that others keep a copy alive there.
    pub(crate) blind: bool,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) cancelled: bool,
}

pub(crate) struct Open {
    pub(crate) req: Request,
    pub(crate) until: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
    /// Until when it waits for its order to be ahead of it, or for a worker that was asked.
    pub(crate) held: Option<Micros>,
    pub(crate) asks: usize,
}

impl Attempt {
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_never_ran)
    }
}

impl Open {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    pub(crate) fn undecided(&self) -> bool {
        !self.done && !self.streaming
    }
}

/// One router's decisions; they are made in `src/balancer.rs`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) s: Settings,
    pub(crate) now: Micros,
    /// This router's own seed.
    pub(crate) salt: u64,
    pub(crate) born: Option<Micros>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) ring: Vec<(u64, WorkerId, f64)>,
    /// The unit of weight that the ring's points are counted in.
    pub(crate) ring_unit: f64,
    /// Calls out at all workers together, those that wait for loads left out: the sum of their `own`.
    pub(crate) own: usize,
    /// From when on all workers are warm, and what all weigh then, once that was added up.
    pub(crate) warm_at: Micros,
    pub(crate) all_warm: Option<f64>,
    pub(crate) zones: usize,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    /// Mean work of each class, in seconds; work served to this router, and answers.
    pub(crate) class_work: Vec<f64>,
    pub(crate) served: DecayingCounter,
    pub(crate) answers: DecayingCounter,
    /// All calls, attempts and those served, counted like the calls of each function.
    pub(crate) calls: DecayingCounter,
    pub(crate) attempts: DecayingCounter,
    pub(crate) ok: DecayingCounter,
    /// Loads begun for each request, smoothed.
    pub(crate) cold_rate: f64,
    /// How many times the usual loads take at present.
    pub(crate) store: f64,
    /// How often calls lately found a copy that only others could have kept alive.
    pub(crate) blind: f64,
    /// How far functions are spread, beside the most: less while copies are found gone.
    pub(crate) spread: f64,
    /// The part of the calls to be shed, as too many come late.
    pub(crate) late: f64,
    pub(crate) retries: f64,
    pub(crate) probes: f64,
    /// What a probe gained lately, in requests' worth, and how likely calls would be late where was asked.
    pub(crate) probe_gain: f64,
    pub(crate) found: f64,
    /// When the load offered to cold workers was last added up.
    pub(crate) summed: Micros,
    pub(crate) orders: VecDeque<Micros>,
    /// Orders not yet answered; they outlive what is believed of the worker.
    pub(crate) orders_out: BTreeSet<(WorkerId, FunctionId)>,
    pub(crate) taken: VecDeque<Micros>,
    /// When the next housekeeping is due, and since when the router has not stood still itself.
    pub(crate) tick_at: Option<Micros>,
    pub(crate) awake: Micros,
    pub(crate) asked: Option<Micros>,
    pub(crate) subscribed: bool,
    /// Requests that each tenant may still send within its share, and when that was counted.
    pub(crate) tenants: Vec<(f64, Micros)>,
    /// Stands in for a class that the settings lack: the most careful one.
    pub(crate) unknown: Class,
}

impl Balancer {
    /// Takes other settings while calls are open. A class or tenant keeps its place, with what is known of it; new ones stand
    /// behind them. Calls that are open in a class go by what it says from now on. A list of workers is to follow where it
    /// changes their weights. The number of routers stays, as it is told by itself.
    pub fn update_settings(&mut self, settings: Settings) {
        let fresh = Balancer::new(settings, self.salt);
        let (classes, tenants) = (fresh.s.classes.len(), fresh.s.tenants.len());
        self.class_work.extend(fresh.class_work.into_iter().skip(self.class_work.len()));
        self.tenants.extend(fresh.tenants.into_iter().skip(self.tenants.len()));
        self.class_work.truncate(classes);
        self.tenants.truncate(tenants);
        self.workers.values_mut().for_each(|w| w.classes.resize(classes, FailureRecord::default()));
        if fresh.s.weights != self.s.weights {
            self.ring_unit = 0.0;
        }
        self.s = Settings { routers: self.s.routers, ..fresh.s };
    }
}
