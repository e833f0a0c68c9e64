//! The roll-out of a new version behind an alias: replicas are loaded first, then a growing, stable fraction of the calls is
//! moved; it is rolled back automatically, once, where the new version does worse.
//!
//! It decides by what it observes: which replicas are loaded ([`Observation::CopyLoaded`]), how calls of either version ended. It does no
//! I/O: [`Rollout::load_request`] returns how many replicas to load ahead, [`Rollout::side`] which version a call
//! goes to. One instance for each function whose `current` moved; bounded state, no clock, no randomness.
//!
//! Invariants, each with a test: no call goes to the new version before a copy of it stands; a key that has gone to the
//! new version stays there while the move goes on; a move back happens once, and from then on all calls take the old
//! version; the part never grows faster than copies stand.

/// Figures of a roll-out. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Orders that may be out ahead at a time: what the store of plug-ins bears.
    pub max_load_requests: usize,
    /// The part of the calls that the first copy may get; it doubles with each step.
    pub initial_fraction: f64,
    /// A step lasts at least so long, so that its calls have been seen.
    pub step_us: i64,
    /// Calls of the new version that must have ended before it is judged.
    pub min_calls: u32,
    /// Failures beyond the old version's part by more than this are too many.
    pub failure_tolerance: f64,
    /// Being late beyond the old version's part by more than this is too much.
    pub lateness_tolerance: f64,
    /// Without a copy that stands after this, the move is given up.
    pub first_copy_timeout_us: i64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            max_load_requests: 2,
            initial_fraction: 0.1,
            step_us: 500_000,
            min_calls: 20,
            failure_tolerance: 0.1,
            lateness_tolerance: 0.25,
            first_copy_timeout_us: 30_000_000,
        }
    }
}

/// One of the two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one before.
    Old,
    /// The one after.
    New,
}

/// What a roll-out is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An order ahead for a copy of the new version went out.
    LoadRequested,
    /// It ended, and a copy stands.
    CopyLoaded,
    /// It ended, and none does.
    LoadFailed,
    /// A call was taken for one of the versions.
    CallStarted(Side),
    /// A call that was taken ended without saying anything of its version: its client left, it joined another's run, or
    /// it was refused before any attempt.
    CallWithdrawn(Side),
    /// A call of one of the versions ended.
    CallEnded {
        /// Which version.
        side: Side,
        /// Whether it was served.
        served: bool,
        /// Whether it came later than its class's aim.
        late: bool,
    },
    /// A worker ran other content than the call's, or its content was found corrupt.
    Corrupt,
}

/// What a roll-out asks of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutRequest {
    /// Up to so many further copies of the new version ordered ahead.
    Copies(usize),
    /// Nothing for now.
    Nothing,
}

/// How a roll-out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All calls take the new version; the old one's copies may go.
    Completed,
    /// It did worse, or no copy came to stand: the alias is to go back.
    RolledBack(&'static str),
}

/// Where a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutState {
    /// No copy of the new version stands yet.
    Preparing,
    /// This part of the calls takes the new version.
    Moving(f64),
    /// It is over.
    Ended(RolloutOutcome),
}

/// Counts of one version's calls since the move began.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounters {
    open: u32,
    ended: u32,
    failed: u32,
    late: u32,
}

impl CallCounters {
    fn failure_ratio(self) -> f64 {
        self.ratio(self.failed)
    }

    fn late_ratio(self) -> f64 {
        self.ratio(self.late)
    }

    /// The fraction of the ended calls that a count is; 0 where none has ended.
    fn ratio(self, count: u32) -> f64 {
        if self.ended == 0 {
            0.0
        } else {
            f64::from(count) / f64::from(self.ended)
        }
    }
}

/// The move of one function's alias.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    began_us: i64,
    step_from_us: i64,
    state: RolloutState,
    /// Copies that will be needed: workers that serve the old version.
    needed: usize,
    standing: usize,
    orders_open: usize,
    failed_orders: usize,
    old: CallCounters,
    new: CallCounters,
    /// Whether its end was given.
    end_reported: bool,
}

impl Rollout {
    /// A move that begins now, of a function whose old version is served by `needed` workers.
    pub fn new(settings: RolloutSettings, now_us: i64, needed: usize) -> Self {
        Rollout {
            settings,
            began_us: now_us,
            step_from_us: now_us,
            state: RolloutState::Preparing,
            needed: needed.max(1),
            standing: 0,
            orders_open: 0,
            failed_orders: 0,
            old: CallCounters::default(),
            new: CallCounters::default(),
            end_reported: false,
        }
    }

    /// Where it is.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Copies of the new version that stand, and that are needed.
    pub fn copies(&self) -> (usize, usize) {
        (self.standing, self.needed)
    }

    /// The version that a call goes to, by a stable hash of its key as a number from 0 to 1.
    pub fn side(&self, hash: f64) -> Side {
        match self.state {
            RolloutState::Preparing | RolloutState::Ended(RolloutOutcome::RolledBack(_)) => Side::Old,
            RolloutState::Ended(RolloutOutcome::Completed) => Side::New,
            RolloutState::Moving(part) if hash < part => Side::New,
            RolloutState::Moving(_) => Side::Old,
        }
    }

