//! Tests of signal registration.

use signal_hook::consts::SIGUSR1;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::time::Duration;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

#[test]
fn dropping_a_reactor_closes_the_descriptors_of_registered_signals() {
    let before = open_descriptors();
    let mut reactor = Reactor::new(1 << 20).unwrap();
    reactor.signal(SIGUSR1).unwrap();
    let mut events = Vec::new();
    let own_pid = std::process::id().to_string();
    let sent = std::process::Command::new("kill").args(["-USR1", &own_pid]).status().unwrap();
    assert!(sent.success());
    reactor.poll(Some(Duration::from_secs(5)), &mut events).unwrap();
    assert!(matches!(events.as_slice(), [ReactorEvent::Signal(SIGUSR1)]), "{events:?}");
    drop(reactor);
    assert_eq!(open_descriptors(), before);
}
