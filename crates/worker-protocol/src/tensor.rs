//! A payload as one BYTES tensor of the binary-tensor-data extension: a JSON part, then the payload's length
//! as four little-endian bytes, then the payload. Used by the codecs of requests and replies.

use crate::headers;
use serde_json::{json, Value};
use slatevalve_http::{Head, Message};
use std::fmt;

/// Bytes of the length that precedes each element of a BYTES tensor.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a body does not contain a valid payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TensorError {
    /// The header with the length of the JSON part is missing, not a number or greater than the length of the
    /// body.
    JsonLength,
    /// The JSON part is malformed.
    Json,
    /// There is not exactly one BYTES tensor with one element in binary form.
    Shape,
    /// The binary part is not one element of the declared size.
    Binary,
}

impl fmt::Display for TensorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TensorError::JsonLength => {
                "the length of the JSON part is missing, malformed or greater than the body"
            }
            TensorError::Json => "the JSON part is malformed",
            TensorError::Shape => {
                "the body does not contain exactly one BYTES tensor with one element in binary form"
            }
            TensorError::Binary => "the binary part is not one element of the declared size",
        })
    }
}

impl std::error::Error for TensorError {}

/// The member of the JSON part that lists the tensors.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TensorList {
    /// The tensors of a request.
    Inputs,
    /// The tensors of a response.
    Outputs,
}

impl TensorList {
    fn member(self) -> &'static str {
        match self {
            TensorList::Inputs => "inputs",
            TensorList::Outputs => "outputs",
        }
    }
}

/// A message body that contains a payload.
pub(crate) struct EncodedTensor {
    pub(crate) body: Vec<u8>,
    /// Length in bytes of the JSON part, for [`headers::JSON_LENGTH`].
    pub(crate) json_length: usize,
}

/// Encodes a payload; `document` contains the other members of the JSON part.
pub(crate) fn encode(list: TensorList, mut document: Value, payload: &[u8]) -> EncodedTensor {
    document[list.member()] = json!([{
        "name": "payload", "shape": [1], "datatype": "BYTES",
        "parameters": {"binary_data_size": payload.len() + LENGTH_PREFIX_BYTES},
    }]);
    let mut body = document.to_string().into_bytes();
    let json_length = body.len();
    body.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes());
    body.extend_from_slice(payload);
    EncodedTensor { body, json_length }
}

/// Decodes the payload of a message.
pub(crate) fn decode(list: TensorList, message: Message) -> Result<Vec<u8>, TensorError> {
    let Message { head, mut body } = message;
    let json_length = json_length(&head, &body).ok_or(TensorError::JsonLength)?;
    let (json_bytes, binary_data) = body.split_at(json_length);
    let document: Value = serde_json::from_slice(json_bytes).map_err(|_| TensorError::Json)?;
    let declared_size = binary_size(list, &document).ok_or(TensorError::Shape)?;
    check_binary_data(binary_data, declared_size)?;
    body.drain(..json_length + LENGTH_PREFIX_BYTES);
    Ok(body)
}

fn json_length(head: &Head, body: &[u8]) -> Option<usize> {
    head.header(headers::JSON_LENGTH)?.parse().ok().filter(|length| *length <= body.len())
}

/// Declared size of the binary part, if the document lists exactly one BYTES tensor with one element.
fn binary_size(list: TensorList, document: &Value) -> Option<u64> {
    let [tensor] = document.get(list.member())?.as_array()?.as_slice() else { return None };
    let shape = tensor.get("shape")?.as_array()?.iter().map(Value::as_u64);
    let elements = shape.into_iter().try_fold(1u64, |product, size| product.checked_mul(size?))?;
    let is_bytes = tensor.get("datatype")?.as_str()? == "BYTES";
    let size = tensor.pointer("/parameters/binary_data_size")?.as_u64()?;
    (is_bytes && elements == 1).then_some(size)
}

/// Checks that the binary part has the declared size and is one element that fills it.
fn check_binary_data(binary_data: &[u8], declared_size: u64) -> Result<(), TensorError> {
    let prefix = binary_data.first_chunk::<LENGTH_PREFIX_BYTES>().ok_or(TensorError::Binary)?;
    let element_size = u64::from(u32::from_le_bytes(*prefix));
    let is_consistent = binary_data.len() as u64 == declared_size
        && element_size == declared_size.wrapping_sub(LENGTH_PREFIX_BYTES as u64);
    is_consistent.then_some(()).ok_or(TensorError::Binary)
}
