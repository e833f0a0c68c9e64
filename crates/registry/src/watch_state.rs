//! Follows the keys below a prefix through breaks, compaction and restored backups.
//!
//! Invariant: what it holds is what some moment of the registry held, and the changes that it told lead there from what it
//! held before, none left out: a key that went away in a gap is told as removed, one that went and came back as made anew.
//! A decision module: answers and times in, wants and changes out. [`crate::Client`] calls it.

use crate::wire::{EventType, Header, KeyValue, RangeResponse, WatchEvent, WatchResponse};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Limits of a [`WatchState`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Keys asked for at a time.
    pub page: i64,
    /// How often the registry is asked whether the watch tells all, and so whether it is there; of many askers less often,
    /// see [`WatchState::pace`].
    pub look_us: i64,
    /// A look that finds the watch behind gives it this long.
    pub behind_us: i64,
    /// Everything is listed and compared after this long a watch: a look cannot tell a change that was lost before a later
    /// one that came. The protocol promises that none is; an operator's proxy may not keep that.
    pub audit_us: i64,
    /// Nothing heard for so long: the view is not to be trusted to be current. Longer where looks are further apart.
    pub silence_us: i64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            page: 500,
            look_us: 1_000_000,
            behind_us: 500_000,
            audit_us: 60_000_000,
            silence_us: 5_000_000,
        }
    }
}

/// A change of a key, as it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It has this value now.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// It was not there before, or went and came back in between.
        made: bool,
    },
    /// It is not there any more.
    Gone {
        /// The key.
        key: Vec<u8>,
    },
}

/// What a list is asked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// The first key; empty for the prefix itself.
    pub from: Vec<u8>,
    /// As of this revision; 0 for now.
    pub revision: i64,
    /// Keys at most.
    pub limit: i64,
}

/// What the follower wants asked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// A list of keys.
    List(ListRequest),
    /// A watch from this revision.
    Watch(i64),
    /// Nothing but what is under way.
    Nothing,
}

/// What went wrong; told, as an operator may have to act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// The history that was needed is gone: everything is listed again.
    Compacted {
        /// The oldest revision that is left.
        oldest: i64,
    },
    /// The registry is another one, or an earlier state of it.
    Restored,
    /// The watch told less than the registry holds.
    Behind,
    /// The watch was ended by the registry.
    Ended(String),
}

/// How much the view is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Nothing is held.
    None,
    /// What was held once, not seen in the registry since this process began.
    Remembered,
    /// Followed, and heard of lately.
    Current,
    /// Followed once, and nothing heard for too long.
    Silent,
}

/// A key that is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedEntry {
    /// Its value.
    pub value: Vec<u8>,
    /// The revision that made it.
    pub made: i64,
    /// The revision that changed it last.
    pub changed: i64,
}

enum State {
    /// A list is wanted, or under way from a key on.
    Listing { revision: i64, from: Vec<u8>, found: BTreeMap<Vec<u8>, CachedEntry> },
    /// A watch is wanted.
    Resuming,
    /// A watch stands.
    Watching,
}

/// See the module's documentation.
pub struct WatchState {
    settings: WatchSettings,
    held: BTreeMap<Vec<u8>, CachedEntry>,
    /// All changes up to this revision are told.
    revision: i64,
    /// What an earlier process kept is followed on, and no look has shown yet that it is of this life of the registry.
    unsure: bool,
    /// Up to this one no key that is followed changed after `revision`, as a look showed.
    sure: i64,
    /// Keys whose change at just that revision is told, removals included: an answer that comes twice, or in two parts.
    at_revision: BTreeSet<Vec<u8>>,
    cluster: i64,
    state: State,
    /// Fragments of an answer that is not whole.
    fragments: Vec<WatchEvent>,
    listed_once: bool,
    heard_us: Option<i64>,
    silence_us: i64,
    look_due_us: i64,
    /// When all was listed last.
    listed_us: i64,
    /// Since when looks find the watch behind, and the revision that it is stuck at.
    behind: Option<(i64, i64)>,
    troubles: Vec<WatchFault>,
}

/// What a follower keeps over a restart. Without a revision, as earlier versions wrote it, everything is listed.
#[derive(Serialize, Deserialize)]
struct Remembered {
    keys: Vec<(Vec<u8>, Vec<u8>)>,
    /// For each key when it was made and changed.
    #[serde(default)]
    revisions: Vec<(i64, i64)>,
    #[serde(default)]
    revision: i64,
    #[serde(default)]
    cluster: i64,
    /// How many asked the registry then.
    #[serde(default)]
    askers: usize,
}

