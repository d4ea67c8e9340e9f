//! Client side of a streamed answer.

use std::time::Duration;

use serde_json::Value;
use tokio::time::{
    Instant,
    timeout, //
};

use crate::Error;

/// Longest wait for the next event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Server-sent event of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Event {
    /// Value of the `id:` field.
    pub id: String,
    /// Value of the `event:` field.
    pub name: String,
    /// Value of the `data:` field.
    pub data: String,
    /// Time of arrival.
    pub received_at: Option<Instant>,
}

/// A streamed answer that is read event by event.
pub struct Stream {
    response: reqwest::Response,
    /// Received text that isn't parsed yet.
    buffer: String,
}

impl Stream {
    /// Creates a stream of the events of a response.
    pub fn new(response: reqwest::Response) -> Self {
        Self {
            response,
            buffer: String::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or no event arrives in time.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let block: String = self.buffer.drain(..end + 2).collect();
                let event = parse(&block);
                if event.data.is_empty() && event.name.is_empty() {
                    continue;
                }
                return Ok(Some(event));
            }
            let chunk = timeout(EVENT_TIMEOUT, self.response.chunk())
                .await
                .map_err(|_| Error::Timeout("an event of the answer".into()))??;
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            self.buffer.push_str(&String::from_utf8_lossy(&chunk));
        }
    }
}

impl Event {
    /// Returns the token of a completion event, or `None` if the event carries no token.
    pub fn token(&self) -> Option<String> {
        if self.id.is_empty() {
            return None;
        }
        let body: Value = serde_json::from_str(&self.data).ok()?;
        body["choices"][0]["text"].as_str().map(str::to_string)
    }

    /// Returns the `finish_reason` if the event carries one.
    pub fn finish_reason(&self) -> Option<String> {
        let body: Value = serde_json::from_str(&self.data).ok()?;
        let reason = body["choices"][0]["finish_reason"].as_str();
        reason.map(str::to_string)
    }
}

fn parse(block: &str) -> Event {
    let mut event = Event {
        received_at: Some(Instant::now()),
        ..Event::default()
    };
    for line in block.lines() {
        if let Some(id) = line.strip_prefix("id:") {
            event.id = id.trim().to_string();
        } else if let Some(name) = line.strip_prefix("event:") {
            event.name = name.trim().to_string();
        } else if let Some(data) = line.strip_prefix("data:") {
            event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
    event
}
