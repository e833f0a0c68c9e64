//! Repeats of keyed calls near the end of the time for which workers recognize the key.

use slatevalve::*;

const MEMORY: Micros = Micros(2_000_000);
const BUDGET: Micros = Micros(3_000_000);
const STARTED_AT: Micros = Micros(1_000_000);

/// Passes an event to the balancer and returns the time limits of the attempts that it sends.
fn sent(balancer: &mut Balancer, at: Micros, event: Event) -> Vec<Option<Micros>> {
    let mut actions = Vec::new();
    balancer.handle(at, event, &mut actions);
    let limits = actions.iter().filter_map(|action| match action {
        Action::Send { send_before, .. } => Some(*send_before),
        _ => None,
    });
    limits.collect()
}

/// Guards against a booking that runs twice because its repeat was decided in time and left later, over a slow
/// connection: a repeat has to leave before workers forget the key.
#[test]
fn a_repeat_must_be_sent_before_workers_forget_its_key() {
    for group in [Group::All, Group::Zone, Group::Cell] {
        let class = Class { effect: Effect::IdempotentWithKey { group, memory: MEMORY }, ..Class::default() };
        let mut settings = Settings { classes: vec![class], ..Settings::default() };
        settings.limits.probes = false;
        settings.loading.on_request = true;
        let mut balancer = Balancer::new(settings, 1);
        let entries = (1..=2).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
        let listing = Listing { scope: Scope::Full, entries };
        sent(&mut balancer, STARTED_AT, Event::WorkersListed(listing));
        let request = Request { id: RequestId(1), budget: BUDGET, ..Request::default() };
        assert_eq!(
            sent(&mut balancer, STARTED_AT, Event::Request(request)),
            [None],
            "no attempt could have run"
        );
        let reset = Event::Answer(Answer {
            id: RequestId(1),
            attempt: 0,
            worker: WorkerId(1),
            outcome: Outcome::Reset,
            closed: false,
            latency: Micros(1_800_000),
            queue_depth: None,
            load_failed: false,
            report: None,
            process: None,
        });
        let limits = sent(&mut balancer, Micros(STARTED_AT.0 + 1_800_000), reset);
        let [Some(send_before)] = limits[..] else { panic!("{group:?}: {limits:?}") };
        assert!(send_before < Micros(STARTED_AT.0 + MEMORY.0), "{group:?}: {send_before:?}");
        assert!(send_before.0 > STARTED_AT.0 + 1_800_000, "{group:?}: {send_before:?}");
    }
}
