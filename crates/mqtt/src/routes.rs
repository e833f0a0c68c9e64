//! Which class, tenant and function a topic stands for. Made from the settings, asked by the intake.

use crate::topics::{Template, TopicFilter};
use slatevalve::{ClassId, TenantId};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// One route; the first whose filter matches a topic takes it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The topics.
    pub filter: TopicFilter,
    /// Their class.
    pub class: ClassId,
    /// Their tenant's name, where the site has tenants.
    pub tenant: Option<Template>,
    /// The function's name.
    pub function: Template,
    /// A key from the topic, for clients whose protocol version has no properties.
    pub key: Option<Template>,
}

/// Why a route cannot be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// A template asks for a level that not every matching topic has.
    Level {
        /// The level asked for.
        level: usize,
        /// The levels that every matching topic has.
        least: usize,
    },
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteError::Level { level, least } = self;
        write!(f, "level {level} is asked for, but a matching topic may have only {least}")
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Whether it does the same with a topic as another one.
    pub fn does_as(&self, other: &Route) -> bool {
        (self.class, &self.tenant, &self.function, &self.key)
            == (other.class, &other.tenant, &other.function, &other.key)
    }

    /// Checks that each matching topic has all levels that are asked for.
    ///
    /// # Errors
    /// When one has not.
    pub fn check(&self) -> Result<(), RouteError> {
        let templates = [Some(&self.function), self.tenant.as_ref(), self.key.as_ref()];
        let level = templates.into_iter().flatten().map(Template::highest_level).max().unwrap_or(0);
        let least = self.filter.least_levels();
        if level > least {
            return Err(RouteError::Level { level, least });
        }
        Ok(())
    }
}

/// All routes of a site and the tenants they name.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// In the order in which they are tried.
    pub routes: Vec<Route>,
    /// Other lists that must agree: a topic is taken only where the first route that matches it in each gives it to the same
    /// class, and the same function, tenant and key of it. Empty but while one list replaces another.
    pub others: Vec<Vec<Route>>,
    /// Classes of which only the class must agree: their calls are safe.
    pub safe: BTreeSet<ClassId>,
    /// The site's tenants.
    pub tenants: HashMap<String, TenantId>,
}

impl Routes {
    /// Whether any of the lists has a route for a topic.
    pub fn is_known(&self, topic: &str) -> bool {
        std::iter::once(&self.routes).chain(&self.others).flatten().any(|r| r.filter.matches(topic))
    }

    /// The first route that takes a topic.
    pub fn find(&self, topic: &str) -> Option<&Route> {
        let first = |list: &'_ [Route]| list.iter().position(|r| r.filter.matches(topic));
        let route = &self.routes[first(&self.routes)?];
        let safe = self.safe.contains(&route.class);
        let same = |r: &Route| if safe { r.class == route.class } else { r.does_as(route) };
        let agrees = |list: &Vec<Route>| first(list).is_some_and(|at| same(&list[at]));
        self.others.iter().all(agrees).then_some(route)
    }
}
