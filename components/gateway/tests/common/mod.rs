//! A gateway with stand-ins for backend servers, on loopback.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::{
    cell::RefCell,
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use environment::{
    Index,
    document::{
        Bounds as CallerBounds,
        Condition,
        Contract,
        Direct,
        Document,
        Engine,
        Kind,
        Limit,
        Passthrough,
        Provision,
        Repeats,
        Rule, //
    },
};
use gateway::{
    Gateway,
    Protocol,
    Settings,
    Update,
    clock,
    document_cache::Snapshot,
    protocol::{
        Activity,
        Dispatch, //
        HeaderError,
        Metadata,
        Prompt,
        Reply,
    },
    settings::Bounds,
    update::Registration, //
};
use http::{
    HeaderMap,
    request::Parts, //
};
use moves::brief::Exposure;
use routing::placement::Facts;
use spread::fresh::Claim;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        LocalSet,
        spawn_local, //
    },
};
use tokio_util::sync::CancellationToken;

/// Host that the document's routes are for.
pub const HOST: &str = "desk.example";

/// Headers as plain as can be.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plain;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeaderError> {
    let Some(value) = text(headers, name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| HeaderError {
        field: name,
        message: "a whole number is accepted",
    })
}

/// Reads parts of prompts, such as `77:100,78:20`.
fn parts(text: &str) -> Vec<(u64, u32)> {
    let parts = text.split(',').filter_map(|part| {
        let (id, size) = part.split_once(':')?;
        Some((id.parse().ok()?, size.parse().ok()?))
    });
    parts.collect()
}

impl Protocol for Plain {
    fn parse_request(&self, request: &Parts) -> Result<Metadata, HeaderError> {
        let headers = &request.headers;
        let tokens = number(headers, "tokens")?;
        Ok(Metadata {
            id: text(headers, "id").unwrap_or_default().to_string(),
            deadline: number(headers, "deadline")?.map(Duration::from_millis),
            key: text(headers, "key").map(str::to_string),
            after: number(headers, "after")?,
            prompt: tokens.map(|tokens| Prompt {
                tokens: tokens as u32,
                max_tokens: 100,
                expected_tokens: None,
                parts: parts(text(headers, "parts").unwrap_or_default()),
            }),
        })
    }

    fn encode_request(
        &self,
        request: &Parts,
        metadata: &Metadata,
        dispatch: &Dispatch<'_>,
        length: usize,
    ) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.uri);
        head += &format!("id: {}\r\ncontent-length: {length}\r\n", metadata.id);
        head += &format!("server: {}\r\n", dispatch.server);
        if let Some(left) = dispatch.deadline {
            head += &format!("deadline: {}\r\n", left.as_millis());
        }
        if let Some(team) = dispatch.team {
            head += &format!("team: {team}\r\n");
        }
        if let Some(after) = dispatch.after {
            head += &format!("after: {after}\r\n");
        }
        if let Some(backup) = dispatch.backup {
            head += &format!("backup: {backup}\r\n");
        }
        if let Some(copy) = dispatch.copy {
            head += &format!("copy: {}/{}\r\n", copy.address, copy.name);
        }
        head += "\r\n";
        head.into_bytes()
    }

    fn parse_reply(&self, head: &upstream::Head) -> Reply {
        let headers = &head.headers;
        Reply {
            id: text(headers, "id").map(str::to_string),
            signed: headers.contains_key("signed"),
            not_run: headers.contains_key("not-run"),
            misdirected: headers.contains_key("other"),
            encoded: headers.contains_key("content-encoding"),
            retry_after: None,
        }
    }

    fn copy_request(&self, id: &str, holder: SocketAddr) -> (Vec<u8>, Bytes) {
        let head = format!("POST /copy HTTP/1.1\r\nid: {id}\r\nholder: {holder}\r\n\r\n");
        (head.into_bytes(), Bytes::new())
    }

    fn parse_copy(&self, head: &upstream::Head, body: &[u8]) -> Option<String> {
        let made = head.status.is_success();
        made.then(|| String::from_utf8_lossy(body).into_owned())
    }

    fn activity_request(&self) -> Vec<u8> {
        b"GET /runs HTTP/1.1\r\n\r\n".to_vec()
    }

    fn parse_activity(&self, head: &upstream::Head, body: &[u8]) -> Option<Activity> {
        let text = String::from_utf8_lossy(body);
        let runs = text.lines().filter_map(|line| {
            let (id, events) = line.split_once(' ')?;
            Some((id.to_string(), events.parse().ok()?))
        });
        head.status.is_success().then(|| Activity {
            queued: 0,
            runs: runs.collect(),
        })
    }

    fn cache_request(&self) -> Vec<u8> {
        b"GET /held HTTP/1.1\r\n\r\n".to_vec()
    }

    fn parse_cache(&self, head: &upstream::Head, body: &[u8]) -> Option<Vec<(u64, u32)>> {
        head.status
            .is_success()
            .then(|| parts(&String::from_utf8_lossy(body)))
    }

    fn response_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        headers
    }
}

