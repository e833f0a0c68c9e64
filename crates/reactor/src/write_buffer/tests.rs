//! Tests of the classification of errors as transient or fatal for a connection.

use super::is_transient;
use std::io;

/// Guards against closing a client's connection, and losing its answers, because the kernel temporarily had
/// no memory.
#[test]
fn only_interruption_would_block_and_lack_of_memory_are_transient() {
    let is_transient = |code: i32| is_transient(&io::Error::from_raw_os_error(code));
    for code in [libc::EAGAIN, libc::EINTR, libc::ENOBUFS, libc::ENOMEM] {
        assert!(is_transient(code), "{code}");
    }
    for code in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH] {
        assert!(!is_transient(code), "{code}");
    }
}
