//! Plug-ins in the running gateway: what a call's name means, and the moves of `current` under way.
//!
//! It joins the catalogue, one [`Rollout`] for each function whose `current` moved, and the engine, and decides nothing
//! itself. A call's version is fixed when it is taken; what it came to is told to the roll-out that it was part of.

use crate::clock::Clock;
use crate::plugins::background::{BackgroundWorker, BackgroundWorkerSettings, Requester, Task, Told};
use crate::plugins::command::{Command, CommandError};
use crate::plugins::folder::{unix_ms, verify, FolderError, PluginFolder};
use crate::settings::{PluginSettings, Site};
use serde_json::{json, Value};
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, Engine, FunctionTraits, Output, Reason, Ticket, Verdict, Version};
use slatevalve_oci::{Wanted, WantedSettings};
use slatevalve_plugins::{
    Catalogue, CatalogueError, Digest, Direction, Ended, Observed, Reference, Resolved, Rollout, Selector,
    Terms, Want, CURRENT,
};
use slatevalve_reactor::{Id, Waker};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use tracing::{error, info, warn};

/// Moves are looked after this often.
const TICK: Micros = Micros(20_000);

/// A call that was taken for a version.
struct Taken {
    name: String,
    digest: Digest,
    at: Micros,
    aim: Micros,
}

/// A move of `current` under way.
struct Moving {
    rollout: Rollout,
    old: Resolved,
    new: Resolved,
    /// When the orders ahead that have not come to stand went out.
    ordered: Vec<Micros>,
}

/// Counts of what was pulled.
#[derive(Clone, Copy, Debug, Default)]
struct Pulls {
    done: u64,
    failed: u64,
    bytes: u64,
    requests: u64,
}

/// See the module's documentation.
pub(super) struct PluginHost {
    settings: PluginSettings,
    background: BackgroundWorker,
    catalogue: Catalogue,
    /// What `current` of each function means for calls, moves under way left out.
    settled: BTreeMap<String, Resolved>,
    moves: BTreeMap<String, Moving>,
    /// The version that a move went back from and the alias's revision then: it is not begun again until somebody moves
    /// the alias.
    went_back: BTreeMap<String, (Digest, Option<u64>)>,
    calls: HashMap<Ticket, Taken>,
    /// Names and aims of the classes, in the order of their ids.
    classes: Vec<(String, Micros)>,
    order_timeout: Micros,
    due: Micros,
    wanted: Wanted,
    pulls: Pulls,
}

impl Moving {
    /// Tells the roll-out of a call, if it is of one of its versions.
    fn observe(&mut self, now: Micros, taken: &Taken, what: impl FnOnce(Direction) -> Observed) {
        let side = match taken.digest {
            d if d == self.new.digest => Direction::New,
            d if d == self.old.digest => Direction::Old,
            _ => return,
        };
        self.rollout.observe(now.0, what(side));
    }
}

fn run_name(name: &str, digest: &Digest) -> Arc<str> {
    format!("{name}@{digest}").into()
}

impl PluginHost {
    /// Reads the folder and checks all content in it: what is corrupt goes into quarantine before a call can ask for it.
    pub(super) fn open(
        settings: PluginSettings,
        site: &Site,
        clock: Clock,
        waker: Waker,
    ) -> Result<Self, FolderError> {
        let now = clock.now();
        let mut folder = PluginFolder::open(&settings.folder)?;
        let found = folder.change(|catalogue, store| Ok(verify(catalogue, store, unix_ms(), &mut |_| {})))?;
        for crate::plugins::folder::QuarantinedVersion { version, reason, .. } in found {
            error!(version, reason, "in quarantine: its content is not what its digest says");
        }
        let mut catalogue = folder.catalogue()?;
        catalogue.require(settings.terms.clone());
        for (digest, reason) in catalogue.barred() {
            warn!(%digest, %reason, "a version does not run here");
        }
        let of_thread = BackgroundWorkerSettings {
            registry: settings.registry.clone(),
            scrub_per_s: settings.scrub_per_s,
            clock,
        };
        let classes = site.classes.iter().zip(&site.engine.module.classes);
        let mut host = PluginHost {
            classes: classes.map(|(name, class)| (name.clone(), class.latency_objective)).collect(),
            order_timeout: site.engine.module.loading.order_timeout,
            background: BackgroundWorker::start(&settings.folder, of_thread, waker)?,
            settings,
            catalogue,
            settled: BTreeMap::new(),
            moves: BTreeMap::new(),
            went_back: BTreeMap::new(),
            calls: HashMap::new(),
            due: now,
            wanted: Wanted::new(WantedSettings::default(), site.engine.seed),
            pulls: Pulls::default(),
        };
        for name in host.names() {
            if let Ok(current) = host.current(&name) {
                host.settled.insert(name, current);
            }
        }
        host.heal(now);
        Ok(host)
    }

