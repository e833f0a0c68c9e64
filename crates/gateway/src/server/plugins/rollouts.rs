//! Rollouts: calls are shifted from the version that `current` meant to the one that it means now.

use super::{run_name, PluginHost};
use crate::clock::after;
use crate::plugins::background::Requester;
use crate::plugins::command::Command;
use slatevalve::Micros;
use slatevalve_engine::{Engine, Output};
use slatevalve_plugins::{
    Catalogue, Digest, Observation, Resolved, Rollout, RolloutOutcome, RolloutRequest, Side, CURRENT,
};
use tracing::{info, warn};

/// Interval at which active rollouts are advanced.
const ROLLOUT_INTERVAL: Micros = Micros(20_000);

/// A version that was rolled back, with the alias's revision at that time.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct RolledBack {
    digest: Digest,
    revision: Option<u64>,
}

impl From<&Resolved> for RolledBack {
    fn from(resolved: &Resolved) -> Self {
        RolledBack { digest: resolved.digest, revision: resolved.revision }
    }
}

/// A rollout in progress.
pub(super) struct ActiveRollout {
    pub(super) rollout: Rollout,
    pub(super) old: Resolved,
    pub(super) new: Resolved,
    /// Send times of the load requests without a loaded copy yet, oldest first.
    pub(super) load_requests: Vec<Micros>,
}

impl ActiveRollout {
    /// Reports a call to the rollout if it runs one of its versions.
    pub(super) fn observe(
        &mut self,
        now: Micros,
        digest: &Digest,
        observation: impl FnOnce(Side) -> Observation,
    ) {
        let side = match digest {
            d if *d == self.new.digest => Side::New,
            d if *d == self.old.digest => Side::Old,
            _ => return,
        };
        self.rollout.observe(now.0, observation(side));
    }

    /// Counts loaded copies and failed load requests, requests further copies, and returns how the rollout
    /// ended, if it did.
    fn advance(
        &mut self,
        now: Micros,
        name: &str,
        load_timeout: Micros,
        engine: &mut Engine,
        outputs: &mut Vec<Output>,
    ) -> Option<RolloutOutcome> {
        let (old, new) = (run_name(name, &self.old.digest), run_name(name, &self.new.digest));
        while self.rollout.copies().0 < engine.loaded_replicas(&new) {
            self.load_requests.pop();
            self.rollout.observe(now.0, Observation::CopyLoaded);
        }
        self.expire_load_requests(now, load_timeout);
        if let RolloutRequest::Copies(count) = self.rollout.load_request() {
            for _ in 0..engine.expect_load(now, &new, &old, count, outputs) {
                self.load_requests.push(now);
                self.rollout.observe(now.0, Observation::LoadRequested);
            }
        }
        self.rollout.advance(now.0)
    }

    fn expire_load_requests(&mut self, now: Micros, load_timeout: Micros) {
        let before = self.load_requests.len();
        self.load_requests.retain(|sent_at| now.0 - sent_at.0 < load_timeout.0);
        for _ in self.load_requests.len()..before {
            self.rollout.observe(now.0, Observation::LoadFailed);
        }
    }
}

impl PluginHost {
    /// Replaces the catalogue by one that was read again, and starts a rollout for each function whose
    /// `current` moved. If it moved again during a rollout, a new rollout starts from the version before that
    /// rollout.
    pub(super) fn replace_catalogue(&mut self, now: Micros, engine: &Engine, mut catalogue: Catalogue) {
        for call in self.calls.values() {
            catalogue.call_opened(call.digest);
        }
        catalogue.set_admission_policy(self.settings.admission_policy.clone());
        self.catalogue = catalogue;
        for name in self.names() {
            if let Ok(target) = self.current(&name) {
                self.move_to(now, engine, name, target);
            }
        }
    }

    /// Moves calls of a function to the version that `current` means, unless its rollout is active or was
    /// rolled back.
    fn move_to(&mut self, now: Micros, engine: &Engine, name: String, target: Resolved) {
        let active_target = self.rollouts.get(&name).map(|active| active.new.digest);
        if active_target == Some(target.digest)
            || self.rolled_back.get(&name) == Some(&RolledBack::from(&target))
        {
            return;
        }
        self.rolled_back.remove(&name);
        match self.stable.get(&name) {
            Some(old) if old.digest == target.digest => {
                if self.rollouts.remove(&name).is_some() {
                    info!(name, version = target.version, "rollout cancelled");
                }
            }
            Some(old) if self.settings.rollout.is_some() => {
                let old = old.clone();
                self.start_rollout(now, engine, name, old, target);
            }
            _ => {
                info!(name, version = target.version, "version activated");
                self.stable.insert(name, target);
            }
        }
    }

    fn start_rollout(&mut self, now: Micros, engine: &Engine, name: String, old: Resolved, new: Resolved) {
        let needed = engine.workers_serving(&run_name(&name, &old.digest));
        let Some(settings) = self.settings.rollout.filter(|_| needed > 0) else {
            info!(
                name,
                version = new.version,
                "version activated without a rollout: no worker serves the old one"
            );
            self.stable.insert(name, new);
            return;
        };
        info!(name, from = old.version, to = new.version, copies = needed, "rollout started");
        let rollout = Rollout::new(settings, now.0, needed);
        self.rollouts.insert(name, ActiveRollout { rollout, old, new, load_requests: Vec::new() });
    }

    /// Advances active rollouts every [`ROLLOUT_INTERVAL`].
    pub(super) fn advance_rollouts(&mut self, now: Micros, engine: &mut Engine, outputs: &mut Vec<Output>) {
        if now < self.rollouts_due || self.rollouts.is_empty() {
            return;
        }
        self.rollouts_due = after(now, ROLLOUT_INTERVAL);
        let mut completed = Vec::new();
        for (name, active) in &mut self.rollouts {
            if let Some(end) = active.advance(now, name, self.load_timeout, engine, outputs) {
                completed.push((name.clone(), end));
            }
        }
        for (name, end) in completed {
            self.complete_rollout(&name, end);
        }
    }

    fn complete_rollout(&mut self, name: &str, outcome: RolloutOutcome) {
        let Some(active) = self.rollouts.remove(name) else { return };
        match outcome {
            RolloutOutcome::Completed => {
                info!(name, version = active.new.version, "the move is done");
                self.stable.insert(name.into(), active.new);
            }
            RolloutOutcome::RolledBack(reason) => {
                let (from, to) = (active.new.version.as_str(), active.old.version.as_str());
                warn!(name, from, to, reason, "rollout rolled back");
                self.roll_back(name, &active.old, &active.new);
            }
        }
    }

    /// Moves the alias back to the old version, unless it was moved again in between.
    fn roll_back(&mut self, name: &str, old: &Resolved, new: &Resolved) {
        self.rolled_back.insert(name.into(), new.into());
        let command = Command::Alias {
            name: name.into(),
            alias: CURRENT.into(),
            version: old.version.clone(),
            expect: new.revision,
            who: "roll-out".into(),
        };
        if !self.submit(Requester::Rollout, command) {
            warn!(name, "alias not moved back: the task queue is full");
        }
    }
}
