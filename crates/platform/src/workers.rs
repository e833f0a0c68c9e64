//! The platform's line protocol of workers, client side: requests as lines, answers from lines, within bounds.
//!
//! It guards the outcome of each request: `NOENT`, `AGAIN` and `STALE` prove that it never ran, all else may have. Lines
//! without end, lengths that do not fit and claims beyond the bound end the connection; answers under an unknown id, and
//! second copies, are passed over and leave a connection that is not used again. Called by the gateway's pool as its
//! [`WorkerProtocol`].

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::{
    CompletedRequest, MalformedReply, Reader, Tag, WorkerProtocol, WorkerRequest,
};

/// The longest line of an answer: an id, a word, fields and a length.
const MAX_LINE: usize = 1024;
/// The longest body of an answer; requests' own bodies are 16 KiB at most.
const MAX_BODY: usize = 256 * 1024;

/// The protocol, with what the settings say of it.
#[derive(Clone, Copy, Debug)]
pub struct Lines {
    /// Requests that one connection may carry at a time.
    pub streams: usize,
    /// Whether answers tell of the calls of the same function that the worker held; absent means none then.
    pub tells_crowd: bool,
}

/// What stands for a request on the wire: the client's own id for a call, a name of ours for all else.
fn name(tag: Tag, order: &WorkerRequest) -> String {
    match order {
        WorkerRequest::Infer(call) => call.request_id.clone(),
        _ => format!("t{}", tag.0),
    }
}

impl WorkerProtocol for Lines {
    fn streams(&self) -> usize {
        self.streams
    }

    fn partial_request_may_run(&self) -> bool {
        false
    }

    fn reader(&self) -> Box<dyn Reader> {
        let (expected, buffer) = (Vec::new(), Vec::new());
        Box::new(LineReader { wire: *self, expected, buffer, surplus: false })
    }

    fn encode(&self, _: &str, tag: Tag, order: &WorkerRequest) -> Vec<u8> {
        let name = name(tag, order);
        match order {
            WorkerRequest::Infer(call) => {
                let mut line = format!("exec {name} profile={},thing={}", call.class, call.function);
                line.push_str(&format!(",max={}", call.time_left_ms.max(1)));
                if let Some(key) = &call.key {
                    line.push_str(",replay=");
                    line.push_str(&String::from_utf8_lossy(key));
                }
                line.push_str(&format!(" {}\r\n", call.payload.len()));
                let mut bytes = line.into_bytes();
                bytes.extend_from_slice(&call.payload);
                bytes.extend_from_slice(b"\r\n");
                bytes
            }
            WorkerRequest::Load { function, copies } => {
                format!("ensure {name} thing={function},copies={copies}\r\n").into_bytes()
            }
            WorkerRequest::Count { function } => {
                format!("ensure {name} thing={function},copies=0\r\n").into_bytes()
            }
            WorkerRequest::Unload { function } => format!("release {function}\r\n").into_bytes(),
            WorkerRequest::Ready => format!("load {name}\r\n").into_bytes(),
        }
    }

    fn give_up(&self, order: &WorkerRequest) -> Option<Vec<u8>> {
        match order {
            WorkerRequest::Infer(call) => Some(format!("drop {}\r\n", call.request_id).into_bytes()),
            _ => None,
        }
    }
}

struct Expected {
    tag: Tag,
    name: String,
    call: bool,
}

struct LineReader {
    wire: Lines,
    /// Requests out on the connection; as many as it may carry at most.
    expected: Vec<Expected>,
    buffer: Vec<u8>,
    /// Something came that nobody asked for.
    surplus: bool,
}

/// One answer, cut out of the bytes.
struct Said<'a> {
    id: &'a str,
    word: &'a str,
    fields: &'a str,
    body: &'a [u8],
    /// Its length with all line ends.
    length: usize,
}

impl Reader for LineReader {
    fn expect(&mut self, tag: Tag, order: &WorkerRequest) {
        // Nothing is ever told of an order to unload.
        if !matches!(order, WorkerRequest::Unload { .. }) {
            let call = matches!(order, WorkerRequest::Infer(_));
            self.expected.push(Expected { tag, name: name(tag, order), call });
        }
    }

    fn forget(&mut self, tag: Tag) {
        self.expected.retain(|e| e.tag != tag);
    }

    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply> {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        let mut fed = Ok(());
        loop {
            let said = match answer(self.buffer.get(start..).unwrap_or_default()) {
                Ok(Some(said)) => said,
                Ok(None) => break,
                Err(MalformedReply) => {
                    fed = Err(MalformedReply);
                    break;
                }
            };
            start += said.length;
            match self.expected.iter().position(|e| e.name == said.id) {
                Some(at) => {
                    let expected = self.expected.remove(at);
                    match understand(&self.wire, expected.call, &said) {
                        Some(understood) => out.push(CompletedRequest { tag: expected.tag, understood }),
                        None => {
                            // An answer that cannot be: this request may have run, like the others here.
                            self.expected.push(expected);
                            fed = Err(MalformedReply);
                            break;
                        }
                    }
                }
                None => self.surplus = true,
            }
        }
        self.buffer.drain(..start);
        if self.expected.is_empty() && !self.buffer.is_empty() {
            self.surplus = true;
        }
        fed
    }

