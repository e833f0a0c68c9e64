//! Replaces the settings while calls are open, and suspends calls that may not be sent without a valid lease.
//!
//! Every open call is subject to the rules under which it was accepted, or to stricter ones. The rules of a
//! class may become stricter under the same class id; a class whose rules are relaxed must get a new id,
//! which the creator of the settings ensures. Used by gateways whose settings are versioned documents.

use super::{DeferredAttemptLimit, Engine};
use crate::settings::EngineSettings;
use slatevalve::{ClassId, RequestId};
use std::collections::BTreeSet;

impl Engine {
    /// Replaces the settings, except the seed, the limits of the duplicate table and the maximum numbers of
    /// open calls and function names. A raised limit of attempts applies once all calls that are open now are
    /// closed.
    pub fn update_settings(&mut self, settings: EngineSettings) {
        let EngineSettings {
            mut balancer,
            classes,
            key_spaces,
            functions,
            other_functions,
            answer_margin,
            ..
        } = settings;
        self.deferred_attempt_limit = None;
        let current_limit = self.settings.balancer.limits.max_attempts;
        let new_limit = balancer.limits.max_attempts;
        if new_limit > current_limit && !self.open_calls.is_empty() {
            balancer.limits.max_attempts = current_limit;
            let first_request = RequestId(self.next_request);
            self.deferred_attempt_limit =
                Some(DeferredAttemptLimit { first_request, max_attempts: new_limit });
        }
        self.balancer.update_settings(balancer.clone());
        self.settings.balancer = balancer;
        self.settings.classes = classes;
        self.settings.key_spaces = key_spaces;
        self.settings.functions = functions;
        self.settings.other_functions = other_functions;
        self.settings.answer_margin = answer_margin;
    }

    /// Applies a raised limit of attempts if no call is open that was accepted under the lower one.
    pub(super) fn apply_deferred_attempt_limit(&mut self) {
        let Some(deferred) = &self.deferred_attempt_limit else { return };
        let oldest = self.open_calls.keys().next();
        if oldest.is_some_and(|id| *id < deferred.first_request) {
            return;
        }
        self.settings.balancer.limits.max_attempts = deferred.max_attempts;
        self.deferred_attempt_limit = None;
        self.balancer.update_settings(self.settings.balancer.clone());
    }

    /// Suspends or resumes calls with side effects. While suspended, new calls are refused (nothing of them
    /// was sent), further attempts of open calls end as not sent, and stored answers are still returned.
    pub fn suspend_non_idempotent(&mut self, suspended: bool) {
        self.non_idempotent_suspended = suspended;
    }

    /// Whether an open call is suspended, see [`Engine::suspend_non_idempotent`].
    #[must_use]
    pub fn is_suspended(&self, request: RequestId) -> bool {
        self.non_idempotent_suspended && self.open_calls.get(&request).is_some_and(|call| call.recorded)
    }

    /// Classes that have open calls.
    #[must_use]
    pub fn open_classes(&self) -> BTreeSet<ClassId> {
        self.open_calls.values().map(|call| call.body.class).collect()
    }
}
