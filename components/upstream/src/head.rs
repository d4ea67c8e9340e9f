//! Response heads: status line and headers.

use std::ops::RangeInclusive;

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    StatusCode,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    }, //
};

use crate::{
    Bound,
    Error,
    body::Framing, //
};

/// Maximum size of a head and of the interim responses before it, in bytes. A server that sends more
/// isn't speaking HTTP.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of interim responses before a head.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 64;

/// Statuses of interim responses, and of final ones. HTTP defines no others.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whether the server keeps the connection open after this response.
    pub(crate) keep_alive: bool,
    pub(crate) framing: Framing,
}

/// Interim responses that were received in an exchange.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Interim {
    count: u32,
    bytes: usize,
}

impl Interim {
    fn record(&mut self, length: usize) -> Result<(), Error> {
        self.count += 1;
        self.bytes += length;
        if self.count > MAX_INTERIM_RESPONSES {
            return Err(Error::Excess(Bound::InterimResponses));
        }
        Ok(())
    }
}

impl Head {
    /// Parses the head of a response to a `GET` or `POST` request; `None` when it is incomplete.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when the bytes aren't a valid response head, [`Error::Excess`] when
    /// there are too many.
    pub fn parse(bytes: &[u8]) -> Result<Option<Head>, Error> {
        let mut interim = Interim::default();
        parse(&mut BytesMut::from(bytes), &Method::GET, &mut interim)
    }

    /// Returns whether the end of the body can be told from a connection that is closed early.
    pub fn is_delimited(&self) -> bool {
        self.framing != Framing::UntilClose
    }

    /// Returns the length of the body in bytes, where the head states it.
    pub fn body_length(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the server keeps the connection open after this response.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }
}

/// Parses a head and removes it from the front of the buffer; `None` when it is incomplete.
pub(crate) fn parse(
    buffer: &mut BytesMut,
    method: &Method,
    interim: &mut Interim,
) -> Result<Option<Head>, Error> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if interim.bytes + buffer.len() > MAX_HEAD_BYTES => {
                return Err(Error::Excess(Bound::Head));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("head can't be parsed")),
        };
        let status = response.code.unwrap_or_default();
        // No request asks for another protocol.
        if INTERIM_STATUSES.contains(&status) && status != StatusCode::SWITCHING_PROTOCOLS.as_u16()
        {
            // An interim response precedes the final one.
            buffer.advance(length);
            interim.record(length)?;
            continue;
        }
        let head = build(&response, method)?;
        buffer.advance(length);
        return Ok(Some(head));
    }
}

fn build(response: &httparse::Response<'_, '_>, method: &Method) -> Result<Head, Error> {
    let status = response.code.unwrap_or_default();
    if !FINAL_STATUSES.contains(&status) {
        return Err(Error::Malformed("status"));
    }
    let status = StatusCode::from_u16(status).map_err(|_| Error::Malformed("status"))?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| Error::Malformed("invalid header name"))?;
        let value = HeaderValue::from_maybe_shared(Bytes::copy_from_slice(header.value))
            .map_err(|_| Error::Malformed("invalid header value"))?;
        headers.append(name, value);
    }
    let framing = framing(status, &headers, method)?;
    let is_http11 = response.version == Some(1);
    let keep_alive = framing != Framing::UntilClose && keeps_alive(&headers, is_http11);
    Ok(Head {
        status,
        headers,
        keep_alive,
        framing,
    })
}

fn framing(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Framing, Error> {
    if method == Method::HEAD || status == StatusCode::NO_CONTENT {
        return Ok(Framing::Empty);
    }
    if status == StatusCode::NOT_MODIFIED {
        return Ok(Framing::Empty);
    }
    if let Some(encoding) = headers.get(TRANSFER_ENCODING) {
        // The two framings may end the body in different places, and nothing tells which is right.
        if headers.contains_key(CONTENT_LENGTH) {
            return Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            ));
        }
        if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Ok(Framing::Chunked);
        }
        return Err(Error::Malformed("unsupported transfer encoding"));
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(Framing::UntilClose);
    };
    if lengths.any(|other| other != first) {
        return Err(Error::Malformed("conflicting Content-Length headers"));
    }
    let text = first.to_str().unwrap_or_default();
    if text.is_empty() || !text.bytes().all(|digit| digit.is_ascii_digit()) {
        return Err(Error::Malformed("length"));
    }
    let length = text.parse().map_err(|_| Error::Malformed("length"))?;
    Ok(Framing::Length(length))
}

/// Returns whether the server keeps the connection open: by default in HTTP/1.1, only if it says so
/// in HTTP/1.0.
fn keeps_alive(headers: &HeaderMap, is_http11: bool) -> bool {
    let mut keep_alive = is_http11;
    for value in headers.get_all(CONNECTION) {
        for option in value.to_str().unwrap_or_default().split(',') {
            let option = option.trim();
            if option.eq_ignore_ascii_case("close") {
                return false;
            }
            keep_alive |= option.eq_ignore_ascii_case("keep-alive");
        }
    }
    keep_alive
}
