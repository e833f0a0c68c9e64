//! Every decision of slatevalve. Its types, events and actions stand in `src/api.rs`.
//!
//! Ordinary path: a function hashes onto a ring of virtual points. The first workers clockwise serve it, as
//! many as its load needs: one, its home, unless it is hot. While the one tried is busy, the next distinct
//! workers take the spill. Everything else here keeps one of the five rules or is an exception listed in
//! `docs/design.md`.

use crate::api::*;
mod state;

pub use state::Balancer;
use state::*;
use std::collections::{BTreeMap, BTreeSet};

/// Ring points of a worker of middling weight: arcs even to a few parts in a hundred, a walk stays cheap.
const POINTS: f64 = 96.0;
/// Own requests above the weighted average, as a factor and in requests, before a worker counts as busy.
const MARGIN: (f64, f64) = (1.5, 2.0);
/// How long a first piece of bad evidence, and a first full answer, rests a worker; doubled in a row.
const SUSPECT: Micros = Micros(1_500_000);
const FULL: Micros = Micros(400_000);
/// Seconds that a call is taken to lose at a worker for each piece of bad evidence in a row.
const DOUBT_COST: f64 = 3.0;
/// Loads' times that a load away from home costs, as it pushes others out and queues at the store; more by
/// the loads begun for each request, so that storms die down; and more where there was no room lately.
const COLD_COST: (f64, f64, f64) = (3.0, 10.0, 4.0);
/// How many times the usual a load may be taken to last; workers with orders out, too few to tell of it.
const SLOWEST: f64 = 20.0;
const STORE_ORDERS: usize = 3;
/// A call follows its order to load after this, so as not to overtake it.
const BEHIND_ORDER: Micros = Micros(4_000);
/// Calls sent on the belief that others keep a copy alive must have found it at least this often lately.
const BLIND: f64 = 0.5;
/// An order answered sooner than this, in seconds, found its copies standing.
const QUICK: f64 = 0.06;
/// The pace of housekeeping, and how late it must come for the router to have stood still itself.
const TICK: Micros = Micros(20_000);
const STALL: Micros = Micros(150_000);
/// The part of the aim that the expected time may take, for work of the least and of the most worth; and how
/// many times that behind the best crowd found.
const REFUSE: (f64, f64, f64) = (0.35, 0.8, 1.6);
/// Aims after which a call that is out counts as lost, not as one in a queue.
const STUCK: f64 = 1.0;
/// How the part of calls shed grows with each served late, shrinks with each in time, and its most.
const LATE: (f64, f64, f64, f64) = (0.04, 0.01, 0.8, 1.25);
/// Usual times of a call, and aims, after which a silent attempt is taken for lost.
const PATIENCE: (f64, f64) = (12.0, 1.0);
/// Beyond this a router has not heard from a worker lately and asks it before it sends a call there.
const FRESH: Micros = Micros(1_000_000);
/// How long a call waits for a worker that was asked; one that is silent for longer counts as busy.
const ASK_WAIT: Micros = Micros(10_000);
/// The part of its aim that a call waits for a silent worker's answer before that silence refuses it.
const HEAR: f64 = 0.1;
/// Workers asked for one call at most; probes for each request taken, and how many may be saved up.
const ASKS: usize = 4;
const PROBES: (f64, f64) = (1.5, 5.0);
/// What a probe is taken to gain at first, in requests' worth; how much each one moves that; and the part of
/// the probes that is still sent, to learn from, while they gain less than their price.
const PROBE_GAIN: (f64, f64, f64) = (0.05, 0.05, 0.02);
/// Parts of the aim that a call takes longer where others wait: at all, and for each; those taken to wait at
/// a worker silent when asked; from which use of cores on, and how many for all of them.
const CROWD: (f64, f64) = (0.4, 0.15);
const SILENT: f64 = 4.0;
const BUSY_CORES: (f64, f64) = (0.85, 20.0);
/// Further attempts allowed for each request taken, and how many may be saved up.
const RETRIES: (f64, f64) = (0.05, 3.0);
/// The part of one that an attempt after a broken connection or an error takes: no signs of overload.
const BROKEN_PRICE: f64 = 0.2;
/// The part of the cold budget that is used by own counts, and in chances, in a mean worker's load.
const COLD_USE: f64 = 0.7;
const COLD_CHANCE: f64 = 0.12;
/// How far back shares, work and answers are counted, in seconds, and calls taken to come before the first.
const SHARE_OVER: f64 = 20.0;
const WORK_OVER: f64 = 4.0;
const PACE_OVER: f64 = 1.0;
const SHARE_PRIOR: f64 = 30.0;
/// The part of a mean worker's load that one function may bring before one more serves it, and the calls that
/// a copy should see in the time it is kept.
const PIECE: f64 = 0.25;
const ALIVE: f64 = 3.0;
/// How the spread of functions changes with each copy found and each found gone, and its least.
const SPREAD: (f64, f64, f64) = (1.03, 0.93, 0.2);
/// Workers looked at beyond those that serve the function, while one of them may be sent to.
const BEYOND: usize = 4;
/// Functions remembered at most; the one unused longest goes first.
const FUNCTIONS: usize = 4096;

impl FailureRecord {
    /// A worker that serves others meanwhile is doubted only from the second piece in a row on: one spoilt
    /// answer or reset says little of it, and each rest sends its functions to be loaded elsewhere.
    fn bad(&mut self, now: Micros, full: bool, lively: bool) {
        if now >= self.until
            && (full || !lively || self.times > 0 || std::mem::replace(&mut self.struck, true))
        {
            let first = if full { FULL } else { SUSPECT };
            self.times = (self.times + 1).min(4);
            self.until = after(now, Micros(first.0 << (self.times - 1)));
            self.full = full;
        }
    }

    fn good(&mut self, now: Micros, sent: Micros) {
        if since(self.until, sent) < if self.full { FULL } else { SUSPECT } {
            *self = FailureRecord { until: self.until.min(now), ..FailureRecord::default() };
        }
    }
}

impl Worker {
    /// Whether it served anything of late.
    fn lively(&self, now: Micros) -> bool {
        since(now, self.last_good) < FRESH
    }

    /// The evidence that keeps a call of the class away. Two classes in trouble are the worker's trouble; one
    /// alone is not, as a worker may fail or refuse one class and serve the rest.
    fn record(&self, class: usize, now: Micros) -> FailureRecord {
        let own = self.classes.get(class).copied().unwrap_or_default();
        let rests = |r: &&FailureRecord| r.times > 0 && (now < r.until || self.own > 0);
        // The worst class and the next to it, the earlier one where they are even.
        let (mut first, mut shared) = (FailureRecord::default(), FailureRecord::default());
        for r in self.classes.iter().filter(rests) {
            if r.times > first.times {
                (first, shared) = (*r, first);
            } else if r.times > shared.times {
                shared = *r;
            }
        }
        let worst = [self.link, own, shared].into_iter().filter(|r| rests(&r)).max_by_key(|r| r.times);
        worst.unwrap_or_default()
    }
}

