//! What a gateway that acts by documents is told: its own forms, and the settings that follow from the documents it acts by.
//!
//! It guards open calls and keys through changes: a class keeps its place while its rules stay or become stricter, gets another
//! one where they become looser, and keeps the keys that are known of it. While a change is prepared the settings are those of
//! both documents' meet ([`slatevalve_config_versioning::Terms`]). Called by the shell's `agreement`, at the start and with each change.

use super::document::repeat;
use super::{members, Named, Res, SharedSettings, Site};
use crate::clock::Clock;
use slatevalve::{Class, ClassId, Effect, Group, Micros, TenantId, WorkerState};
use slatevalve_config_versioning::{Document, RetryCondition, RetryRule, Terms};
use slatevalve_engine::{ClassPolicy, EngineSettings};
use slatevalve_mqtt::{Route, Routes};
use slatevalve_registry::{ClientSettings, WatchScope};
use slatevalve_sexpr::{File, FormError};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The form `(agreed ...)` of a router's own file.
#[derive(Clone, Debug)]
pub struct AgreedSettings {
    /// Of the connection to the registry.
    pub client: ClientSettings,
    /// The registry's members.
    pub addresses: Vec<SocketAddr>,
    /// What the registry's keys begin with.
    pub prefix: String,
    /// The file that holds the lives of this name, and is locked while one lasts.
    pub lives: Option<PathBuf>,
    /// The file that holds the last state and its documents, for a start without a registry.
    pub remember: Option<PathBuf>,
    /// The gateway's name.
    pub name: String,
}

/// Why documents cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreedError {
    /// A text is wrong.
    Form(FormError),
    /// It is read, but a gateway like this one cannot act by it.
    Cannot(&'static str),
}

impl fmt::Display for AgreedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgreedError::Form(error) => write!(f, "{error}"),
            AgreedError::Cannot(words) => f.write_str(words),
        }
    }
}

impl std::error::Error for AgreedError {}

impl From<FormError> for AgreedError {
    fn from(error: FormError) -> Self {
        AgreedError::Form(error)
    }
}

/// A place of a class among the module's.
#[derive(Clone, Debug)]
struct Place {
    name: String,
    class: Class,
    remember: Micros,
}

/// See the module's documentation.
#[derive(Debug)]
pub struct Agreed {
    own: String,
    named: Named,
    places: Vec<Place>,
    /// Where a name's class is now.
    current: BTreeMap<String, usize>,
    /// Under which number the keys of a name's class are known, for good.
    spaces: BTreeMap<String, usize>,
    tenants: Vec<String>,
}

