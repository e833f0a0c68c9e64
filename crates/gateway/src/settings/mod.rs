//! The settings file, which is checked as a whole before anything starts.
//!
//! The forms and their meaning are listed in `docs/operators/router.md`. The file is read at startup; its
//! worker list is read again on SIGHUP. Each module reads a group of related forms; [`Site`] combines them.

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
