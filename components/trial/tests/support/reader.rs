//! Client that reads one streamed answer.

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
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Client of a streamed answer, with what it has received so far.
pub struct Reader {
    /// Valid tokens: those since the last restart.
    pub tokens: Vec<String>,
    /// Id of the last token event.
    pub id: String,
    /// `finish_reason`, once received.
    pub finish_reason: Option<String>,
    /// Data of an `error` event.
    pub error: Option<String>,
    /// Number of `restart` events, each of which voids the tokens before it.
    pub restarts: usize,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    last_token_at: Option<Instant>,
    stream: Stream,
}

/// Creates a request for a streamed answer.
pub fn request(trial: &Trial, entry: usize, seed: u64, key: Option<&str>) -> RequestBuilder {
    let body = json!({
        "model": "m", "prompt": "p", "max_tokens": super::MAX_TOKENS, "seed": seed, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(entry));
    // One client per request, so that dropping a reader closes only its own connection.
    let client = reqwest::Client::builder()
        .build()
        .expect("the client is built");
    let request = client.post(address).json(&body);
    match key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    }
}

impl Reader {
    /// Sends a request and opens the stream of its answer.
    pub async fn open(request: RequestBuilder) -> Reader {
        let response = request.send().await.expect("the entry responds");
        assert!(response.status().is_success(), "{}", response.status());
        Reader {
            tokens: Vec::new(),
            id: String::new(),
            finish_reason: None,
            error: None,
            restarts: 0,
            longest_gap: Duration::ZERO,
            last_token_at: None,
            stream: Stream::new(response),
        }
    }

    /// Sends a retry that continues where another reader stopped.
    pub async fn resume(request: RequestBuilder, previous: &Reader) -> Reader {
        let request = request.header("last-event-id", &previous.id);
        let mut reader = Reader::open(request).await;
        reader.tokens = previous.tokens.clone();
        reader.id = previous.id.clone();
        reader
    }

    /// Reads until `count` tokens are received or the stream ends.
    pub async fn read(&mut self, count: usize) {
        while self.tokens.len() < count && self.read_event().await {}
    }

    /// Reads to the end of the stream.
    pub async fn read_to_end(&mut self) {
        while self.read_event().await {}
    }

    /// Reads one event. Returns `false` at the end of the stream.
    async fn read_event(&mut self) -> bool {
        let Some(event) = self.stream.next().await.expect("the stream continues") else {
            return false;
        };
        if event.name == "restart" {
            self.restarts += 1;
            self.tokens.clear();
        }
        if event.name == "error" {
            self.error = Some(event.data.clone());
        }
        self.finish_reason = event.finish_reason().or(self.finish_reason.take());
        if let Some(token) = event.token() {
            self.tokens.push(token);
            self.id = event.id;
            let now = Instant::now();
            let previous = self.last_token_at.replace(now);
            self.longest_gap = self
                .longest_gap
                .max(previous.map_or(Duration::ZERO, |previous| now - previous));
        }
        true
    }
}

/// Waits until a condition holds.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting for {what}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
