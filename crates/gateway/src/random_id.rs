//! Random identifiers of a process, which no earlier or other process has used.

use std::io;

/// Bytes of a random identifier; with 64 bits, collisions are negligible.
const ID_BYTES: usize = 8;

/// A random number.
///
/// # Errors
/// If the system has no random bytes.
pub(crate) fn random_u64() -> io::Result<u64> {
    let mut bytes = [0; ID_BYTES];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(u64::from_be_bytes(bytes))
}

/// The hexadecimal form of a number from [`random_u64`], of constant length.
pub(crate) fn id_text(number: u64) -> String {
    format!("{number:016x}")
}
