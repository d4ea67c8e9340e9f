//! HTTP client of the engine: starts generations and reads their answer lines.

use std::time::Duration;

use futures_util::TryStreamExt;
use reqwest::{
    Client,
    Response,
    StatusCode,
    header::RETRY_AFTER, //
};
use serde::Serialize;
use tokio::time::timeout;
use tokio_util::{
    codec::{
        FramedRead,
        LinesCodec, //
    },
    io::StreamReader,
};
use wire::frame::{
    Reason,
    Refused,
    Start, //
};

use crate::line::Line;

/// Maximum length of a line of an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Delay before a retry when the engine's answer has no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// HTTP client of one engine.
#[derive(Clone)]
pub struct Engine {
    client: Client,
    address: String,
    stall_timeout: Duration,
}

/// Reader of the lines of one run.
pub struct Lines {
    reader: FramedRead<Box<dyn tokio::io::AsyncRead + Send + Unpin>, LinesCodec>,
    stall_timeout: Duration,
}

/// Result of waiting for a line.
#[derive(Debug, PartialEq, Eq)]
pub enum Read {
    /// The next line.
    Line(Line),
    /// The response ended, or it sent a line that can't be parsed.
    Broken,
    /// No line arrived within the stall timeout.
    Stalled,
}

/// Body of `POST /generate`.
#[derive(Serialize)]
struct Generate<'a> {
    id: String,
    model: &'a str,
    version: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    seed: u64,
    temperature: f64,
    priority: u8,
    continue_from: &'a [String],
}

impl Engine {
    /// Creates a client of the engine at an address; a run that sends no line for `stall_timeout`
    /// is given up.
    pub fn new(address: &str, stall_timeout: Duration) -> Self {
        let client = Client::builder()
            .connect_timeout(stall_timeout)
            .pool_idle_timeout(Duration::from_secs(30))
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS can always be built");
        Self {
            client,
            address: address.to_string(),
            stall_timeout,
        }
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// [`Refused`] with the reason when the engine refuses the run or can't be reached.
    pub async fn generate(&self, start: &Start) -> Result<Lines, Refused> {
        let body = Generate {
            id: format!("{}/{}/{}", start.request, start.epoch, start.nonce),
            model: &start.model,
            version: &start.version,
            prompt: &start.prompt,
            max_tokens: start.max_tokens,
            seed: start.seed,
            temperature: f64::from(start.temperature) / 1000.0,
            priority: start.priority,
            continue_from: &start.delivered,
        };
        let request = self
            .client
            .post(format!("{}/generate", self.address))
            .json(&body);
        let answer = match timeout(self.stall_timeout, request.send()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => return Err(refused(Reason::Down, DEFAULT_RETRY_AFTER)),
        };
        if answer.status() != StatusCode::OK {
            return Err(refusal(&answer, start));
        }
        let bytes = answer.bytes_stream().map_err(std::io::Error::other);
        let reader: Box<dyn tokio::io::AsyncRead + Send + Unpin> =
            Box::new(StreamReader::new(bytes));
        Ok(Lines {
            reader: FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES)),
            stall_timeout: self.stall_timeout,
        })
    }
}

impl Lines {
    /// Waits for the next line, for at most the stall timeout.
    pub async fn next(&mut self) -> Read {
        match timeout(self.stall_timeout, self.reader.try_next()).await {
            Err(_) => Read::Stalled,
            Ok(Ok(Some(text))) => match serde_json::from_str(&text) {
                Ok(line) => Read::Line(line),
                Err(_) => Read::Broken,
            },
            Ok(Ok(None) | Err(_)) => Read::Broken,
        }
    }
}

fn refusal(answer: &Response, start: &Start) -> Refused {
    let retry_after = answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
    match answer.status() {
        StatusCode::CONFLICT => refused(Reason::Version, retry_after),
        StatusCode::TOO_MANY_REQUESTS => refused(Reason::Full, retry_after),
        StatusCode::BAD_REQUEST if start.delivered.is_empty() => {
            refused(Reason::Invalid, retry_after)
        }
        StatusCode::BAD_REQUEST => refused(Reason::Continuation, retry_after),
        _ => refused(Reason::Down, retry_after),
    }
}

fn refused(reason: Reason, retry_after: Duration) -> Refused {
    Refused {
        reason,
        retry_after,
    }
}
