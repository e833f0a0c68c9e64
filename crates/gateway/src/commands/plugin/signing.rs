//! `plugin keygen` and `plugin sign`: creation of signing keys, signatures on versions in the folder.

use super::{run, Answer};
use crate::plugins::command::Command;
use crate::plugins::folder::PluginFolder;
use serde_json::json;
use slatevalve_plugins::{Reference, Selector, SigningSecret};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Mode of a file with a secret key: only its owner can read it.
const SECRET_FILE_MODE: u32 = 0o600;

/// Writes a new secret key to a file that must not exist yet; returns the public key.
pub(super) fn keygen(file: &Path) -> Answer {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|e| format!("cannot get random bytes for the key: {e}"))?;
    let secret = SigningSecret::from_random(seed);
    let mut opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_FILE_MODE)
        .open(file)
        .map_err(|e| format!("{}: {e}", file.display()))?;
    writeln!(opened, "{}", secret.base64())?;
    Ok(json!({"public": secret.public()}))
}

/// Signs a version in the folder with the key in a file.
pub(super) fn sign(folder: &mut PluginFolder, name: &str, version: &str, key: &Path, id: &str) -> Answer {
    let text = fs::read_to_string(key).map_err(|e| format!("{}: {e}", key.display()))?;
    let secret = SigningSecret::parse(&text).map_err(|e| format!("{}: {e}", key.display()))?;
    let reference = Reference { name: name.into(), selector: Selector::AliasOrVersion(version.into()) };
    let found = folder.catalogue()?.resolve(&reference)?;
    let signature = secret.sign(id, &found.digest);
    let command = Command::Sign { name: name.into(), version: found.version, signature };
    run(folder, &command, None)
}
