//! Faults of links and the order of bytes in a pipe.

use super::*;
use proptest::prelude::*;

fn fault(from_us: i64, to_us: i64, kind: LinkFaultKind) -> LinkFault {
    LinkFault { from_us, to_us, kind }
}

#[test]
fn a_cut_in_one_direction_loses_just_that_direction_and_only_while_it_lasts() {
    let faults = [fault(10, 20, LinkFaultKind::Drop(Direction::Responses))];
    let lost = |now, flow| Condition::new(&faults, now, flow).is_dropping;
    assert_eq!(
        [
            lost(9, Flow::FromService),
            lost(10, Flow::FromService),
            lost(19, Flow::FromService),
            lost(20, Flow::FromService)
        ],
        [false, true, true, false]
    );
    assert!(!lost(15, Flow::ToService));
}

#[test]
fn a_delay_grows_and_a_narrow_link_takes_its_time() {
    let direction = Direction::Both;
    let kind = LinkFaultKind::Delay { direction, by_us: 100, jitter_us: 0, growing_us: 1_000 };
    let narrow = LinkFaultKind::Slow { direction, bytes_per_s: 1_000.0 };
    let faults = [fault(0, i64::MAX, kind), fault(0, i64::MAX, narrow)];
    let mut pipe = Pipe::default();
    pipe.push(2_000_000, vec![0; 10], Condition::new(&faults, 2_000_000, Flow::ToService), 0.0);
    assert_eq!(pipe.next_due_us(), Some(2_000_000 + 100 + 2_000 + 10_000));
}

proptest! {
    #[test]
    fn bytes_come_out_in_order_and_never_early(
        steps in prop::collection::vec((0i64..50, 0i64..100, 0.0f64..1.0), 1..60),
    ) {
        let (mut pipe, mut now, mut last) = (Pipe::default(), 0, None);
        for (index, (later, delay_us, jitter_share)) in steps.iter().enumerate() {
            now += later;
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