impl Agreed {
    /// Reads a router's own file; nothing where it has no `(agreed ...)` and holds all settings itself.
    ///
    /// # Errors
    /// With the first thing that is wrong, and where.
    pub fn read(path: &Path) -> Res<Option<(AgreedSettings, Agreed)>> {
        let (name, own) = super::read_text(path)?;
        let file = File::parse(&name, &own)?;
        let mut top = file.forms()?;
        let Some(form) = top.take("agreed")? else { return Ok(None) };
        for other in ["bridge", "plugins"] {
            if let Some(other) = top.take(other)? {
                return Err(other.error("does not stand together with (agreed ...) yet"));
            }
        }
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), super::header_text)?;
        let mut fields = form.fields()?;
        let lives = fields.take("lives")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
        let remember = fields.take("remember")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
        let (mut client, addresses) = members::client(&mut fields, &form, 1, &name, 1)?;
        fields.finish()?;
        let prefix = client.prefix.clone();
        client.prefix = format!("{prefix}agreement/state");
        client.follow = WatchScope::All;
        let settings = AgreedSettings { client, addresses, prefix, lives, remember, name };
        let named = Named::default();
        let (places, current, spaces, tenants) = (Vec::new(), BTreeMap::new(), BTreeMap::new(), Vec::new());
        Ok(Some((settings, Agreed { own, named, places, current, spaces, tenants })))
    }

    /// The settings by one document or, while a change is prepared, by two, the newer one last. Places that have open calls
    /// keep what these calls go by. Nothing is changed where it cannot be done.
    ///
    /// # Errors
    /// Where the documents cannot be read whole, or cannot be carried out here.
    pub fn site(
        &mut self,
        documents: &[&Document],
        open: &BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Result<Site, AgreedError> {
        let mut named = self.named.clone();
        let mut read = Vec::new();
        for document in documents {
            let name = format!("document {}", document.number);
            let shared = SharedSettings::with_own(&name, &document.text, &self.own, clock, named)?;
            named = shared.site.named.clone();
            read.push(shared);
        }
        let terms = read.iter().map(SharedSettings::terms).reduce(|a, b| a.meet(&b)).unwrap_or_default();
        let Some(newest) = read.pop() else { return Err(AgreedError::Cannot("there is no document")) };
        let mut site = newest.site;
        site.named = named.clone();
        let others: Vec<Site> = read.into_iter().map(|s| s.site).collect();
        strictest(&mut site, &others, &terms);
        self.named = named;
        site.documents = documents.iter().map(|d| d.number).collect();
        let numbers: Vec<String> = site.documents.iter().map(u64::to_string).collect();
        site.front.documents = Some(numbers.join(","));
        self.place(&mut site, others, open);
        Ok(site)
    }

    /// Gives each class, tenant and route its place.
    fn place(&mut self, site: &mut Site, others: Vec<Site>, open: &BTreeSet<ClassId>) {
        let sites = || std::iter::once(&*site).chain(&others);
        let mut classes: BTreeMap<String, (Class, Micros)> = BTreeMap::new();
        // Those of the newest document; what only an older one has keeps its place and gets no calls.
        for (at, name) in site.classes.iter().enumerate() {
            let remember = site.engine.classes.get(at).map_or(Micros(0), |p| p.remember);
            classes.insert(name.clone(), (site.engine.module.classes[at].clone(), remember));
        }
        self.current.retain(|name, _| sites().any(|s| s.classes.contains(name)));
        for (name, (class, remember)) in &classes {
            let next = self.spaces.len();
            self.spaces.entry(name.clone()).or_insert(next);
            let place = Place { name: name.clone(), class: class.clone(), remember: *remember };
            let keeps = self.current.get(name).copied().filter(|at| {
                let before = repeat(self.places[*at].class.effect);
                !open.contains(&ClassId(*at)) || repeat(class.effect).is_within(&before)
            });
            let used: BTreeSet<usize> = self.current.values().copied().collect();
            let free = |at: &usize| !used.contains(at) && !open.contains(&ClassId(*at));
            let at = keeps.or_else(|| (0..self.places.len()).find(free)).unwrap_or(self.places.len());
            match self.places.get_mut(at) {
                Some(old) => *old = place,
                None => self.places.push(place),
            }
            self.current.insert(name.clone(), at);
            // Calls that are open in an earlier place go by its rules and by these.
            for (_, old) in self.places.iter_mut().enumerate().filter(|(n, p)| *n != at && p.name == *name) {
                old.class.effect = effect(&repeat(old.class.effect).meet(&repeat(class.effect)));
            }
        }
        let tenant = |tenants: &mut Vec<String>, name: &str| match tenants.iter().position(|t| t == name) {
            Some(at) => at,
            None => {
                tenants.push(name.into());
                tenants.len() - 1
            }
        };
        let quotas = std::mem::take(&mut site.engine.module.tenants);
        let ids: Vec<usize> = site.tenants.iter().map(|name| tenant(&mut self.tenants, name)).collect();
        site.engine.module.tenants = vec![slatevalve::Tenant::default(); self.tenants.len()];
        for (id, quota) in ids.iter().zip(quotas) {
            site.engine.module.tenants[*id] = quota;
        }
        let placed = |of: &Site| -> Vec<Route> {
            let class = |r: &Route| self.current.get(&of.classes[r.class.0]).copied().unwrap_or(usize::MAX);
            of.front.routes.routes.iter().map(|r| Route { class: ClassId(class(r)), ..r.clone() }).collect()
        };
        let safe = |(at, place): (usize, &Place)| (place.class.effect == Effect::Safe).then_some(ClassId(at));
        let routes = Routes {
            routes: placed(site),
            tenants: site.tenants.iter().cloned().zip(ids.iter().map(|id| TenantId(*id))).collect(),
            others: others.iter().map(placed).collect(),
            safe: self.places.iter().enumerate().filter_map(safe).collect(),
        };
        site.front.routes = routes;
        site.tenants.clone_from(&self.tenants);
        site.classes = self.places.iter().map(|p| p.name.clone()).collect();
        let EngineSettings { module, classes, key_spaces, .. } = &mut site.engine;
        module.classes = self.places.iter().map(|p| p.class.clone()).collect();
        *classes = self.places.iter().map(|p| ClassPolicy { remember: p.remember }).collect();
        *key_spaces =
            self.places.iter().map(|p| ClassId(self.spaces.get(&p.name).copied().unwrap_or(0))).collect();
    }
}

/// Makes a site's rules those of the terms, which are the meet of its own and others'.
fn strictest(site: &mut Site, others: &[Site], terms: &Terms) {
    for (at, name) in site.classes.iter().enumerate() {
        let Some(class) = terms.classes.get(name) else { continue };
        site.engine.module.classes[at].effect = effect(&class.retry);
        site.engine.classes[at].remember = Micros(class.remember_us);
    }
    let module = &mut site.engine.module;
    let least = others.iter().map(|o| o.engine.module.limits.max_attempts);
    module.limits.max_attempts = least.chain([module.limits.max_attempts]).min().unwrap_or(1);
    for other in others.iter().map(|o| &o.engine.module) {
        module.rules.drain_grace = module.rules.drain_grace.min(other.rules.drain_grace);
        let (ours, theirs) = (&mut module.loading, &other.loading);
        if ours.ration_window.0 == 0 {
            (ours.ration_window, ours.ration_free, ours.ration_share) =
                (theirs.ration_window, theirs.ration_free, theirs.ration_share);
        } else if theirs.ration_window.0 > 0 {
            ours.ration_window = ours.ration_window.max(theirs.ration_window);
            ours.ration_free = ours.ration_free.min(theirs.ration_free);
            ours.ration_share = ours.ration_share.min(theirs.ration_share);
        }
    }
    for worker in &mut site.workers {
        let known = |what: &str| terms.fact(&format!("worker \"{}\" {what}", worker.name)).is_some();
        if !["cell", "zone", "address"].into_iter().all(known) {
            // Where it is, or whether it is there at all, is in doubt.
            worker.entry.state = WorkerState::Draining;
        }
    }
}

/// The effect that allows no more than this; unsafe where the module knows no nearer one.
fn effect(repeat: &RetryRule) -> Effect {
    let group = match (
        repeat.conditions().contains(&RetryCondition::Zone),
        repeat.conditions().contains(&RetryCondition::Cell),
    ) {
        (false, false) => Group::All,
        (true, false) => Group::Zone,
        (false, true) => Group::Cell,
        (true, true) => return Effect::Unsafe,
    };
    match repeat.window_us() {
        _ if repeat.is_unconditional() => Effect::Safe,
        0 => Effect::Unsafe,
        within => Effect::Keyed { group, memory: Micros(within) },
    }
}
