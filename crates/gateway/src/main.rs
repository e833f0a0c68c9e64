//! The binary: the command line, and nothing else.

use std::process::ExitCode;

fn main() -> ExitCode {
    slatevalve_gateway::commands::run()
}
