//! Extracts events from the JSON logs of routers: complete worker lists and drain notifications. The matched
//! messages and fields are those of earlier builds too.

use serde::Deserialize;

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoggedEvent {
    /// Microseconds of the Unix clock.
    pub(crate) at_us: i64,
    pub(crate) event: LogEvent,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LogEvent {
    /// The router has a complete list of this many workers.
    WorkerList { workers: u64, source: ListSource },
    /// The router was notified that a worker drains.
    Draining(String),
}

/// The source of a worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListSource {
    Registry,
    Disk,
}

#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    fields: LogFields,
}

#[derive(Deserialize)]
struct LogFields {
    #[serde(default)]
    message: String,
    #[serde(default)]
    workers: Option<u64>,
    #[serde(default)]
    scope: Option<String>,
    #[serde(default)]
    worker: Option<String>,
    #[serde(default)]
    state: Option<String>,
}

/// Parses a log; lines that are not one of the events are skipped.
pub(crate) fn parse(log: &str) -> Vec<LoggedEvent> {
    log.lines().filter_map(parse_line).collect()
}

fn parse_line(text: &str) -> Option<LoggedEvent> {
    let LogLine { timestamp, fields } = serde_json::from_str(text).ok()?;
    let event = match (fields.message.as_str(), fields.workers, fields.worker) {
        ("the list of workers", Some(workers), _) => {
            let is_from_registry = fields.scope.as_deref() == Some("Full");
            let source = if is_from_registry { ListSource::Registry } else { ListSource::Disk };
            LogEvent::WorkerList { workers, source }
        }
        ("worker", _, Some(worker)) if fields.state.as_deref() == Some("Draining") => {
            LogEvent::Draining(worker)
        }
        _ => return None,
    };
    Some(LoggedEvent { at_us: parse_timestamp(&timestamp)?, event })
}

/// Parses a timestamp like `2026-12-01T23:59:59.123456Z`; returns microseconds since 1970.
fn parse_timestamp(text: &str) -> Option<i64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let [year, month, day] = parse_numbers(date, '-')?;
    let [hour, minute, second] = parse_numbers(time, ':')?;
    let micros: i64 = format!("{fraction:0<6}").get(..6)?.parse().ok()?;
    let seconds = ((days_since_epoch(year, month, day) * 24 + hour) * 60 + minute) * 60 + second;
    Some(seconds * 1_000_000 + micros)
}

fn parse_numbers(text: &str, separator: char) -> Option<[i64; 3]> {
    let mut numbers = text.splitn(3, separator).map(|number| number.parse().ok());
    Some([numbers.next()??, numbers.next()??, numbers.next()??])
}

/// Days since 1970-01-01, by Howard Hinnant's `days_from_civil`. Years start in March, so that a leap day is
/// the last day.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = year - i64::from(month <= 2);
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468
}

#[cfg(test)]
mod tests;