    fn names(&self) -> Vec<String> {
        self.catalogue.names().map(str::to_string).collect()
    }

    fn current(&self, name: &str) -> Result<Resolved, CatalogueError> {
        self.catalogue.resolve(&Reference { name: name.into(), selector: Selector::Current })
    }

    /// Wants every version whose content was found wrong, where there is a registry to have it from. What an operator took
    /// out of use stays so.
    fn heal(&mut self, now: Micros) {
        if self.settings.registry.is_none() {
            return;
        }
        for name in self.names() {
            for version in self.catalogue.versions(&name).unwrap_or_default() {
                if version.quarantine.is_some_and(|q| !q.held) {
                    self.wanted.want(now.0, &format!("{name}@{}", version.version));
                }
            }
        }
    }

    fn submit(&self, asker: Requester, command: Command) -> bool {
        // Content of calls that are open stays, whatever was deleted since.
        let keep = if command == Command::Gc { self.catalogue.reachable() } else { BTreeSet::new() };
        self.background.submit(Task { asker, command, keep })
    }

    /// Asks for the folder to be read again.
    pub(super) fn reload(&self) {
        if !self.submit(Requester::Signal, Command::Reload) {
            warn!("too much waits to be done on the folder of plug-ins; it is not read again now");
        }
    }

    /// What versions must fulfil from now on: keys may change while a gateway runs.
    pub(super) fn require(&mut self, terms: Terms) {
        self.catalogue.require(terms.clone());
        self.settings.terms = terms;
    }

    /// What the thread has told since. What goes to connections of the admin socket is given, each with whether more of the
    /// same answer follows.
    pub(super) fn hear(&mut self, now: Micros, engine: &Engine) -> Vec<(Id, Value, bool)> {
        let mut replies = Vec::new();
        for told in self.background.told() {
            match told {
                Told::Progress(Requester::Admin(id), done, of) => {
                    replies.push((id, json!({"progress": [done, of]}), true));
                }
                Told::Progress(..) => {}
                Told::Ended { asker, command, outcome, catalogue } => {
                    match catalogue {
                        Some(Ok(catalogue)) => self.take_catalogue(now, engine, *catalogue),
                        Some(Err(error)) => {
                            error!(%error, "the catalogue of plug-ins was not taken; it stays as it was");
                        }
                        None => {}
                    }
                    replies.extend(self.ended(now, asker, &command, outcome));
                }
            }
        }
        replies
    }

