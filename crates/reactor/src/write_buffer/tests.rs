//! Tests of which errors end a connection.

use super::is_transient;
use std::io;

/// Guards against clients that lose their answers because the kernel had no memory for a moment.
#[test]
fn a_connection_outlives_an_interruption_and_a_want_of_memory_and_nothing_else() {
    let is_transient = |code: i32| is_transient(&io::Error::from_raw_os_error(code));
    for code in [libc::EAGAIN, libc::EINTR, libc::ENOBUFS, libc::ENOMEM] {
        assert!(is_transient(code), "{code}");
    }
    for code in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH] {
        assert!(!is_transient(code), "{code}");
    }
}
