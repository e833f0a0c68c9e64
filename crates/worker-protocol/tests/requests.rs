//! Requests to workers: round trips through encoding and parsing, and rejection of malformed requests.

use slatevalve_worker_protocol::{
    headers, Call, Limits, MessageReader, ParsedRequest, RequestError, Side, TensorError, WorkerRequest,
};

fn round_trip(request: WorkerRequest) -> ParsedRequest {
    let bytes = request.encode("127.0.0.1:9", "gw");
    let message = MessageReader::new(Side::Request, Limits::default()).feed(&bytes).unwrap();
    ParsedRequest::read(message.expect("a complete message")).unwrap()
}

#[test]
fn every_request_is_parsed_as_it_was_encoded() {
    let call = Call {
        function: "taxa påslag/1%".into(),
        version: Some("3".into()),
        payload: vec![0, 13, 10, 255],
        key: Some(vec![1, 254]),
        request_id: "77".into(),
        attempt: 2,
        time_remaining_ms: 900,
        class: "charge".into(),
        settings: vec![7, 8],
    };
    let requests = [
        WorkerRequest::Infer(call.clone()),
        WorkerRequest::Infer(Call {
            key: None,
            version: None,
            payload: Vec::new(),
            settings: vec![],
            ..call
        }),
        WorkerRequest::Load { function: "a b".into(), copies: 3 },
        WorkerRequest::Count { function: "a\"b".into() },
        WorkerRequest::Unload { function: "a".into() },
        WorkerRequest::Ready,
    ];
    for request in requests {
        assert_eq!(round_trip(request.clone()), ParsedRequest { request, gateway: Some("gw".into()) });
    }
}

#[test]
fn malformed_payloads_and_headers_are_rejected_with_their_reason() {
    let read = |bytes: &[u8]| {
        let message = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap();
        ParsedRequest::read(message.expect("a complete message"))
    };
    let call = Call { function: "f".into(), request_id: "1".into(), class: "c".into(), ..Call::default() };
    let valid = WorkerRequest::Infer(Call { payload: b"four".to_vec(), ..call }).encode("h", "g");
    let text = String::from_utf8_lossy(&valid).replace("\"binary_data_size\":8", "\"binary_data_size\":9");
    assert_eq!(read(text.as_bytes()), Err(RequestError::Tensor(TensorError::Binary)));
    let text = String::from_utf8_lossy(&valid).replace("BYTES", "INT32");
    assert_eq!(read(text.as_bytes()), Err(RequestError::Tensor(TensorError::Shape)));
    let text = String::from_utf8_lossy(&valid).replace("X-Attempt: 0", "X-Attempt: -1");
    assert_eq!(read(text.as_bytes()), Err(RequestError::Header(headers::ATTEMPT)));
    let text = String::from_utf8_lossy(&valid).replace("X-Attempt: 0", "X-Attempt: 0\r\nX-Settings: 1,");
    assert_eq!(read(text.as_bytes()), Err(RequestError::Header(headers::SETTINGS)));
}
