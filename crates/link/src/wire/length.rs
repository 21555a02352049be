//! Length of a body as the headers of a message state it.

use http::{HeaderMap, header};

use super::framing::{Ambiguous, parse_number};

/// What the headers of a message state about the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Nothing.
    Unstated,
    /// The number of bytes.
    Bytes(u64),
    /// The body comes in chunks.
    Chunked,
}

impl Length {
    /// Reads the length from the headers, which must state it in one way at most. The HTTP library takes an
    /// unknown transfer coding for a body that ends with the connection, and reads no length of an answer
    /// without a body.
    pub fn read(headers: &HeaderMap) -> Result<Self, Ambiguous> {
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        match (lengths.next(), codings.next(), lengths.next(), codings.next()) {
            (None, None, ..) => Ok(Self::Unstated),
            (Some(length), None, None, _) => parse_number(length.as_bytes(), 10).map(Self::Bytes),
            (None, Some(coding), _, None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked)
            }
            _ => Err(Ambiguous),
        }
    }

    /// Whether no body is announced.
    pub fn is_empty(self) -> bool {
        matches!(self, Self::Unstated | Self::Bytes(0))
    }
}
