//! The order of turns, and what is known of the age of unread input.

use super::*;
use slatevalve_reactor::Reactor;

const NOW: Micros = Micros(10_000_000);
const NO_TIME: Micros = Micros(10);
/// A read after which no input is left, and a number of bytes that no usual client sends at once.
const SHORT: TurnRead = TurnRead { bytes: 10, unread: 0 };
const MUCH: usize = 10 * WINDOW_MIN_BYTES;

/// Ids of `count` connections.
fn ids(count: usize) -> Vec<Id> {
    let mut reactor = Reactor::new(1_024).unwrap();
    let any_port = "127.0.0.1:0".parse().unwrap();
    (0..count).map(|_| reactor.listen(any_port).unwrap().0).collect()
}

/// A queue with connections that had their first turn.
fn established(ids: &[Id]) -> InputQueue {
    let mut queue = InputQueue::default();
    queue.begin_iteration();
    for id in ids {
        queue.time_used = Micros(0);
        queue.add(*id);
        queue.mark_readable(*id, NOW);
        let turn = queue.next_turn(NOW).unwrap();
        queue.end_turn(NOW, turn, SHORT, NO_TIME);
    }
    queue
}

/// Runs one turn that takes `time` and leaves input unread; returns its connection.
fn full_turn(queue: &mut InputQueue, now: Micros, time: Micros) -> Id {
    queue.time_used = Micros(0);
    let turn = queue.next_turn(now).unwrap();
    queue.end_turn(now, turn, TurnRead { bytes: turn.max_bytes, unread: MUCH }, time);
    turn.connection
}

#[test]
fn a_connection_that_used_little_goes_before_those_that_used_much() {
    let ids = ids(9);
    let mut queue = established(&ids);
    ids[..8].iter().for_each(|id| queue.mark_readable(*id, NOW));
    for _ in 0..80 {
        assert_ne!(full_turn(&mut queue, NOW, Micros(1_000)), ids[8]);
    }
    queue.mark_readable(ids[8], NOW);
    assert_eq!(full_turn(&mut queue, NOW, Micros(1_000)), ids[8]);
}

#[test]
fn a_connection_whose_input_is_read_to_its_end_goes_before_those_with_a_backlog() {
    let ids = ids(400);
    let mut queue = established(&ids);
    ids[1..].iter().for_each(|id| queue.mark_readable(*id, NOW));
    for _ in 0..2 * ids.len() {
        full_turn(&mut queue, NOW, NO_TIME);
    }
    for _ in 0..20 {
        queue.mark_readable(ids[0], NOW);
        let turns_until = (1..).find(|_| {
            queue.time_used = Micros(0);
            let turn = queue.next_turn(NOW).unwrap();
            let is_found = turn.connection == ids[0];
            let read = TurnRead { bytes: turn.max_bytes, unread: MUCH };
            queue.end_turn(NOW, turn, if is_found { SHORT } else { read }, Micros(2_000));
            is_found
        });
        assert!(turns_until <= Some(3), "{turns_until:?} turns");
    }
}

#[test]
fn a_connection_with_a_backlog_gets_some_turns_beside_many_others() {
    let ids = ids(20);
    let mut queue = established(&ids);
    ids.iter().for_each(|id| queue.mark_readable(*id, NOW));
    let mut turns_with_more = 0;
    for _ in 0..20 * TURNS_PER_BACKLOGGED {
        queue.time_used = Micros(0);
        let turn = queue.next_turn(NOW).unwrap();
        let has_more = turn.connection == ids[0];
        turns_with_more += u32::from(has_more);
        let read = TurnRead { bytes: turn.max_bytes, unread: MUCH };
        queue.end_turn(NOW, turn, if has_more { read } else { SHORT }, TURN_TIME_MAX);
        ids.iter().for_each(|id| queue.mark_readable(*id, NOW));
    }
    assert!(turns_with_more >= 9, "{turns_with_more} turns");
}

