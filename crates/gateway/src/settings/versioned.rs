//! The settings of a gateway that acts by documents: its own forms, and the settings that follow from the documents in force.
//!
//! Invariants: open calls and keys survive a change. A class keeps its slot among the module's classes while its rules stay or
//! become stricter, gets another slot where they become looser and calls are open, and keeps the keys that are known of it.
//! While a change is prepared, the settings are those of the meet of both documents ([`slatevalve_config_versioning::Terms`]).
//! Used by the server's `config_versioning`, at the start and with each change.

use super::document::retry_rule;
use super::forms::{header_text, optional_path, read_text, Res};
use super::{members, Named, SharedSettings, Site};
use crate::clock::Clock;
use slatevalve::{Class, ClassId, Effect, Group, Loading, Micros, Tenant, TenantId, WorkerState};
use slatevalve_config_versioning::{Document, RetryCondition, RetryRule, Terms};
use slatevalve_engine::ClassPolicy;
use slatevalve_mqtt::{Route, Routes};
use slatevalve_registry::{ClientSettings, WatchScope};
use slatevalve_sexpr::{File, Form, FormError};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The form `(agreed ...)` of a router's own file: where documents come from, and what is kept on disk.
#[derive(Clone, Debug)]
pub struct DocumentRegistrySettings {
    /// The registry's client.
    pub client: ClientSettings,
    /// Addresses of the registry's members.
    pub addresses: Vec<SocketAddr>,
    /// The prefix of the registry's keys.
    pub prefix: String,
    /// The file with the incarnations of this name, which is locked while one lasts.
    pub incarnation_file: Option<PathBuf>,
    /// The file with the last state and its documents, for a start without a registry.
    pub remembered_file: Option<PathBuf>,
    /// The gateway's name.
    pub name: String,
}

/// Why documents cannot be acted by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationError {
    /// A document has a fault.
    Form(FormError),
    /// There is no document.
    NoDocument,
}

impl fmt::Display for ActivationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ActivationError::Form(error) => write!(f, "{error}"),
            ActivationError::NoDocument => f.write_str("there is no document"),
        }
    }
}

impl std::error::Error for ActivationError {}

impl From<FormError> for ActivationError {
    fn from(error: FormError) -> Self {
        ActivationError::Form(error)
    }
}

/// A class in its slot among the module's classes; the slot's index is the class's id.
#[derive(Clone, Debug)]
struct ClassSlot {
    name: String,
    class: Class,
    remember: Micros,
}

/// The settings of a gateway that acts by documents; see the module's documentation.
#[derive(Debug, Default)]
pub struct VersionedSettings {
    /// The text of the router's own file.
    router_forms: String,
    named: Named,
    slots: Vec<ClassSlot>,
    /// The slot of each class that is in use.
    current_slots: BTreeMap<String, usize>,
    /// The number under which the keys of each class are known, for good.
    key_spaces: BTreeMap<String, usize>,
    /// All tenants so far, in the order of their ids.
    tenants: Vec<String>,
}

