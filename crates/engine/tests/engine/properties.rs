//! Property tests over random sequences of events.

use crate::harness::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slatevalve::{ClassId, Listing, Micros, Outcome, Scope, WorkerEntry, WorkerState};
use slatevalve_engine::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Call {
        client: u64,
        class: usize,
        key: Option<u8>,
        marked: bool,
    },
    /// Ends the attempt with this index among those in flight.
    EndAttempt {
        index: usize,
        outcome: Outcome,
    },
    /// Reports the end of the first attempt of a request, if that attempt is not in flight.
    EndUnknownAttempt {
        request: u64,
        outcome: Outcome,
    },
    Disconnect {
        ticket: u64,
    },
    AdvanceTime {
        micros: i64,
    },
    SetWorkerGone(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = || {
        prop::sample::select(vec![
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Full,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotSent,
            Outcome::Miss,
        ])
    };
    let step = prop_oneof![
        4 => (0u64..3, 0usize..3, prop::option::of(0u8..4), any::<bool>())
            .prop_map(|(client, class, key, marked)| Step::Call { client, class, key, marked }),
        4 => (0usize..4, outcome()).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        1 => (0u64..30, outcome())
            .prop_map(|(request, outcome)| Step::EndUnknownAttempt { request, outcome }),
        1 => (0u64..30).prop_map(|ticket| Step::Disconnect { ticket }),
        3 => (0i64..400_000).prop_map(|micros| Step::AdvanceTime { micros }),
        1 => any::<bool>().prop_map(Step::SetWorkerGone),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Checks the two guarantees of the engine: each ticket gets one answer, and a non-idempotent call that
    /// may have run is not sent again (asserted by the harness).
    #[test]
    fn each_ticket_gets_one_answer_and_no_non_idempotent_call_can_run_twice(steps in steps()) {
        let mut harness = Harness::with_retention(Micros(100_000_000));
        let (mut submitted, mut disconnected) = (Vec::new(), BTreeSet::new());
        for step in steps {
            match step {
                Step::Call { client, class, key, marked } => {
                    let key = key.map(|k| format!("{class}{k}"));
                    let repeat = match marked {
                        true => Repeat::Marked { covered_since: Some(harness.now) },
                        false => Repeat::Unmarked,
                    };
                    submitted.push(harness.call(client, ClassId(class), key.as_deref(), repeat));
                }
                Step::EndAttempt { index, outcome } => {
                    if let Some((attempt, _)) = harness.in_flight.get(index).cloned() {
                        harness.end(attempt, outcome);
                        harness.drain_outputs();
                    }
                }
                Step::EndUnknownAttempt { request, outcome } => {
                    let attempt = AttemptRef { request: slatevalve::RequestId(request), attempt: 0 };
                    if !harness.in_flight.iter().any(|(a, _)| *a == attempt) {
                        harness.end(attempt, outcome);
                        harness.drain_outputs();
                    }
                }
                Step::Disconnect { ticket } => {
                    if submitted.contains(&Ticket(ticket)) && harness.verdicts(Ticket(ticket)).is_empty() {
                        disconnected.insert(Ticket(ticket));
                        harness.engine.client_disconnected(harness.now, Ticket(ticket), &mut harness.out);
                        harness.drain_outputs();
                    }
                }
                Step::AdvanceTime { micros } => harness.advance_by(micros),
                Step::SetWorkerGone(gone) => {
                    let state = if gone { WorkerState::Gone } else { WorkerState::Ready };
                    let entries = vec![WorkerEntry { id: worker_id("a"), state, ..WorkerEntry::default() }];
                    let listing = Listing { scope: Scope::Changes, entries };
                    harness.engine.workers_listed(harness.now, listing, &mut harness.out);
                    harness.drain_outputs();
                }
            }
        }
        harness.advance_by(3_000_000);
        for ticket in submitted {
            let is_answered = !harness.superseded.contains(&ticket) && !disconnected.contains(&ticket);
            let expected = usize::from(is_answered);
            prop_assert_eq!(harness.verdicts(ticket).len(), expected, "{:?}", ticket);
        }
        prop_assert_eq!(harness.engine.statistics().overdue, 0, "the balancer did not end a call in time");
        prop_assert!(harness.engine.is_idle(), "calls or tickets are still open");
    }
}
