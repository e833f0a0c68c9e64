//! Types at the boundary of the balancer: identifiers, settings, events in and actions out.

mod actions;
mod events;
mod ids;
mod request;
mod settings;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use request::*;
pub use settings::*;
