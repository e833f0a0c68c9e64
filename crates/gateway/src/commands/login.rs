//! Login arguments for a registry: a user name, and a file that contains the password.

use clap::Args;
use std::error::Error;
use std::fs;
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct LoginArguments {
    /// User name for the registry
    #[arg(long, requires = "password_file")]
    user: Option<String>,
    /// File that contains the password
    #[arg(long, requires = "user")]
    password_file: Option<PathBuf>,
}

impl LoginArguments {
    /// Reads name and password, if they are given. Line ends after the password are removed.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub(super) fn read(self) -> Result<Option<(String, String)>, Box<dyn Error>> {
        let Some((user, file)) = self.user.zip(self.password_file) else { return Ok(None) };
        let text = fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(Some((user, text.trim_end_matches(['\r', '\n']).into())))
    }
}