impl Balancer {
    /// A router that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_work = settings.classes.iter().map(|c| secs(c.latency_objective) / 6.0).collect();
        let tenants = vec![(0.0, Micros(0)); settings.tenants.len()];
        let (retries, probes) = (RETRIES.1, PROBES.1);
        // A router alone has nobody else to keep copies alive.
        let blind = BLIND * settings.routers.saturating_sub(1).min(1) as f64;
        let start =
            Balancer { salt: seed, blind, spread: 1.0, store: 1.0, retries, probes, ..Balancer::default() };
        Balancer { class_work, tenants, s: settings, probe_gain: PROBE_GAIN.0, ..start }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.born.get_or_insert(self.now);
        if self.tick_at.is_some_and(|t| since(self.now, t) > STALL) {
            self.resume();
        }
        if self.all_warm.is_none() && self.now >= self.warm_at {
            self.all_warm = Some(self.effective_weight());
        }
        match event {
            Event::Request(r) => self.request(r, out),
            Event::Answer(a) => self.answer(a, out),
            Event::Streaming { id, .. } => {
                self.open.get_mut(&id).into_iter().for_each(|o| o.streaming = true)
            }
            Event::ClientDisconnected { id } => {
                // Nothing is owed, and what still runs for it is work for nobody.
                self.cancel_attempts(id, out);
                self.close(id);
            }
            Event::WorkersListed(l) => self.listed(l),
            Event::ProbeCompleted { worker, outcome, report, .. } => {
                self.probed(worker, outcome, report, out)
            }
            Event::LoadCompleted { worker, function, outcome, copies, latency } => {
                self.loaded(worker, function, outcome, copies, latency)
            }
            Event::RouterCountChanged(n) => {
                // Another one keeps copies alive that this one does not see; a router alone has nobody.
                if (n > 1) != (self.s.routers > 1) {
                    self.blind = BLIND * f64::from(u8::from(n > 1));
                }
                self.s.routers = n.max(1);
            }
            Event::LoadExpected { function, like, most } => self.expect(function, like, most, out),
            Event::Wake { token: 0 } => {
                self.tick_at = None;
                self.tick(out);
            }
            Event::Wake { token } => {
                let id = RequestId(token - 1);
                if self.open.get(&id).is_some_and(|o| !o.done && o.held.is_some_and(|t| t <= self.now)) {
                    self.dispatch(id, out);
                }
            }
        }
        let ask = self.s.must_ask && !self.subscribed;
        if ask && self.asked.is_none_or(|t| since(self.now, t).0 > self.s.rules.ask_within.0 / 5) {
            self.asked = Some(self.now);
            out.push(Action::Subscribe);
        }
        if self.tick_at.is_none() && (ask || !self.open.is_empty()) {
            let at = after(self.now, TICK);
            self.tick_at = Some(at);
            out.push(Action::Wake { at, token: 0 });
        }
    }

    /// Requests and attempts that the module still keeps track of; 0 once all is answered.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// The router itself stood still: what came late says nothing of the workers, whose silence and latency
    /// are judged anew from here.
    fn resume(&mut self) {
        self.awake = self.now;
        self.tick_at = Some(self.now);
        for w in self.workers.values_mut() {
            w.asked = w.asked.map(|_| self.now);
        }
    }

    // ---- the list of workers and the ring ----

    fn listed(&mut self, l: Listing) {
        // Where the list must be asked for, a failed call or a lost subscription is asked again later.
        self.subscribed = matches!(l.scope, Scope::Changes | Scope::Full);
        if l.scope == Scope::Refused {
            return;
        }
        // What the ring is made of, to see which arcs change.
        let mut changed: BTreeMap<WorkerId, Option<f64>> = BTreeMap::new();
        if l.scope != Scope::Changes {
            let named: BTreeSet<WorkerId> = l.entries.iter().map(|e| e.id).collect();
            let gone = self.workers.iter().filter(|(id, _)| !named.contains(id));
            changed.extend(gone.map(|(id, w)| (*id, self.ring_weight(w))));
            self.workers.retain(|id, _| named.contains(id));
        }
        let classes = self.s.classes.len();
        for e in l.entries {
            let before = self.workers.get(&e.id).and_then(|w| self.ring_weight(w));
            changed.entry(e.id).or_insert(before);
            if e.state == WorkerState::Gone {
                self.workers.remove(&e.id);
                continue;
            }
            let w = self.workers.entry(e.id).or_insert_with(|| Worker::new(e.clone(), classes));
            // A restart under the same id comes back empty and cold, and owes nothing for what it was.
            if e.up_since > w.entry.up_since {
                let sent = std::mem::take(&mut w.sent);
                *w = Worker { sent, started: w.started, asked: w.asked, ..Worker::new(e.clone(), classes) };
                self.functions.values_mut().for_each(|f| f.places.retain(|id, _| *id != e.id));
            }
            w.started = w.started.max(e.up_since);
            w.entry = e;
        }
        let workers = &self.workers;
        self.functions.values_mut().for_each(|f| f.places.retain(|id, _| workers.contains_key(id)));
        self.workers.values_mut().for_each(|w| w.own = 0);
        self.own = 0;
        for a in self.open.values().flat_map(|o| &o.attempts).filter(|a| a.outcome.is_none() && !a.loading) {
            if let Some(w) = self.workers.get_mut(&a.worker) {
                w.own += 1;
                self.own += 1;
            }
        }
        let warm_within = self.s.rules.warm_within;
        let started = self.workers.values().filter_map(|w| w.started);
        (self.all_warm, self.warm_at) =
            (None, started.map(|t| after(t, warm_within)).max().unwrap_or(self.now));
        self.zones = self.workers.values().map(|w| w.entry.zone.0).collect::<BTreeSet<_>>().len();
        changed.retain(|id, before| self.workers.get(id).and_then(|w| self.ring_weight(w)) != *before);
        self.build_ring(&changed);
        self.offer();
    }

    /// What a worker has on the ring, if anything.
    fn ring_weight(&self, w: &Worker) -> Option<f64> {
        w.ready().then(|| self.weight(w))
    }

    /// Points in proportion to weight, in units of a power of two near the median weight, so that one
    /// worker's coming or leaving does not change the count of another's. A few workers that changed are
    /// taken out and put in where they are; another unit, or many of them, make the ring anew.
    fn build_ring(&mut self, changed: &BTreeMap<WorkerId, Option<f64>>) {
        let mut weights: Vec<f64> = self.workers.values().map(|w| self.weight(w)).collect();
        weights.sort_by(f64::total_cmp);
        let middle = weights.get(weights.len() / 2).copied().unwrap_or(1.0);
        let unit = 2f64.powi(middle.log2().round() as i32);
        let anew = unit != self.ring_unit || changed.len() * 8 > self.workers.len();
        self.ring_unit = unit;
        if !anew && changed.is_empty() {
            return;
        }
        let mut ring = std::mem::take(&mut self.ring);
        ring.retain(|p| !anew && !changed.contains_key(&p.1));
        for (id, w) in self.workers.iter().filter(|(id, w)| w.ready() && (anew || changed.contains_key(id))) {
            let points = (POINTS * self.weight(w) / unit).round().clamp(8.0, 4.0 * POINTS) as u64;
            ring.extend((0..points).map(|i| (mix(mix(id.0) ^ i), *id, i as f64 / points as f64)));
        }
        ring.sort_by_key(|p| (p.0, p.1));
        self.ring = ring;
    }

    fn weight(&self, w: &Worker) -> f64 {
        match self.s.weights {
            Weights::Size if w.entry.weight.is_finite() && w.entry.weight > 1e-6 => w.entry.weight.min(1e6),
            _ => 1.0,
        }
    }

    /// The least share of its capacity that a started worker has by now.
    fn slow_start_factor(&self, w: &Worker) -> f64 {
        let Some(t) = w.started else { return 1.0 };
        let (r, age) = (&self.s.rules, since(self.now, t).0.max(0) as f64);
        let part = if r.warm_within.0 > 0 { (age / r.warm_within.0 as f64).min(1.0) } else { 1.0 };
        (r.start_capacity + (1.0 - r.start_capacity) * part).clamp(0.0, 1.0)
    }

    /// The first distinct workers clockwise from the function's hash, `most` of them. Points of a started
    /// worker come up one by one as it warms; until then the arc goes on to the next.
    fn walk(&self, f: FunctionId, most: usize) -> Vec<WorkerId> {
        let at = self.ring.partition_point(|p| p.0 < mix(f.0 ^ 0x51a7_e7a1));
        let (mut order, mut seen) = (Vec::new(), BTreeSet::new());
        for p in self.ring[at..].iter().chain(&self.ring[..at]) {
            if order.len() >= most.min(self.workers.len()) {
                break;
            }
            if self.workers.get(&p.1).is_some_and(|w| p.2 < self.slow_start_factor(w)) && seen.insert(p.1) {
                order.push(p.1);
            }
        }
        order
    }

    /// All weight, as warm as it is. Once all are warm it stays, and is not added up for each call any more.
    fn effective_weight(&self) -> f64 {
        self.all_warm.unwrap_or_else(|| {
            self.workers.values().map(|w| self.weight(w) * self.slow_start_factor(w)).sum()
        })
    }

    /// The load that a function brings, in units of a mean worker's: its share of this router's calls, times
    /// the workers. The share is the same at all routers, whatever their number, but for chance.
    fn load_of(&self, f: &Function) -> f64 {
        // The first function a new router sees is likely a popular one; one seen once among many is not.
        let calls = self.calls.at(self.now, SHARE_OVER);
        let chance = (calls / SHARE_PRIOR).min(1.0);
        let own = (f.calls.at(self.now, SHARE_OVER) - chance).max(0.0);
        own / (calls + SHARE_PRIOR) * self.workers.len() as f64
    }

    /// How many workers clockwise serve a function: as its load asks, while all routers keep copies alive.
    fn width(&self, f: &Function) -> usize {
        let fleet = f.calls.at(self.now, SHARE_OVER) / SHARE_OVER * self.s.routers.max(1) as f64;
        let alive = fleet * secs(self.s.loading.keep) / ALIVE;
        let most = self.workers.len().max(1) as f64;
        (self.load_of(f) / PIECE * self.spread).min(alive).ceil().clamp(1.0, most) as usize
    }

    /// The workers in the order in which this router tries them: of those that serve the function, one in its
    /// own zone or else one by a hash of its own, so that routers share them out; then on along the ring.
    fn candidate_order(&self, o: &Open, width: usize) -> Vec<WorkerId> {
        let f = o.req.function;
        let most = if o.attempts.iter().any(Attempt::may_have_run) { usize::MAX } else { width + BEYOND };
        let mut order = self.walk(f, most);
        let serve = width.min(order.len());
        let draw = |id: u64| mix(self.salt ^ mix(f.0) ^ id);
        // As many routers keep to their zone as its workers can serve; the rest go to the others.
        let near = |id: &WorkerId| self.workers.get(id).is_some_and(|w| w.entry.zone == self.s.zone);
        let mine = order[..serve].iter().filter(|id| near(id)).count();
        let stay = part(draw(0)) < (mine * self.zones) as f64 / serve.max(1) as f64;
        // Each looked up once: before many workers the look-ups of a sort cost more than all else.
        order[..serve].sort_by_cached_key(|id| (near(id) != stay, draw(id.0)));
        order
    }

    /// Adds up what the ring gives each worker of the functions this router knows.
    fn offer(&mut self) {
        let mut offered: BTreeMap<WorkerId, f64> = BTreeMap::new();
        if self.workers.values().any(|w| self.slow_start_factor(w) < 1.0) {
            for (id, f) in self.functions.iter().filter(|f| self.load_of(f.1) > 0.0) {
                let width = self.width(f);
                for w in self.walk(*id, width) {
                    *offered.entry(w).or_default() += self.load_of(f) / width as f64;
                }
            }
        }
        self.workers.iter_mut().for_each(|(id, w)| w.offered = offered.get(id).copied().unwrap_or_default());
        self.summed = self.now;
    }

    // ---- the gate: every rule in one place ----

    /// Whether the request may be sent to the worker now, by effects, drains and the cold budget.
    fn may_send(&self, o: &Open, id: WorkerId, reach: usize) -> bool {
        let Some(w) = self.workers.get(&id) else { return false };
        let (l, out) = (&self.s.limits, o.out());
        let copies = o.attempts.len() < l.max_attempts && (l.second_copies || out == 0);
        let open = o.undecided() && self.now < o.until && copies;
        open && w.ready() && self.effect_allows(o, w) && self.cold_allows(o, w, reach)
    }

    fn effect_allows(&self, o: &Open, w: &Worker) -> bool {
        let mut ran = o.attempts.iter().filter(|a| a.may_have_run());
        match self.class(o).effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { group, memory } => ran.all(|a| {
                let same = match group {
                    Group::All => true,
                    Group::Zone => a.zone == w.entry.zone,
                    Group::Cell => a.cell == w.entry.cell,
                };
                // Two hundredths of a second for the way there.
                same && since(self.now, a.anchor).0 + 20_000 < memory.0
            }),
        }
    }

    /// Whether a cold worker may be sent the request: within this router's own share of its budget, and by
    /// chance where that share is less than a call.
    fn cold_allows(&self, o: &Open, w: &Worker, reach: usize) -> bool {
        let (r, slow_start_factor) = (&self.s.rules, self.slow_start_factor(w));
        if slow_start_factor >= 1.0 {
            return true;
        }
        // Capacity is judged from the work this router sees served: both sides are in one unit, and each sees
        // its share. By all weight, warm or not: after a mass restart the rate lags behind.
        let total: f64 = self.workers.values().map(|w| self.weight(w)).sum();
        let rate = self.served.at(self.now, WORK_OVER) / WORK_OVER;
        let capacity = rate * self.weight(w) / total.max(1e-9) * slow_start_factor;
        let budget = COLD_USE * r.fall_multiple * capacity * secs(r.fall_window);
        let recent = |t: &&(Micros, f64)| since(self.now, t.0) <= r.fall_window;
        let sent: f64 = w.sent.iter().filter(recent).map(|t| t.1).sum();
        // What all routers together would send it is thinned to what it can take: more where most are cold or
        // attempts fail, and for calls that spill to `reach` workers, as an idle one draws them all.
        let warm = self.effective_weight();
        let offered = w.offered.max(slow_start_factor * total / warm.max(1e-9)) * reach.max(1) as f64;
        let lately = |f: &DecayingCounter| f.at(self.now, SHARE_OVER) + 2.0;
        let served = (lately(&self.ok) / lately(&self.attempts)).min(1.0);
        let chance = COLD_CHANCE * r.fall_multiple * slow_start_factor * served / offered.max(1e-9);
        let draw = part(mix(self.salt ^ mix(o.req.id.0) ^ w.entry.id.0));
        (sent == 0.0 || sent + self.work(o) <= budget) && draw < chance.max(budget / self.work(o).max(1e-9))
    }

    fn may_refuse(&self, o: &Open) -> bool {
        match self.class(o).effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            _ => !o.attempts.iter().any(Attempt::may_have_run),
        }
    }

    /// Orders copies held, if the drain rule and the ration allow it and no order is out for the pair.
    fn order(&mut self, f: FunctionId, id: WorkerId, copies: u32, out: &mut Vec<Action>) -> bool {
        let l = &self.s.loading;
        let ready = self.workers.get(&id).is_some_and(Worker::ready);
        let Some(fun) = self.functions.get_mut(&f) else { return false };
        let place = fun.places.entry(id).or_default();
        if !l.orders || !ready || self.orders_out.contains(&(id, f)) || self.now < place.rest {
            return false;
        }
        if l.ration_window.0 > 0 {
            self.orders.retain(|t| since(self.now, *t) <= l.ration_window);
            // Requests at the window's edge may count or not: one tick is left out.
            self.taken.retain(|t| since(self.now, *t).0 + TICK.0 <= l.ration_window.0);
            let allowed = l.ration_free + l.ration_share * self.taken.len() as f64;
            if self.orders.len() as f64 + 1.0 > allowed {
                return false;
            }
            self.orders.push_back(self.now);
        }
        self.orders_out.insert((id, f));
        place.ordered = Some(self.now);
        if place.due.is_none() {
            place.due = Some(after(self.now, micros(fun.load * self.store)));
            self.cold_rate += 0.01;
        }
        out.push(Action::Load { worker: id, function: f, copies: copies.clamp(1, 16) });
        true
    }

    /// Calls of one function are going to take over from those of another: orders copies ahead, a few at a
    /// time, where its calls will go, so that the change does not make them wait for loads.
    fn expect(&mut self, f: FunctionId, like: FunctionId, most: usize, out: &mut Vec<Action>) {
        let Some(old) = self.functions.get(&like) else { return };
        let (concurrency, load, svc, width) = (old.concurrency, old.load, old.svc, self.width(old));
        self.functions.entry(f).or_insert(Function { concurrency, load, svc, ..Function::default() });
        let mut left = most;
        for id in self.walk(f, width) {
            let place = self.functions.get(&f).and_then(|f| f.places.get(&id));
            if left > 0 && !place.is_some_and(|p| self.is_loaded(p)) && self.order(f, id, 1, out) {
                left -= 1;
            }
        }
    }

    /// How many workers serve a function; 0 for one that is not known.
    pub fn workers_serving(&self, f: FunctionId) -> usize {
        self.functions.get(&f).map_or(0, |f| self.width(f))
    }

    /// On how many workers copies of a function stand, as far as this router has seen lately.
    pub fn loaded_replicas(&self, f: FunctionId) -> usize {
        self.functions.get(&f).map_or(0, |f| f.places.values().filter(|p| self.is_loaded(p)).count())
    }

    // ---- what is believed ----

    fn class(&self, o: &Open) -> &Class {
        self.s.classes.get(o.req.class.0).unwrap_or(&self.unknown)
    }

    /// Mean work of the request's class in the unit of `served`.
    fn work(&self, o: &Open) -> f64 {
        self.class_work.get(o.req.class.0).copied().unwrap_or(0.1)
    }

    fn is_loaded(&self, p: &Replica) -> bool {
        p.stood.is_some_and(|t| since(self.now, t) < self.s.loading.keep)
    }

    /// Whether a copy should be there: seen lately, or kept alive by the calls of other routers to the same
    /// workers. How often these found one is told by this router's own such calls, whatever the size.
    fn likely_loaded(&self, p: &Replica) -> bool {
        let lately = |t: Micros| since(self.now, t) < self.s.loading.keep;
        self.is_loaded(p) || (self.blind >= BLIND && !p.missed.is_some_and(lately))
    }

    /// Misses that show that others do not keep the function alive: one where its home serves it alone, two
    /// where several do. From there on only copies that were seen count for the call.
    fn missed(&self, o: &Open, width: usize) -> bool {
        o.attempts.iter().filter(|a| a.outcome == Some(Outcome::Miss)).count() >= width.min(2)
    }

    /// How far a worker is over its share of this router's requests; above 0 it is busy.
    fn excess(&self, w: &Worker, total: usize, weight: f64) -> f64 {
        let fair = (total + 1) as f64 * self.weight(w) * self.slow_start_factor(w) / weight.max(1e-9);
        let limit = (fair * MARGIN.0 + MARGIN.1).max(1.0) / w.slow.max(1.0);
        ((w.own + 1) as f64 - limit.max(1.0)).max(0.0)
    }

    /// Parts of the aim that a call waits at a worker by what it told: where calls wait, all its slots are
    /// taken, and one that does not answer a probe at once is no better.
    fn queue_depth(&self, w: &Worker) -> f64 {
        let silent = w.asked.is_some_and(|t| since(self.now, t) >= ASK_WAIT);
        let queue = w.queue.filter(|q| since(self.now, q.0) < FRESH).map_or(0.0, |q| q.1);
        let queue = if silent { queue.max(SILENT) } else { queue };
        f64::from(u8::from(queue >= 1.0)) * (CROWD.0 + queue * CROWD.1)
    }

    /// Chooses the worker for a request. Ordinary path: the first along the ring that is not busy and where
    /// the function stands. Where there is none, the least expected wait, loads included.
    fn pick(&self, o: &Open) -> Option<WorkerId> {
        let f = self.functions.get(&o.req.function)?;
        let (class, latency_objective) = (o.req.class.0, secs(self.class(o).latency_objective));
        let (total, weight) = (self.own, self.effective_weight());
        let width = self.width(f);
        let mut order = self.candidate_order(o, width);
        if !order.iter().any(|id| self.may_send(o, *id, order.len())) {
            order = self.walk(o.req.function, usize::MAX);
        }
        let (spill, missed) = (order.len(), self.missed(o, width));
        let (usual, away) = (f.load * self.store, COLD_COST.0 + COLD_COST.1 * self.cold_rate);
        let (mut best, mut first): (Option<(f64, WorkerId)>, bool) = (None, true);
        for (step, id) in order.into_iter().enumerate() {
            let Some(w) = self.workers.get(&id) else { continue };
            if !self.may_send(o, id, if step < width && o.attempts.is_empty() { 1 } else { spill }) {
                continue;
            }
            let tried = o.attempts.iter().any(|a| a.worker == id && a.outcome != Some(Outcome::Miss));
            let p = f.places.get(&id).cloned().unwrap_or_default();
            let there = if step < width && !missed { self.likely_loaded(&p) } else { self.is_loaded(&p) };
            let load = match (there, p.due) {
                (true, _) => 0.0,
                // One that is overdue takes as long again, as far as anybody can tell.
                (_, Some(due)) => secs(since(due, self.now)).abs().max(0.05),
                _ if self.now < p.rest => usual * (COLD_COST.2 + away),
                _ if first => usual,
                _ => usual * away,
            };
            first = false;
            let record = w.record(class, self.now);
            let doubt = DOUBT_COST * record.times as f64 + f64::from(u8::from(tried));
            let (own, queue_depth) = (self.excess(w, total, weight), self.queue_depth(w));
            if load + doubt + own + queue_depth == 0.0 {
                return Some(id);
            }
            let cost = own * f.svc * w.slow.max(0.5)
                + queue_depth * latency_objective
                + load
                + doubt
                + step as f64 * 1e-3;
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, id));
            }
        }
        best.map(|b| b.1)
    }

    // ---- requests ----

    fn request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.open.contains_key(&r.id) {
            return;
        }
        self.cold_rate *= 0.99;
        self.retries = (self.retries + RETRIES.0).min(RETRIES.1);
        let pays = self.probe_gain >= self.s.probe_price;
        self.probes = (self.probes + PROBES.0 * if pays { 1.0 } else { PROBE_GAIN.2 }).min(PROBES.1);
        self.calls.add(self.now, SHARE_OVER, 1.0);
        if self.s.loading.ration_window.0 > 0 {
            self.taken.push_back(self.now);
        }
        let new = Function { load: 0.7, svc: 0.15, ..Function::default() };
        let f = self.functions.entry(r.function).or_insert(new);
        f.concurrency = r.concurrency.max(1);
        f.calls.add(self.now, SHARE_OVER, 1.0);
        if let (Some(t), true) = (r.load_time, f.places.is_empty()) {
            f.load = secs(t).clamp(0.01, 10.0);
        }
        if self.functions.len() > FUNCTIONS {
            let idle = |f: &Function| f.places.values().all(|p| p.own == 0 && p.ordered.is_none());
            let oldest = self.functions.iter().filter(|f| idle(f.1) && *f.0 != r.function);
            if let Some(id) = oldest.min_by_key(|f| (f.1.calls.1, *f.0)).map(|f| *f.0) {
                self.functions.remove(&id);
            }
        }
        if since(self.now, self.summed).0 > 500_000 {
            self.offer();
        }
        let id = r.id;
        if let (Some(mean), Some(work)) = (self.class_work.get_mut(r.class.0), r.work) {
            blend(mean, secs(work).clamp(1e-4, 60.0), 0.02);
        }
        let until = after(self.now, r.budget);
        let (attempts, done, streaming, held, asks) = (Vec::new(), false, false, None, 0);
        let o = Open { req: r, until, attempts, done, streaming, held, asks };
        let refuse = self.should_shed(&o);
        self.open.insert(id, o);
        if refuse {
            self.finish_unserved(id, out);
        } else {
            self.dispatch(id, out);
        }
    }

    /// How much the class's work is worth beside that of the most worth, from 0 to 1.
    fn rank(&self, o: &Open) -> f64 {
        let density = |c: &Class, w: f64| {
            if self.s.worth_by_work {
                c.priority_weight
            } else {
                c.priority_weight / w.max(1e-3)
            }
        };
        let all = self.s.classes.iter().zip(&self.class_work).map(|(c, w)| density(c, *w));
        (density(self.class(o), self.work(o)) / all.fold(1e-9, f64::max)).clamp(0.0, 1.0)
    }

    fn patience(&self, o: &Open) -> f64 {
        REFUSE.0 + (REFUSE.1 - REFUSE.0) * self.rank(o)
    }

    /// Counts the request against its tenant's share; true where it is beyond that.
    fn exceeds_quota(&mut self, o: &Open) -> bool {
        let tenant = o.req.tenant.and_then(|t| Some((self.tenants.get_mut(t.0)?, self.s.tenants.get(t.0)?)));
        let Some((left, tenant)) = tenant else { return false };
        let share = tenant.quota_per_s / self.s.routers.max(1) as f64;
        let more = share * secs(since(self.now, left.1)).clamp(0.0, 2.0);
        *left = ((left.0 + more).min(2.0 * share).max(0.0) - 1.0, self.now);
        left.0 < 0.0 && share > 0.0
    }

    /// Whether the answer to a new request would come too late. Where this router has many calls out, by
    /// Little's law; where it has few, by the part of its answers that came late. Work of low worth goes
    /// first, and what a tenant sends beyond its share.
    fn should_shed(&mut self, o: &Open) -> bool {
        let (over, rank, latency_objective) =
            (self.exceeds_quota(o), self.rank(o), secs(self.class(o).latency_objective));
        let shed = self.late * (LATE.3 - rank).max(0.0) * if over { 2.0 } else { 1.0 };
        if part(mix(self.salt ^ mix(!o.req.id.0))) < shed {
            return true;
        }
        let patience = self.patience(o) * if over { REFUSE.0 } else { 1.0 };
        let age = self.born.map_or(0.0, |t| secs(since(self.now, t)));
        let pace =
            self.answers.at(self.now, PACE_OVER) / PACE_OVER / (1.0 - (-age / PACE_OVER).exp()).max(0.1);
        // All calls out are at least those at sound workers: where they are few, nobody need be looked at.
        if age <= PACE_OVER || (self.own + 1) as f64 <= patience * latency_objective * pace {
            return false;
        }
        // Calls stuck at workers in doubt are no queue for the rest: a silent zone must not stop them.
        let stuck = |w: &Worker| w.record(o.req.class.0, self.now);
        let sound = || self.workers.values().filter(|w| stuck(w).times < 2 || stuck(w).full);
        let total: usize = sound().map(|w| w.own).sum();
        let late = |total: usize| {
            total > sound().count() && (total + 1) as f64 > patience * latency_objective * pace
        };
        if !late(total) {
            return false;
        }
        // Nor are calls out for longer than their aim: where answers are lost they never end, and counted as
        // a queue they lead to refusals, a lower pace and more refusals.
        let old = |o: &Open, t: &Attempt| {
            secs(since(self.now, t.sent)) > STUCK * secs(self.class(o).latency_objective)
        };
        let out = self.open.values().flat_map(|o| o.attempts.iter().map(move |t| (o, t)));
        let lost = out.filter(|(o, t)| t.outcome.is_none() && !t.loading && old(o, t)).count();
        late(total.saturating_sub(lost))
    }

    /// Sends an open request on, holds it for a moment, or leaves it for the next tick.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| o.undecided()) else { return };
        let f = o.req.function;
        let missed = self.functions.get(&f).is_none_or(|f| self.missed(o, self.width(f)));
        let Some(worker) = self.pick(o) else {
            // Nowhere to go for now: the next ticks try again. An answer must not wait for a tick too many.
            if o.out() == 0 && since(o.until, self.now).0 <= 2 * TICK.0 {
                return self.finish_unserved(id, out);
            }
            return self.open.get_mut(&id).into_iter().for_each(|o| o.held = None);
        };
        if self.ask(id, worker, out) {
            return;
        }
        let Some(o) = self.open.get(&id) else { return };
        // Where even the best of those asked is crowded, the answer comes too late. Silence tells so only
        // after part of the aim, and not at one never heard from, whose connection may still be coming up.
        let (most, tells) =
            (REFUSE.2 * self.patience(o), micros(HEAR * secs(self.class(o).latency_objective)));
        let best = self.workers.get(&worker).filter(|w| w.heard.is_some() || w.asked.is_none());
        if let Some(w) = best.filter(|w| o.attempts.is_empty() && self.queue_depth(w) > most) {
            let at = w.asked.map_or(self.now, |t| after(t, tells));
            return if at > self.now { self.hold(id, at, out) } else { self.finish_unserved(id, out) };
        }
        let Some(fun) = self.functions.get(&f) else { return };
        let (place, concurrency) = (fun.places.get(&worker).cloned().unwrap_or_default(), fun.concurrency);
        let is_loaded = self.is_loaded(&place);
        let (likely_loaded, copies) =
            (if missed { is_loaded } else { self.likely_loaded(&place) }, place.copies.max(1));
        let mut ordered = place.ordered;
        if !likely_loaded && place.due.is_none() {
            if !self.s.loading.on_request && self.order(f, worker, 1, out) {
                ordered = Some(self.now);
            }
        } else if is_loaded && place.own > concurrency * copies as usize {
            self.order(f, worker, copies + 1, out);
        }
        let fresh = ordered.filter(|t| since(self.now, *t) < BEHIND_ORDER && !likely_loaded);
        match fresh.filter(|_| !self.s.loading.on_request) {
            Some(t) => self.hold(id, after(t, BEHIND_ORDER), out),
            None => self.send(id, worker, out),
        }
    }

    fn hold(&mut self, id: RequestId, at: Micros, out: &mut Vec<Action>) {
        self.open.get_mut(&id).into_iter().for_each(|o| o.held = Some(at));
        out.push(Action::Wake { at, token: id.0.wrapping_add(1) });
    }

    /// Asks a worker that was not heard from lately before a call goes there: among many routers each meets
    /// it too seldom to know it by its own calls.
    fn ask(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) -> bool {
        let Some(o) = self.open.get_mut(&id) else { return false };
        let Some(w) = self.workers.get_mut(&worker) else { return false };
        let soon = since(o.until, self.now).0 <= 2 * (TICK.0 + ASK_WAIT.0);
        let known = w.heard.is_some_and(|t| since(self.now, t) < FRESH)
            || w.asked.is_some_and(|t| since(self.now, t) >= ASK_WAIT);
        // One in doubt is asked whatever others gained: a call that it swallows costs more than any probe.
        let spared = self.probes < 1.0 && !w.is_suspect();
        if !self.s.limits.probes || known || soon || o.asks >= ASKS || spared {
            return false;
        }
        o.asks += 1;
        if w.asked.is_none() {
            self.probes -= 1.0;
            w.asked = Some(self.now);
            out.push(Action::Probe { worker });
        }
        w.asking.push(id);
        self.hold(id, after(self.now, ASK_WAIT), out);
        true
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| self.may_send(o, worker, 1)) else { return };
        let (work, empty) = (self.work(o), Replica::default());
        let place = self.functions.get(&o.req.function).and_then(|f| f.places.get(&worker)).unwrap_or(&empty);
        let (seen, loading) = (self.is_loaded(place), !self.likely_loaded(place));
        let blind = !seen && !loading && place.due.is_none();
        let (Some(o), Some(w)) = (self.open.get_mut(&id), self.workers.get_mut(&worker)) else { return };
        if let Some(f) = self.functions.get_mut(&o.req.function) {
            let p = f.places.entry(worker).or_default();
            p.own += 1;
            if loading && p.due.is_none() && self.s.loading.on_request {
                p.due = Some(after(self.now, micros(f.load)));
                self.cold_rate += 0.01;
            }
        }
        w.own += usize::from(!loading);
        self.own += usize::from(!loading);
        w.sent.push_back((self.now, work));
        // They stand in the order of time: a look at each would cost more than all else that a call costs.
        while w.sent.front().is_some_and(|t| since(self.now, t.0) > self.s.rules.fall_window) {
            w.sent.pop_front();
        }
        o.held = None;
        self.attempts.add(self.now, SHARE_OVER, 1.0);
        let anchor = o.attempts.iter().filter(|a| a.may_have_run()).map(|a| a.anchor).min();
        let (anchor, zone, cell) = (anchor.unwrap_or(self.now), w.entry.zone, w.entry.cell);
        let (sent, outcome, cancelled) = (self.now, None, false);
        o.attempts.push(Attempt { worker, zone, cell, sent, anchor, loading, blind, outcome, cancelled });
        out.push(Action::Send { id, worker, timeout: None });
    }

    fn cancel_attempts(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id).filter(|o| self.s.limits.cancel && !o.streaming) else { return };
        for (attempt, t) in o.attempts.iter_mut().enumerate().filter(|(_, t)| t.outcome.is_none()) {
            if !std::mem::replace(&mut t.cancelled, true) {
                out.push(Action::Cancel { id, attempt });
            }
        }
    }

    fn close(&mut self, id: RequestId) {
        let Some(o) = self.open.get_mut(&id) else { return };
        (o.done, o.held) = (true, None);
        if o.out() == 0 {
            self.open.remove(&id);
        }
    }

    /// Ends a request that is not going to be served.
    fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| o.undecided()) else { return };
        let refuse = self.may_refuse(o);
        out.push(if refuse { Action::Refuse { id, retry_after: None } } else { Action::Fail { id } });
        self.close(id);
    }

    fn answer(&mut self, a: Answer, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&a.id) else { return };
        let (function, class, hinted) = (o.req.function, o.req.class.0, o.req.work.is_some());
        let Some(t) = o.attempts.get_mut(a.attempt).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(a.outcome);
        let t = t.clone();
        let (worker, loading, sent, judged) = (t.worker, t.loading, t.sent, t.sent >= self.awake);
        let silent = judged && !loading && !t.cancelled;
        self.learn_place(function, &a, &t);
        let lively = self.workers.get(&worker).is_some_and(|w| w.lively(self.now));
        let known = !lively || self.functions.get(&function).is_some_and(|f| f.served);
        let taken = secs(a.latency).max(1e-4);
        if let (Outcome::Ok, Some(mean)) = (a.outcome, self.class_work.get_mut(class)) {
            if !hinted && !loading {
                blend(mean, taken, 0.02);
            }
            self.served.add(self.now, WORK_OVER, *mean);
            self.answers.add(self.now, PACE_OVER, 1.0);
            self.ok.add(self.now, SHARE_OVER, 1.0);
            if !loading && judged {
                let late = self.s.classes.get(class).is_some_and(|c| taken > secs(c.latency_objective));
                self.late = (self.late + if late { LATE.0 } else { -LATE.1 }).clamp(0.0, LATE.2);
            }
        }
        if let Some(r) = a.report {
            self.report(worker, r);
        }
        match a.outcome {
            Outcome::Ok => self.good(worker, class, sent),
            Outcome::Full if !loading => self.bad(worker, Some(class), true),
            // What no worker ever served may fail by the request's own fault, at a worker that serves others.
            Outcome::Error if !a.load_failed && known => self.bad(worker, Some(class), false),
            Outcome::TimedOut if silent => self.bad(worker, Some(class), false),
            Outcome::ConnectFailed | Outcome::Reset => self.bad(worker, None, false),
            _ => {}
        }
        let Some(o) = self.open.get(&a.id) else { return };
        if a.closed || o.done {
            self.cancel_attempts(a.id, out);
            self.close(a.id);
        } else if o.out() == 0 {
            self.retry_or_finish(a.id, out);
        }
    }

    /// What an answer tells of the copies at a worker and of the function's time.
    fn learn_place(&mut self, f: FunctionId, a: &Answer, t: &Attempt) {
        let (id, blind, loading, judged) = (t.worker, t.blind, t.loading, t.sent >= self.awake);
        let mut w = self.workers.get_mut(&id);
        for w in w.iter_mut().filter(|w| !loading && w.own > 0) {
            w.own -= 1;
            self.own -= 1;
        }
        let Some(f) = self.functions.get_mut(&f) else { return };
        let p = f.places.entry(id).or_default();
        let taken = secs(a.latency).max(1e-4);
        p.own = p.own.saturating_sub(1);
        match a.outcome {
            Outcome::Ok => {
                (p.stood, p.copies, p.due) = (Some(self.now), p.copies.max(1), None);
                f.served = true;
                self.spread = (self.spread * SPREAD.0).min(1.0);
                if blind {
                    // Where calls load by themselves only the time tells.
                    let found = !self.s.loading.on_request || taken < f.svc + 0.5 * f.load;
                    blend(&mut self.blind, f64::from(u8::from(found)), 0.05);
                }
                if loading {
                    blend(&mut f.load, (taken - f.svc).clamp(0.05, 5.0), 0.1);
                } else if judged {
                    let ratio = (taken / f.svc.max(1e-3)).clamp(0.1, 10.0);
                    w.into_iter().for_each(|w| blend(&mut w.slow, ratio, 0.1));
                    // The time of a call that meets no queue: shorter times count more.
                    let part = if taken < f.svc { 0.2 } else { 0.02 };
                    blend(&mut f.svc, taken, part);
                }
            }
            // What was believed to stand is gone: unloaded, released anew or restarted.
            Outcome::Miss => {
                (p.stood, p.missed, p.copies) = (None, Some(self.now), 0);
                p.due = p.due.filter(|_| p.ordered.is_some());
                self.spread = (self.spread * SPREAD.1).max(SPREAD.2);
                if blind {
                    blend(&mut self.blind, 0.0, 0.05);
                }
            }
            // No room for a copy: that speaks of the function, not of the worker.
            Outcome::Full if loading => (p.due, p.rest) = (None, after(self.now, Micros(FULL.0 * 2))),
            // A reset alone need not be a crash, and a worker that did crash answers with a miss.
            Outcome::ConnectFailed => *p = Replica { own: p.own, ..Replica::default() },
            _ => {}
        }
    }

    /// A further attempt where one is allowed, else the final answer.
    fn retry_or_finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| !o.done) else { return };
        let spent = o.attempts.len() >= self.s.limits.max_attempts;
        let possible = self.workers.values().any(|w| self.effect_allows(o, w));
        let price = match o.attempts.last().and_then(|t| t.outcome) {
            None | Some(Outcome::Miss) => 0.0,
            Some(Outcome::Full | Outcome::TimedOut | Outcome::Cancelled) => 1.0,
            Some(_) => BROKEN_PRICE,
        };
        if spent || !possible || self.now >= o.until || self.retries < price {
            return self.finish_unserved(id, out);
        }
        self.retries -= price;
        self.dispatch(id, out);
    }

    // ---- health ----

    fn good(&mut self, worker: WorkerId, class: usize, sent: Micros) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        (w.last_good, w.heard) = (self.now, Some(self.now));
        w.link.good(self.now, sent);
        w.classes.get_mut(class).into_iter().for_each(|r| r.good(self.now, sent));
    }

    /// Bad evidence on a class, or on the connection where none is named.
    fn bad(&mut self, worker: WorkerId, class: Option<usize>, full: bool) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let lively = w.lively(self.now);
        w.heard = if full { Some(self.now) } else { w.heard };
        let record = class.map_or(Some(&mut w.link), |c| w.classes.get_mut(c));
        record.into_iter().for_each(|r| r.bad(self.now, full, lively));
    }

    fn report(&mut self, worker: WorkerId, r: Report) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        // Busy cores stand for a queue where none is told.
        let queue = r.queue.or(r.util.map(|u| (u - BUSY_CORES.0) * BUSY_CORES.1));
        w.queue = queue.map(|q| (self.now, q.max(0.0))).or(w.queue);
    }

    fn probed(&mut self, id: WorkerId, outcome: Outcome, report: Option<Report>, out: &mut Vec<Action>) {
        if let Some(r) = report {
            self.report(id, r);
        }
        let Some(w) = self.workers.get_mut(&id) else { return };
        let (asking, well) = (std::mem::take(&mut w.asking), matches!(outcome, Outcome::Ok | Outcome::Full));
        // Those in doubt are asked anyway and say nothing of what it gains to ask the others.
        let learn = if w.is_suspect() { 0.0 } else { PROBE_GAIN.1 };
        (w.asked, w.heard) = (None, if well { Some(self.now) } else { w.heard });
        if !well {
            self.bad(id, None, false);
        }
        for call in asking {
            if let Some(o) = self.open.get(&call).filter(|o| !o.done && o.held.is_some()) {
                // What it gained: the chance of being late there less that where the call goes now.
                let there = if well { self.late_at(o, id) } else { Some(1.0) };
                let next = self.pick(o).and_then(|next| self.late_at(o, next)).unwrap_or(self.found);
                blend(&mut self.found, there.unwrap_or(0.0), learn);
                blend(&mut self.probe_gain, (there.unwrap_or(0.0) - next).max(0.0), learn);
                self.dispatch(call, out);
            }
        }
    }

    /// The chance that a call is late at a worker that told of its queue lately: what is left of its aim
    /// behind the crowd, in its usual times, which spread as exponential ones do.
    fn late_at(&self, o: &Open, id: WorkerId) -> Option<f64> {
        let w = self.workers.get(&id).filter(|w| w.queue.is_some_and(|q| since(self.now, q.0) < FRESH))?;
        let left = (1.0 - self.queue_depth(w)).max(0.0) * secs(self.class(o).latency_objective);
        Some((-left / self.work(o).max(1e-3)).exp())
    }

    fn loaded(&mut self, id: WorkerId, f: FunctionId, outcome: Outcome, copies: u32, latency: Micros) {
        self.orders_out.remove(&(id, f));
        let Some(f) = self.functions.get_mut(&f) else { return };
        let Some(p) = f.places.get_mut(&id) else { return };
        (p.ordered, p.due) = (None, None);
        match outcome {
            Outcome::Ok => {
                if p.stood.is_none() {
                    if secs(latency) > QUICK {
                        let times = (secs(latency) / f.load).clamp(0.5, SLOWEST);
                        blend(&mut self.store, times, 0.2);
                    }
                    blend(&mut self.blind, f64::from(u8::from(secs(latency) < QUICK)), 0.05);
                    blend(&mut f.load, secs(latency).clamp(0.05, 5.0), 0.2);
                }
                (p.stood, p.copies, p.no_room) = (Some(self.now), copies.max(1), 0);
            }
            Outcome::Full => {
                p.copies = copies;
                p.rest = after(self.now, Micros(1_000_000 << p.no_room));
                p.no_room = (p.no_room + 1).min(3);
            }
            Outcome::Error | Outcome::TimedOut => p.rest = after(self.now, Micros(300_000)),
            _ => self.bad(id, None, false),
        }
    }

    // ---- housekeeping ----

    fn tick(&mut self, out: &mut Vec<Action>) {
        // Loads that are out for longer than usual tell of a slow store before the first of them is done;
        // those of one worker together tell no more than one, as it may be the worker that hangs.
        let mut out_for: BTreeMap<WorkerId, f64> = BTreeMap::new();
        for (w, f) in &self.orders_out {
            let Some(f) = self.functions.get(f) else { continue };
            let Some(since_order) = f.places.get(w).and_then(|p| p.ordered) else { continue };
            let times = secs(since(self.now, since_order)) / f.load;
            out_for.entry(*w).and_modify(|t| *t = t.min(times)).or_insert(times);
        }
        let mean = out_for.values().sum::<f64>() / out_for.len().max(STORE_ORDERS) as f64;
        self.store = self.store.max(mean.min(SLOWEST));
        let (mut silent, mut retry_or_finish, mut over) = (Vec::new(), Vec::new(), Vec::new());
        for (id, o) in self.open.iter().filter(|(_, o)| o.undecided()) {
            let Some(t) = o.attempts.iter().rfind(|t| t.outcome.is_none()) else {
                if since(o.until, self.now).0 <= 2 * TICK.0 {
                    over.push(*id);
                } else if o.held.is_none_or(|t| t <= self.now) {
                    retry_or_finish.push(*id);
                }
                continue;
            };
            let f = self.functions.get(&o.req.function).map_or((0.15, 0.7), |f| (f.svc, f.load));
            let load = if t.loading { 2.5 * f.1 } else { 0.0 };
            let patience = (PATIENCE.0 * f.0).max(PATIENCE.1 * secs(self.class(o).latency_objective)) + load;
            let quiet = self.workers.get(&t.worker).is_none_or(|w| w.last_good < t.sent);
            if secs(since(self.now, t.sent.max(self.awake))) > patience && quiet && !t.cancelled {
                silent.push((*id, t.worker, o.req.class.0));
            }
        }
        over.into_iter().for_each(|id| self.finish_unserved(id, out));
        retry_or_finish.into_iter().for_each(|id| self.dispatch(id, out));
        for (id, worker, class) in silent {
            self.bad(worker, Some(class), false);
            self.retry_elsewhere(id, worker, out);
        }
    }

    /// A request whose worker has said nothing for too long goes to another, where its class allows that.
    fn retry_elsewhere(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let other = |(w, e): (&WorkerId, &Worker)| *w != worker && e.ready() && self.effect_allows(o, e);
        let spent = self.retries < 1.0 || o.attempts.len() >= self.s.limits.max_attempts || o.out() > 1;
        if spent || !self.workers.iter().any(other) {
            return;
        }
        // Where only one may be out, the end of the one called off leads to the next.
        if !self.s.limits.second_copies {
            return self.cancel_attempts(id, out);
        }
        self.retries -= 1.0;
        self.dispatch(id, out);
    }
}