impl VersionedSettings {
    /// Reads a router's own file; `None` if it has no `(agreed ...)` and so holds all settings itself.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub fn read(path: &Path) -> Res<Option<(DocumentRegistrySettings, VersionedSettings)>> {
        let (file_name, router_forms) = read_text(path)?;
        let file = File::parse(&file_name, &router_forms)?;
        let mut top = file.forms()?;
        let Some(form) = top.take("agreed")? else { return Ok(None) };
        for unsupported in ["bridge", "plugins"] {
            if let Some(unsupported) = top.take(unsupported)? {
                return Err(unsupported.error("does not stand together with (agreed ...) yet"));
            }
        }
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), header_text)?;
        let settings = DocumentRegistrySettings::read(&form, name)?;
        Ok(Some((settings, VersionedSettings { router_forms, ..VersionedSettings::default() })))
    }

    /// The settings by one document or, while a change is prepared, by two, the newer one last. Slots of `open_classes` keep
    /// the rules by which their open calls go. On an error nothing is changed.
    ///
    /// # Errors
    /// If the documents cannot be read whole, or cannot be acted by here.
    pub fn site(
        &mut self,
        documents: &[&Document],
        open_classes: &BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Result<Site, ActivationError> {
        let mut named = self.named.clone();
        let mut parsed = Vec::new();
        for document in documents {
            let name = format!("document {}", document.number);
            let shared =
                SharedSettings::parse_for_router(&name, &document.text, &self.router_forms, clock, named)?;
            named = shared.site.named.clone();
            parsed.push(shared);
        }
        let terms = parsed.iter().map(SharedSettings::terms).reduce(|one, other| one.meet(&other));
        let (Some(terms), Some(newest)) = (terms, parsed.pop()) else {
            return Err(ActivationError::NoDocument);
        };
        let mut site = newest.site;
        site.named.clone_from(&named);
        self.named = named;
        let older: Vec<Site> = parsed.into_iter().map(|shared| shared.site).collect();
        restrict(&mut site, &older, &terms);
        site.documents = documents.iter().map(|document| document.number).collect();
        let numbers: Vec<String> = site.documents.iter().map(u64::to_string).collect();
        site.front.documents = Some(numbers.join(","));
        self.assign_slots(&site, &older, open_classes);
        self.apply_slots(&mut site, &older);
        Ok(site)
    }

    /// Gives each class of the newest document its slot. A class that only an older document has keeps its slot and gets no
    /// calls.
    fn assign_slots(&mut self, site: &Site, older: &[Site], open_classes: &BTreeSet<ClassId>) {
        let in_use = |name: &String| {
            site.classes.contains(name) || older.iter().any(|other| other.classes.contains(name))
        };
        self.current_slots.retain(|name, _| in_use(name));
        // By name, so that slots do not depend on the order of classes in a document.
        let mut classes: BTreeMap<&String, ClassSlot> = BTreeMap::new();
        for (id, name) in site.classes.iter().enumerate() {
            let remember = site.engine.classes.get(id).map_or(Micros(0), |policy| policy.retention);
            let class = site.engine.balancer.classes[id].clone();
            classes.insert(name, ClassSlot { name: name.clone(), class, remember });
        }
        for class in classes.into_values() {
            self.assign_slot(class, open_classes);
        }
    }

    fn assign_slot(&mut self, new: ClassSlot, open_classes: &BTreeSet<ClassId>) {
        let next_key_space = self.key_spaces.len();
        self.key_spaces.entry(new.name.clone()).or_insert(next_key_space);
        let rule = retry_rule(new.class.effect);
        let at = self.choose_slot(&new.name, &rule, open_classes);
        self.current_slots.insert(new.name.clone(), at);
        // Calls that are open in an earlier slot of the class go by its rules and by the new ones.
        for (_, earlier) in
            self.slots.iter_mut().enumerate().filter(|(id, slot)| *id != at && slot.name == new.name)
        {
            earlier.class.effect = strictest_effect(&retry_rule(earlier.class.effect).meet(&rule));
        }
        match self.slots.get_mut(at) {
            Some(slot) => *slot = new,
            None => self.slots.push(new),
        }
    }

    /// The class's own slot, unless calls are open there and the rules become looser; else a free one, or a new one.
    fn choose_slot(&self, name: &str, rule: &RetryRule, open_classes: &BTreeSet<ClassId>) -> usize {
        let is_open = |at: usize| open_classes.contains(&ClassId(at));
        let may_keep =
            |at: &usize| !is_open(*at) || rule.is_within(&retry_rule(self.slots[*at].class.effect));
        if let Some(own) = self.current_slots.get(name).copied().filter(may_keep) {
            return own;
        }
        let used: BTreeSet<usize> = self.current_slots.values().copied().collect();
        let is_free = |at: &usize| !used.contains(at) && !is_open(*at);
        (0..self.slots.len()).find(is_free).unwrap_or(self.slots.len())
    }

    /// Replaces the classes, tenants and routes of a site, which its document numbers, by those of the slots.
    fn apply_slots(&mut self, site: &mut Site, older: &[Site]) {
        let tenant_ids = self.assign_tenants(site);
        let safe = |(id, slot): (usize, &ClassSlot)| {
            (slot.class.effect == Effect::Idempotent).then_some(ClassId(id))
        };
        site.front.routes = Routes {
            routes: self.slot_routes(site),
            tenants: site.tenants.iter().cloned().zip(tenant_ids).collect(),
            others: older.iter().map(|other| self.slot_routes(other)).collect(),
            idempotent_classes: self.slots.iter().enumerate().filter_map(safe).collect(),
        };
        site.tenants.clone_from(&self.tenants);
        site.classes = self.slots.iter().map(|slot| slot.name.clone()).collect();
        let engine = &mut site.engine;
        engine.balancer.classes = self.slots.iter().map(|slot| slot.class.clone()).collect();
        engine.classes = self.slots.iter().map(|slot| ClassPolicy { retention: slot.remember }).collect();
        let key_space = |slot: &ClassSlot| ClassId(self.key_spaces.get(&slot.name).copied().unwrap_or(0));
        engine.key_spaces = self.slots.iter().map(key_space).collect();
    }

    /// Gives each tenant of a site the id that it keeps for good, and moves its quota there. Returns the ids in the site's
    /// order.
    fn assign_tenants(&mut self, site: &mut Site) -> Vec<TenantId> {
        let ids: Vec<TenantId> = site.tenants.iter().map(|name| TenantId(self.tenant_id(name))).collect();
        let mut tenants = vec![Tenant::default(); self.tenants.len()];
        for (id, tenant) in ids.iter().zip(std::mem::take(&mut site.engine.balancer.tenants)) {
            tenants[id.0] = tenant;
        }
        site.engine.balancer.tenants = tenants;
        ids
    }

    fn tenant_id(&mut self, name: &str) -> usize {
        self.tenants.iter().position(|tenant| tenant == name).unwrap_or_else(|| {
            self.tenants.push(name.into());
            self.tenants.len() - 1
        })
    }

    /// The routes of a site with the ids of the slots. A class without a slot gets an id that no class has.
    fn slot_routes(&self, site: &Site) -> Vec<Route> {
        let slot = |route: &Route| {
            self.current_slots.get(&site.classes[route.class.0]).copied().unwrap_or(usize::MAX)
        };
        let routes = site.front.routes.routes.iter();
        routes.map(|route| Route { class: ClassId(slot(route)), ..route.clone() }).collect()
    }
}