    fn end(&mut self) -> Option<CompletedRequest> {
        None
    }

    fn is_clean(&self) -> bool {
        !self.surplus && self.buffer.is_empty()
    }
}

/// The answer at the start of `bytes`, once it is whole.
fn answer(bytes: &[u8]) -> Result<Option<Said<'_>>, MalformedReply> {
    let Some(end) = bytes.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return if bytes.len() >= MAX_LINE { Err(MalformedReply) } else { Ok(None) };
    };
    let line = bytes.get(..end).and_then(|l| l.strip_suffix(b"\r")).ok_or(MalformedReply)?;
    let line = std::str::from_utf8(line).map_err(|_| MalformedReply)?;
    let mut words = line.split(' ');
    let (Some(id), Some(word), Some(fields)) = (words.next(), words.next(), words.next()) else {
        return Err(MalformedReply);
    };
    let (length, more) = (words.next().ok_or(MalformedReply)?, words.next());
    if more.is_some() || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MalformedReply);
    }
    let length: usize = length.parse().map_err(|_| MalformedReply)?;
    if length > MAX_BODY {
        return Err(MalformedReply);
    }
    let start = end + 1;
    let Some(rest) = bytes.get(start..start + length + 2) else { return Ok(None) };
    let (body, behind) = rest.split_at(length);
    if behind != b"\r\n" {
        return Err(MalformedReply);
    }
    Ok(Some(Said { id, word, fields, body, length: start + length + 2 }))
}

/// What an answer means, or nothing where it cannot be one to this request.
fn understand(wire: &Lines, call: bool, said: &Said<'_>) -> Option<ParsedReply> {
    let outcome = match said.word {
        "ACK" | "READY" => Outcome::Ok,
        "NOENT" => Outcome::Miss,
        "AGAIN" => Outcome::Full,
        "EIO" | "AILING" => Outcome::Error,
        "STALE" => Outcome::NotSent,
        _ => return None,
    };
    let mut understood = ParsedReply {
        outcome,
        payload: if call && outcome == Outcome::Ok { said.body.to_vec() } else { Vec::new() },
        copies: 0,
        queue_depth: None,
        load_failed: false,
        ran: None,
        report: None,
    };
    let mut queue_depth = 0;
    let pairs = said.fields.split(',').filter(|_| said.fields != "-");
    for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        match name {
            "copies" => understood.copies = value.parse().unwrap_or(0),
            "queue_fn" => queue_depth = value.parse().unwrap_or(0),
            "report" => understood.report = Some(report(value)),
            // The load that the request waited for failed.
            "remark" => understood.load_failed = value == "f",
            _ => {}
        }
    }
    let told = call && wire.tells_crowd && matches!(outcome, Outcome::Ok | Outcome::Full);
    understood.queue_depth = told.then_some(queue_depth);
    Some(understood)
}