/// A request as a backend server or a caller got it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; an error when it ends before it is complete.
pub async fn read(stream: &mut TcpStream) -> io::Result<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let mut message = Message {
        first: lines.next().unwrap_or_default().to_string(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = chunk(stream).await? {
            message.body.extend_from_slice(&chunk);
        }
        return Ok(message);
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).await?;
    Ok(message)
}

/// Reads a chunk; `None` for the last one.
pub async fn chunk(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&line);
    let length = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    stream.read_exact(&mut chunk).await?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// One event of a stream, as a chunk.
pub fn event(id: u64) -> String {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Head of a stream.
pub fn stream_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// A whole answer.
pub fn answer(id: &str, status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nid: {id}\r\nsigned: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A backend server whose behaviour the test gives.
pub struct Backend {
    /// Its address.
    pub address: SocketAddr,
    /// What it was sent.
    pub seen: Rc<RefCell<Vec<Message>>>,
    stop: CancellationToken,
    deaf: CancellationToken,
}

impl Backend {
    /// Starts a server that handles each request of each connection with `work`, which returns
    /// whether the connection goes on.
    pub async fn start<F>(work: impl Fn(Message, Line) -> F + 'static) -> Backend
    where
        F: Future<Output = bool> + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let seen: Rc<RefCell<Vec<Message>>> = Rc::default();
        let (stop, deaf) = (CancellationToken::new(), CancellationToken::new());
        let closed = deaf.clone();
        let (work, log, ended) = (Rc::new(work), seen.clone(), stop.clone());
        spawn_local(async move {
            loop {
                let accepted = tokio::select! {
                    () = ended.cancelled() => return,
                    () = closed.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((mut stream, _)) = accepted else {
                    return;
                };
                let (work, log, ended) = (work.clone(), log.clone(), ended.clone());
                spawn_local(async move {
                    let serve = async {
                        while let Ok(message) = read(&mut stream).await {
                            log.borrow_mut().push(message.clone());
                            let line = Line(Rc::new(RefCell::new(Some(stream))));
                            if !work(message, line.clone()).await {
                                return;
                            }
                            let Some(back) = line.0.borrow_mut().take() else {
                                return;
                            };
                            stream = back;
                        }
                    };
                    tokio::select! {
                        () = ended.cancelled() => {}
                        () = serve => {}
                    }
                });
            }
        });
        Backend {
            address,
            seen,
            stop,
            deaf,
        }
    }

    /// Takes no new connection any more; those that are open stay so.
    pub fn deafen(&self) {
        self.deaf.cancel();
    }

    /// Stops the server: its connections break and its port is closed.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Number of requests that it got.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// The connection of a request.
#[derive(Clone)]
pub struct Line(Rc<RefCell<Option<TcpStream>>>);

impl Line {
    /// Writes bytes as they are.
    pub async fn write(&self, bytes: &str) {
        let taken = self.0.borrow_mut().take();
        if let Some(mut stream) = taken {
            // The gateway may have left; the test sees that elsewhere.
            let _ = stream.write_all(bytes.as_bytes()).await;
            *self.0.borrow_mut() = Some(stream);
        }
    }

    /// Waits until the other side closes the connection; `false` when it sends something.
    pub async fn closed(&self) -> bool {
        let taken = self.0.borrow_mut().take();
        let Some(mut stream) = taken else {
            return false;
        };
        let mut byte = [0; 1];
        matches!(stream.read(&mut byte).await, Ok(0) | Err(_))
    }

    /// Breaks the connection with a reset.
    pub fn reset(&self) {
        if let Some(stream) = self.0.borrow_mut().take() {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Gives events at a pace until an id, then the end.
pub async fn events(line: &Line, first: u64, last: u64, pace: Duration) {
    for id in first..=last {
        line.write(&event(id)).await;
        tokio::time::sleep(pace).await;
    }
    line.write("0\r\n\r\n").await;
}

/// A gateway that runs.
pub struct Harness {
    /// It.
    pub gateway: Rc<Gateway<Plain>>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks.
    pub ready: SocketAddr,
    /// Where other gateways send beacons.
    pub peers: SocketAddr,
    /// Tells it to stop.
    pub stop: CancellationToken,
    /// Set when it has stopped.
    pub stopped: CancellationToken,
}

/// Settings with free ports.
pub fn settings() -> Settings {
    let free = "127.0.0.1:0".parse().expect("an address");
    Settings {
        host: "here".into(),
        data_centre: "a".into(),
        callers: free,
        ready: free,
        peers: free,
        metrics: None,
        seeds: Vec::new(),
        bounds: Bounds {
            grace: Duration::from_secs(8),
            revocation: Duration::from_secs(60),
            drain: Duration::from_secs(2),
            event_delay: Duration::from_millis(100),
            retry_ratio: 0.8,
            retry_slack: 150.0,
            retry_window: Duration::from_secs(10),
            exposure: Exposure {
                share: 0.1,
                slack: 50.0,
            },
        },
    }
}

/// How the requests of a route are passed through.
pub fn pass(repeats: Repeats, stream: bool) -> Passthrough {
    Passthrough {
        repeats,
        stream,
        timeout: Some(Duration::from_secs(20)),
        objective: Duration::from_secs(4),
        gap: stream.then_some(Duration::from_millis(700)),
        attempts: 3,
        rank: 1,
        public: false,
        sticky: false,
        split: Vec::new(),
    }
}

fn rule(name: &str, service: &str, pass: Passthrough) -> Rule {
    Rule {
        name: name.into(),
        matches: Condition {
            host: HOST.into(),
            path: format!("/{name}/"),
            ..Condition::default()
        },
        service: service.into(),
        version: String::new(),
        pass: Some(pass),
    }
}

fn provision(name: &str, engine: Option<Engine>) -> Provision {
    Provision {
        name: name.into(),
        kind: match engine {
            Some(_) => Kind::Engine,
            None => Kind::Plain,
        },
        model: String::new(),
        contract: Contract::default(),
        versions: Vec::new(),
        direct: Some(Direct {
            health: "/health".into(),
            connections: 100,
            engine,
        }),
    }
}

/// A document with the routes `safe`, `unsafe` (service `ledger`) and `stream` (service `draft`).
/// The key `k` is team `t`'s.
pub fn document() -> Document {
    let engine = Engine {
        slots: 8,
        memory: 50_000,
        backups: true,
        ..Engine::default()
    };
    Document {
        environment: "production".into(),
        services: vec![provision("ledger", None), provision("draft", Some(engine))],
        routes: vec![
            rule("safe", "ledger", pass(Repeats::Always, false)),
            rule("unsafe", "ledger", pass(Repeats::Never, false)),
            rule("stream", "draft", pass(Repeats::Resumes, true)),
        ],
        moves: Vec::new(),
        teams: [(
            "t".to_string(),
            Limit {
                keys: vec!["k".into()],
                ..Limit::default()
            },
        )]
        .into(),
        levels: Vec::new(),
        callers: Some(CallerBounds {
            header_bytes: 16 * 1024,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(15),
        }),
    }
}

impl Harness {
    /// Starts a gateway.
    pub fn start(settings: Settings) -> Harness {
        let gateway = Rc::new(Gateway::new(settings, Plain));
        let listeners = gateway.listen().expect("free ports");
        let callers = listeners.callers.local_addr().expect("bound");
        let ready = listeners.ready.local_addr().expect("bound");
        let peers = listeners.peers.local_addr().expect("bound");
        let (stop, stopped) = (CancellationToken::new(), CancellationToken::new());
        let (runs, told, done) = (gateway.clone(), stop.clone(), stopped.clone());
        spawn_local(async move {
            runs.run(listeners, told).await;
            done.cancel();
        });
        Harness {
            gateway,
            callers,
            ready,
            peers,
            stop,
            stopped,
        }
    }

    /// Starts a gateway that knows a document.
    pub fn with(document: Document) -> Harness {
        let harness = Harness::start(settings());
        harness.put(1, document);
        harness
    }

    /// Puts a document in force.
    pub fn put(&self, version: u64, document: Document) {
        let index = Rc::new(Index::new(document));
        self.gateway
            .apply(Update::Document(Snapshot { version, index }));
        let mut fresh = self.gateway.freshness().borrow_mut();
        fresh.learned(version);
        let at = clock::now();
        fresh.hear(
            at,
            Claim {
                revision: version,
                at,
            },
        );
    }

    /// Registers a backend server.
    pub fn register(&self, server: &str, service: &str, data_centre: &str, address: SocketAddr) {
        self.register_slots(server, service, data_centre, address, 8);
    }

    /// Registers a backend server that runs a number of requests at once.
    pub fn register_slots(
        &self,
        server: &str,
        service: &str,
        data_centre: &str,
        address: SocketAddr,
        slots: u32,
    ) {
        let facts = Facts {
            service: service.into(),
            version: "v1".into(),
            data_centre: data_centre.into(),
            slots,
            memory: if service == "draft" { 50_000 } else { 0 },
        };
        self.gateway.apply(Update::Server {
            registration: Registration {
                server: server.into(),
                address,
                facts,
                leaving: false,
            },
            since: clock::now(),
        });
    }

    /// Sends a request on a new connection.
    pub async fn ask(&self, id: &str, path: &str, more: &str) -> (TcpStream, io::Result<Message>) {
        let mut stream = self.connect(id, path, more).await;
        let answer = read(&mut stream).await;
        (stream, answer)
    }

    /// Sends a request on a new connection, without waiting for the answer.
    pub async fn connect(&self, id: &str, path: &str, more: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("it listens");
        let request = request(id, path, more);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        stream
    }
}

/// A request with the key of team `t`.
pub fn request(id: &str, path: &str, more: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: {id}\r\nkey: k\r\n{more}\r\n")
}

/// Runs a test on one thread, as the gateway does.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
