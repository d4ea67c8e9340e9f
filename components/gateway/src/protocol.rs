//! Interface to the platform's HTTP: typed requests and responses.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    request::Parts, //
};
use names::{
    Server,
    Team, //
};

/// Maximum number of events that a healthy server has produced before the first one arrives here.
const MAX_EVENTS_IN_TRANSIT: u64 = 3;

/// Data from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// The caller's id of this attempt. Backend servers repeat it in their responses.
    pub id: String,
    /// Time for which the caller waits, counted from the arrival of the request.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<String>,
    /// Last event that the caller received, when it resumes a stream.
    pub after: Option<u64>,
    /// Size of the generation; `None` for plain requests.
    pub generation: Option<Generation>,
}

/// Size of a generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Number of tokens that the caller expects in the answer.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order: a hash that is shared by prompts with the same part, and its
    /// tokens.
    pub parts: Vec<(u64, u32)>,
}

/// A header that is missing or can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// Name of the header.
    pub field: &'static str,
    /// Description of what is accepted.
    pub message: &'static str,
}

/// Parameters with which a request is forwarded to a backend server.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The intended server; another one at the same address must not run the request.
    pub server: &'a Server,
    /// Time that remains until the deadline.
    pub remaining: Option<Duration>,
    /// The caller's team.
    pub team: Option<&'a Team>,
    /// Last event that the caller received, when a stream is resumed.
    pub after: Option<u64>,
    /// Server to which the run's KV cache is replicated as it grows.
    pub backup: Option<SocketAddr>,
    /// Copy of the KV cache from which the run resumes.
    pub copy: Option<&'a KvCopy>,
    /// Urgency from 0 to 9, where 0 goes first; `None` leaves it to the server.
    pub urgency: Option<u8>,
}

/// A copy of a run's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopy {
    /// Address of the server that assigned the name: the one that holds the copy, or the one that
    /// made it.
    pub address: SocketAddr,
    /// Name of the copy at that server.
    pub name: String,
}

/// Data from the head of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that the response answers, if it is given.
    pub id: Option<String>,
    /// Whether a backend server signed the response.
    pub signed: bool,
    /// Whether the server states that it didn't run the request and never will.
    pub not_run: bool,
    /// Whether the address belongs to another server than the intended one.
    pub misdirected: bool,
    /// Whether an intermediary encoded the body, so that it differs from the one that the server
    /// sent.
    pub encoded: bool,
    /// Time for which a server that declined the request wants no other.
    pub retry_after: Option<Duration>,
    /// Whether the server states that it leaves.
    pub leaving: bool,
    /// Requests per second that the server accepts from all gateways together, if it limits them.
    pub rate_limit: Option<f64>,
}

impl Reply {
    /// Returns the time to wait before another request, in milliseconds for a log line.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let time = self.retry_after?;
        Some(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Requests in progress at a server, as reported by it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Number of requests that are queued, or whose prompts are still being processed.
    pub queued: u32,
    /// Requests that produce events: their ids and the number of events produced so far.
    pub runs: Vec<(String, u64)>,
}

impl Activity {
    /// Returns whether the answer to a request, of which a number of events was received, is lost: the
    /// server produced more that didn't arrive, or no longer knows the request.
    pub fn has_lost(&self, id: &str, received: u64) -> bool {
        match self.runs.iter().find(|(known, _)| known == id) {
            Some((_, events)) => *events > received + MAX_EVENTS_IN_TRANSIT,
            None => self.queued == 0,
        }
    }
}

/// Encodes and parses the platform's HTTP.
pub trait Protocol {
    /// Parses a caller's request.
    ///
    /// # Errors
    ///
    /// [`HeaderError`] names the header that is missing or invalid.
    fn parse_request(&self, request: &Parts) -> Result<Metadata, HeaderError>;

    /// Encodes the head of a request to a backend server. `length` is that of the body in bytes.
    fn encode_request(
        &self,
        request: &Parts,
        metadata: &Metadata,
        dispatch: &Dispatch<'_>,
        length: usize,
    ) -> Vec<u8>;

    /// Parses the head of a response.
    fn parse_reply(&self, head: &upstream::Head) -> Reply;

    /// Encodes a call that replicates the KV cache of run `id` to another server.
    fn copy_request(&self, id: &str, holder: SocketAddr) -> (Vec<u8>, Bytes);

    /// Parses the response to [`Protocol::copy_request`] and returns the name of the copy, if one
    /// was made.
    fn parse_copy(&self, head: &upstream::Head, body: &[u8]) -> Option<String>;

    /// Encodes a call to the server that assigned the name of a copy, which releases the copy.
    fn release_request(&self, name: &str) -> Vec<u8>;

    /// Encodes a call that reads a server's current runs.
    fn activity_request(&self) -> Vec<u8>;

    /// Parses the response to [`Protocol::activity_request`].
    fn parse_activity(&self, head: &upstream::Head, body: &[u8]) -> Option<Activity>;

    /// Encodes a call that lists the prompt parts in a server's cache.
    fn cache_request(&self) -> Vec<u8>;

    /// Parses the response to [`Protocol::cache_request`] into hashes of prompt parts and their
    /// tokens.
    fn parse_cache(&self, head: &upstream::Head, body: &[u8]) -> Option<Vec<(u64, u32)>>;

    /// Returns the headers of a server's response that are passed to the caller.
    fn response_headers(&self, headers: HeaderMap) -> HeaderMap;
}
