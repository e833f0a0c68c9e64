//! The settings of a gateway that takes them from documents: its own forms, combined with the documents in
//! force.
//!
//! Invariants: open calls and keys survive a change. A class keeps its slot among the engine's classes while
//! its rules stay the same or become stricter; if they become looser while calls are open, it gets another
//! slot. In either case it keeps its keys. While a change is prepared, the settings are the meet of both
//! documents ([`slatevalve_config_versioning::Terms`]). Used by the server's `config_versioning` at startup
//! and for each change.

use super::document::retry_rule;
use super::forms::{header_text, optional_path, read_text, FormResult};
use super::{members, NameTables, SharedSettings, Site};
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

/// The form `(agreed ...)` of a router's own file: the registry of the documents, and the files kept on disk.
#[derive(Clone, Debug)]
pub struct DocumentRegistrySettings {
    /// Settings of the registry client.
    pub client: ClientSettings,
    /// Resolved addresses of the registry's endpoints, in the order of the client's settings.
    pub addresses: Vec<SocketAddr>,
    /// Prefix of all keys in the registry, ending with `/`.
    pub prefix: String,
    /// File with the incarnations of this gateway name; locked by the current incarnation.
    pub incarnation_file: Option<PathBuf>,
    /// File with the latest state and its documents, for a start while the registry is unavailable.
    pub remembered_file: Option<PathBuf>,
    /// The gateway's name, under which it holds its lease.
    pub name: String,
}

/// Why documents cannot be activated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationError {
    /// A document has an error.
    Form(FormError),
    /// No document was given.
    NoDocument,
}

impl fmt::Display for ActivationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ActivationError::Form(error) => write!(f, "{error}"),
            ActivationError::NoDocument => f.write_str("no settings document to activate"),
        }
    }
}

impl std::error::Error for ActivationError {}

impl From<FormError> for ActivationError {
    fn from(error: FormError) -> Self {
        ActivationError::Form(error)
    }
}

/// A class in its slot among the engine's classes; the index of the slot is the id of the class.
#[derive(Clone, Debug)]
struct ClassSlot {
    name: String,
    class: Class,
    key_retention: Micros,
}

/// The settings of a gateway that takes them from documents. See the documentation of the module for the
/// invariants.
#[derive(Debug, Default)]
pub struct VersionedSettings {
    /// Text of the router's own file.
    router_forms: String,
    name_tables: NameTables,
    slots: Vec<ClassSlot>,
    /// The slot for new calls of each class that is in use.
    current_slots: BTreeMap<String, usize>,
    /// The key space of each class, which never changes.
    key_spaces: BTreeMap<String, usize>,
    /// All tenants of the documents so far, in the order of their ids; never shortened.
    tenants: Vec<String>,
}

