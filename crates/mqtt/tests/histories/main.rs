//! Random histories of an MQTT peer that does what the standard allows, against front and bridge without I/O:
//! packets under way are lost with their connection, sessions are resumed, publishes are sent again with less
//! message expiry and in another form, and acknowledgements take their time. Each call must be started once and
//! get one answer.
//!
//! `SLATEVALVE_HISTORIES` sets the number of histories of each test and `SLATEVALVE_HISTORIES_SEED` their seed.

mod broker;
mod calls;
mod client;

use broker::BrokerHistory;
use client::ClientHistory;
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Histories of each test in CI.
const DEFAULT_HISTORIES: u32 = 1_500;
const DEFAULT_SEED: u64 = 65;
/// A message expiry that no history lives to see the end of, in seconds.
const EXPIRY_S: u32 = 100_000;

/// What happens next. An index selects among what there is, modulo its number.
#[derive(Clone, Copy, Debug)]
enum Step {
    Publish,
    /// The gateway receives the next packet.
    ToGateway,
    /// The peer receives the next packet.
    ToPeer,
    /// A call ends.
    Answer(usize),
    /// The connection breaks; all packets under way are lost. The session is resumed after some seconds.
    Break(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Publish),
        6 => Just(Step::ToGateway),
        6 => Just(Step::ToPeer),
        3 => any::<usize>().prop_map(Step::Answer),
        1 => (0u8..5).prop_map(Step::Break),
    ];
    prop::collection::vec(step, 0..120)
}

fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    ProptestConfig {
        cases: number("SLATEVALVE_HISTORIES").map_or(DEFAULT_HISTORIES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("SLATEVALVE_HISTORIES_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// The properties of a call's publish, as it is sent `waited_s` after its first delivery.
fn properties(waited_s: u32, is_resent: bool) -> Vec<Property> {
    let mut properties = vec![
        MessageExpiryInterval::new(EXPIRY_S.saturating_sub(waited_s)).unwrap().into(),
        ResponseTopic::new("replies/app").unwrap().into(),
        ContentType::new("text").unwrap().into(),
    ];
    if is_resent {
        properties.reverse();
    }
    properties
}

proptest! {
    #![proptest_config(config())]

    /// Guards against calls of direct clients that run or are answered twice or never (review/10).
    #[test]
    fn each_call_of_a_client_is_started_once_and_answered_once(
        steps in steps(),
        is_v5 in any::<bool>(),
        is_exactly_once in any::<bool>(),
        receive_maximum in 1u16..5,
    ) {
        let version = if is_v5 { Version::V5_0 } else { Version::V3_1_1 };
        let qos = if is_exactly_once { Qos::ExactlyOnce } else { Qos::AtLeastOnce };
        let mut history = ClientHistory::new(version, qos, receive_maximum);
        steps.into_iter().for_each(|step| history.take(step));
        history.finish();
    }

    /// Guards against calls behind a broker that run or are answered twice or never (review/10).
    #[test]
    fn each_call_of_a_broker_is_started_once_and_answered_once(
        steps in steps(),
        receive_maximum in 1u16..5,
        send_maximum in 1u16..5,
    ) {
        let mut history = BrokerHistory::new(receive_maximum, send_maximum);
        steps.into_iter().for_each(|step| history.take(step));
        history.finish();
    }
}
