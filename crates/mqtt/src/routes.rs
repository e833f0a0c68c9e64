//! Which class, tenant and function a topic stands for. Made from the settings, asked by the intake.

use crate::topics::{Template, TopicFilter};
use slatevalve::{ClassId, TenantId};
use std::collections::HashMap;
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
    /// The site's tenants.
    pub tenants: HashMap<String, TenantId>,
}

impl Routes {
    /// The first route that takes a topic.
    pub fn find(&self, topic: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.filter.matches(topic))
    }
}
