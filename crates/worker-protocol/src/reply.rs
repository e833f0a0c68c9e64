//! What a worker answers: encoded by the stand-in worker, read by the gateway as the module's outcome.

use crate::order::WorkerRequest;
use crate::{headers, tensor};
use serde_json::{json, Value};
use slatevalve::{Outcome, Report};
use slatevalve_http::Message;

/// What a worker reports of its load; each value only where it has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls waiting.
    pub queue: Option<f64>,
    /// Calls in hand.
    pub inflight: Option<f64>,
    /// Busy share of the cores, 0 to 1.
    pub util: Option<f64>,
}

/// A worker's answer, as the worker means it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call ran.
    Served {
        /// What it gave.
        payload: Vec<u8>,
        /// Version or digest that ran.
        ran: Option<String>,
    },
    /// The call ran, or may have, and gave no result.
    Failed(String),
    /// The call was never begun: no room.
    Full,
    /// The call was never begun: the function is not loaded here.
    Miss,
    /// The answer to an order about copies: how many stand.
    Copies(u32),
    /// An order about copies found no room.
    NoRoom,
    /// A load failed.
    LoadFailed,
    /// The answer to a probe.
    Ready,
    /// The request was no order of this profile.
    BadRequest(String),
}

/// What the gateway understood of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedReply {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The result, for [`Outcome::Ok`] of a call.
    pub payload: Vec<u8>,
    /// Copies that stand, for orders.
    pub copies: u32,
    /// Calls of the same function that the worker held on arrival.
    pub queue_depth: Option<u64>,
    /// The load behind it failed.
    pub load_failed: bool,
    /// Version or digest that ran.
    pub ran: Option<String>,
    /// The worker's report.
    pub report: Option<Report>,
}

impl Reply {
    /// The response's bytes; `load` and `queue_depth` go along where given.
    pub fn encode(&self, load: Option<LoadReport>, queue_depth: Option<u64>) -> Vec<u8> {
        let mut extra: Vec<(&str, String)> = Vec::new();
        let error = |words: &str| json!({ "error": words }).to_string().into_bytes();
        let (status, body) = match self {
            Reply::Served { payload, ran } => {
                let (body, length) = tensor::wrap("outputs", json!({"model_name": ""}), payload);
                extra.push((headers::JSON_LENGTH, length.to_string()));
                extra.extend(ran.iter().map(|ran| (headers::RAN, ran.clone())));
                ("200 OK", body)
            }
            Reply::Failed(words) => ("500 Internal Server Error", error(words)),
            Reply::Full => {
                extra.push((headers::NEVER_RAN, headers::NEVER_RAN_FULL.into()));
                ("503 Service Unavailable", error("full"))
            }
            Reply::Miss => {
                extra.push((headers::NEVER_RAN, headers::NEVER_RAN_MISS.into()));
                ("404 Not Found", error("not loaded"))
            }
            Reply::Copies(copies) => {
                extra.push((headers::COPIES, copies.to_string()));
                ("200 OK", b"[]".to_vec())
            }
            Reply::NoRoom => {
                extra.push((headers::NEVER_RAN, headers::NEVER_RAN_FULL.into()));
                ("503 Service Unavailable", error("no room"))
            }
            Reply::LoadFailed => {
                extra.push((headers::LOAD_FAILED, "1".into()));
                ("500 Internal Server Error", error("the load failed"))
            }
            Reply::Ready => ("200 OK", b"{}".to_vec()),
            Reply::BadRequest(words) => ("400 Bad Request", error(words)),
        };
        extra.extend(queue_depth.map(|n| (headers::QUEUE_DEPTH, n.to_string())));
        extra.extend(load.map(|l| (headers::LOAD, l.to_header())));
        let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in extra {
            // Whatever could end the header early is not sent.
            let value: String = value.chars().filter(|c| !c.is_control()).collect();
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend(body);
        bytes
    }
}

impl LoadReport {
    /// The header's value: an ORCA load report in its JSON form.
    fn to_header(self) -> String {
        let mut named = serde_json::Map::new();
        named.extend(self.queue.map(|v| ("queue".to_string(), json!(v))));
        named.extend(self.inflight.map(|v| ("inflight".to_string(), json!(v))));
        let mut report = json!({ "named_metrics": named });
        if let Some(util) = self.util {
            report["cpu_utilization"] = json!(util);
        }
        format!("JSON {report}")
    }