impl VersionedSettings {
    /// Reads a router's own file; `None` if it has no `(agreed ...)` and thus contains all settings itself.
    ///
    /// # Errors
    /// The first error, with its position.
    pub fn read(path: &Path) -> FormResult<Option<(DocumentRegistrySettings, VersionedSettings)>> {
        let (file_name, router_forms) = read_text(path)?;
        let file = File::parse(&file_name, &router_forms)?;
        let mut top = file.forms()?;
        let Some(form) = top.take("agreed")? else { return Ok(None) };
        for unsupported in ["bridge", "plugins"] {
            if let Some(unsupported) = top.take(unsupported)? {
                return Err(unsupported.error("cannot be combined with (agreed ...) yet"));
            }
        }
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), header_text)?;
        let settings = DocumentRegistrySettings::read(&form, name)?;
        Ok(Some((settings, VersionedSettings { router_forms, ..VersionedSettings::default() })))
    }

    /// Combines the router's forms with one document or, while a change is prepared, with two, the newer one
    /// last. Slots of `open_classes` keep the rules of their open calls. On an error nothing is changed.
    ///
    /// # Errors
    /// If a document has an error together with the router's forms, or no document is given.
    pub fn site(
        &mut self,
        documents: &[&Document],
        open_classes: &BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Result<Site, ActivationError> {
        let mut name_tables = self.name_tables.clone();
        let mut parsed = Vec::new();
        for document in documents {
            let name = format!("document {}", document.number);
            let shared = SharedSettings::parse_for_router(
                &name,
                &document.text,
                &self.router_forms,
                clock,
                name_tables,
            )?;
            name_tables = shared.site.name_tables.clone();
            parsed.push(shared);
        }
        let terms = parsed.iter().map(SharedSettings::terms).reduce(|one, other| one.meet(&other));
        let (Some(terms), Some(newest)) = (terms, parsed.pop()) else {
            return Err(ActivationError::NoDocument);
        };
        let mut site = newest.site;
        site.name_tables.clone_from(&name_tables);
        self.name_tables = name_tables;
        let older: Vec<Site> = parsed.into_iter().map(|shared| shared.site).collect();
        restrict(&mut site, &older, &terms);
        site.documents = documents.iter().map(|document| document.number).collect();
        let numbers: Vec<String> = site.documents.iter().map(u64::to_string).collect();
        site.front.documents = Some(numbers.join(","));
        self.assign_slots(&site, &older, open_classes);
        self.apply_slots(&mut site, &older);
        Ok(site)
    }

    /// Assigns a slot to each class of the newest document. A class that only an older document has keeps its
    /// slot but gets no calls.
    fn assign_slots(&mut self, site: &Site, older: &[Site], open_classes: &BTreeSet<ClassId>) {
        let in_use = |name: &String| {
            site.classes.contains(name) || older.iter().any(|other| other.classes.contains(name))
        };
        self.current_slots.retain(|name, _| in_use(name));
        // Sorted by name, so that slots do not depend on the order of classes in a document.
        let mut classes: BTreeMap<&String, ClassSlot> = BTreeMap::new();
        for (id, name) in site.classes.iter().enumerate() {
            let key_retention = site.engine.classes.get(id).map_or(Micros(0), |policy| policy.retention);
            let class = site.engine.balancer.classes[id].clone();
            classes.insert(name, ClassSlot { name: name.clone(), class, key_retention });
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
        // Open calls in an earlier slot of the class are subject to its rules and to the new ones.
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

    /// Chooses the class's current slot unless calls are open there and the rules become looser; else a free
    /// or a new one.
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

    /// Replaces the classes, tenants and routes of a site, which are numbered by its document, with those of
    /// the slots.
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
        engine.classes =
            self.slots.iter().map(|slot| ClassPolicy { retention: slot.key_retention }).collect();
        let key_space = |slot: &ClassSlot| ClassId(self.key_spaces.get(&slot.name).copied().unwrap_or(0));
        engine.key_spaces = self.slots.iter().map(key_space).collect();
    }

    /// Assigns a permanent id to each tenant of a site, and moves its quota to that index. Returns the ids in
    /// the site's order.
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

    /// The routes of a site with the ids of the slots as classes. A class without a slot gets an id that no
    /// class has.
    fn slot_routes(&self, site: &Site) -> Vec<Route> {
        let slot = |route: &Route| {
            self.current_slots.get(&site.classes[route.class.0]).copied().unwrap_or(usize::MAX)
        };
        let routes = site.front.routes.routes.iter();
        routes.map(|route| Route { class: ClassId(slot(route)), ..route.clone() }).collect()
    }
}

impl DocumentRegistrySettings {
    fn read(form: &Form<'_>, name: String) -> FormResult<Self> {
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

/// Restricts a site to `terms`, the meet of its own terms and those of older documents.
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
            // The documents disagree on its location, or on whether it exists, so it gets no new calls.
            worker.entry.state = WorkerState::Draining;
        }
    }
}

/// Restricts a load quota to the stricter of the two. A window of 0 means no quota.
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

/// The least strict effect that allows no more retries than this rule; `NonIdempotent` if there is no closer
/// one.
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
