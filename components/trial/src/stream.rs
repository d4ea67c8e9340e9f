//! A caller that reads a streamed answer.

use std::time::Duration;

use serde_json::Value;
use tokio::time::{
    Instant,
    timeout, //
};

use crate::Error;

/// Longest wait for the next event.
const LIMIT: Duration = Duration::from_secs(30);

/// One server-sent event of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Event {
    /// Its `id:`.
    pub id: String,
    /// Its `event:`.
    pub name: String,
    /// Its `data:`.
    pub data: String,
    /// When it came.
    pub received_at: Option<Instant>,
}

/// A streamed answer as its caller sees it.
pub struct Stream {
    response: reqwest::Response,
    text: String,
}

impl Stream {
    /// Reads the events of a response.
    pub fn new(response: reqwest::Response) -> Self {
        Self {
            response,
            text: String::new(),
        }
    }

    /// The next event; none at the end of the response.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.text.find("\n\n") {
                let block: String = self.text.drain(..end + 2).collect();
                let event = parse(&block);
                if event.data.is_empty() && event.name.is_empty() {
                    continue;
                }
                return Ok(Some(event));
            }
            let chunk = timeout(LIMIT, self.response.chunk())
                .await
                .map_err(|_| Error::Timeout("an event of the answer".into()))??;
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            self.text.push_str(&String::from_utf8_lossy(&chunk));
        }
    }
}

impl Event {
    /// The token of a completion's event; none when it carries none.
    pub fn token(&self) -> Option<String> {
        if self.id.is_empty() {
            return None;
        }
        let body: Value = serde_json::from_str(&self.data).ok()?;
        body["choices"][0]["text"].as_str().map(str::to_string)
    }

    /// How the answer ended, when this event says so.
    pub fn finish(&self) -> Option<String> {
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
