//! Parsing of router logs.

use super::*;

#[test]
fn lists_and_drains_are_parsed_and_other_lines_skipped() {
    let log = concat!(
        r#"{"timestamp":"1970-01-02T00:00:01.5Z","level":"INFO","fields":{"message":"the list of workers","workers":3,"scope":"Full"}}"#,
        "\nnot a line\n",
        r#"{"timestamp":"2024-03-01T00:00:00.000007Z","fields":{"message":"worker","worker":"w-1","state":"Draining"}}"#,
        "\n",
        r#"{"timestamp":"2024-03-01T00:00:00Z","fields":{"message":"worker","worker":"w-1","state":"Ready"}}"#,
    );
    let events = parse(log);
    let list = LogEvent::WorkerList { workers: 3, source: ListSource::Registry };
    assert_eq!(events[0], LoggedEvent { at_us: 86_401_500_000, event: list });
    let drain = LogEvent::Draining("w-1".into());
    assert_eq!(events[1], LoggedEvent { at_us: 1_709_251_200_000_007, event: drain });
    assert_eq!(events.len(), 2);
}
