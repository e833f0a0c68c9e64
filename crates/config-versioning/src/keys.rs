//! Keys of the records in the registry.

/// One incarnation of a router: each start of a process under a name is a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId {
    /// The router's name.
    pub name: String,
    /// The incarnation, unique over all routers and time.
    pub incarnation: String,
}

impl RouterId {
    /// The incarnation of a name.
    #[must_use]
    pub fn new(name: impl Into<String>, incarnation: impl Into<String>) -> Self {
        RouterId { name: name.into(), incarnation: incarnation.into() }
    }
}

/// Where the records are kept below a prefix of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Keys below a prefix such as `/slatevalve/`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Keys { prefix: format!("{prefix}agreement/") }
    }

    /// The common prefix of all keys.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The key of the state.
    #[must_use]
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// The key of a document.
    #[must_use]
    pub fn document(&self, number: u64) -> String {
        format!("{}documents/{number:010}", self.prefix)
    }

    /// The common prefix of the keys of leases.
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