    fn ended(
        &mut self,
        now: Micros,
        asker: Requester,
        command: &Command,
        outcome: Result<Value, CommandError>,
    ) -> Option<(Id, Value, bool)> {
        if let Command::Pull { name, version } = command {
            let count = |field: &str| outcome.as_ref().ok().and_then(|v| v[field].as_u64()).unwrap_or(0);
            self.pulls.bytes += count("bytes");
            self.pulls.requests += count("requests");
            match &outcome {
                Ok(_) => {
                    self.pulls.done += 1;
                    info!(name, version, bytes = count("bytes"), "pulled");
                }
                Err(error) => {
                    self.pulls.failed += 1;
                    warn!(name, version, %error, "was not pulled");
                }
            }
        }
        match asker {
            Requester::Admin(id) => {
                let answer = match outcome {
                    Ok(value) => json!({"done": value}),
                    Err(error) => json!({"error": error.to_string()}),
                };
                return Some((id, answer, false));
            }
            Requester::Calls => self.wanted.ended(now.0, outcome.is_ok()),
            Requester::Rollout => match outcome {
                Ok(done) => {
                    info!(name = %done["name"], version = %done["version"], "the alias points back");
                }
                Err(error) => warn!(%error, "the alias was not pointed back"),
            },
            Requester::Signal => info!("plug-ins read again"),
            Requester::Scrub => {
                if let Command::Quarantine { reference, reason } = command {
                    error!(
                        version = reference,
                        reason, "in quarantine: its content is not what its digest says"
                    );
                }
                self.heal(now);
            }
        }
        None
    }

    /// A command from the admin socket; answered at once where it needs no disk, else by [`PluginHost::hear`].
    pub(super) fn command(&mut self, engine: &Engine, id: Id, command: Command) -> Option<Value> {
        match command {
            Command::Status => Some(json!({"done": self.status(engine)})),
            Command::Pull { .. } if self.settings.registry.is_none() => {
                Some(json!({"error": CommandError::NoRegistry.to_string()}))
            }
            command => {
                if matches!(command, Command::Pull { .. }) {
                    self.wanted.forgive();
                }
                let taken = self.submit(Requester::Admin(id), command);
                (!taken).then(|| json!({"error": "too much waits to be done; try again"}))
            }
        }
    }

    fn status(&self, engine: &Engine) -> Value {
        let moves = self.moves.iter().map(|(name, m)| {
            let (standing, needed) = m.rollout.copies();
            let serving = engine.loaded_replicas(&run_name(name, &m.new.digest));
            json!({"name": name, "from": m.old.version, "to": m.new.version, "copies": standing,
                "needed": needed, "standing": serving, "ordered": m.ordered.len()})
        });
        let barred = self.catalogue.barred();
        let barred = barred.map(|(digest, why)| json!({"digest": digest, "reason": why.to_string()}));
        let pulls = json!({"done": self.pulls.done, "failed": self.pulls.failed, "bytes": self.pulls.bytes,
            "requests": self.pulls.requests});
        json!({"moves": moves.collect::<Vec<_>>(), "barred": barred.collect::<Vec<_>>(), "pulls": pulls,
            "open": self.calls.len()})
    }

    /// Takes the catalogue as it was read again. Where `current` moved, the move begins; a move to somewhere else in the
    /// middle of one begins anew from the version that calls are sure of.
    fn take_catalogue(&mut self, now: Micros, engine: &Engine, mut catalogue: Catalogue) {
        for taken in self.calls.values() {
            catalogue.opened(taken.digest);
        }
        catalogue.require(self.settings.terms.clone());
        self.catalogue = catalogue;
        for name in self.names() {
            let Ok(target) = self.current(&name) else { continue };
            let under_way = self.moves.get(&name).map(|m| m.new.digest);
            if under_way == Some(target.digest)
                || self.went_back.get(&name) == Some(&(target.digest, target.revision))
            {
                continue;
            }
            self.went_back.remove(&name);
            match self.settled.get(&name) {
                Some(old) if old.digest == target.digest => {
                    if self.moves.remove(&name).is_some() {
                        info!(name, version = target.version, "the move was taken back");
                    }
                }
                Some(old) if self.settings.rollout.is_some() => {
                    let old = old.clone();
                    self.begin(now, engine, name, old, target);
                }
                _ => {
                    info!(name, version = target.version, "calls take this version");
                    self.settled.insert(name, target);
                }
            }
        }
    }