impl DocumentRegistrySettings {
    fn read(form: &Form<'_>, name: String) -> Res<Self> {
        let mut fields = form.fields()?;
        let incarnation_file = optional_path(&mut fields, "lives")?;
        let remembered_file = optional_path(&mut fields, "remember")?;
        let (mut client, addresses) = members::client(&mut fields, form, 1, &name, 1)?;
        fields.finish()?;
        let prefix = client.prefix.clone();
        client.prefix = format!("{prefix}agreement/state");
        client.follow = WatchScope::All;
        Ok(DocumentRegistrySettings { client, addresses, prefix, incarnation_file, remembered_file, name })
    }
}

/// Restricts a site to the terms, which are the meet of its own and those of older documents.
fn restrict(site: &mut Site, older: &[Site], terms: &Terms) {
    for (id, name) in site.classes.iter().enumerate() {
        let Some(class) = terms.classes.get(name) else { continue };
        site.engine.balancer.classes[id].effect = strictest_effect(&class.retry);
        site.engine.classes[id].retention = Micros(class.remember_us);
    }
    let balancer = &mut site.engine.balancer;
    for other in older.iter().map(|site| &site.engine.balancer) {
        balancer.limits.max_attempts = balancer.limits.max_attempts.min(other.limits.max_attempts);
        balancer.rules.drain_grace = balancer.rules.drain_grace.min(other.rules.drain_grace);
        restrict_load_quota(&mut balancer.loading, &other.loading);
    }
    for worker in &mut site.workers {
        let is_known = |fact: &str| terms.fact(&format!("worker \"{}\" {fact}", worker.name)).is_some();
        if !["cell", "zone", "address"].into_iter().all(is_known) {
            // The documents differ on where it is, or on whether it exists: it gets no new calls.
            worker.entry.state = WorkerState::Draining;
        }
    }
}

/// Restricts a load quota to the stricter one of both. A window of 0 means that there is no quota.
fn restrict_load_quota(loading: &mut Loading, other: &Loading) {
    if loading.load_quota_window.0 == 0 {
        loading.load_quota_window = other.load_quota_window;
        loading.load_quota_free = other.load_quota_free;
        loading.load_quota_share = other.load_quota_share;
    } else if other.load_quota_window.0 > 0 {
        loading.load_quota_window = loading.load_quota_window.max(other.load_quota_window);
        loading.load_quota_free = loading.load_quota_free.min(other.load_quota_free);
        loading.load_quota_share = loading.load_quota_share.min(other.load_quota_share);
    }
}

/// The effect that allows no more retries than this rule; unsafe where the module has no nearer one.
fn strictest_effect(rule: &RetryRule) -> Effect {
    let requires = |condition| rule.conditions().contains(&condition);
    let group = match (requires(RetryCondition::Zone), requires(RetryCondition::Cell)) {
        (false, false) => Group::All,
        (true, false) => Group::Zone,
        (false, true) => Group::Cell,
        (true, true) => return Effect::NonIdempotent,
    };
    match rule.window_us() {
        _ if rule.is_unconditional() => Effect::Idempotent,
        0 => Effect::NonIdempotent,
        window_us => Effect::IdempotentWithKey { group, memory: Micros(window_us) },
    }
}
