//! Fleet tests: many processes of the program, among them routers that watch one registry, with links between
//! them that delay, drop and reset traffic by a script. The [`Report`] contains the traffic of each link and
//! the times at which each router received lists and drain notifications.
//!
//! The crate starts the program's binary and depends on no gateway code: it measures the bytes on the links
//! and the lines of the routers' logs, so that it can test earlier builds too. The command `slatevalve
//! fleet-test` calls [`run`]; `slatevalve link` is one link.
#![forbid(unsafe_code)]

mod counters;
mod error;
mod link;
mod page;
mod process;
mod report;
mod router_log;
mod runner;
mod script;

pub use counters::{Bucket, TrafficCounters, BUCKET_US};
pub use error::FleetTestError;
pub use link::{run_link, Direction, LinkFault, LinkFaultKind, LinkPlan};
pub use page::{page, PageError, TitledReport};
pub use process::{end_with_parent, Process};
pub use report::{
    DrainNotice, DrainResult, LinkTraffic, PausePeriod, PeakTraffic, Report, RouterRun, UnmetExpectation,
};
pub use runner::{run, Options};
pub use script::{
    Expectations, Group, GroupKind, GroupSample, LinkLimit, RegistryCapacity, RegistryFault, RouterGroup,
    Script, ScriptedEvent, TimedEvent, TimedFault,
};
