//! Routes: the class, tenant, function and key that a topic gives a call.

use crate::topics::{Template, TopicFilter};
use slatevalve::{ClassId, TenantId};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// One route. Of the routes whose filter matches a topic, the first applies.
#[derive(Clone, Debug)]
pub struct Route {
    /// The topics of the route.
    pub filter: TopicFilter,
    /// The class of their calls.
    pub class: ClassId,
    /// The tenant's name, where the site has tenants.
    pub tenant: Option<Template>,
    /// The function's name.
    pub function: Template,
    /// The key of the call, for clients whose protocol version has no properties.
    pub key: Option<Template>,
}

/// Why a route is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// A template uses a level that not every matching topic has.
    Level {
        /// The level that is used.
        level: usize,
        /// The number of levels that every matching topic has.
        min_levels: usize,
    },
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteError::Level { level, min_levels } = self;
        write!(f, "level {level} is asked for, but a matching topic may have only {min_levels}")
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Whether a topic gives the same call by this route as by `other`.
    #[must_use]
    pub fn is_equivalent(&self, other: &Route) -> bool {
        (self.class, &self.tenant, &self.function, &self.key)
            == (other.class, &other.tenant, &other.function, &other.key)
    }

    /// Checks that every matching topic has all levels that are used.
    ///
    /// # Errors
    /// Where a matching topic may lack a level.
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

/// The routes of a site and the tenants that they name.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The routes, in order of precedence.
    pub routes: Vec<Route>,
    /// Other lists of routes that must agree with `routes`, while one list is being replaced by another: a topic is accepted
    /// only if it gives the same call by each of them.
    pub others: Vec<Vec<Route>>,
    /// Idempotent classes, of which only the class must agree.
    pub idempotent_classes: BTreeSet<ClassId>,
    /// The site's tenants.
    pub tenants: HashMap<String, TenantId>,
}

impl Routes {
    /// Whether any of the lists has a route for a topic.
    #[must_use]
    pub fn is_known(&self, topic: &str) -> bool {
        let mut routes = std::iter::once(&self.routes).chain(&self.others).flatten();
        routes.any(|route| route.filter.matches(topic))
    }

    /// The route that applies to a topic; `None` where there is none or the lists do not agree.
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