impl WatchState {
    /// A follower that holds nothing.
    pub fn new(settings: WatchSettings) -> Self {
        WatchState {
            settings,
            held: BTreeMap::new(),
            revision: 0,
            unsure: false,
            sure: 0,
            at_revision: BTreeSet::new(),
            cluster: 0,
            state: State::Listing { revision: 0, from: Vec::new(), found: BTreeMap::new() },
            fragments: Vec::new(),
            listed_once: false,
            heard_us: None,
            silence_us: settings.silence_us,
            look_due_us: 0,
            listed_us: 0,
            behind: None,
            troubles: Vec::new(),
        }
    }

    /// Takes what an earlier process kept, before anything is heard; gives it as changes, and how many asked the registry
    /// then. Where the registry still has the history from there on, only what changed since is asked for: of a fleet that
    /// restarts nobody lists.
    ///
    /// # Errors
    /// When it was not kept by [`WatchState::keep`]; nothing is taken then.
    pub fn remember(&mut self, kept: &[u8]) -> Result<(Vec<Change>, usize), serde_json::Error> {
        let Remembered { keys, revisions, revision, cluster, askers } = serde_json::from_slice(kept)?;
        let known = revision > 0 && cluster != 0 && revisions.len() == keys.len();
        for (n, (key, value)) in keys.iter().enumerate() {
            // Revisions of nobody knows which life of the registry mean nothing: any listed one counts as newer.
            let (made, changed) = if known { revisions[n] } else { (0, 0) };
            self.held.insert(key.clone(), CachedEntry { value: value.clone(), made, changed });
        }
        if known {
            (self.revision, self.cluster, self.state) = (revision, cluster, State::Resuming);
            self.unsure = true;
        }
        let told = keys.into_iter().map(|(key, value)| Change::Put { key, value, made: true });
        Ok((told.collect(), askers))
    }

    /// What the next process may begin with; `askers` ask the registry.
    pub fn keep(&self, askers: usize) -> Vec<u8> {
        let keys = self.held.iter().map(|(key, held)| (key.clone(), held.value.clone())).collect();
        let revisions = self.held.values().map(|held| (held.made, held.changed)).collect();
        let (revision, cluster) = (self.revision, self.cluster);
        serde_json::to_vec(&Remembered { keys, revisions, revision, cluster, askers }).unwrap_or_default()
    }

    /// How much the view is worth now.
    pub fn view(&self, now_us: i64) -> Freshness {
        match (self.listed_once, self.heard_us) {
            (false, _) if self.held.is_empty() => Freshness::None,
            (false, _) => Freshness::Remembered,
            (true, Some(at)) if now_us.saturating_sub(at) < self.silence_us => Freshness::Current,
            (true, _) => Freshness::Silent,
        }
    }

    /// How long ago the registry was heard of last.
    pub fn silent_for_us(&self, now_us: i64) -> Option<i64> {
        self.heard_us.map(|at| now_us.saturating_sub(at).max(0))
    }

    /// When [`WatchState::view`] may be another one by itself.
    pub fn silent_at_us(&self) -> Option<i64> {
        self.heard_us.map(|at| at.saturating_add(self.silence_us))
    }

    /// Keys that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The revision up to which all is told; 0 while that is not sure.
    pub fn revision(&self) -> i64 {
        if self.unsure {
            0
        } else {
            self.revision
        }
    }

    /// The revision up to which all is known, looks included; 0 while nothing is sure.
    pub fn sure(&self) -> i64 {
        self.revision().max(if self.unsure { 0 } else { self.sure })
    }

    /// The cluster that is followed; 0 before anything was heard.
    pub fn cluster(&self) -> i64 {
        self.cluster
    }

    /// The keys that are held.
    pub fn held(&self) -> &BTreeMap<Vec<u8>, CachedEntry> {
        &self.held
    }

    /// Troubles since the last time.
    pub fn take_faults(&mut self) -> Vec<WatchFault> {
        std::mem::take(&mut self.troubles)
    }

    /// What is to be asked, where nothing of it is under way.
    pub fn want(&self) -> NextRequest {
        match &self.state {
            State::Listing { revision, from, .. } => NextRequest::List(ListRequest {
                from: from.clone(),
                revision: *revision,
                limit: self.settings.page,
            }),
            State::Resuming => NextRequest::Watch(self.revision + 1),
            State::Watching => NextRequest::Nothing,
        }
    }

    /// Whether the registry is to be asked how many keys there are, beside the watch.
    pub fn liveness_check_due(&self, now_us: i64) -> bool {
        matches!(self.state, State::Watching) && now_us >= self.look_due_us
    }

    /// When the next look is due.
    pub fn look_due_us(&self) -> Option<i64> {
        matches!(self.state, State::Watching).then_some(self.look_due_us)
    }

