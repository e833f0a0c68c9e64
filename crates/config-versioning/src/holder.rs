//! One router's right to act, and the stance it acts by.
//!
//! It guards what a router sends: nothing unsafe and nothing keyed by a stance that the fleet may have left behind. A right is
//! counted by the router's own monotonic clock from *before* it asked for it. The router's shell asks before each send
//! ([`LeaseHolder::may`]), hands in what the registry says, and carries out what [`LeaseHolder::ask`] wants.

use crate::document::{
    bytes, ActLease, ActiveSettings, DocumentVersion, Entry, Keys, LeaseExpiryPolicy, State, Txn, TxnEnd,
};
use std::fmt;

/// A right is asked for anew after this part of it.
const RENEW_AFTER: i64 = 3;
/// A question without an answer is given up after this part of a right.
const PATIENCE: i64 = 2;

/// Who holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolderSettings {
    /// Where things stand.
    pub keys: Keys,
    /// The router's name.
    pub name: String,
    /// This life of it; no two lives of any router have the same.
    pub life: String,
    /// The lives of this name before that are known to have ended. Their rights are taken out with each write: what such a life
    /// asked for last may arrive late.
    pub before: Vec<String>,
}

/// What a router may send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendPermission {
    /// Everything, by its stance.
    All,
    /// Safe calls only, once each; others are refused as "not sent".
    Safe,
    /// Nothing: it knows no document yet.
    Nothing,
}

/// What the holder wants of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Read state and own right anew, and hand both to [`LeaseHolder::read`].
    Read,
    /// Do this, and hand its end to [`LeaseHolder::written`].
    Write(Txn),
}

/// Something that an operator must look at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// The registry holds an older content than was seen before; the router stays with what it has.
    StateRolledBack {
        /// The step that was seen.
        from: u64,
        /// The step that stands there now.
        to: u64,
    },
    /// Its right was taken out by somebody, or is another one: it asks for a new one.
    LeaseRevoked,
}

