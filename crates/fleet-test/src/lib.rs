//! Fleet tests: many processes of the program, among them routers that watch one registry, with links between them that
//! delay, drop and reset by a script. The [`Report`] states what passed the links and what each router received when.
//!
//! The crate starts the program's binary and uses nothing of the gateway's inside: its sources are the bytes on the links and
//! the lines of the logs. The command `slatevalve fleet-test` calls [`run`]; `slatevalve link` is one link.
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