    /// From now on looks are that far apart, and so are audits. Between two looks nothing need be heard, so that silence
    /// begins only beyond the next one and the time of its answer.
    pub fn pace(&mut self, look_us: i64, audit_us: i64, answer_us: i64) {
        (self.settings.look_us, self.settings.audit_us) = (look_us, audit_us);
        self.silence_us = self.settings.silence_us.max(look_us + 2 * answer_us);
    }

    /// Only a look will do, not what may serve as one.
    pub fn must_look(&self) -> bool {
        self.behind.is_some() || self.unsure
    }

    /// A look went out; the next is due a while later, whatever comes of it.
    pub fn looked(&mut self, now_us: i64) {
        self.look_due_us = now_us.saturating_add(self.settings.look_us);
    }

    fn list_again(&mut self) {
        self.state = State::Listing { revision: 0, from: Vec::new(), found: BTreeMap::new() };
        self.fragments.clear();
        self.behind = None;
        if std::mem::take(&mut self.unsure) {
            // What was kept is of nobody knows which life: it stays, to be compared with what is listed.
            self.held.values_mut().for_each(|h| h.changed = 0);
            (self.revision, self.sure) = (0, 0);
        }
    }

    /// Whether an answer comes from the registry that is followed; if not, everything is listed again.
    fn same_registry(&mut self, header: &Header) -> bool {
        let other = self.cluster != 0 && header.cluster_id != 0 && header.cluster_id != self.cluster;
        if other {
            self.troubles.push(WatchFault::Restored);
            // What is held stays, to be compared with what is listed; its revisions mean nothing any more.
            self.held.values_mut().for_each(|h| h.changed = 0);
            (self.cluster, self.revision, self.sure) = (header.cluster_id, 0, 0);
            self.at_revision.clear();
            self.list_again();
        }
        !other
    }

    /// A page of a list came.
    pub fn listed(&mut self, now_us: i64, page: RangeResponse) -> Vec<Change> {
        self.heard_us = Some(now_us);
        if !matches!(self.state, State::Listing { .. }) || !self.same_registry(&page.header) {
            return Vec::new();
        }
        let State::Listing { revision, from, found } = &mut self.state else { return Vec::new() };
        if *revision == 0 {
            *revision = page.header.revision;
        }
        self.cluster = page.header.cluster_id;
        let last = page.kvs.last().map(|kv| kv.key.0.clone());
        found.extend(page.kvs.into_iter().map(|kv| {
            let KeyValue { key, value, create_revision, mod_revision, .. } = kv;
            (key.0, CachedEntry { value: value.0, made: create_revision, changed: mod_revision })
        }));
        if let (true, Some(mut next)) = (page.more, last) {
            // The smallest key behind the last one.
            next.push(0);
            *from = next;
            return Vec::new();
        }
        let (revision, found) = (*revision, std::mem::take(found));
        // An earlier state of the same cluster: its later revisions are other changes than those that were told.
        if revision < self.revision {
            self.troubles.push(WatchFault::Restored);
            self.held.values_mut().for_each(|h| h.changed = 0);
        }
        let told = self.compare(&found);
        self.held = found;
        (self.revision, self.sure) = (revision, revision);
        self.at_revision.clear();
        self.listed_once = true;
        self.listed_us = now_us;
        self.state = State::Resuming;
        self.looked(now_us);
        told
    }

    /// Every difference between what is held and what was found, as changes.
    fn compare(&self, found: &BTreeMap<Vec<u8>, CachedEntry>) -> Vec<Change> {
        let gone = self.held.keys().filter(|key| !found.contains_key(*key));
        let mut told: Vec<Change> = gone.map(|key| Change::Gone { key: key.clone() }).collect();
        for (key, new) in found {
            let old = self.held.get(key);
            let made = old.is_none_or(|o| o.made != new.made && o.changed != 0);
            if old.is_none_or(|o| o.value != new.value || (o.changed != 0 && o.changed != new.changed)) {
                told.push(Change::Put { key: key.clone(), value: new.value.clone(), made });
            }
        }
        told
    }

    /// A list could not be had as of the revision that its first page was of: it begins anew.
    pub fn list_compacted(&mut self, now_us: i64) {
        self.heard_us = Some(now_us);
        self.troubles.push(WatchFault::Compacted { oldest: 0 });
        self.list_again();
    }

