//! Rehearsals with many processes of the program: routers before one list service, links between them that delay, drop, cut
//! and reset by script, and a report of what passed and of what each router knew when.
//!
//! It starts the program's binary and knows none of the gateway's insides: what it sees are the bytes on the links and the
//! lines of the logs. The command `slatevalve fleet-test` calls it; `slatevalve link` is one link.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod link;
mod logs;
mod page;
mod play;
mod process;
mod report;
mod script;
mod tally;

pub use link::{run_link, Direction, LinkFault, LinkFaultKind, LinkPlan};
pub use page::page;
pub use play::{play, FleetTestError, Options};
pub use process::{end_with_parent, Process};
pub use report::{Finding, Report, Router};
pub use script::{Expectations, Group, Kind, Script, ScriptedEvent};
pub use tally::{Bucket, Tally, BUCKET_US};
