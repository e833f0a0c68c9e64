//! Unit tests of the parent module.

use super::*;

const WORKER: WorkerId = WorkerId(1);

#[test]
fn a_start_time_in_the_future_is_replaced_by_the_present_time() {
    let mut starts = WorkerStartTimes::default();
    let hour_ahead = Micros(10_000_000 + 3_600_000_000);
    assert_eq!(starts.resolve(Micros(10_000_000), WORKER, 5.0, hour_ahead), Micros(10_000_000));
    // The same start is reported again later, for example with a drain: it is the same process.
    assert_eq!(starts.resolve(Micros(90_000_000), WORKER, 5.0, hour_ahead), Micros(10_000_000));
    assert_eq!(starts.resolve(Micros(90_000_000), WorkerId(2), 7.0, Micros(1_000)), Micros(1_000));
}

#[test]
fn a_restart_is_recognized_although_the_clock_was_set_back() {
    let mut starts = WorkerStartTimes::default();
    let first = starts.resolve(Micros(50), WORKER, 5.0, Micros(40));
    let second = starts.resolve(Micros(100), WORKER, 3.0, Micros(10));
    assert!(second > first && second <= Micros(100));
    starts.retain(|_| false);
    assert_eq!(starts.resolve(Micros(200), WORKER, 3.0, Micros(10)), Micros(10));
}
