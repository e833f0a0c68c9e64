//! The payload of calls between test clients and test workers.

/// The bytes of a payload that are read.
const MAX_READ: usize = 256;
/// A payload that states this much work, in microseconds, or more is ignored.
const MAX_WORK_US: i64 = 60_000_000;

/// What a payload states: `call=NAME work-us=N`, both optional, then anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallBody {
    /// The call's name in the trace.
    pub call: Option<String>,
    /// Microseconds of work at full capacity.
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

    /// Formats a payload.
    #[must_use]
    pub fn write(call: &str, work_us: i64) -> Vec<u8> {
        format!("call={call} work-us={work_us}").into_bytes()
    }
}
