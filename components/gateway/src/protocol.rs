//! What the gateway needs to know of the platform's HTTP: a typed request, a typed answer.

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

/// Events that a server may have given while none has come yet.
const FIRST_EVENTS: u64 = 3;

/// What a caller's request says beside its method, path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// The caller's id of this attempt. Backend servers repeat it in their answers.
    pub id: String,
    /// How long the caller waits, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Key by which the caller's team is known.
    pub key: Option<String>,
    /// Last event of the stream that the caller has, when it comes back for the rest.
    pub after: Option<u64>,
    /// Work that the request brings; none for plain calls.
    pub prompt: Option<Prompt>,
}

/// Work that a generation brings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Tokens of the answer that the caller expects.
    pub expected_tokens: Option<u32>,
    /// The prompt's parts in order: a hash that prompts share, and the part's tokens.
    pub parts: Vec<(u64, u32)>,
}

/// Why a request can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// The header at fault.
    pub field: &'static str,
    /// What is accepted.
    pub message: &'static str,
}

/// How a request goes to a backend server.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The server that is meant; another one at the same address must not run the request.
    pub server: &'a Server,
    /// Time that is left.
    pub deadline: Option<Duration>,
    /// Team of the caller.
    pub team: Option<&'a Team>,
    /// Last event that the caller has, when a stream goes on.
    pub after: Option<u64>,
    /// Server to which the run's memory is copied as it grows.
    pub backup: Option<SocketAddr>,
    /// Copy of the run's memory from which the run goes on.
    pub copy: Option<&'a KvCopy>,
}

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopy {
    /// Address of the server that names it: the holder, or the one that made it.
    pub address: SocketAddr,
    /// Its name there.
    pub name: String,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request that it belongs to, where it says.
    pub id: Option<String>,
    /// Signed by a backend server.
    pub signed: bool,
    /// The server says that it didn't run the request and never will.
    pub not_run: bool,
    /// Another server than the one that was meant stands at the address.
    pub misdirected: bool,
    /// The body isn't what the server made, as something on the way encoded it.
    pub encoded: bool,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// What a server says of its work, as of a moment ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Requests that wait, or whose prompts are being read.
    pub queued: u32,
    /// Requests that give events: their ids, and how many events each has given.
    pub runs: Vec<(String, u64)>,
}

impl Activity {
    /// Whether the answer to a request is lost: the server gave events of which none came, or
    /// doesn't know the request any more.
    pub fn has_lost(&self, id: &str) -> bool {
        match self.runs.iter().find(|(known, _)| known == id) {
            // A first event may be on its way.
            Some((_, events)) => *events > FIRST_EVENTS,
            None => self.queued == 0,
        }
    }
}

/// The platform's HTTP.
pub trait Protocol {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// [`Flaw`] names the header that can't be understood.
    fn parse_request(&self, request: &Parts) -> Result<Metadata, HeaderError>;

    /// Writes the head of the request as it goes to a backend server.
    fn encode_request(
        &self,
        request: &Parts,
        metadata: &Metadata,
        dispatch: &Dispatch<'_>,
        length: usize,
    ) -> Vec<u8>;

    /// Reads the head of an answer.
    fn parse_reply(&self, head: &upstream::Head) -> Reply;

    /// Writes a call that has a run's memory copied to another server.
    fn copy_request(&self, id: &str, holder: SocketAddr) -> (Vec<u8>, Bytes);

    /// Reads the answer to [`Edge::copy`]: the name of the copy, when there is one.
    fn parse_copy(&self, head: &upstream::Head, body: &[u8]) -> Option<String>;

    /// Writes a call that asks a server what it runs.
    fn activity_request(&self) -> Vec<u8>;

    /// Reads the answer to [`Edge::inquiry`].
    fn parse_activity(&self, head: &upstream::Head, body: &[u8]) -> Option<Activity>;

    /// Writes a call that asks a server which parts of prompts its cache holds.
    fn cache_request(&self) -> Vec<u8>;

    /// Reads the answer to [`Edge::holdings`]: hashes of parts, and their tokens.
    fn parse_cache(&self, head: &upstream::Head, body: &[u8]) -> Option<Vec<(u64, u32)>>;

    /// Leaves the headers that concern the caller.
    fn response_headers(&self, headers: HeaderMap) -> HeaderMap;
}
