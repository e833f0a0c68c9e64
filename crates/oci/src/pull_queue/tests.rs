use super::*;
use proptest::prelude::*;

fn pull_queue(capacity: usize) -> PullQueue {
    PullQueue::new(PullQueueSettings { capacity, initial_backoff_us: 1_000, max_backoff_us: 60_000 }, 1)
}

#[test]
fn a_name_is_pulled_once_for_any_number_of_calls() {
    let mut queue = pull_queue(10);
    assert!((0..100).all(|_| queue.enqueue(0, "fare@2")));
    assert_eq!(queue.begin().as_deref(), Some("fare@2"));
    assert!(queue.enqueue(0, "fare@2") && queue.begin().is_none());
    queue.ended(0, true);
    assert_eq!(queue.begin(), None);
}

#[test]
fn the_backoff_grows_with_each_failure_up_to_a_limit() {
    let mut queue = pull_queue(10);
    let (mut now, mut last) = (0, 0);
    for n in 0..12 {
        assert!(queue.enqueue(now, "x"));
        queue.begin();
        queue.ended(now, false);
        let mut wait = 0;
        while !queue.enqueue(now + wait, "x") {
            wait += 100;
        }
        queue.queued.clear();
        assert!(wait <= 75_100, "{wait}");
        assert!(n > 5 || wait > last, "{n}: {wait} after {last}");
        (now, last) = (now + wait, wait);
    }
}

proptest! {
    #[test]
    fn invented_names_take_bounded_memory(
        steps in prop::collection::vec((0u32..400, 0i64..5_000, any::<bool>()), 1..400),
    ) {
        let (mut queue, mut now) = (pull_queue(16), 0);
        for (name, elapsed_us, succeeded) in steps {
            now += elapsed_us;
            queue.enqueue(now, &format!("n{name}"));
            if name % 3 == 0 {
                queue.begin();
                queue.ended(now, succeeded);
            }
            prop_assert!(queue.queued.len() <= 16 && queue.failed.len() <= 16);
        }
    }
}
