//! What routers say of themselves: lines of their JSON logs that tell when they held a list and what they heard of a worker.

use serde::Deserialize;

/// What a line tells.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Told {
    /// The router holds a list of so many workers; whether it is the registry's word, not the disk's.
    List { workers: u64, heard: bool },
    /// A worker drains.
    Drains(String),
}

#[derive(Deserialize)]
struct Line {
    timestamp: String,
    fields: Fields,
}

#[derive(Deserialize)]
struct Fields {
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

/// Reads a log; lines that tell nothing of this are passed by. Times in microseconds of the Unix clock.
pub(crate) fn read(log: &str) -> Vec<(i64, Told)> {
    let line = |text: &str| {
        let Line { timestamp, fields } = serde_json::from_str(text).ok()?;
        let told = match (fields.message.as_str(), fields.workers, fields.worker) {
            ("the list of workers", Some(workers), _) => {
                let heard = fields.scope.as_deref() == Some("Full");
                Told::List { workers, heard }
            }
            ("worker", _, Some(worker)) if fields.state.as_deref() == Some("Draining") => {
                Told::Drains(worker)
            }
            _ => return None,
        };
        Some((unix_us(&timestamp)?, told))
    };
    log.lines().filter_map(line).collect()
}

/// `2026-12-01T23:59:59.123456Z` in microseconds since 1970; the days by Howard Hinnant's `days_from_civil`.
fn unix_us(text: &str) -> Option<i64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|n| n.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, part) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|n| n.parse::<i64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    let micros: i64 = format!("{part:0<6}").get(..6)?.parse().ok()?;
    let year = year - i64::from(month <= 2);
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let days = era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000_000 + micros)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_log_tells_lists_and_drains_and_the_rest_is_passed_by() {
        let log = concat!(
            r#"{"timestamp":"1970-01-02T00:00:01.5Z","level":"INFO","fields":{"message":"the list of workers","workers":3,"scope":"Full"}}"#,
            "\nnot a line\n",
            r#"{"timestamp":"2024-03-01T00:00:00.000007Z","fields":{"message":"worker","worker":"w-1","state":"Draining"}}"#,
            "\n",
            r#"{"timestamp":"2024-03-01T00:00:00Z","fields":{"message":"worker","worker":"w-1","state":"Ready"}}"#,
        );
        let told = read(log);
        assert_eq!(told[0], (86_401_500_000, Told::List { workers: 3, heard: true }));
        assert_eq!(told[1], (1_709_251_200_000_007, Told::Drains("w-1".into())));
        assert_eq!(told.len(), 2);
    }
}
