//! Routes map a topic to the class, tenant, function and key of a call.

use crate::topics::{Template, TopicFilter};
use slatevalve::{ClassId, TenantId};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// One route. The first route whose filter matches a topic applies.
#[derive(Clone, Debug)]
pub struct Route {
    /// Selects the topics that the route applies to.
    pub filter: TopicFilter,
    /// Class of the calls on these topics.
    pub class: ClassId,
    /// Derives the tenant's name; `None` if the site has no tenants.
    pub tenant: Option<Template>,
    /// Derives the function's name.
    pub function: Template,
    /// Derives the key of a call without a key property, as in version 3.1.1; `None` for no such key.
    pub key: Option<Template>,
}

/// Why a route is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// A template uses a topic level that not every matching topic has.
    Level {
        /// The level that the template uses, from 1.
        level: usize,
        /// The number of levels that every matching topic has.
        min_levels: usize,
    },
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteError::Level { level, min_levels } = self;
        write!(f, "a template uses level {level}, but a matching topic may have only {min_levels}")
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Whether this route and `other` map a topic to the same call.
    #[must_use]
    pub fn is_equivalent(&self, other: &Route) -> bool {
        (self.class, &self.tenant, &self.function, &self.key)
            == (other.class, &other.tenant, &other.function, &other.key)
    }

    /// Checks that every matching topic has all levels that the templates use.
    ///
    /// # Errors
    /// If a matching topic may lack a level.
    pub fn check(&self) -> Result<(), RouteError> {
        let templates = [Some(&self.function), self.tenant.as_ref(), self.key.as_ref()];
        let level = templates.into_iter().flatten().map(Template::highest_level).max().unwrap_or(0);
        let min_levels = self.filter.min_levels();
        if level > min_levels {
            return Err(RouteError::Level { level, min_levels });
        }
        Ok(())
    }
}

/// The routes of a site and its tenants.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The routes, in order of precedence.
    pub routes: Vec<Route>,
    /// Other lists of routes that must agree with `routes` while one settings document replaces another: a
    /// topic is accepted only if each list maps it to the same call.
    pub others: Vec<Vec<Route>>,
    /// Idempotent classes. For their calls, the lists of routes need to agree on the class only.
    pub idempotent_classes: BTreeSet<ClassId>,
    /// Tenant ids by name.
    pub tenants: HashMap<String, TenantId>,
}

impl Routes {
    /// Whether any of the lists has a route for a topic.
    #[must_use]
    pub fn is_known(&self, topic: &str) -> bool {
        let mut routes = std::iter::once(&self.routes).chain(&self.others).flatten();
        routes.any(|route| route.filter.matches(topic))
    }

    /// The route that applies to a topic; `None` if there is none or the lists do not agree.
    #[must_use]
    pub fn find(&self, topic: &str) -> Option<&Route> {
        let route = first_match(&self.routes, topic)?;
        let is_idempotent = self.idempotent_classes.contains(&route.class);
        let agrees_with = |other: &Route| match is_idempotent {
            true => other.class == route.class,
            false => other.is_equivalent(route),
        };
        let agrees = |routes: &Vec<Route>| first_match(routes, topic).is_some_and(agrees_with);
        self.others.iter().all(agrees).then_some(route)
    }
}

fn first_match<'a>(routes: &'a [Route], topic: &str) -> Option<&'a Route> {
    routes.iter().find(|route| route.filter.matches(topic))
}
