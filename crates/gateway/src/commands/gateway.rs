//! The sub-commands `run` and `platform`, which run the two event loops, and `check`, which only reads a
//! settings file.

use super::{print_ready, CommandResult};
use crate::clock::Clock;
use crate::platform::{PlatformError, Router};
use crate::server::GatewayServer;
use crate::settings::{NameTables, Site, VersionedSettings};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable with the path of the platform's configuration file.
const PLATFORM_CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Runs a gateway with a settings file until it is stopped by a signal.
pub(super) fn run(settings: PathBuf) -> CommandResult {
    let clock = Clock::start();
    let mut server = match VersionedSettings::read(&settings)? {
        Some((registry_settings, versioned)) => {
            GatewayServer::versioned(registry_settings, versioned, clock)?
        }
        None => {
            let site = Site::load(&settings, &clock, NameTables::default())?;
            GatewayServer::new(site, Some(settings), clock)?
        }
    };
    print_ready(server.address())?;
    server.run()?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a router of the platform until it is stopped by a signal.
pub(super) fn platform() -> CommandResult {
    let file = std::env::var_os(PLATFORM_CONFIG_VARIABLE)
        .ok_or(PlatformError::Variable(PLATFORM_CONFIG_VARIABLE))?;
    let mut router = Router::new(file.into(), Clock::start())?;
    print_ready(router.address())?;
    router.run()?;
    Ok(ExitCode::SUCCESS)
}

/// Checks a settings file and prints a summary of it.
pub(super) fn check(settings: PathBuf, json: bool) -> CommandResult {
    let site = Site::load(&settings, &Clock::start(), NameTables::default())?;
    let routes = &site.front.routes;
    let (name, classes, workers) = (&site.name, site.classes.len(), site.workers.len());
    let (routes, tenants) = (routes.routes.len(), routes.tenants.len());
    if json {
        let found = json!({"name": name, "classes": classes, "routes": routes, "tenants": tenants, "workers": workers});
        println!("{found}");
    } else {
        println!("{name}: {classes} classes, {routes} routes, {tenants} tenants, {workers} workers");
    }
    Ok(ExitCode::SUCCESS)
}