    /// What is to be ordered ahead now.
    pub fn load_request(&self) -> RolloutRequest {
        let over = matches!(self.state, RolloutState::Ended(_));
        let missing = self.needed.saturating_sub(self.standing + self.orders_open);
        let room = self.settings.max_load_requests.saturating_sub(self.orders_open);
        match missing.min(room) {
            0 => RolloutRequest::Nothing,
            _ if over => RolloutRequest::Nothing,
            copies => RolloutRequest::Copies(copies),
        }
    }

    /// Takes what happened.
    pub fn observe(&mut self, now_us: i64, observed: Observation) {
        match observed {
            Observation::LoadRequested => self.orders_open += 1,
            Observation::CopyLoaded => {
                self.orders_open = self.orders_open.saturating_sub(1);
                self.standing += 1;
            }
            Observation::LoadFailed => {
                self.orders_open = self.orders_open.saturating_sub(1);
                self.failed_orders += 1;
            }
            Observation::CallStarted(side) => self.counters(side).open += 1,
            Observation::CallWithdrawn(side) => {
                let counters = self.counters(side);
                counters.open = counters.open.saturating_sub(1);
            }
            Observation::CallEnded { side, served, late } => {
                let counters = self.counters(side);
                counters.open = counters.open.saturating_sub(1);
                counters.ended += 1;
                counters.failed += u32::from(!served);
                counters.late += u32::from(late);
            }
            Observation::Corrupt => {
                return self.end(RolloutOutcome::RolledBack("its content was found corrupt"))
            }
        }
        self.judge(now_us);
    }

    /// Lets time pass; gives the end once, when it comes.
    pub fn advance(&mut self, now_us: i64) -> Option<RolloutOutcome> {
        self.judge(now_us);
        match self.state {
            RolloutState::Ended(ended) if !std::mem::replace(&mut self.end_reported, true) => Some(ended),
            _ => None,
        }
    }

    fn counters(&mut self, side: Side) -> &mut CallCounters {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    fn end(&mut self, outcome: RolloutOutcome) {
        if !matches!(self.state, RolloutState::Ended(_)) {
            self.state = RolloutState::Ended(outcome);
        }
    }

    fn judge(&mut self, now_us: i64) {
        if matches!(self.state, RolloutState::Ended(_)) {
            return;
        }
        // A clock that jumps back must not hold a move up for ever: its times count anew from there.
        self.began_us = self.began_us.min(now_us);
        self.step_from_us = self.step_from_us.min(now_us);
        if self.standing == 0 && now_us - self.began_us >= self.settings.first_copy_timeout_us {
            return self.end(RolloutOutcome::RolledBack("no copy of it came to stand"));
        }
        if let Some(why) = self.worse() {
            return self.end(RolloutOutcome::RolledBack(why));
        }
        if now_us - self.step_from_us < self.settings.step_us && self.state != RolloutState::Preparing {
            return;
        }
        self.step(now_us);
    }

    /// Why the new version does worse, if it does: beyond the old one's part, and beyond chance at so few calls.
    fn worse(&self) -> Option<&'static str> {
        let (new, old) = (self.new, self.old);
        if new.ended < self.settings.min_calls {
            return None;
        }
        let chance = 1.0 / f64::from(new.ended).sqrt();
        let exceeds = |new: f64, old: f64, tolerance: f64| new > old + tolerance.max(chance);
        if exceeds(new.failure_ratio(), old.failure_ratio(), self.settings.failure_tolerance) {
            return Some("more of its calls failed");
        }
        if exceeds(new.late_ratio(), old.late_ratio(), self.settings.lateness_tolerance) {
            return Some("more of its calls came late");
        }
        None
    }

    /// The next part: double what it was, never beyond the part of the copies that stand.
    fn step(&mut self, now_us: i64) {
        let loaded = (self.standing as f64 / self.needed as f64).min(1.0);
        let part = match self.state {
            RolloutState::Preparing if self.standing > 0 => self.settings.initial_fraction.min(loaded),
            RolloutState::Moving(part) => (part * 2.0).min(loaded).max(part),
            _ => return,
        };
        // Each part is judged by calls of its own before it grows, unless there are hardly any calls at all. Calls that
        // are open and do not end are no quiet: a version that hangs would otherwise be taken for one without calls.
        let seen = self.new.ended >= self.settings.min_calls;
        // Nor may a few calls that went badly be too few to count: after one of these it waits until it can be judged.
        let well = self.new.open == 0 && self.new.failed == 0 && self.new.late == 0;
        let quiet = well && now_us - self.step_from_us >= 4 * self.settings.step_us;
        if matches!(self.state, RolloutState::Moving(_)) && !seen && !quiet {
            return;
        }
        if part >= 1.0 {
            return self.end(RolloutOutcome::Completed);
        }
        self.step_from_us = now_us;
        self.state = RolloutState::Moving(part);
    }
}
