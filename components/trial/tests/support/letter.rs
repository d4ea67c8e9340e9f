//! A caller that reads one streamed letter and compares it with the engines' known text.

use std::time::Duration;

use reqwest::RequestBuilder;
use serde_json::json;
use tokio::time::{
    Instant,
    sleep, //
};
use trial::{
    Trial,
    stream::Stream, //
};

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Pace at which conditions are looked at.
const PACE: Duration = Duration::from_millis(5);

/// What a caller has of its letter.
pub struct Letter {
    /// The tokens that count.
    pub tokens: Vec<String>,
    /// The last event's id.
    pub id: String,
    /// `finish_reason`, once there is one.
    pub finish: Option<String>,
    /// The text of an `error` event.
    pub error: Option<String>,
    /// Times that everything received had to be dropped.
    pub restarts: usize,
    /// Longest time between two tokens.
    pub gap: Duration,
    last: Option<Instant>,
    stream: Stream,
}

/// A streamed request.
pub fn request(trial: &Trial, entry: usize, seed: u64, key: Option<&str>) -> RequestBuilder {
    let body = json!({
        "model": "m", "prompt": "p", "max_tokens": super::LENGTH, "seed": seed, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(entry));
    // A connection a request: a caller that goes away closes its own, nobody else's.
    let client = reqwest::Client::builder().build().expect("a client");
    let request = client.post(address).json(&body);
    match key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    }
}

impl Letter {
    /// Sends a request and reads from its answer.
    pub async fn open(request: RequestBuilder) -> Letter {
        let response = request.send().await.expect("an answer");
        assert!(response.status().is_success(), "{}", response.status());
        Letter {
            tokens: Vec::new(),
            id: String::new(),
            finish: None,
            error: None,
            restarts: 0,
            gap: Duration::ZERO,
            last: None,
            stream: Stream::new(response),
        }
    }

    /// Goes on from another letter's place, as its caller's retry does.
    pub async fn resume(request: RequestBuilder, before: &Letter) -> Letter {
        let request = request.header("last-event-id", &before.id);
        let mut letter = Letter::open(request).await;
        letter.tokens = before.tokens.clone();
        letter.id = before.id.clone();
        letter
    }

    /// Reads until there are `count` tokens.
    pub async fn read(&mut self, count: usize) {
        while self.tokens.len() < count && self.event().await {}
    }

    /// Reads to the end.
    pub async fn rest(&mut self) {
        while self.event().await {}
    }

    async fn event(&mut self) -> bool {
        let Some(event) = self.stream.next().await.expect("the stream goes on") else {
            return false;
        };
        if event.name == "restart" {
            self.restarts += 1;
            self.tokens.clear();
        }
        if event.name == "error" {
            self.error = Some(event.data.clone());
        }
        self.finish = event.finish().or(self.finish.take());
        if let Some(token) = event.token() {
            self.tokens.push(token);
            self.id = event.id;
            let now = Instant::now();
            let before = self.last.replace(now);
            self.gap = self
                .gap
                .max(before.map_or(Duration::ZERO, |before| now - before));
        }
        true
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LIMIT, "not in time: {what}");
        sleep(PACE).await;
    }
}