    /// A watch's answer came; changes of one revision come out together.
    pub fn watched(&mut self, now_us: i64, answer: WatchResponse) -> Vec<Change> {
        self.heard_us = Some(now_us);
        // Bytes of a watch that was given up.
        if matches!(self.state, State::Listing { .. }) || !self.same_registry(&answer.header) {
            return Vec::new();
        }
        if answer.canceled || answer.compact_revision > 0 {
            self.fragments.clear();
            if answer.compact_revision > 0 {
                self.troubles.push(WatchFault::Compacted { oldest: answer.compact_revision });
                self.list_again();
            } else {
                self.troubles.push(WatchFault::Ended(answer.cancel_reason));
                self.state = State::Resuming;
            }
            return Vec::new();
        }
        if answer.created {
            self.state = State::Watching;
            // A member that has less than was told already lags, or is of an earlier state: a list says which.
            if answer.header.revision != 0 && answer.header.revision < self.revision {
                self.troubles.push(WatchFault::Behind);
                self.list_again();
                return Vec::new();
            }
            // Its beginning is the registry's word; the next look need not come at once, with those of all who lost theirs too.
            match self.unsure {
                true => self.look_due_us = now_us,
                false => self.looked(now_us),
            }
        }
        self.fragments.extend(answer.events);
        if answer.fragment {
            return Vec::new();
        }
        let events = std::mem::take(&mut self.fragments);
        if events.is_empty() {
            // Progress: nothing up to there is still to come. A `created` only says where the registry is.
            if !answer.created && answer.header.revision > self.revision {
                self.revision = answer.header.revision;
                self.at_revision.clear();
            }
            return Vec::new();
        }
        events.into_iter().filter_map(|e| self.apply(e)).collect()
    }

    fn apply(&mut self, event: WatchEvent) -> Option<Change> {
        let WatchEvent { kind, kv } = event;
        let at = kv.mod_revision;
        if at < self.revision || (at == self.revision && self.at_revision.contains(&kv.key.0)) {
            return None;
        }
        if at > self.revision {
            self.revision = at;
            self.at_revision.clear();
        }
        self.at_revision.insert(kv.key.0.clone());
        let old = self.held.get(&kv.key.0);
        match kind {
            EventType::Delete => {
                self.held.remove(&kv.key.0)?;
                Some(Change::Gone { key: kv.key.0 })
            }
            EventType::Put => {
                // The list showed it already.
                if old.is_some_and(|o| o.changed >= at) {
                    return None;
                }
                let made = old.is_none_or(|o| o.made != kv.create_revision);
                let held = CachedEntry { value: kv.value.0.clone(), made: kv.create_revision, changed: at };
                self.held.insert(kv.key.0.clone(), held);
                Some(Change::Put { key: kv.key.0, value: kv.value.0, made })
            }
        }
    }

    /// A look came back: how many keys there are, and the one that changed last.
    pub fn seen(&mut self, now_us: i64, header: &Header, count: i64, last: Option<&KeyValue>) {
        self.heard_us = Some(now_us);
        if !matches!(self.state, State::Watching) || !self.same_registry(header) {
            return;
        }
        // Of another life of the registry the same key would hardly have changed last at the same revision.
        let same = |kv: &KeyValue| self.held.get(&kv.key.0).is_some_and(|h| h.changed == kv.mod_revision);
        let known = last.is_none_or(same) && i64::try_from(self.held.len()) == Ok(count);
        let good = known && header.revision >= self.revision;
        if std::mem::take(&mut self.unsure) {
            if !good {
                return self.list_again();
            }
            (self.listed_once, self.listed_us) = (true, now_us);
        }
        if good {
            self.sure = header.revision;
            return self.good_look(now_us);
        }
        // Changes on their way make it look behind for a moment, and in a flood at every look. What does not move meanwhile is
        // a watch that lost something.
        let stuck = self.behind.filter(|(_, at)| *at == self.revision);
        let (since, _) = *self.behind.insert(stuck.unwrap_or((now_us, self.revision)));
        if now_us.saturating_sub(since) >= self.settings.behind_us {
            self.troubles.push(WatchFault::Behind);
            self.list_again();
        } else {
            self.look_due_us = since.saturating_add(self.settings.behind_us);
        }
    }

    /// A look, or what served as one, found all told.
    fn good_look(&mut self, now_us: i64) {
        self.behind = None;
        if now_us.saturating_sub(self.listed_us) >= self.settings.audit_us {
            self.list_again();
        }
    }

    /// Another answer of the registry came, such as to a keep-alive. Whether it serves as a look: nothing at all changed
    /// there since all was told or the last look.
    pub fn answered(&mut self, now_us: i64, header: &Header) -> bool {
        self.heard_us = Some(now_us);
        if !matches!(self.state, State::Watching) || header.revision == 0 || !self.same_registry(header) {
            return false;
        }
        let same = header.revision == self.sure.max(self.revision) && self.behind.is_none();
        if same {
            self.looked(now_us);
            self.good_look(now_us);
        }
        same
    }

    /// The connection of the watch, or of a list, is gone. A list that had begun goes on from where it was.
    pub fn broke(&mut self) {
        self.fragments.clear();
        if matches!(self.state, State::Watching) {
            self.state = State::Resuming;
        }
    }
}
