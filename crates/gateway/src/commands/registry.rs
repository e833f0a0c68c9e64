//! The sub-command `registry`: a registry of plug-ins on a folder.

use super::login::LoginArguments;
use super::{print_ready, CommandResult};
use crate::random_id::{id_text, random_u64};
use clap::Args;
use slatevalve_blobs::{BlobStore, Disk};
use slatevalve_oci::{Access, Registry};
use slatevalve_test_servers::{run_registry, RegistryPlan};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct RegistryArguments {
    /// Folder of its content; created if it does not exist
    #[arg(long, required_unless_present = "plan")]
    folder: Option<PathBuf>,
    /// Listening address; port 0 chooses a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Serve only requests with this name and password
    #[command(flatten)]
    login: LoginArguments,
    /// Require a token, which /token issues for name and password
    #[arg(long, requires = "user")]
    tokens: bool,
    /// Remove content that no tag needs, and exit; only while the registry is not running
    #[arg(long, conflicts_with = "listen")]
    gc: bool,
    /// All settings as JSON, including injected faults
    #[arg(long, hide = true)]
    plan: Option<String>,
}

pub(super) fn registry(arguments: RegistryArguments) -> CommandResult {
    let folder = arguments.folder.unwrap_or_default();
    if arguments.gc {
        let store = BlobStore::new(Disk::new(&folder)?);
        let removed = Registry::open(store, Access::Open, "", 0)?.collect()?;
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
    plan.token = [id_text(random_u64()?), id_text(random_u64()?)].concat();
    plan.instance = random_u64()?;
    run_registry(plan, |address| {
        // The registry also works after the reader of its output has exited.
        let _ = print_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
