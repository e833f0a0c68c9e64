//! JSON encoding of bytes and 64-bit numbers, and the predicates for omitted zero values.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes, encoded in JSON as a base64 string.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Returns the UTF-8 bytes of a text.
    pub fn of(text: &str) -> Self {
        Bytes(text.as_bytes().to_vec())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number: written as a string, read from a string or a number.
pub(super) mod number {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
            Unsigned(u64),
        }
        match Either::deserialize(deserializer)? {
            Either::Text(text) => {
                // Cluster and member ids are unsigned. They are only compared, so reinterpreting their bits
                // as signed is safe.
                let number =
                    text.parse::<i64>().or_else(|_| text.parse::<u64>().map(|unsigned| unsigned as i64));
                number.map_err(serde::de::Error::custom)
            }
            Either::Number(number) => Ok(number),
            Either::Unsigned(number) => Ok(number as i64),
        }
    }
}

pub(super) fn is_zero(value: &i64) -> bool {
    *value == 0
}

pub(super) fn is_false(value: &bool) -> bool {
    !*value
}
