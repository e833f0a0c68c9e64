//! The payload of calls between test clients and test workers.

/// The number of leading payload bytes that are parsed.
const MAX_READ: usize = 256;
/// The work that a payload may state, in microseconds, exclusive; other values are ignored.
const MAX_WORK_US: i64 = 60_000_000;

/// The fields of a payload: `call=NAME work-us=N`, both optional, followed by arbitrary bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallBody {
    /// The name of the call in the trace.
    pub call: Option<String>,
    /// Work at full capacity, in microseconds.
    pub work_us: Option<i64>,
}

impl CallBody {
    /// Parses a payload.
    #[must_use]
    pub fn read(payload: &[u8]) -> Self {
        let text = String::from_utf8_lossy(&payload[..payload.len().min(MAX_READ)]);
        let field = |name: &str| text.split_whitespace().find_map(|word| word.strip_prefix(name));
        let work_us = field("work-us=").and_then(|number| number.parse().ok());
        CallBody {
            call: field("call=").map(str::to_string),
            work_us: work_us.filter(|work_us| (0..MAX_WORK_US).contains(work_us)),
        }
    }

    /// Formats a payload that [`CallBody::read`] parses.
    #[must_use]
    pub fn write(call: &str, work_us: i64) -> Vec<u8> {
        format!("call={call} work-us={work_us}").into_bytes()
    }
}
