//! Decoding of response bodies.

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};

use crate::{
    Bound,
    Error, //
};

/// Maximum length of a chunk size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// Maximum length of all trailers together, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The response has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer encoding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// Incremental decoder of a body. Each variant names what the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decoder {
    /// Nothing: the body is complete, or no exchange is in progress.
    Done,
    /// This many more bytes of a body with a known length.
    Remaining(u64),
    /// The size line of the next chunk.
    ChunkSize,
    /// This many more bytes of the current chunk.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// Trailers, and the empty line that ends them, after this many bytes of trailers.
    Trailers(usize),
    /// All bytes until the connection closes.
    UntilClose,
}

/// Result of decoding the buffered bytes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes have to be read from the connection first.
    Pending,
    /// The body is complete.
    End,
}

impl Decoder {
    pub(crate) fn new(framing: Framing) -> Decoder {
        match framing {
            Framing::Empty | Framing::Length(0) => Decoder::Done,
            Framing::Length(length) => Decoder::Remaining(length),
            Framing::Chunked => Decoder::ChunkSize,
            Framing::UntilClose => Decoder::UntilClose,
        }
    }

    /// Decodes the buffered part of the body. Joins the data of several chunks, so that an event
    /// that the server wrote in two chunks is returned in one step.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when a chunk is invalid, [`Error::Excess`] when a line is too long.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        let mut data = BytesMut::new();
        loop {
            match self.step(buffer) {
                Ok(Step::Data(chunk)) if data.is_empty() && buffer.is_empty() => {
                    return Ok(Step::Data(chunk));
                }
                Ok(Step::Data(chunk)) => data.extend_from_slice(&chunk),
                // Data before an error is valid; the next call returns the error.
                _ if !data.is_empty() => return Ok(Step::Data(data.freeze())),
                step => return step,
            }
        }
    }

    fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match *self {
                Decoder::Done => return Ok(Step::End),
                Decoder::UntilClose if buffer.is_empty() => return Ok(Step::Pending),
                Decoder::UntilClose => return Ok(Step::Data(buffer.split().freeze())),
                Decoder::Remaining(remaining) => {
                    let Some(data) = split_data(buffer, remaining) else {
                        return Ok(Step::Pending);
                    };
                    let remaining = remaining - data.len() as u64;
                    *self = if remaining == 0 {
                        Decoder::Done
                    } else {
                        Decoder::Remaining(remaining)
                    };
                    return Ok(Step::Data(data));
                }
                Decoder::ChunkData(remaining) => {
                    let Some(data) = split_data(buffer, remaining) else {
                        return Ok(Step::Pending);
                    };
                    let remaining = remaining - data.len() as u64;
                    *self = if remaining == 0 {
                        Decoder::ChunkEnd
                    } else {
                        Decoder::ChunkData(remaining)
                    };
                    return Ok(Step::Data(data));
                }
                Decoder::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Step::Pending);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Error::Malformed("missing line end after a chunk"));
                    }
                    buffer.advance(2);
                    *self = Decoder::ChunkSize;
                }
                Decoder::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        *self = if size == 0 {
                            Decoder::Trailers(0)
                        } else {
                            Decoder::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => {
                        return Ok(Step::Pending);
                    }
                    Ok(httparse::Status::Partial) => return Err(Error::Excess(Bound::ChunkSize)),
                    Err(_) => {
                        return Err(Error::Malformed("invalid chunk size"));
                    }
                },
                Decoder::Trailers(length) => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE_BYTES {
                            return Err(Error::Excess(Bound::Trailers));
                        }
                        return Ok(Step::Pending);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        *self = Decoder::Done;
                        continue;
                    }
                    let length = length + end + 2;
                    if length > MAX_TRAILER_BYTES {
                        return Err(Error::Excess(Bound::Trailers));
                    }
                    *self = Decoder::Trailers(length);
                }
            }
        }
    }
}

/// Splits off up to `remaining` bytes; `None` when the buffer is empty.
fn split_data(buffer: &mut BytesMut, remaining: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    Some(buffer.split_to(length).freeze())
}
