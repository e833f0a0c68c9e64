//! The `slatevalve` binary. The command line is in the library, see `commands`.

use std::process::ExitCode;

fn main() -> ExitCode {
    slatevalve_gateway::commands::run()
}