#[test]
fn connections_that_all_have_more_input_get_turns_in_rotation() {
    let ids = ids(5);
    let mut queue = established(&ids);
    ids.iter().for_each(|id| queue.mark_readable(*id, NOW));
    // By then all have a backlog.
    (0..3 * ids.len()).for_each(|_| {
        full_turn(&mut queue, NOW, Micros(1_000));
    });
    let mut turns: HashMap<Id, usize> = HashMap::new();
    for _ in 0..50 {
        *turns.entry(full_turn(&mut queue, NOW, Micros(1_000))).or_default() += 1;
    }
    assert_eq!(turns.into_values().collect::<Vec<_>>(), [10; 5]);
}

#[test]
fn new_connections_get_half_of_the_time_beside_a_backlog_in_the_order_of_arrival() {
    let ids = ids(6);
    let mut queue = established(&ids[..2]);
    ids[..2].iter().for_each(|id| queue.mark_readable(*id, NOW));
    (0..10).for_each(|_| {
        full_turn(&mut queue, NOW, Micros(1_000));
    });
    for id in &ids[2..] {
        queue.add(*id);
        queue.mark_readable(*id, NOW);
    }
    let turns: Vec<Id> = (0..9)
        .map(|_| {
            queue.time_used = Micros(0);
            let turn = queue.next_turn(NOW).unwrap();
            let is_new = ids[2..].contains(&turn.connection);
            let read = TurnRead { bytes: turn.max_bytes, unread: MUCH };
            queue.end_turn(NOW, turn, if is_new { SHORT } else { read }, Micros(1_000));
            turn.connection
        })
        .collect();
    let new: Vec<Id> = turns.iter().filter(|id| ids[2..].contains(id)).copied().collect();
    assert_eq!(new, ids[2..], "all of them within {turns:?}");
}

/// Guards against usual clients that wait behind others which connect again and again, whatever time their own
/// turns take.
#[test]
fn a_connection_of_light_use_goes_before_all_but_one_of_the_new_ones() {
    let ids = ids(200);
    let mut queue = established(&ids[..1]);
    for id in &ids[1..] {
        queue.add(*id);
        queue.mark_readable(*id, NOW);
    }
    for round in 0..50 {
        let now = Micros(NOW.0 + round * USE_PERIOD.0);
        queue.mark_readable(ids[0], now);
        let turns_until = (1..).find(|_| {
            queue.time_used = Micros(0);
            let turn = queue.next_turn(now).unwrap();
            let is_found = turn.connection == ids[0];
            queue.end_turn(now, turn, SHORT, if is_found { TURN_TIME_MAX } else { NO_TIME });
            is_found
        });
        assert!(turns_until <= Some(2), "{turns_until:?} turns");
    }
}

#[test]
fn stale_input_that_ends_soon_is_read_to_its_end_in_consecutive_turns() {
    let ids = ids(2);
    let later = Micros(NOW.0 + STALE_AGE.0);
    for (unread, is_kept) in [(WINDOW_MIN_BYTES / 2, true), (MUCH, false)] {
        let mut queue = established(&ids);
        ids.iter().for_each(|id| queue.mark_readable(*id, NOW));
        let turn = queue.next_turn(later).unwrap();
        queue.end_turn(later, turn, TurnRead { bytes: turn.max_bytes, unread }, Micros(1_000));
        assert_eq!(queue.next_turn(later).unwrap().connection == turn.connection, is_kept);
    }
}

#[test]
fn stale_input_of_a_connection_that_used_much_is_not_read_in_consecutive_turns() {
    let ids = ids(2);
    let later = Micros(NOW.0 + STALE_AGE.0);
    let mut queue = established(&ids);
    queue.mark_readable(ids[0], NOW);
    (0..10).for_each(|_| {
        full_turn(&mut queue, NOW, TURN_TIME_MAX);
    });
    let turn = queue.next_turn(later).unwrap();
    assert!(turn.client_may_have_left(TURN_BYTES, 1));
    queue.mark_readable(ids[1], later);
    queue.end_turn(later, turn, TurnRead { bytes: turn.max_bytes, unread: 1 }, Micros(1_000));
    assert_eq!(queue.next_turn(later).unwrap().connection, ids[1]);
}

