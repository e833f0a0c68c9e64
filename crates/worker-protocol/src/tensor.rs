//! A payload as one BYTES tensor by the binary-tensor-data extension: JSON, then a four-byte little-endian length
//! and the bytes. Called by the order's and the reply's codec.

use crate::headers;
use serde_json::{json, Value};
use slatevalve_http::{Head, Message};
use std::fmt;

/// Why a body holds no payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TensorError {
    /// The header with the length of the JSON part is missing, no number or beyond the body.
    JsonLength,
    /// The JSON part is not JSON.
    Json,
    /// There is not exactly one BYTES tensor of one element in binary form.
    Shape,
    /// The binary part is not one element of the stated size.
    Binary,
}

impl fmt::Display for TensorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TensorError::JsonLength => "the length of the JSON part is missing or wrong",
            TensorError::Json => "the JSON part is not JSON",
            TensorError::Shape => "the body is not one BYTES tensor of one element in binary form",
            TensorError::Binary => "the binary part has not the stated size",
        })
    }
}

impl std::error::Error for TensorError {}

/// Body and length of its JSON part for a payload; `outer` holds the other members of the JSON object, and `name`
/// is `inputs` or `outputs`.
pub(crate) fn wrap(name: &str, mut outer: Value, payload: &[u8]) -> (Vec<u8>, usize) {
    outer[name] = json!([{
        "name": "payload", "shape": [1], "datatype": "BYTES",
        "parameters": {"binary_data_size": payload.len() + 4},
    }]);
    let mut body = outer.to_string().into_bytes();
    let json_length = body.len();
    body.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes());
    body.extend_from_slice(payload);
    (body, json_length)
}

fn json_length(head: &Head, body: &[u8]) -> Option<usize> {
    head.header(headers::JSON_LENGTH)?.parse().ok().filter(|n| *n <= body.len())
}

/// The payload of a message whose tensors stand under `name`.
pub(crate) fn unwrap(name: &str, message: Message) -> Result<Vec<u8>, TensorError> {
    let Message { head, mut body } = message;
    let length = json_length(&head, &body).ok_or(TensorError::JsonLength)?;
    let outer: Value = serde_json::from_slice(&body[..length]).map_err(|_| TensorError::Json)?;
    let tensors = outer.get(name).and_then(Value::as_array).ok_or(TensorError::Shape)?;
    let [tensor] = tensors.as_slice() else { return Err(TensorError::Shape) };
    let size = tensor.pointer("/parameters/binary_data_size").and_then(Value::as_u64);
    let elements = tensor
        .get("shape")
        .and_then(Value::as_array)
        .map(|s| s.iter().map(Value::as_u64).try_fold(1u64, |product, n| product.checked_mul(n?)));
    let (Some(size), Some(Some(1)), Some("BYTES")) =
        (size, elements, tensor.get("datatype").and_then(Value::as_str))
    else {
        return Err(TensorError::Shape);
    };
    let binary = &body[length..];
    let stated = binary.first_chunk::<4>().map(|b| u64::from(u32::from_le_bytes(*b)));
    if binary.len() as u64 != size || stated != Some(size.wrapping_sub(4)) {
        return Err(TensorError::Binary);
    }
    body.drain(..length + 4);
    Ok(body)
}
