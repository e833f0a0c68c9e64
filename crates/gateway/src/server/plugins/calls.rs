//! Versions of calls: resolved when a call is accepted, held until its final answer.

use super::{run_name, PluginHost};
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, FunctionTraits, Reason, Ticket, Verdict, Version};
use slatevalve_plugins::{CatalogueError, Digest, Observation, Reference, Resolved, Selector, Side};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A call that was accepted for a version and has no answer yet.
pub(super) struct OpenCall {
    pub(super) name: String,
    pub(super) digest: Digest,
    accepted_at: Micros,
    latency_objective: Micros,
}

/// A version of a function that a call may run.
struct ResolvedFunction {
    name: String,
    version: Resolved,
}

impl PluginHost {
    /// Sets the version that a call runs, resolved from its function's name, or why the call is refused.
    pub(in crate::server) fn resolve(&mut self, now: Micros, call: &mut Call) {
        let resolved = self.resolve_function(now, call);
        call.version = resolved.map(|found| found.map(|function| self.open_call(now, call, function)));
    }

    /// Records an open call of a version, and sets the call's traits from the manifest.
    fn open_call(&mut self, now: Micros, call: &mut Call, function: ResolvedFunction) -> Version {
        let ResolvedFunction { name, version } = function;
        let manifest = &version.manifest;
        call.traits = Some(FunctionTraits {
            concurrency: manifest.concurrency as usize,
            work: None,
            load_time: Some(Micros((manifest.load_ms * 1_000.0) as i64)).filter(|time| time.0 > 0),
            memory_mb: manifest.memory_mb,
        });
        let objective =
            self.classes.get(call.class.0).map_or(Micros(i64::MAX), |class| class.latency_objective);
        let open = OpenCall {
            name: name.clone(),
            digest: version.digest,
            accepted_at: now,
            latency_objective: objective,
        };
        self.catalogue.call_opened(version.digest);
        self.observe(now, &open, Observation::CallStarted);
        self.calls.insert(call.ticket, open);
        Version {
            name: version.version.as_str().into(),
            digest: version.digest.to_string().into(),
            function: run_name(&name, &version.digest),
        }
    }

    /// Resolves the version of a call's function; `None` if the function is not in the catalogue and the
    /// settings allow functions that are not plug-ins.
    fn resolve_function(&mut self, now: Micros, call: &Call) -> Result<Option<ResolvedFunction>, Reason> {
        let reference: Option<Reference> = call.function.parse().ok();
        let Some(reference) = reference.filter(|reference| self.catalogue.contains_function(&reference.name))
        else {
            return if self.settings.unlisted { Ok(None) } else { Err(Reason::UnknownVersion) };
        };
        let version = match self.resolve_reference(call, &reference) {
            Ok(version) => version,
            Err(error) => {
                self.queue_pull(now, &reference, &error);
                return Err(refusal_reason(&error));
            }
        };
        let class = self.classes.get(call.class.0);
        if class.is_some_and(|class| class.name != version.manifest.class) {
            return Err(Reason::WrongClass);
        }
        Ok(Some(ResolvedFunction { name: reference.name, version }))
    }

    fn resolve_reference(&self, call: &Call, reference: &Reference) -> Result<Resolved, CatalogueError> {
        if reference.selector != Selector::Current {
            return self.catalogue.resolve(reference);
        }
        if let Some(active) = self.rollouts.get(&reference.name) {
            return match active.rollout.side(hash_fraction(call)) {
                Side::Old => self.check_runnable(&active.old),
                Side::New => self.check_runnable(&active.new),
            };
        }
        match self.stable.get(&reference.name) {
            Some(stable) => self.check_runnable(stable),
            None => self.catalogue.resolve(reference),
        }
    }

    fn check_runnable(&self, resolved: &Resolved) -> Result<Resolved, CatalogueError> {
        self.catalogue.check_runnable(&resolved.digest).map(|()| resolved.clone())
    }

    /// Queues a pull of a version that a call was refused for, if the settings enable that; later calls can
    /// run it.
    fn queue_pull(&mut self, now: Micros, reference: &Reference, error: &CatalogueError) {
        let missing = matches!(error, CatalogueError::UnknownVersion(_) | CatalogueError::Partial(_));
        if missing && self.settings.pull_on_call && self.settings.registry.is_some() {
            if let Ok((version, _)) = self.catalogue.version_of(reference) {
                self.pull_queue.enqueue(now.0, &format!("{}@{version}", reference.name));
            }
        }
    }

    /// Closes a call that was answered, and counts it in its function's rollout.
    pub(in crate::server) fn call_answered(&mut self, now: Micros, ticket: Ticket, answer: &Answer) {
        let Some(call) = self.close_call(ticket) else { return };
        // A repeat is answered with the first call's version, and a call without an attempt is no evidence
        // about one.
        let same_version =
            answer.version.as_ref().is_some_and(|version| *version.digest == *call.digest.to_string());
        if answer.recorded || !same_version || answer.attempts == 0 {
            return self.observe(now, &call, Observation::CallWithdrawn);
        }
        let served = matches!(answer.verdict, Verdict::Served { .. });
        let late = now.0.saturating_sub(call.accepted_at.0) > call.latency_objective.0;
        self.observe(now, &call, |side| Observation::CallEnded { side, served, late });
    }

    /// Closes a call that will not be answered.
    pub(in crate::server) fn call_withdrawn(&mut self, now: Micros, ticket: Ticket) {
        if let Some(call) = self.close_call(ticket) {
            self.observe(now, &call, Observation::CallWithdrawn);
        }
    }

    fn close_call(&mut self, ticket: Ticket) -> Option<OpenCall> {
        let call = self.calls.remove(&ticket)?;
        self.catalogue.call_closed(call.digest);
        Some(call)
    }

    /// Reports a call to its function's rollout, if one is active.
    fn observe(&mut self, now: Micros, call: &OpenCall, observation: impl FnOnce(Side) -> Observation) {
        if let Some(active) = self.rollouts.get_mut(&call.name) {
            active.observe(now, &call.digest, observation);
        }
    }
}

fn refusal_reason(error: &CatalogueError) -> Reason {
    match error {
        CatalogueError::Quarantined(_) => Reason::Quarantined,
        CatalogueError::Unsigned(_) | CatalogueError::NotAllowed(_) => Reason::NotAllowed,
        _ => Reason::UnknownVersion,
    }
}

/// Position of a call in the traffic split of a rollout, from 0 to 1; calls with the same key have the same
/// position.
fn hash_fraction(call: &Call) -> f64 {
    let mut hasher = DefaultHasher::new();
    match &call.key {
        Some(key) => key.hash(&mut hasher),
        None => call.ticket.0.hash(&mut hasher),
    }
    // The upper 53 bits, the precision of an f64.
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
