//! Consumers, and the balancer that chooses an entry for them.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Head},
    record::Record,
};

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    /// Whether the answer is a stream of a model.
    pub stream: bool,
    pub body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Status of a complete answer, its body, and whether a replica signed it.
    Answered { status: u16, body: Vec<u8>, signed: bool, retry_after: f64 },
    /// The channel couldn't be opened.
    NoChannel,
    /// The channel closed before an answer.
    Closed,
    /// The answer broke off.
    Cut,
    /// No answer by the deadline.
    Late,
}

impl Outcome {
    /// Returns whether the consumer was served.
    pub fn is_served(&self) -> bool {
        matches!(self, Outcome::Answered { status: 200, signed: true, .. })
    }

    pub fn name(&self) -> String {
        match self {
            Outcome::Answered { status, .. } => status.to_string(),
            Outcome::NoChannel => "no channel".into(),
            Outcome::Closed => "closed without an answer".into(),
            Outcome::Cut => "cut in the answer".into(),
            Outcome::Late => "late".into(),
        }
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Sends one attempt on a new channel.
pub fn attempt(to: SocketAddr, request: &Request, record: &Record) -> Outcome {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst);
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995);
    let (method, path) = (request.method, &request.path);
    record.line(&format!("consumer sends {id}: {method} {path} to {to}"));
    let began = Instant::now();
    let outcome = exchange(to, request, &id, began).unwrap_or(Outcome::Late);
    let ms = began.elapsed().as_millis();
    record.line(&format!("consumer has {id}: {} after {ms} ms", outcome.name()));
    outcome
}

fn exchange(to: SocketAddr, request: &Request, id: &str, began: Instant) -> std::io::Result<Outcome> {
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return Ok(Outcome::NoChannel);
    };
    stream.set_read_timeout(Some(request.deadline))?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer key-one\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.deadline.as_millis(),
        request.body.len()
    );
    if request.stream {
        head.push_str(&format!(
            "X-Model: m\r\nX-Token-Counts: 400,160\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:200\r\n"
        ));
    }
    head.push_str("\r\n");
    let mut channel = Channel::new(stream);
    let sent = channel.stream.write_all(head.as_bytes());
    if sent.and_then(|()| channel.stream.write_all(&request.body)).is_err() {
        return Ok(Outcome::Closed);
    }
    let answer = match channel.head() {
        Ok(Some(answer)) => answer,
        Ok(None) => return Ok(Outcome::Closed),
        Err(_) if began.elapsed() < request.deadline => return Ok(Outcome::Closed),
        Err(error) => return Err(error),
    };
    let body = match channel.body(&answer) {
        Ok(Some(body)) => body,
        Ok(None) => return Ok(Outcome::Cut),
        Err(_) if began.elapsed() < request.deadline => return Ok(Outcome::Cut),
        Err(error) => return Err(error),
    };
    Ok(Outcome::Answered {
        status: answer.status(),
        body,
        signed: answer.header("x-server-stamp").is_some(),
        retry_after: retry_after(&answer),
    })
}

fn retry_after(answer: &Head) -> f64 {
    answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Sends a request; after a promise that it has not run, or a refused channel, once more as told.
pub fn send(balancer: &Balancer, request: &Request, record: &Record) -> Outcome {
    let first = attempt(balancer.choose(), request, record);
    let pause = match &first {
        Outcome::Answered { status: 429 | 503, retry_after, .. } => *retry_after,
        Outcome::NoChannel => 0.05,
        _ => return first,
    };
    let longest = request.deadline.as_secs_f64() / 3.0;
    thread::sleep(Duration::from_secs_f64(pause.clamp(0.0, longest)));
    attempt(balancer.choose(), request, record)
}

/// Takes entries out of rotation after two misses of their readiness.
#[derive(Clone)]
pub struct Balancer {
    nodes: Arc<Mutex<Vec<Node>>>,
    turn: Arc<AtomicU64>,
}

struct Node {
    callers: SocketAddr,
    misses: u32,
}

impl Balancer {
    /// Starts asking the entries, given by their callers' and readiness addresses.
    pub fn start(entries: Vec<(SocketAddr, SocketAddr)>) -> Balancer {
        let nodes = entries.iter().map(|(callers, _)| Node { callers: *callers, misses: 0 });
        let balancer =
            Balancer { nodes: Arc::new(Mutex::new(nodes.collect())), turn: Arc::default() };
        for (index, (_, ready)) in entries.into_iter().enumerate() {
            let nodes = balancer.nodes.clone();
            thread::spawn(move || loop {
                let is_ready = is_ready(ready);
                let count = |misses: u32| if is_ready { 0 } else { misses + 1 };
                nodes.lock().map(|mut nodes| nodes[index].misses = count(nodes[index].misses)).ok();
                thread::sleep(Duration::from_secs(1));
            });
        }
        balancer
    }

    /// Returns an entry in rotation; all of them if fewer than half are.
    fn choose(&self) -> SocketAddr {
        let nodes = self.nodes.lock().unwrap();
        let ready: Vec<_> = nodes.iter().filter(|node| node.misses < 2).collect();
        let usable = match ready.len() * 2 < nodes.len() {
            true => nodes.iter().collect(),
            false => ready,
        };
        let turn = self.turn.fetch_add(1, Ordering::SeqCst) as usize;
        usable[turn % usable.len()].callers
    }
}

/// Returns whether an entry says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
    let mut channel = Channel::new(stream);
    let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    channel.stream.write_all(request).is_ok()
        && channel.head().ok().flatten().is_some_and(|head| head.status() == 200)
}
