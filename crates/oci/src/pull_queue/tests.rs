use super::*;
use proptest::prelude::*;

fn pull_queue(capacity: usize) -> PullQueue {
    PullQueue::new(PullQueueSettings { capacity, initial_backoff_us: 1_000, max_backoff_us: 60_000 }, 1)
}

#[test]
fn a_name_is_pulled_once_however_many_calls_ask() {
    let mut w = pull_queue(10);
    assert!((0..100).all(|_| w.enqueue(0, "fare@2")));
    assert_eq!(w.begin().as_deref(), Some("fare@2"));
    assert!(w.enqueue(0, "fare@2") && w.begin().is_none());
    w.ended(0, true);
    assert_eq!(w.begin(), None);
}

#[test]
fn what_failed_waits_longer_each_time_and_not_for_ever() {
    let mut w = pull_queue(10);
    let (mut now, mut last) = (0, 0);
    for n in 0..12 {
        assert!(w.enqueue(now, "x"));
        w.begin();
        w.ended(now, false);
        let mut wait = 0;
        while !w.enqueue(now + wait, "x") {
            wait += 100;
        }
        w.queued.clear();
        assert!(wait <= 75_100, "{wait}");
        assert!(n > 5 || wait > last, "{n}: {wait} after {last}");
        (now, last) = (now + wait, wait);
    }
}

proptest! {
    #[test]
    fn names_that_clients_make_up_take_no_room_without_bound(
        steps in prop::collection::vec((0u32..400, 0i64..5_000, any::<bool>()), 1..400),
    ) {
        let (mut w, mut now) = (pull_queue(16), 0);
        for (name, later, good) in steps {
            now += later;
            w.enqueue(now, &format!("n{name}"));
            if name % 3 == 0 {
                w.begin();
                w.ended(now, good);
            }
            prop_assert!(w.queued.len() <= 16 && w.failed.len() <= 16);
        }
    }
}