impl fmt::Display for LeaseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseFault::StateRolledBack { from, to } => {
                write!(f, "the registry went back from step {from} to {to}; the rules stay as they were")
            }
            LeaseFault::LeaseRevoked => {
                write!(f, "the right to act that the registry holds is not the one that was written")
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Terms {
    right_us: i64,
    doubt: LeaseExpiryPolicy,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Open {
    Nothing,
    /// Asked then, with these terms, by these revisions of state and own entry.
    Write(i64, Terms, (i64, i64)),
    Read(i64),
}

/// See the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseHolderSettings,
    /// The newest state that was taken.
    state: Option<Entry<State>>,
    terms: Option<Terms>,
    /// When the right that is held was asked for, with its terms.
    held: Option<(i64, Terms)>,
    /// What the entry in the registry says as far as is known, and what was last asked to be written there.
    said: Option<ActLease>,
    tried: Option<ActLease>,
    /// The revision of the entry in the registry; 0 where there is none.
    revision: i64,
    /// It must be read before anything can be written.
    stale: bool,
    open: Open,
    /// The revisions of state and own entry with which a write was overtaken, and when that was asked: the same is not tried
    /// again at once.
    in_vain: Option<(i64, i64, i64)>,
}

impl LeaseHolder {
    /// A router that starts now and knows nothing.
    pub fn new(settings: LeaseHolderSettings) -> Self {
        let (state, terms, held, open) = (None, None, None, Open::Nothing);
        LeaseHolder {
            settings,
            state,
            terms,
            held,
            said: None,
            tried: None,
            revision: 0,
            stale: false,
            open,
            in_vain: None,
        }
    }

    /// The state that it acts by.
    pub fn state(&self) -> Option<&Entry<State>> {
        self.state.as_ref()
    }

    /// The documents that it acts by.
    pub fn stance(&self) -> Option<&ActiveSettings> {
        self.state.as_ref().map(|s| &s.value.stance)
    }

    /// Takes a state, whose documents were read whole and can be carried out; what they say about doubt and rights is the
    /// stricter of both. One that cannot be carried out is not to be handed in: the router then says yes to nothing new.
    ///
    /// # Errors
    /// Where it is older than what is known: it changes nothing.
    pub fn heard(
        &mut self,
        state: &Entry<State>,
        documents: &[(LeaseExpiryPolicy, i64)],
    ) -> Result<bool, LeaseFault> {
        if let Some(known) = &self.state {
            let (from, to) = (known.value.step, state.value.step);
            let back = to < from
                || (to == from && known.value != state.value)
                || state.value.stance.committed.number < known.value.stance.committed.number;
            if back {
                return Err(LeaseFault::StateRolledBack { from, to });
            }
            if known == state {
                return Ok(false);
            }
            // Whoever missed what lies between has no right any more: it was overtaken.
            let shared = |e: &DocumentVersion| known.value.stance.editions().any(|k| k == e);
            if !state.value.stance.editions().any(shared) {
                self.held = None;
            }
        }
        let doubt = documents.iter().map(|d| d.0).max().unwrap_or_default();
        let right_us = documents.iter().map(|d| d.1).min().unwrap_or(0);
        self.terms = Some(Terms { right_us, doubt });
        self.state = Some(state.clone());
        Ok(true)
    }

    /// What may be sent at a time.
    pub fn may(&self, now_us: i64) -> SendPermission {
        match (&self.held, &self.state) {
            (_, None) => SendPermission::Nothing,
            (None, Some(_)) => SendPermission::Safe,
            (Some((_, terms)), _) if terms.doubt == LeaseExpiryPolicy::GoOn => SendPermission::All,
            (Some((asked_us, terms)), _) if now_us - asked_us < terms.right_us => SendPermission::All,
            _ => SendPermission::Safe,
        }
    }

    /// When what may be sent becomes less, if nothing is heard until then.
    pub fn until_us(&self) -> Option<i64> {
        let (asked_us, terms) = self.held.as_ref()?;
        (terms.doubt == LeaseExpiryPolicy::GiveUp).then(|| asked_us.saturating_add(terms.right_us))
    }

    /// When [`LeaseHolder::ask`] is due next.
    pub fn due_us(&self) -> Option<i64> {
        let terms = self.terms.as_ref()?;
        match &self.open {
            Open::Write(asked_us, ..) | Open::Read(asked_us) => Some(asked_us + terms.right_us / PATIENCE),
            Open::Nothing if self.stale => Some(i64::MIN),
            Open::Nothing => {
                let renew = self.held.as_ref().filter(|_| !self.has_more_to_say());
                let due = renew.map_or(i64::MIN, |(asked_us, held)| asked_us + held.right_us / RENEW_AFTER);
                let known = (self.state.as_ref().map_or(0, |s| s.revision), self.revision);
                let in_vain = self.in_vain.filter(|v| (v.0, v.1) == known);
                Some(in_vain.map_or(due, |v| due.max(v.2 + terms.right_us / RENEW_AFTER)))
            }
        }
    }

    fn has_more_to_say(&self) -> bool {
        self.held.is_none() || self.state.as_ref().map(|s| s.value.step) != self.said.as_ref().map(|r| r.step)
    }

    /// What it wants of the registry now; nothing before it has heard a state.
    pub fn ask(&mut self, now_us: i64) -> Option<Ask> {
        if self.due_us()? > now_us {
            return None;
        }
        if self.open != Open::Nothing {
            // Whatever became of it, what stands there is not known.
            self.stale = true;
        }
        if self.stale {
            self.open = Open::Read(now_us);
            return Some(Ask::Read);
        }
        let (state, terms) = (self.state.as_ref()?, self.terms.clone()?);
        let LeaseHolderSettings { keys, name, life, before } = &self.settings;
        let own = keys.right(name, life);
        let Terms { right_us, doubt } = terms;
        let right = ActLease { step: state.value.step, stance: state.value.stance.clone(), right_us, doubt };
        let txn = Txn {
            compares: vec![(keys.state(), state.revision), (own.clone(), self.revision)],
            puts: vec![(own, bytes(&right))],
            deletes: before.iter().map(|b| keys.right(name, b)).collect(),
        };
        self.tried = Some(right);
        // Should its end stay unknown, the entry may bind by the new terms while the old right is held: both are kept to.
        if let Some((_, held)) = &mut self.held {
            held.doubt = held.doubt.max(terms.doubt);
            held.right_us = held.right_us.min(terms.right_us);
        }
        self.open = Open::Write(now_us, terms, (state.revision, self.revision));
        Some(Ask::Write(txn))
    }

    /// The end of what it wanted written.
    pub fn written(&mut self, end: TxnEnd) {
        let Open::Write(asked_us, terms, by) = std::mem::replace(&mut self.open, Open::Nothing) else {
            return;
        };
        match end {
            TxnEnd::Done(revision) => {
                self.held = Some((asked_us, terms));
                (self.said, self.revision) = (self.tried.take(), revision);
            }
            TxnEnd::Conflict | TxnEnd::Unknown => {
                self.stale = true;
                self.in_vain = Some((by.0, by.1, asked_us));
            }
        }
    }

    /// What it wanted read: its own entry, where one stands. The state goes to [`LeaseHolder::heard`] before.
    ///
    /// # Errors
    /// Where its right is not there any more, or the entry says what this life did not write last: a registry that was put
    /// back to an older content does not know by what it acts, and a commit would not wait for it.
    pub fn read(&mut self, own: Option<&Entry<ActLease>>) -> Result<(), LeaseFault> {
        if !matches!(self.open, Open::Read(_)) {
            return Ok(());
        }
        (self.open, self.stale) = (Open::Nothing, false);
        self.revision = own.map_or(0, |e| e.revision);
        let stands = own.map(|e| &e.value);
        let ours = [&self.said, &self.tried].into_iter().any(|r| r.as_ref() == stands);
        self.said = stands.filter(|_| ours).cloned();
        if self.said.is_none() && self.held.take().is_some() {
            return Err(LeaseFault::LeaseRevoked);
        }
        Ok(())
    }

    /// The transaction of a router that leaves in order, once nothing of it is open any more.
    pub fn leave(&mut self) -> Option<Txn> {
        let held = self.held.take();
        held.map(|_| {
            let deletes = vec![self.settings.keys.right(&self.settings.name, &self.settings.life)];
            Txn { deletes, ..Txn::default() }
        })
    }
}
