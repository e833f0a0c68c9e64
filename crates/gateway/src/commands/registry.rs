//! The `registry` sub-command: a registry of plug-ins over a folder.

use super::login::LoginArguments;
use super::{print_ready, CommandResult};
use clap::Args;
use slatevalve_blobs::{BlobStore, Disk};
use slatevalve_oci::{Access, Registry};
use slatevalve_test_servers::{run_registry, RegistryPlan};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct RegistryArguments {
    /// Where its content lies; made where there is none
    #[arg(long, required_unless_present = "plan")]
    folder: Option<PathBuf>,
    /// Where it listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Serve only whoever shows this name and password
    #[command(flatten)]
    login: LoginArguments,
    /// Ask for a token, which /token gives for name and password
    #[arg(long, requires = "user")]
    tokens: bool,
    /// Remove what no tag needs, and end; for a registry that does not run
    #[arg(long, conflicts_with = "listen")]
    gc: bool,
    /// Everything as JSON, with faults
    #[arg(long, hide = true)]
    plan: Option<String>,
}

pub(super) fn registry(arguments: RegistryArguments) -> CommandResult {
    let folder = arguments.folder.unwrap_or_default();
    if arguments.gc {
        let store = BlobStore::new(Disk::new(&folder)?);
        let removed = Registry::open(store, Access::Open, "")?.collect()?;
        println!("{removed} blobs removed");
        return Ok(ExitCode::SUCCESS);
    }
    let mut plan = match arguments.plan {
        Some(plan) => serde_json::from_str(&plan)?,
        None => {
            let user = arguments.login.read()?;
            RegistryPlan {
                listen: arguments.listen,
                folder,
                user,
                tokens: arguments.tokens,
                ..RegistryPlan::default()
            }
        }
    };
    let mut random = [0; 16];
    getrandom::fill(&mut random).map_err(|e| format!("no random bytes: {e}"))?;
    plan.token = random.iter().map(|b| format!("{b:02x}")).collect();
    run_registry(plan, |address| {
        // Whoever started it may not listen any more; it works all the same.
        let _ = print_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
