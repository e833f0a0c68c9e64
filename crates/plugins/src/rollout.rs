//! Rollout of a new version behind an alias: copies of it are loaded first, then a growing, stable fraction
//! of the calls is routed to it. It is rolled back automatically, at most once, if the new version does
//! worse.
//!
//! Decisions depend on observations only: which copies are loaded ([`Observation::CopyLoaded`]) and how calls
//! of either version ended. The module does no I/O: [`Rollout::load_request`] returns how many copies to load
//! ahead, [`Rollout::side`] which version a call is routed to. There is one instance for each function whose
//! `current` moved; its state is bounded, and it uses neither a clock nor randomness.
//!
//! Invariants, each with a test: no call is routed to the new version before a copy of it is loaded; a key
//! that was routed to the new version stays there until the rollout ends; a rollback happens once, and from
//! then on all calls run the old version; the fraction of calls never exceeds the fraction of copies that are
//! loaded.

/// Limits and thresholds of a rollout. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Load requests that may be open at a time, so that the plug-in store is not overloaded.
    pub max_load_requests: usize,
    /// The largest fraction of the calls that the first step routes to the new version; it doubles with each
    /// step.
    pub initial_fraction: f64,
    /// Minimum duration of a step, so that calls of its fraction have ended.
    pub step_us: i64,
    /// Calls of the new version that must have ended before it is compared with the old one.
    pub min_calls: u32,
    /// The new version is rolled back if its ratio of failed calls exceeds the old version's by more than
    /// this.
    pub failure_tolerance: f64,
    /// The new version is rolled back if its ratio of late calls exceeds the old version's by more than this.
    pub lateness_tolerance: f64,
    /// The rollout is rolled back if no copy is loaded after this time.
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

/// One of the two versions of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version that the alias meant before the rollout.
    Old,
    /// The version that is rolled out.
    New,
}

/// An event that [`Rollout::observe`] takes into account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A request to load a copy of the new version was sent.
    LoadRequested,
    /// A load request ended and its copy is loaded.
    CopyLoaded,
    /// A load request ended without a loaded copy.
    LoadFailed,
    /// A call of one of the versions was accepted.
    CallStarted(Side),
    /// An accepted call ended without evidence about its version: its client disconnected, it received the
    /// result of another call, or it was refused before any attempt.
    CallWithdrawn(Side),
    /// A call of one of the versions ended.
    CallEnded {
        /// The version that it ran.
        side: Side,
        /// Whether it succeeded.
        served: bool,
        /// Whether its answer was later than the latency objective of its class.
        late: bool,
    },
    /// A worker ran content other than the call's, or the new version's content is corrupt.
    Corrupt,
}

/// The load requests that a rollout needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutRequest {
    /// Request loads of up to this many further copies of the new version.
    Copies(usize),
    /// No load request is needed or allowed at present.
    Nothing,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All calls run the new version; copies of the old one may be unloaded.
    Completed,
    /// The new version did worse, or no copy was loaded, for the stated reason; the alias must be moved back.
    RolledBack(&'static str),
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutState {
    /// No copy of the new version is loaded yet.
    Preparing,
    /// This fraction of the calls, above 0 and below 1, runs the new version.
    Moving(f64),
    /// The rollout has ended; this state is final.
    Ended(RolloutOutcome),
}

/// Counts of one version's calls since the rollout started.
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

    /// `count` as a fraction of the calls that ended; 0 if none has.
    fn ratio(self, count: u32) -> f64 {
        if self.ended == 0 {
            0.0
        } else {
            f64::from(count) / f64::from(self.ended)
        }
    }
}

/// The rollout of one function's new version.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    started_us: i64,
    step_started_us: i64,
    state: RolloutState,
    /// Target number of copies: the number of workers that serve the old version.
    needed: usize,
    loaded_copies: usize,
    open_load_requests: usize,
    failed_load_requests: usize,
    old: CallCounters,
    new: CallCounters,
    /// Whether [`Rollout::advance`] has returned the outcome.
    outcome_reported: bool,
}

impl Rollout {
    /// Starts a rollout for a function whose old version is served by `needed` workers.
    pub fn new(settings: RolloutSettings, now_us: i64, needed: usize) -> Self {
        Rollout {
            settings,
            started_us: now_us,
            step_started_us: now_us,
            state: RolloutState::Preparing,
            needed: needed.max(1),
            loaded_copies: 0,
            open_load_requests: 0,
            failed_load_requests: 0,
            old: CallCounters::default(),
            new: CallCounters::default(),
            outcome_reported: false,
        }
    }

    /// Current progress.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Copies of the new version that are loaded, and the target number.
    pub fn copies(&self) -> (usize, usize) {
        (self.loaded_copies, self.needed)
    }

