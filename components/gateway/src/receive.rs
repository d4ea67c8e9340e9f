//! Reads the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::CONTENT_LENGTH,
    request::Parts, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{
    Instant,
    timeout_at, //
};

use upstream::Segments;

use crate::{
    account::{
        Account,
        Connection,
        Hold, //
    },
    refuse::Refusal,
    settings::Limits, //
};

/// Timeout of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a segment of a body, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// How the body of a request is read.
pub struct Reading<'a> {
    /// Connection of the caller.
    pub connection: &'a Connection,
    pub account: &'a Account,
    pub limits: &'a Limits,
    /// Maximum length of a body, in bytes.
    pub max_bytes: usize,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Reading<'_> {
    /// Reads the whole body of a request. Refuses it before the first byte if there is no room for its
    /// length.
    pub async fn read_body(
        &self,
        parts: &Parts,
        body: &mut Incoming,
    ) -> Result<(Segments, Hold), Refusal> {
        let declared = parts
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        if declared.is_some_and(|length| length > self.max_bytes) {
            return Err(Refusal::BodyTooLong);
        }
        let full = || Refusal::BodiesFull(self.account.retry_after());
        let hold = self
            .connection
            .begin_body(self.limits, declared.unwrap_or(0));
        let mut hold = hold.ok_or_else(full)?;
        let until = self.arrived + BODY_TIMEOUT;
        let mut segments: Vec<Vec<u8>> = Vec::new();
        let mut length = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = hold.refused() => return Err(full()),
                frame = timeout_at(until, body.frame()) => frame,
            };
            let frame = match frame {
                Err(_) | Ok(Some(Err(_))) => return Err(Refusal::BodyIncomplete),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            if length > self.max_bytes {
                return Err(Refusal::BodyTooLong);
            }
            let mut data = &data[..];
            while !data.is_empty() {
                let room = segments
                    .last()
                    .map_or(0, |segment| segment.capacity() - segment.len());
                if room == 0 {
                    // Counted is what the segment takes, whatever it holds.
                    let capacity = self.segment_capacity(declared, length, data.len());
                    if !hold.grow(self.limits, capacity) {
                        return Err(full());
                    }
                    segments.push(Vec::with_capacity(capacity));
                    continue;
                }
                let (now, later) = data.split_at(room.min(data.len()));
                if let Some(segment) = segments.last_mut() {
                    segment.extend_from_slice(now);
                }
                data = later;
            }
        }
        hold.complete();
        let segments: Vec<Bytes> = segments.into_iter().map(Bytes::from).collect();
        Ok((Segments::new(segments), hold))
    }

    /// Returns the size of the next segment, of whose body `length` bytes have come, `new` of them not yet
    /// in a segment.
    fn segment_capacity(&self, declared: Option<usize>, length: usize, new: usize) -> usize {
        let rest = match declared {
            Some(declared) => declared.saturating_sub(length - new),
            // A short body in chunks mostly comes at once.
            None if length == new => new,
            None => SEGMENT_BYTES,
        };
        rest.clamp(1, SEGMENT_BYTES)
    }
}