#[test]
fn use_is_forgotten_after_two_periods() {
    let ids = ids(2);
    let mut queue = established(&ids);
    queue.mark_readable(ids[0], NOW);
    let turn = queue.next_turn(NOW).unwrap();
    queue.end_turn(NOW, turn, SHORT, TURN_TIME_MAX);
    let later = Micros(NOW.0 + 2 * USE_PERIOD.0);
    queue.mark_readable(ids[0], later);
    queue.mark_readable(ids[1], later);
    assert_eq!(queue.next_turn(later).unwrap().connection, ids[0], "both used nothing, the first came first");
}

#[test]
fn input_read_to_its_end_has_no_age_and_input_left_unread_keeps_it() {
    let ids = ids(1);
    let mut queue = established(&ids);
    queue.mark_readable(ids[0], NOW);
    full_turn(&mut queue, NOW, NO_TIME);
    let later = Micros(NOW.0 + STALE_AGE.0);
    queue.mark_readable(ids[0], later);
    let turn = queue.next_turn(later).unwrap();
    assert_eq!(turn.age, STALE_AGE);
    assert!(turn.client_may_have_left(TURN_BYTES, WINDOW_MIN_BYTES), "much more is unread");
    assert!(!turn.client_may_have_left(100, 0), "all was read");
    queue.end_turn(later, turn, SHORT, NO_TIME);
    queue.mark_readable(ids[0], later);
    assert_eq!(queue.next_turn(later).unwrap().age, Micros(0));
}

#[test]
fn the_end_of_much_input_counts_only_if_nothing_follows_with_the_next_poll() {
    let ids = ids(1);
    let later = Micros(NOW.0 + STALE_AGE.0);
    for (polls, may_have_left) in [(1, true), (2, false)] {
        let mut queue = established(&ids);
        queue.mark_readable(ids[0], NOW);
        (0..WINDOW_MIN_BYTES / TURN_BYTES).for_each(|_| {
            full_turn(&mut queue, NOW, NO_TIME);
        });
        let turn = queue.next_turn(NOW).unwrap();
        queue.end_turn(NOW, turn, SHORT, NO_TIME);
        (0..polls).for_each(|_| queue.begin_iteration());
        queue.mark_readable(ids[0], later);
        let turn = queue.next_turn(later).unwrap();
        assert_eq!(turn.client_may_have_left(10, 0), may_have_left, "after {polls} polls");
    }
}

#[test]
fn a_suspended_connection_gets_no_turn_until_it_is_resumed() {
    let ids = ids(1);
    let mut queue = established(&ids);
    queue.mark_readable(ids[0], NOW);
    queue.suspend(ids[0]);
    queue.mark_readable(ids[0], NOW);
    assert_eq!((queue.next_turn(NOW), queue.has_waiting()), (None, false));
    queue.resume(ids[0]);
    queue.mark_readable(ids[0], NOW);
    assert!(queue.next_turn(NOW).is_some());
}

/// Guards against an iteration that handles all input, whatever that takes (report 9fde00).
#[test]
fn turns_end_with_the_time_of_an_iteration_and_go_on_in_the_next_one() {
    let ids = ids(1);
    let mut queue = established(&ids);
    queue.mark_readable(ids[0], NOW);
    queue.begin_iteration();
    let mut turns = 0;
    while let Some(turn) = queue.next_turn(NOW) {
        turns += 1;
        let read = TurnRead { bytes: turn.max_bytes, unread: MUCH };
        queue.end_turn(NOW, turn, read, Micros(TURNS_PER_ITERATION.0 / 4));
    }
    assert_eq!((turns, queue.has_waiting()), (4, true));
    queue.begin_iteration();
    assert!(queue.next_turn(NOW).is_some());
}
