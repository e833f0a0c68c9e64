//! Keys of the records in the registry.

/// One incarnation of a router: each start of its process is a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId {
    /// The configured name, which all incarnations of the router share; may contain slashes.
    pub name: String,
    /// Unique among all incarnations of all routers; contains no slash.
    pub incarnation: String,
}

impl RouterId {
    /// Identifies one incarnation of the router `name`.
    #[must_use]
    pub fn new(name: impl Into<String>, incarnation: impl Into<String>) -> Self {
        RouterId { name: name.into(), incarnation: incarnation.into() }
    }
}

/// The layout of the records' keys below a prefix in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Keys below a prefix that ends with a slash, such as `/slatevalve/`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Keys { prefix: format!("{prefix}agreement/") }
    }

    /// The common prefix of all records, with a trailing slash.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The key of the rollout's [`crate::State`].
    #[must_use]
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// The key of a document. The number is zero-padded, so that keys sort by number.
    #[must_use]
    pub fn document(&self, number: u64) -> String {
        format!("{}documents/{number:010}", self.prefix)
    }

    /// The common prefix of all leases, with a trailing slash.
    #[must_use]
    pub fn leases(&self) -> String {
        format!("{}rights/", self.prefix)
    }

    /// The key of the lease of one incarnation of a router.
    #[must_use]
    pub fn lease(&self, name: &str, incarnation: &str) -> String {
        format!("{}{name}/{incarnation}", self.leases())
    }
}
