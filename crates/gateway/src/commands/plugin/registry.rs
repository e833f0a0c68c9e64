//! The registry that `plugin pull` and `plugin publish` work with when no gateway does it.

use super::{end_progress, show_progress, Answer};
use crate::clock::Clock;
use crate::commands::login::LoginArguments;
use crate::plugins::folder::PluginFolder;
use crate::plugins::link;
use serde_json::json;
use slatevalve_oci::{Credentials, Location, Policy, PullSettings, Push};
use slatevalve_plugins::ClassRights;
use std::error::Error;
use std::sync::atomic::AtomicBool;

/// Size of a chunk sent to, or requested from, a registry.
const CHUNK_BYTES: usize = 4 * 1024 * 1024;

/// Where the registry is, and who this command is towards it.
pub(super) struct Registry {
    location: Location,
    credentials: Option<Credentials>,
}

impl Registry {
    /// Reads the address and the password file.
    ///
    /// # Errors
    /// When the address cannot be parsed or the file cannot be read.
    pub(super) fn new(address: &str, login: LoginArguments) -> Result<Self, Box<dyn Error>> {
        let credentials = login.read()?.map(|(user, password)| Credentials { user, password });
        Ok(Registry { location: Location::parse(address)?, credentials })
    }

    /// Settings of a pull; `rights` limits the classes that what is pulled may claim.
    pub(super) fn pull_settings(self, rights: Option<ClassRights>) -> PullSettings {
        PullSettings {
            location: self.location,
            credentials: self.credentials,
            policy: Policy::default(),
            range: CHUNK_BYTES as u64,
            max_size: u64::MAX,
            rights,
            seed: u64::from(std::process::id()),
        }
    }
}

/// Sends a version and its signatures from the folder to the registry.
pub(super) fn publish(folder: &mut PluginFolder, registry: &Registry, name: &str, version: &str) -> Answer {
    let package = folder.package(name, version)?;
    let (clock, stop) = (Clock::start(), AtomicBool::new(false));
    let seed = u64::from(std::process::id());
    let (location, credentials) = (registry.location.clone(), registry.credentials.clone());
    let now_us = clock.now().0;
    let mut push = Push::new(now_us, location, credentials, Policy::default(), seed, CHUNK_BYTES, &package)?;
    let driven = link::drive(&mut push, &clock, &stop, show_progress);
    end_progress();
    driven?;
    let pushed = push.result().ok_or("the push ended early")?;
    Ok(
        json!({"name": name, "version": version, "image": pushed.image, "bytes": pushed.bytes, "had": pushed.present_bytes}),
    )
}