    fn begin(&mut self, now: Micros, engine: &Engine, name: String, old: Resolved, new: Resolved) {
        let needed = engine.workers_serving(&run_name(&name, &old.digest));
        let Some(settings) = self.settings.rollout.filter(|_| needed > 0) else {
            info!(name, version = new.version, "no calls to move; calls take this version");
            self.settled.insert(name, new);
            return;
        };
        info!(name, from = old.version, to = new.version, copies = needed, "the move begins");
        let rollout = Rollout::new(settings, now.0, needed);
        self.moves.insert(name, Moving { rollout, old, new, ordered: Vec::new() });
    }

    /// What a call's function means now; noted in the call.
    pub(super) fn resolve(&mut self, now: Micros, call: &mut Call) {
        call.version = self.version_of(now, call).map(|found| {
            found.map(|(name, resolved)| {
                let manifest = &resolved.manifest;
                call.traits = Some(FunctionTraits {
                    concurrency: manifest.lanes as usize,
                    work: None,
                    load_time: Some(Micros((manifest.load_ms * 1_000.0) as i64)).filter(|t| t.0 > 0),
                    memory_mb: manifest.memory_mb,
                });
                let aim = self.classes.get(call.class.0).map_or(Micros(i64::MAX), |c| c.1);
                let taken = Taken { name: name.clone(), digest: resolved.digest, at: now, aim };
                self.catalogue.opened(resolved.digest);
                if let Some(m) = self.moves.get_mut(&taken.name) {
                    m.observe(now, &taken, Observed::Began);
                }
                self.calls.insert(call.ticket, taken);
                Version {
                    name: resolved.version.as_str().into(),
                    digest: resolved.digest.to_string().into(),
                    function: run_name(&name, &resolved.digest),
                }
            })
        });
    }

    fn version_of(&mut self, now: Micros, call: &Call) -> Result<Option<(String, Resolved)>, Reason> {
        let reference: Option<Reference> = call.function.parse().ok();
        let Some(reference) = reference.filter(|r| self.catalogue.knows(&r.name)) else {
            return if self.settings.unlisted { Ok(None) } else { Err(Reason::UnknownVersion) };
        };
        let moving = self.moves.get(&reference.name).filter(|_| reference.selector == Selector::Current);
        let found = match moving {
            Some(m) => match m.rollout.side(part_of(call)) {
                Direction::Old => self.still_good(&m.old),
                Direction::New => self.still_good(&m.new),
            },
            None if reference.selector == Selector::Current => match self.settled.get(&reference.name) {
                Some(settled) => self.still_good(settled),
                None => self.catalogue.resolve(&reference),
            },
            None => self.catalogue.resolve(&reference),
        };
        let resolved = match found {
            Ok(resolved) => resolved,
            Err(e) => {
                self.want(now, &reference, &e);
                return Err(match e {
                    CatalogueError::Quarantined(_) => Reason::Quarantined,
                    CatalogueError::Unsigned(_) | CatalogueError::NotAllowed(_) => Reason::NotAllowed,
                    _ => Reason::UnknownVersion,
                });
            }
        };
        if self.classes.get(call.class.0).is_some_and(|c| c.0 != resolved.manifest.class) {
            return Err(Reason::WrongClass);
        }
        Ok(Some((reference.name, resolved)))
    }

    fn still_good(&self, resolved: &Resolved) -> Result<Resolved, CatalogueError> {
        self.catalogue.may_run(&resolved.digest).map(|()| resolved.clone())
    }

    /// A call was refused for want of a version: it is pulled, where the settings say so, for the calls that follow.
    fn want(&mut self, now: Micros, reference: &Reference, why: &CatalogueError) {
        let missing = matches!(why, CatalogueError::UnknownVersion(_) | CatalogueError::Partial(_));
        if missing && self.settings.on_call && self.settings.registry.is_some() {
            if let Ok((version, _)) = self.catalogue.version_of(reference) {
                self.wanted.want(now.0, &format!("{}@{version}", reference.name));
            }
        }
    }

