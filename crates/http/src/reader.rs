//! Whole messages, for callers that process a message only once it is complete.

use crate::decoder::{Limits, MessageDecoder, MessageEvent};
use crate::error::MessageError;
use crate::head::{Head, Side};

/// A whole message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers.
    pub head: Head,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

/// Reads one whole message after another from one connection.
#[derive(Debug)]
pub struct MessageReader {
    decoder: MessageDecoder,
    /// The part of the current message that has been read so far.
    message: Message,
    /// Buffer for the decoder's output, empty between calls.
    decoded: Vec<MessageEvent>,
}

impl MessageReader {
    /// Creates a reader at the start of a message.
    #[must_use]
    pub fn new(side: Side, limits: Limits) -> Self {
        MessageReader {
            decoder: MessageDecoder::new(side, limits),
            message: Message::default(),
            decoded: Vec::new(),
        }
    }

    /// Whether no byte of the next message has been received.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.decoder.is_idle()
    }

    /// Parses bytes; returns the message once it is complete, after which the next one may begin.
    ///
    /// # Errors
    /// If the bytes are not a message that this crate accepts; the connection must then be closed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Message>, MessageError> {
        self.decoder.feed(bytes, &mut self.decoded)?;
        let mut complete = None;
        for decoded in self.decoded.drain(..) {
            match decoded {
                MessageEvent::Head(head) => self.message.head = head,
                // Moved rather than copied: most bodies arrive in one piece.
                MessageEvent::Body(piece) if self.message.body.is_empty() => self.message.body = piece,
                MessageEvent::Body(piece) => self.message.body.extend_from_slice(&piece),
                MessageEvent::End => complete = Some(std::mem::take(&mut self.message)),
            }
        }
        Ok(complete)
    }

    /// Handles the end of the connection; returns the message that is completed only by it, if any.
    ///
    /// # Errors
    /// [`MessageError::Truncated`] within a message that the end does not complete.
    pub fn end(&mut self) -> Result<Option<Message>, MessageError> {
        Ok(self.decoder.end()?.then(|| std::mem::take(&mut self.message)))
    }
}