    /// The version that a call is routed to. `hash` is a stable hash of its key, scaled to the range from 0
    /// to 1.
    pub fn side(&self, hash: f64) -> Side {
        match self.state {
            RolloutState::Preparing | RolloutState::Ended(RolloutOutcome::RolledBack(_)) => Side::Old,
            RolloutState::Ended(RolloutOutcome::Completed) => Side::New,
            RolloutState::Moving(fraction) if hash < fraction => Side::New,
            RolloutState::Moving(_) => Side::Old,
        }
    }

    /// The load requests to be sent now.
    pub fn load_request(&self) -> RolloutRequest {
        let has_ended = matches!(self.state, RolloutState::Ended(_));
        let missing = self.needed.saturating_sub(self.loaded_copies + self.open_load_requests);
        let room = self.settings.max_load_requests.saturating_sub(self.open_load_requests);
        match missing.min(room) {
            0 => RolloutRequest::Nothing,
            _ if has_ended => RolloutRequest::Nothing,
            copies => RolloutRequest::Copies(copies),
        }
    }

    /// Records an observation and reevaluates the rollout.
    pub fn observe(&mut self, now_us: i64, observation: Observation) {
        match observation {
            Observation::LoadRequested => self.open_load_requests += 1,
            Observation::CopyLoaded => {
                self.open_load_requests = self.open_load_requests.saturating_sub(1);
                self.loaded_copies += 1;
            }
            Observation::LoadFailed => {
                self.open_load_requests = self.open_load_requests.saturating_sub(1);
                self.failed_load_requests += 1;
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
                return self.end(RolloutOutcome::RolledBack("the content of the new version is corrupt"))
            }
        }
        self.evaluate(now_us);
    }

    /// Reevaluates the rollout at `now_us`; returns the outcome once, after the rollout has ended.
    pub fn advance(&mut self, now_us: i64) -> Option<RolloutOutcome> {
        self.evaluate(now_us);
        match self.state {
            RolloutState::Ended(outcome) if !std::mem::replace(&mut self.outcome_reported, true) => {
                Some(outcome)
            }
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

    fn evaluate(&mut self, now_us: i64) {
        if matches!(self.state, RolloutState::Ended(_)) {
            return;
        }
        // Start times are reset if the clock jumps back, as the rollout would otherwise stall until it
        // catches up.
        self.started_us = self.started_us.min(now_us);
        self.step_started_us = self.step_started_us.min(now_us);
        if self.loaded_copies == 0 && now_us - self.started_us >= self.settings.first_copy_timeout_us {
            return self.end(RolloutOutcome::RolledBack("no copy of the new version was loaded in time"));
        }
        if let Some(reason) = self.regression() {
            return self.end(RolloutOutcome::RolledBack(reason));
        }
        if now_us - self.step_started_us < self.settings.step_us && self.state != RolloutState::Preparing {
            return;
        }
        self.step(now_us);
    }

    /// Why the new version does worse, if it does. Its ratios must exceed the old version's by more than the
    /// tolerance and by more than the statistical error, about 1/sqrt(n) for n calls.
    fn regression(&self) -> Option<&'static str> {
        let (new, old) = (self.new, self.old);
        if new.ended < self.settings.min_calls {
            return None;
        }
        let chance = 1.0 / f64::from(new.ended).sqrt();
        let exceeds = |new: f64, old: f64, tolerance: f64| new > old + tolerance.max(chance);
        if exceeds(new.failure_ratio(), old.failure_ratio(), self.settings.failure_tolerance) {
            return Some("more calls of the new version failed");
        }
        if exceeds(new.late_ratio(), old.late_ratio(), self.settings.lateness_tolerance) {
            return Some("more calls of the new version were late");
        }
        None
    }

    /// Starts the next step: doubles the fraction, up to the fraction of copies that are loaded.
    fn step(&mut self, now_us: i64) {
        let loaded = (self.loaded_copies as f64 / self.needed as f64).min(1.0);
        let fraction = match self.state {
            RolloutState::Preparing if self.loaded_copies > 0 => self.settings.initial_fraction.min(loaded),
            RolloutState::Moving(fraction) => (fraction * 2.0).min(loaded).max(fraction),
            _ => return,
        };
        // The fraction grows only once enough calls of the new version have ended, unless there is hardly any
        // traffic. Open calls count as traffic: otherwise a version that hangs would look like one without
        // calls.
        let has_enough_calls = self.new.ended >= self.settings.min_calls;
        // After a failed or late call the fraction does not grow until there are enough calls for a
        // comparison: a few bad calls must not pass as too few to count.
        let no_bad_calls = self.new.open == 0 && self.new.failed == 0 && self.new.late == 0;
        let is_idle = no_bad_calls && now_us - self.step_started_us >= 4 * self.settings.step_us;
        if matches!(self.state, RolloutState::Moving(_)) && !has_enough_calls && !is_idle {
            return;
        }
        if fraction >= 1.0 {
            return self.end(RolloutOutcome::Completed);
        }
        self.step_started_us = now_us;
        self.state = RolloutState::Moving(fraction);
    }
}
