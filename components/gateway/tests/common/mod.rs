//! Test harness: a gateway and fake backend servers on the loopback interface.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::{
    cell::RefCell,
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
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
        Dispatch,
        Generation,
        HeaderError,
        Metadata,
        Reply, //
    },
    settings::{
        Bounds,
        Limits, //
    },
    update::Registration, //
};
use http::{
    HeaderMap,
    request::Parts, //
};
use moves::rollout::Exposure;
use routing::placement::Spec;
use spread::freshness::Claim;
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

/// Host that the document's routes match.
pub const HOST: &str = "desk.example";

/// Time after which a condition that didn't hold is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Protocol with unprefixed header names.
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

/// Parses prompt parts as `id:size`, such as `77:100,78:20`.
fn parse_parts(text: &str) -> Vec<(u64, u32)> {
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
            generation: tokens.map(|tokens| Generation {
                prompt_tokens: tokens as u32,
                max_tokens: 100,
                expected_tokens: None,
                parts: parse_parts(text(headers, "parts").unwrap_or_default()),
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
        if let Some(left) = dispatch.remaining {
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
        if let Some(urgency) = dispatch.urgency {
            head += &format!("urgency: {urgency}\r\n");
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
            retry_after: text(headers, "retry-after")
                .and_then(|seconds| seconds.parse().ok())
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
            leaving: headers.contains_key("leaving"),
            rate_limit: text(headers, "rate-limit").and_then(|rate| rate.parse().ok()),
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

    fn release_request(&self, name: &str) -> Vec<u8> {
        format!("DELETE /copy/{name} HTTP/1.1\r\n\r\n").into_bytes()
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
            .then(|| parse_parts(&String::from_utf8_lossy(body)))
    }

    fn response_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        headers
    }
}

/// HTTP message as a backend server or a caller received it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body after decoding.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns whether it asks a server for its current runs.
    pub fn is_status_check(&self) -> bool {
        self.start_line.starts_with("GET /runs ")
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; fails when the connection closes before it is complete.
pub async fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let mut message = Message {
        start_line: lines.next().unwrap_or_default().to_string(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(stream).await? {
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

/// Waits until a condition holds.
pub async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a caller has received `text`, and leaves it to be read.
pub async fn until_received(caller: &TcpStream, text: &str) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = caller.peek(&mut buffer).await.expect("an open connection");
        if String::from_utf8_lossy(&buffer[..length]).contains(text) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads a chunk; `None` for the last one.
pub async fn read_chunk(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
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

/// Encodes an event of a stream as a chunk.
pub fn event_chunk(id: u64) -> String {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Formats the response head of a stream.
pub fn stream_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Formats a signed response.
pub fn response(id: &str, status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nid: {id}\r\nsigned: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Fake backend server that handles requests as the test defines.
pub struct Backend {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it received.
    pub requests: Rc<RefCell<Vec<Message>>>,
    stop: CancellationToken,
    stop_accepting: CancellationToken,
    cut: CancellationToken,
    mute: CancellationToken,
    freeze: CancellationToken,
}

impl Backend {
    /// Starts a server that handles each request with `handler`, which returns whether to keep the
    /// connection open.
    pub async fn start<F>(handler: impl Fn(Message, Connection) -> F + 'static) -> Backend
    where
        F: Future<Output = bool> + 'static,
    {
        let free = "127.0.0.1:0".parse().expect("an address");
        Backend::start_at(free, handler).await
    }

    /// Starts a server like [`Backend::start`] at an address, which may be that of an earlier one.
    pub async fn start_at<F>(
        address: SocketAddr,
        handler: impl Fn(Message, Connection) -> F + 'static,
    ) -> Backend
    where
        F: Future<Output = bool> + 'static,
    {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests: Rc<RefCell<Vec<Message>>> = Rc::default();
        let (stop, stop_accepting) = (CancellationToken::new(), CancellationToken::new());
        let cut = CancellationToken::new();
        let (mute, freeze) = (CancellationToken::new(), CancellationToken::new());
        let (closed, cut_off) = (stop_accepting.clone(), cut.clone());
        let (muted, frozen) = (mute.clone(), freeze.clone());
        let (handler, log, stopped) = (Rc::new(handler), requests.clone(), stop.clone());
        spawn_local(async move {
            let mut unanswered = Vec::new();
            loop {
                let accepted = tokio::select! {
                    () = stopped.cancelled() => return,
                    () = closed.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((mut stream, _)) = accepted else {
                    return;
                };
                if muted.is_cancelled() || frozen.is_cancelled() {
                    unanswered.push(stream);
                    continue;
                }
                let (handler, log, stopped) = (handler.clone(), log.clone(), stopped.clone());
                let (cut_off, frozen) = (cut_off.clone(), frozen.clone());
                spawn_local(async move {
                    let serve = async {
                        while let Ok(message) = read_message(&mut stream).await {
                            log.borrow_mut().push(message.clone());
                            let connection = Connection(Rc::new(RefCell::new(Some(stream))));
                            if !handler(message, connection.clone()).await {
                                return;
                            }
                            let Some(returned) = connection.0.borrow_mut().take() else {
                                return;
                            };
                            stream = returned;
                        }
                    };
                    let mut serve = std::pin::pin!(serve);
                    tokio::select! {
                        biased;
                        () = stopped.cancelled() => {}
                        () = cut_off.cancelled() => {}
                        // What is served meanwhile keeps its connection open.
                        () = frozen.cancelled() => stopped.cancelled().await,
                        () = serve.as_mut() => {}
                    }
                });
            }
        });
        Backend {
            address,
            requests,
            stop,
            stop_accepting,
            cut,
            mute,
            freeze,
        }
    }

    /// Closes all connections, also those that are opened from now on; the port stays open.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Closes all connections; those that are opened from now on stay open, and nothing is sent on
    /// them.
    pub fn mute(&self) {
        self.mute.cancel();
        self.cut.cancel();
    }

    /// Sends nothing from now on; connections stay open, also those that are opened.
    pub fn freeze(&self) {
        self.freeze.cancel();
    }

    /// Returns whether its connections were closed by [`Backend::cut`].
    pub fn is_cut(&self) -> bool {
        self.cut.is_cancelled()
    }

    /// Closes the port; open connections stay open.
    pub fn stop_accepting(&self) {
        self.stop_accepting.cancel();
    }

    /// Stops the server: closes its connections and its port.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Returns the token whose cancellation stops the server.
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Waits until the server is stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// Returns the number of requests received, without status checks.
    pub fn request_count(&self) -> usize {
        self.sends().len()
    }

    /// Returns the requests received, without status checks.
    pub fn sends(&self) -> Vec<Message> {
        let mut sends = self.requests.borrow().clone();
        sends.retain(|message| !message.is_status_check());
        sends
    }
}

/// Connection on which a request arrived.
#[derive(Clone)]
pub struct Connection(Rc<RefCell<Option<TcpStream>>>);

impl Connection {
    /// Writes text without framing.
    pub async fn write(&self, bytes: &str) {
        let taken = self.0.borrow_mut().take();
        if let Some(mut stream) = taken {
            // The gateway may have closed the connection; tests detect that in other ways.
            let _ = stream.write_all(bytes.as_bytes()).await;
            *self.0.borrow_mut() = Some(stream);
        }
    }

    /// Waits until the gateway closes the connection; returns `false` if it sends anything instead.
    pub async fn wait_closed(&self) -> bool {
        let taken = self.0.borrow_mut().take();
        let Some(mut stream) = taken else {
            return false;
        };
        let mut byte = [0; 1];
        matches!(stream.read(&mut byte).await, Ok(0) | Err(_))
    }

    /// Resets the connection.
    pub fn reset(&self) {
        if let Some(stream) = self.0.borrow_mut().take() {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Writes the events `first` to `last`, `interval` apart, and ends the stream.
pub async fn write_events(connection: &Connection, first: u64, last: u64, interval: Duration) {
    for id in first..=last {
        connection.write(&event_chunk(id)).await;
        tokio::time::sleep(interval).await;
    }
    connection.write("0\r\n\r\n").await;
}

/// A running gateway with its addresses.
pub struct Harness {
    /// The gateway under test.
    pub gateway: Rc<Gateway<Plain>>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for other gateways' beacons.
    pub peers: SocketAddr,
    /// Stops the gateway when cancelled.
    pub stop: CancellationToken,
    /// Cancelled once the gateway has stopped.
    pub stopped: CancellationToken,
    /// Store revision of the next registration.
    revision: AtomicU64,
}

/// Returns settings with ephemeral ports.
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
        retries_known: true,
        limits: Limits::default(),
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

/// Builds the pass-through rules of a route.
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

/// Builds a route whose requests are passed to a service.
pub fn rule(name: &str, service: &str, pass: Passthrough) -> Rule {
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
            Some(_) => environment::document::Kind::Engine,
            None => environment::document::Kind::Plain,
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

/// Builds a document with the routes `safe` and `unsafe` to the service `ledger`, and `stream` to
/// the service `draft`. The key `k` belongs to team `t`.
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
        refuses_unknown_keys: false,
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

/// Kind of a request to the routes of [`document`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Repeatable, to the service `ledger`.
    Safe,
    /// Runs at most once, at the service `ledger`.
    Unsafe,
    /// Stream of the service `draft`.
    Stream,
}

impl Kind {
    /// Returns the path of a request.
    pub fn path(self, name: &str) -> String {
        match self {
            Kind::Safe => format!("/safe/{name}"),
            Kind::Unsafe => format!("/unsafe/{name}"),
            Kind::Stream => format!("/stream/{name}"),
        }
    }

    /// Returns the headers of a request beside its id and key.
    pub fn headers(self) -> &'static str {
        match self {
            Kind::Safe | Kind::Unsafe => "",
            Kind::Stream => "tokens: 10\r\n",
        }
    }

    /// Returns the service of the requests.
    pub fn service(self) -> &'static str {
        match self {
            Kind::Safe | Kind::Unsafe => "ledger",
            Kind::Stream => "draft",
        }
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
        let (running, shutdown, done) = (gateway.clone(), stop.clone(), stopped.clone());
        spawn_local(async move {
            running.run(listeners, shutdown).await;
            done.cancel();
        });
        Harness {
            gateway,
            callers,
            ready,
            peers,
            stop,
            stopped,
            revision: AtomicU64::new(1),
        }
    }

    /// Starts a gateway with a document in force.
    pub fn with_document(document: Document) -> Harness {
        let harness = Harness::start(settings());
        harness.put_document(1, document);
        harness
    }

    /// Puts a version of the document in force.
    pub fn put_document(&self, version: u64, document: Document) {
        let index = Rc::new(Index::new(document));
        self.gateway
            .apply(Update::Document(Snapshot { version, index }));
        let mut freshness = self.gateway.freshness().borrow_mut();
        freshness.advance(version);
        let at = clock::now();
        freshness.receive(
            at,
            Claim {
                revision: version,
                at,
            },
        );
    }

    /// Registers a backend server with 8 slots.
    pub fn register(&self, server: &str, service: &str, data_centre: &str, address: SocketAddr) {
        self.register_slots(server, service, data_centre, address, 8);
    }

    /// Registers a backend server that runs up to `slots` requests at once.
    pub fn register_slots(
        &self,
        server: &str,
        service: &str,
        data_centre: &str,
        address: SocketAddr,
        slots: u32,
    ) {
        self.register_started(server, service, data_centre, address, slots, None);
    }

    /// Registers a backend server that states when it started.
    pub fn register_started(
        &self,
        server: &str,
        service: &str,
        data_centre: &str,
        address: SocketAddr,
        slots: u32,
        started_ms: Option<u64>,
    ) {
        let spec = Spec {
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
                spec,
                leaving: false,
                started_ms,
                revision: self.revision.fetch_add(1, Ordering::Relaxed),
            },
            since: clock::now(),
        });
    }

    /// Sends a request on a new connection and reads the response.
    pub async fn request(
        &self,
        id: &str,
        path: &str,
        headers: &str,
    ) -> (TcpStream, io::Result<Message>) {
        let mut stream = self.send(id, path, headers).await;
        let response = read_message(&mut stream).await;
        (stream, response)
    }

    /// Sends a request on a new connection without waiting for the response.
    pub async fn send(&self, id: &str, path: &str, headers: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("connected");
        let request = format_request(id, path, headers);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("request written");
        stream
    }
}

/// Formats a request with the key of team `t`. `headers` are further header lines, each ending with
/// CRLF.
pub fn format_request(id: &str, path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: {id}\r\nkey: k\r\n{headers}\r\n")
}

/// Runs a test on a single thread, as the gateway runs.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
