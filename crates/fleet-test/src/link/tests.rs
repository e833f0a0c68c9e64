//! The effect of link faults by time and direction, and the byte order of a pipe.

use super::*;
use proptest::prelude::*;

fn fault(from_us: i64, to_us: i64, kind: LinkFaultKind) -> LinkFault {
    LinkFault { from_us, to_us, kind }
}

#[test]
fn a_drop_affects_only_its_direction_and_period() {
    let faults = [fault(10, 20, LinkFaultKind::Drop(Direction::Responses))];
    let is_dropped = |now, flow| Condition::new(&faults, now, flow).is_dropping;
    assert_eq!(
        [
            is_dropped(9, Flow::FromService),
            is_dropped(10, Flow::FromService),
            is_dropped(19, Flow::FromService),
            is_dropped(20, Flow::FromService)
        ],
        [false, true, true, false]
    );
    assert!(!is_dropped(15, Flow::ToService));
}

#[test]
fn growing_delay_and_bandwidth_limit_add_up() {
    let direction = Direction::Both;
    let kind = LinkFaultKind::Delay { direction, by_us: 100, jitter_us: 0, growing_us: 1_000 };
    let bandwidth_limit = LinkFaultKind::Slow { direction, bytes_per_s: 1_000.0 };
    let faults = [fault(0, i64::MAX, kind), fault(0, i64::MAX, bandwidth_limit)];
    let mut pipe = Pipe::default();
    pipe.push(2_000_000, vec![0; 10], Condition::new(&faults, 2_000_000, Flow::ToService), 0.0);
    assert_eq!(pipe.next_due_us(), Some(2_000_000 + 100 + 2_000 + 10_000));
}

proptest! {
    #[test]
    fn bytes_are_released_in_order_and_never_early(
        steps in prop::collection::vec((0i64..50, 0i64..100, 0.0f64..1.0), 1..60),
    ) {
        let (mut pipe, mut now, mut last) = (Pipe::default(), 0, None);
        for (index, (elapsed_us, delay_us, jitter_share)) in steps.iter().enumerate() {
            now += elapsed_us;
            let condition = Condition { delay_us: *delay_us, jitter_us: 40, ..Condition::default() };
            pipe.push(now, vec![index as u8], condition, *jitter_share);
            prop_assert!(pipe.last_due_us >= now + delay_us);
            while let Some(bytes) = pipe.pop_due(now) {
                prop_assert!(last.is_none_or(|previous| previous < bytes[0]));
                last = Some(bytes[0]);
            }
        }
    }
}