    /// A ticket got its answer.
    pub(super) fn answered(&mut self, now: Micros, ticket: Ticket, answer: &Answer) {
        let Some(taken) = self.calls.remove(&ticket) else { return };
        self.catalogue.closed(taken.digest);
        // A repeat stays with the first's version, and a call that was refused without an attempt says nothing of one.
        let same = answer.version.as_ref().is_some_and(|v| *v.digest == *taken.digest.to_string());
        let Some(m) = self.moves.get_mut(&taken.name) else { return };
        if answer.recorded || !same || answer.attempts == 0 {
            return m.observe(now, &taken, Observed::Withdrawn);
        }
        let served = matches!(answer.verdict, Verdict::Served { .. });
        let late = now.0.saturating_sub(taken.at.0) > taken.aim.0;
        m.observe(now, &taken, |side| Observed::Ended { side, served, late });
    }

    /// A ticket gets no answer.
    pub(super) fn gone(&mut self, now: Micros, ticket: Ticket) {
        let Some(taken) = self.calls.remove(&ticket) else { return };
        self.catalogue.closed(taken.digest);
        if let Some(m) = self.moves.get_mut(&taken.name) {
            m.observe(now, &taken, Observed::Withdrawn);
        }
    }

    /// Lets moves go on: copies ahead, and their ends.
    pub(super) fn advance(&mut self, now: Micros, engine: &mut Engine, out: &mut Vec<Output>) {
        if let Some((name, version)) = self
            .wanted
            .begin()
            .and_then(|w| w.split_once('@').map(|(name, version)| (name.to_string(), version.to_string())))
        {
            if !self.submit(Requester::Calls, Command::Pull { name, version }) {
                self.wanted.ended(now.0, false);
            }
        }
        if now < self.due || self.moves.is_empty() {
            return;
        }
        self.due = Micros(now.0 + TICK.0);
        let mut ended = Vec::new();
        for (name, m) in &mut self.moves {
            let (old, new) = (run_name(name, &m.old.digest), run_name(name, &m.new.digest));
            while m.rollout.copies().0 < engine.loaded_replicas(&new) {
                m.ordered.pop();
                m.rollout.observe(now.0, Observed::Stands);
            }
            let timeout = self.order_timeout.0;
            let before = m.ordered.len();
            m.ordered.retain(|at| now.0 - at.0 < timeout);
            (m.ordered.len()..before).for_each(|_| m.rollout.observe(now.0, Observed::OrderFailed));
            if let Want::Copies(most) = m.rollout.wants() {
                for _ in 0..engine.expect(now, &new, &old, most, out) {
                    m.ordered.push(now);
                    m.rollout.observe(now.0, Observed::Ordered);
                }
            }
            if let Some(end) = m.rollout.advance(now.0) {
                ended.push((name.clone(), end));
            }
        }
        for (name, end) in ended {
            self.end_move(&name, end);
        }
    }

    fn end_move(&mut self, name: &str, end: Ended) {
        let Some(m) = self.moves.remove(name) else { return };
        match end {
            Ended::Moved => {
                info!(name, version = m.new.version, "the move is done");
                self.settled.insert(name.into(), m.new);
            }
            Ended::Back(why) => {
                let (from, to) = (m.new.version.as_str(), m.old.version.as_str());
                warn!(name, from, to, why, "the move goes back");
                self.move_back(name, &m.old, &m.new);
            }
        }
    }

    /// Points the alias back, unless somebody moved it on in between.
    fn move_back(&mut self, name: &str, old: &Resolved, new: &Resolved) {
        self.went_back.insert(name.into(), (new.digest, new.revision));
        let command = Command::Alias {
            name: name.into(),
            alias: CURRENT.into(),
            version: old.version.clone(),
            expect: new.revision,
            who: "roll-out".into(),
        };
        if !self.submit(Requester::Rollout, command) {
            warn!(name, "the alias was not pointed back: too much waits to be done on the folder");
        }
    }
}

/// A call as a number from 0 to 1, the same for each time that its key comes.
fn part_of(call: &Call) -> f64 {
    let mut hasher = DefaultHasher::new();
    match &call.key {
        Some(key) => key.hash(&mut hasher),
        None => call.ticket.0.hash(&mut hasher),
    }
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
