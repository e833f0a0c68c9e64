//! The settings file: what an operator may set, checked as a whole before anything starts.
//!
//! Forms and their meaning are listed in `docs/operators/router.md`. Read at the start and, for its worker list,
//! again on SIGHUP. Each module reads the forms of one concern; [`Site`] joins them.

mod balancer;
mod classes;
mod document;
mod forms;
mod members;
mod mqtt;
mod names;
mod plugins;
mod pool;
mod site;
mod versioned;
mod workers;

pub use document::SharedSettings;
pub use members::MemberSource;
pub use names::NameTables;
pub use plugins::PluginSettings;
pub use pool::PoolSettings;
pub use site::Site;
pub use versioned::{ActivationError, DocumentRegistrySettings, VersionedSettings};
pub use workers::ListedWorker;

pub(crate) use forms::read_text;
