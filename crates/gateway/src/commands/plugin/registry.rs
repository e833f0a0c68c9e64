//! Access to a registry for `plugin publish`, and for `plugin pull` without a running gateway.

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

/// Size of the chunks that are uploaded and of the ranges that are requested.
const CHUNK_BYTES: usize = 4 * 1024 * 1024;

/// Location of a registry, and the credentials for it.
pub(super) struct Registry {
    location: Location,
    credentials: Option<Credentials>,
}

impl Registry {
    /// Parses the address and reads the password file.
    ///
    /// # Errors
    /// If the address cannot be parsed or the file cannot be read.
    pub(super) fn new(address: &str, login: LoginArguments) -> Result<Self, Box<dyn Error>> {
        let credentials = login.read()?.map(|(user, password)| Credentials { user, password });
        Ok(Registry { location: Location::parse(address)?, credentials })
    }

    /// Settings of a pull; `rights` limits the classes that pulled versions may claim.
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

/// Uploads a version and its signatures from the folder to the registry.
pub(super) fn publish(folder: &mut PluginFolder, registry: &Registry, name: &str, version: &str) -> Answer {
    let package = folder.package(name, version)?;
    let (clock, stop) = (Clock::start(), AtomicBool::new(false));
    let seed = u64::from(std::process::id());
    let (location, credentials) = (registry.location.clone(), registry.credentials.clone());
    let now_us = clock.now().0;
    let mut push = Push::new(now_us, location, credentials, Policy::default(), seed, CHUNK_BYTES, &package)?;
    let outcome = link::drive(&mut push, &clock, &stop, show_progress);
    end_progress();
    outcome?;
    let pushed = push.result().ok_or("the push ended without a result")?;
    Ok(
        json!({"name": name, "version": version, "image": pushed.image, "bytes": pushed.bytes, "had": pushed.present_bytes}),
    )
}
