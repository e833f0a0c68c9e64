//! Other settings while calls are open, and the right to send by them.
//!
//! It guards open calls: each ends by the rules it was taken under or by stricter ones. What a class says may become stricter in
//! its place; one that becomes looser gets another place, which whoever makes the settings sees to. Called by the shell of a
//! gateway that acts by documents.

use crate::engine::{Engine, EngineSettings};
use slatevalve::{ClassId, RequestId};
use std::collections::BTreeSet;

impl Engine {
    /// Takes other settings. Seed, limits of the table of keys, and how many calls and names are held stay as they were. More
    /// attempts than before are allowed once all calls that are open now are closed.
    pub fn update_settings(&mut self, settings: EngineSettings) {
        let EngineSettings { mut module, classes, key_spaces, functions, other_functions, margin, .. } =
            settings;
        let (allowed, wanted) = (self.settings.module.limits.max_attempts, module.limits.max_attempts);
        self.looser = None;
        if wanted > allowed && !self.open.is_empty() {
            module.limits.max_attempts = allowed;
            self.looser = Some((RequestId(self.next), wanted));
        }
        self.balancer.update_settings(module.clone());
        let own = &mut self.settings;
        (own.module, own.classes, own.key_spaces) = (module, classes, key_spaces);
        (own.functions, own.other_functions, own.margin) = (functions, other_functions, margin);
    }

    /// Allows more attempts once no call is open that was taken under fewer.
    pub(crate) fn loosen(&mut self) {
        let Some((first, most)) = self.looser else { return };
        if self.open.keys().next().is_none_or(|id| *id >= first) {
            self.looser = None;
            self.settings.module.limits.max_attempts = most;
            self.balancer.update_settings(self.settings.module.clone());
        }
    }

    /// Whether only safe calls may be sent for now: others that come are refused, as nothing of them was sent, and attempts of
    /// those that are open end as not sent. Answers on record are given as ever.
    pub fn suspend_non_idempotent(&mut self, withheld: bool) {
        self.withheld = withheld;
    }

    /// Whether an attempt of an open call is one that is withheld, see [`Engine::suspend_non_idempotent`].
    pub fn is_suspended(&self, request: RequestId) -> bool {
        self.withheld && self.open.get(&request).is_some_and(|o| o.recorded)
    }

    /// The classes of open calls.
    pub fn open_classes(&self) -> BTreeSet<ClassId> {
        self.open.values().map(|o| o.body.class).collect()
    }
}
