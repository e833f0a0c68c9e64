//! Gives a process a part of a processor core, as the platform does: it is stopped and continued in turns.

use rustix::process::{kill_process, Pid, Signal};
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time from one stop to the next.
const PERIOD: Duration = Duration::from_millis(20);

/// Limits a process as long as this exists.
pub(crate) struct ProcessorShare {
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ProcessorShare {
    /// Lets the process run for `percent` of the time.
    pub(crate) fn limit(process: &Child, percent: u32) -> Self {
        let process = Pid::from_child(process);
        let has_ended = Arc::new(AtomicBool::new(false));
        let running = PERIOD * percent / 100;
        let ended = has_ended.clone();
        let thread = thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let _ = kill_process(process, Signal::STOP);
                thread::sleep(PERIOD - running);
                let _ = kill_process(process, Signal::CONT);
                thread::sleep(running);
            }
        });
        ProcessorShare { has_ended, thread: Some(thread) }
    }
}

impl Drop for ProcessorShare {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
