//! Properties over random sequences of events.

use crate::harness::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slatevalve::{ClassId, Listing, Micros, Outcome, Scope, WorkerEntry};
use slatevalve_engine::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Call { client: u64, class: usize, key: Option<u8>, marked: bool },
    End { which: usize, outcome: Outcome },
    Late { which: u64, outcome: Outcome },
    Leave(u64),
    Pass(i64),
    Gone(bool),
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
        4 => (0usize..4, outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0u64..30, outcome()).prop_map(|(which, outcome)| Step::Late { which, outcome }),
        1 => (0u64..30).prop_map(Step::Leave),
        3 => (0i64..400_000).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Gone),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// The two promises: one answer for each ticket, and no key that may have run is sent again.
    #[test]
    fn whatever_happens_each_ticket_is_answered_once_and_no_charge_is_sent_twice(steps in steps()) {
        let mut harness = Harness::with_retention(Micros(100_000_000));
        let (mut asked, mut left) = (Vec::new(), BTreeSet::new());
        for step in steps {
            match step {
                Step::Call { client, class, key, marked } => {
                    let key = key.map(|k| format!("{class}{k}"));
                    let repeat = match marked {
                        true => Repeat::Marked { covered_since: Some(harness.now) },
                        false => Repeat::Unmarked,
                    };
                    asked.push(harness.call(client, ClassId(class), key.as_deref(), repeat));
                }
                Step::End { which, outcome } => {
                    if let Some((attempt, _)) = harness.waiting.get(which).cloned() {
                        harness.end(attempt, outcome);
                        harness.drain_outputs();
                    }
                }
                Step::Late { which, outcome } => {
                    let attempt = AttemptRef { request: slatevalve::RequestId(which), attempt: 0 };
                    if !harness.waiting.iter().any(|(a, _)| *a == attempt) {
                        harness.end(attempt, outcome);
                        harness.drain_outputs();
                    }
                }
                Step::Leave(ticket) => {
                    if asked.contains(&Ticket(ticket)) && harness.verdicts(Ticket(ticket)).is_empty() {
                        left.insert(Ticket(ticket));
                        harness.engine.client_disconnected(harness.now, Ticket(ticket), &mut harness.out);
                        harness.drain_outputs();
                    }
                }
                Step::Pass(micros) => harness.advance_by(micros),
                Step::Gone(gone) => {
                    let state = if gone { slatevalve::WorkerState::Gone } else { slatevalve::WorkerState::Ready };
                    let entries = vec![WorkerEntry { id: worker_id("a"), state, ..WorkerEntry::default() }];
                    let listing = Listing { scope: Scope::Changes, entries };
                    harness.engine.workers_listed(harness.now, listing, &mut harness.out);
                    harness.drain_outputs();
                }
            }
        }
        harness.advance_by(3_000_000);
        for ticket in asked {
            let owed = usize::from(!harness.superseded.contains(&ticket) && !left.contains(&ticket));
            prop_assert_eq!(harness.verdicts(ticket).len(), owed, "{:?}", ticket);
        }
        prop_assert_eq!(harness.engine.statistics().overdue, 0, "the module left a call without an answer");
        prop_assert!(harness.engine.is_idle(), "something is left behind");
    }
}