/// `inflight:7;util:0.61`, under the platform's or the simulator's names.
fn report(value: &str) -> Report {
    let mut report = Report::default();
    for (name, figure) in value.split(';').filter_map(|pair| pair.split_once(':')) {
        let figure = figure.parse::<f64>().ok().filter(|f| f.is_finite());
        match name {
            "queue" | "backlog" => report.queue = figure,
            "inflight" | "outstanding" => report.inflight = figure,
            "util" | "utilization" => report.util = figure,
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests {
    use super::*;
    use slatevalve_worker_protocol::Call;

    const WIRE: Lines = Lines { streams: 4, tells_crowd: true };

    fn exec(id: &str) -> WorkerRequest {
        WorkerRequest::Infer(Call {
            function: "7f3a9c21e0b4d655".into(),
            payload: b"a\r\nb".to_vec(),
            request_id: id.into(),
            time_left_ms: 1500,
            class: "fare-quote".into(),
            ..Call::default()
        })
    }

    fn heard(
        orders: &[WorkerRequest],
        bytes: &[u8],
    ) -> (Vec<CompletedRequest>, Result<(), MalformedReply>, bool) {
        let mut reader = WIRE.reader();
        orders.iter().enumerate().for_each(|(n, o)| reader.expect(Tag(n as u64), o));
        let mut out = Vec::new();
        let fed = reader.feed(bytes, &mut out);
        (out, fed, reader.is_clean())
    }

    #[test]
    fn requests_are_lines_with_the_clients_own_id_and_key() {
        let mut order = exec("9b1f03aa5c7e2d41");
        if let WorkerRequest::Infer(call) = &mut order {
            call.key = Some(b"5c0f".to_vec());
        }
        let bytes = WIRE.encode("", Tag(3), &order);
        let wanted: &[u8] = b"exec 9b1f03aa5c7e2d41 \
            profile=fare-quote,thing=7f3a9c21e0b4d655,max=1500,replay=5c0f 4\r\na\r\nb\r\n";
        assert_eq!(bytes, wanted);
        let load = WorkerRequest::Load { function: "7f".into(), copies: 2 };
        assert_eq!(WIRE.encode("", Tag(4), &load), b"ensure t4 thing=7f,copies=2\r\n");
        assert_eq!(WIRE.encode("", Tag(5), &WorkerRequest::Ready), b"load t5\r\n");
        assert_eq!(WIRE.give_up(&order).unwrap(), b"drop 9b1f03aa5c7e2d41\r\n");
    }

    #[test]
    fn each_word_has_its_outcome_and_only_three_prove_that_nothing_ran() {
        let cases = [
            ("ACK", Outcome::Ok),
            ("NOENT", Outcome::Miss),
            ("AGAIN", Outcome::Full),
            ("EIO", Outcome::Error),
            ("STALE", Outcome::NotSent),
        ];
        for (word, outcome) in cases {
            let bytes = format!("aa {word} queue_fn=3 2\r\nhi\r\n");
            let (out, fed, clean) = heard(&[exec("aa")], bytes.as_bytes());
            assert_eq!((fed, clean, out.len()), (Ok(()), true, 1), "{word}");
            assert_eq!(out[0].understood.outcome, outcome);
            let told = matches!(word, "ACK" | "AGAIN").then_some(3);
            assert_eq!(out[0].understood.queue_depth, told);
            assert_eq!(out[0].understood.payload, if word == "ACK" { b"hi".to_vec() } else { vec![] });
        }
        let (out, _, _) = heard(&[exec("aa")], b"aa ACK - 0\r\n\r\n");
        assert_eq!(out[0].understood.queue_depth, Some(0), "absent is none");
    }

    #[test]
    fn answers_come_in_any_order_and_pieces() {
        let bytes =
            b"bb ACK - 4\r\n\r\n\r\n\r\nt2 READY report=backlog:2.5;util:0.5 0\r\n\r\naa EIO - 0\r\n\r\n";
        let orders = [exec("aa"), exec("bb"), WorkerRequest::Ready];
        for step in 1..bytes.len() {
            let mut reader = WIRE.reader();
            orders.iter().enumerate().for_each(|(n, o)| reader.expect(Tag(n as u64), o));
            let mut out = Vec::new();
            for piece in bytes.chunks(step) {
                reader.feed(piece, &mut out).unwrap();
            }
            let order: Vec<u64> = out.iter().map(|h| h.tag.0).collect();
            assert_eq!(order, [1, 2, 0]);
            assert_eq!(out[0].understood.payload, b"\r\n\r\n");
            assert_eq!(out[1].understood.report.unwrap().queue, Some(2.5));
            assert!(reader.is_clean());
        }
    }

    #[test]
    fn surplus_leaves_the_answer_good_and_the_connection_unused() {
        let unknown = b"zz ACK - 1\r\nx\r\naa ACK - 2\r\nhi\r\n";
        let copy = b"aa ACK - 2\r\nhi\r\naa ACK - 2\r\nhi\r\n";
        let begun = b"aa ACK - 2\r\nhi\r\naa AC";
        for bytes in [&unknown[..], copy, begun] {
            let (out, fed, clean) = heard(&[exec("aa")], bytes);
            assert_eq!((fed, clean, out.len()), (Ok(()), false, 1));
            assert_eq!(out[0].understood.payload, b"hi");
        }
    }

    #[test]
    fn spoilt_answers_end_the_connection_within_bounds() {
        let long = vec![b'x'; MAX_LINE];
        let cases: [&[u8]; 7] = [
            b"\xff\xfe\r\n",
            b"aa ACK - 3000000000\r\n",
            b"aa ACK - 99999999999999999999999\r\n",
            b"aa ACK - -1\r\n",
            b"aa ACK - 2\r\nhiXX",
            b"aa WHAT - 0\r\n\r\n",
            &long,
        ];
        for bytes in cases {
            let (out, fed, _) = heard(&[exec("aa")], bytes);
            assert_eq!((out.len(), fed), (0, Err(MalformedReply)), "{bytes:?}");
        }
        // Cut off, it only is not whole yet.
        let (out, fed, clean) = heard(&[exec("aa")], b"aa ACK - 5\r\nhi");
        assert_eq!((out.len(), fed, clean), (0, Ok(()), false));
    }

    proptest::proptest! {
        #![proptest_config(proptest::test_runner::Config {
            rng_seed: proptest::test_runner::RngSeed::Fixed(11),
            failure_persistence: None,
            ..proptest::test_runner::Config::default()
        })]

        #[test]
        fn no_bytes_make_the_reader_panic_or_hold_more_than_its_bounds(
            pieces in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..90), 0..8),
            start in proptest::sample::select(vec![&b""[..], b"aa ACK ", b"aa ACK - 40\r\n", b"aa ACK - 0\r\n\r\n"]),
        ) {
            let mut reader = WIRE.reader();
            reader.expect(Tag(0), &exec("aa"));
            let mut out = Vec::new();
            let mut input = vec![start.to_vec()];
            input.extend(pieces);
            for piece in &input {
                if reader.feed(piece, &mut out).is_err() {
                    break;
                }
            }
            proptest::prop_assert!(out.len() <= 1);
        }
    }
}