    fn from_header(text: &str) -> Option<Report> {
        let report: Value = serde_json::from_str(text.strip_prefix("JSON ")?).ok()?;
        // A report is a hint: values that are no measure are left out, so that none reaches the module.
        let number = |at: &str| {
            report.pointer(at).and_then(Value::as_f64).filter(|v| v.is_finite() && (0.0..1e9).contains(v))
        };
        Some(Report {
            queue: number("/named_metrics/queue"),
            inflight: number("/named_metrics/inflight"),
            util: number("/cpu_utilization"),
        })
    }
}

/// What an answer to `order` means. A call that was answered without the profile's own header may have run, so it
/// is an error, whatever its status: 404, 429, 502 and 503 may come from anything between.
pub fn read(order: &WorkerRequest, message: Message) -> ParsedReply {
    let head = &message.head;
    let number = |name| head.header(name).and_then(|v| v.parse::<u64>().ok());
    let good = (200..300).contains(&head.status);
    let never_ran = head.header(headers::NEVER_RAN).filter(|_| !good).and_then(|v| match v {
        headers::NEVER_RAN_FULL => Some(Outcome::Full),
        headers::NEVER_RAN_MISS => Some(Outcome::Miss),
        _ => None,
    });
    let mut understood = ParsedReply {
        outcome: never_ran.unwrap_or(if good { Outcome::Ok } else { Outcome::Error }),
        payload: Vec::new(),
        copies: number(headers::COPIES).and_then(|n| u32::try_from(n).ok()).unwrap_or(0),
        queue_depth: number(headers::QUEUE_DEPTH),
        load_failed: head.header(headers::LOAD_FAILED) == Some("1"),
        ran: head.header(headers::RAN).map(str::to_string),
        report: head.header(headers::LOAD).and_then(LoadReport::from_header),
    };
    match order {
        WorkerRequest::Infer(_) if good => match tensor::unwrap("outputs", message) {
            Ok(payload) => understood.payload = payload,
            // It says that it ran, and gave nothing that can be passed on.
            Err(_) => understood.outcome = Outcome::Error,
        },
        WorkerRequest::Load { copies, .. } if good && understood.copies == 0 => {
            // Servers without the project's header say no more than that the load stands.
            understood.copies = *copies;
        }
        _ => {}
    }
    understood
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Call, Limits, MessageReader, Side};

    fn through(bytes: &[u8]) -> ParsedReply {
        let message = MessageReader::new(Side::Response, Limits::default()).feed(bytes).unwrap();
        read(&WorkerRequest::Infer(Call::default()), message.expect("whole"))
    }

    #[test]
    fn only_the_profiles_own_header_proves_that_a_call_never_ran() {
        assert_eq!(through(&Reply::Full.encode(None, None)).outcome, Outcome::Full);
        assert_eq!(through(&Reply::Miss.encode(None, None)).outcome, Outcome::Miss);
        for status in ["404 Not Found", "429 Too Many Requests", "502 Bad Gateway", "503 Unavailable"] {
            let bare = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            assert_eq!(through(bare.as_bytes()).outcome, Outcome::Error, "{status}");
        }
        let odd = b"HTTP/1.1 503 x\r\nX-Never-Ran: perhaps\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(through(odd).outcome, Outcome::Error);
        // A success cannot claim that it never ran.
        let served = Reply::Served { payload: b"p".to_vec(), ran: None }.encode(None, None);
        let text =
            String::from_utf8(served).unwrap().replace("200 OK\r\n", "200 OK\r\nX-Never-Ran: full\r\n");
        assert_eq!(through(text.as_bytes()).outcome, Outcome::Ok);
    }

    #[test]
    fn a_result_comes_with_what_the_worker_told_beside_it() {
        let load = LoadReport { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
        let reply = Reply::Served { payload: vec![0, 255], ran: Some("sha256:ab".into()) };
        let understood = through(&reply.encode(Some(load), Some(4)));
        assert_eq!((understood.outcome, understood.payload.as_slice()), (Outcome::Ok, &[0u8, 255][..]));
        assert_eq!((understood.queue_depth, understood.ran.as_deref()), (Some(4), Some("sha256:ab")));
        let report = Report { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
        assert_eq!(understood.report, Some(report));
    }

    #[test]
    fn a_success_without_a_payload_is_an_error_and_wild_reports_are_left_out() {
        let bare = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        assert_eq!(through(bare).outcome, Outcome::Error);
        let wild = b"HTTP/1.1 500 x\r\nendpoint-load-metrics: JSON {\"cpu_utilization\":-1,\"named_metrics\":{\"queue\":1e300}}\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(through(wild).report, Some(Report::default()));
    }
}
