//! HTTP server shared by the stand-ins: one handler per process, and faults that affect the whole
//! process (death, pause, silent connections).

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        OnceLock,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures_util::{
    future::BoxFuture,
    stream::BoxStream, //
};
use salvo::{
    Depot,
    FlowCtrl,
    Handler,
    Request as HttpRequest,
    Response as HttpResponse,
    Router,
    Server,
    conn::tcp::TcpAcceptor,
    fuse::{
        FuseAction,
        FuseConfig,
        FuseInfo, //
    },
    http::{
        StatusCode,
        header::{
            CONTENT_TYPE,
            HeaderMap,
            HeaderValue,
            RETRY_AFTER, //
        },
    }, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    net::TcpListener,
    time::{
        Instant,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Content type of most responses.
const JSON_CONTENT_TYPE: &str = "application/json";

/// Locks a mutex and ignores poisoning.
///
/// Only for state that each holder changes in a single step, so that a panic of another holder
/// leaves it consistent.
pub fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// HTTP request, read whole, as the stand-in's handler receives it.
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path, without the query.
    pub path: String,
    /// Query parameters. If a name occurs more than once, its last value counts.
    pub query: HashMap<String, String>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Whole body of the request.
    pub body: Bytes,
    /// Connection on which the request arrived.
    pub connection: Connection,
}

impl Request {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a 400 response with the parse error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Response::bad_request(&error.to_string()))
    }

    /// Returns a query parameter as a number, or `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns a 400 response if the parameter isn't a number.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Response> {
        let Some(text) = self.query.get(name) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(Response::bad_request(&format!("{name} isn't a number"))),
        }
    }

    /// Returns a header's value, or `None` if it is absent or not text.
    pub fn header(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?;
        Some(value.to_str().ok()?.to_string())
    }
}

/// Number of silence faults that had occurred when the connection was accepted.
pub type Connection = u64;

/// How the stand-in responds to a request.
pub enum Response {
    /// A response whose body is known from the start.
    Full {
        /// Status code of the response.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
        /// Whole body of the response.
        body: Bytes,
        /// Value of the `Retry-After` header, in seconds.
        retry_after: Option<u64>,
    },
    /// Status 200 with newline-delimited JSON that is produced over time; an error closes the
    /// connection midway.
    Lines(BoxStream<'static, io::Result<Bytes>>),
    /// A response with its own headers, whose body is produced over time; an error closes the
    /// connection midway.
    Stream {
        /// Status code of the response.
        status: u16,
        /// Headers of the response.
        headers: HeaderMap,
        /// Chunks of the body, sent as the stream yields them.
        body: BoxStream<'static, io::Result<Bytes>>,
    },
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and never responds.
    Hang,
}

impl Response {
    /// Creates a JSON response.
    pub fn json(status: u16, body: &impl Serialize) -> Response {
        let body = serde_json::to_vec(body).expect("response bodies serialize to JSON");
        Response::bytes(status, JSON_CONTENT_TYPE, body)
    }

    /// Creates a response of the given content type.
    pub fn bytes(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
        Response::Full {
            status,
            content_type: content_type.to_string(),
            body: body.into(),
            retry_after: None,
        }
    }

    /// Creates a JSON error response.
    pub fn error(status: u16, error: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": error }))
    }

    /// Creates a 400 response.
    pub fn bad_request(error: &str) -> Response {
        Response::error(400, error)
    }

    /// Creates a 429 response with a `Retry-After` header in seconds.
    pub fn too_many_requests(seconds: u64) -> Response {
        let body = serde_json::json!({ "error": "busy" }).to_string();
        Response::Full {
            status: 429,
            content_type: JSON_CONTENT_TYPE.to_string(),
            body: body.into(),
            retry_after: Some(seconds),
        }
    }
}

/// State of a stand-in's process: death, pause and silent connections.
pub struct Process {
    /// Whether death exits the operating system process; an embedded stand-in only drops its
    /// sockets.
    exit_on_death: bool,
    dead: CancellationToken,
    paused_until: Mutex<Option<Instant>>,
    /// Number of silence faults so far.
    silences: AtomicU64,
    /// Handle that aborts the accept loop.
    server: OnceLock<tokio::task::AbortHandle>,
}

impl Process {
    /// Creates a process without faults.
    pub fn new(exit_on_death: bool) -> Arc<Process> {
        Arc::new(Process {
            exit_on_death,
            dead: CancellationToken::new(),
            paused_until: Mutex::new(None),
            silences: AtomicU64::new(0),
            server: OnceLock::new(),
        })
    }

    /// Kills the stand-in at once: drops the listener and all connections and cancels the tasks in
    /// flight. Exits the operating system process if so configured.
    pub fn die(&self) {
        if self.exit_on_death {
            std::process::exit(1);
        }
        self.stop();
    }

    /// Like [`Process::die`], but never exits the operating system process.
    pub fn stop(&self) {
        self.dead.cancel();
        if let Some(server) = self.server.get() {
            server.abort();
        }
    }

    /// Returns the token that is cancelled once the stand-in is dead.
    pub fn dead(&self) -> &CancellationToken {
        &self.dead
    }

    /// Pauses the process: it sends nothing until `duration` has passed.
    pub fn pause(&self, duration: Duration) {
        *lock(&self.paused_until) = Some(Instant::now() + duration);
    }

    /// Silences all connections that are open now: they stay open but never carry data again.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends a pause. Connections that fell silent stay silent.
    pub fn clear(&self) {
        *lock(&self.paused_until) = None;
    }

    /// Returns whether the connection was open when a silence began.
    pub fn is_silent(&self, connection: Connection) -> bool {
        connection < self.silences.load(Ordering::SeqCst)
    }

    /// Waits while the process is paused; never returns on a silent connection or once the process
    /// is dead.
    pub async fn wait_responsive(&self, connection: Connection) {
        self.wait_resumed().await;
        if self.is_silent(connection) || self.dead.is_cancelled() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits while the process is paused.
    pub async fn wait_resumed(&self) {
        loop {
            let until = *lock(&self.paused_until);
            let Some(until) = until else {
                return;
            };
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
    }
}

/// Function that turns a request into a response.
pub type Responder = Box<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Accepted connections by peer address.
type Connections = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

/// Salvo handler that passes every request to the stand-in's responder.
struct Dispatcher {
    process: Arc<Process>,
    connections: Connections,
    respond: Responder,
}

/// Binds the address, serves in the background until the process dies, and returns the bound
/// address.
///
/// # Errors
///
/// Returns the I/O error if the address can't be bound.
pub async fn start(
    address: SocketAddr,
    process: Arc<Process>,
    respond: Responder,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    let connections = Connections::default();
    let (accepted, faults) = (Arc::clone(&connections), Arc::clone(&process));
    let policy = move |info: &FuseInfo| {
        if let Some(peer) = info.remote_addr.clone().into_std() {
            let connection = faults.silences.load(Ordering::SeqCst);
            lock(&accepted).insert(peer, connection);
        }
        FuseAction::Accept(FuseConfig::default())
    };
    let dispatcher = Dispatcher {
        process: Arc::clone(&process),
        connections,
        respond,
    };
    let router = Router::with_path("{**rest}").goal(dispatcher);
    let server = Server::new(acceptor).fuse_policy(policy);
    let task = tokio::spawn(async move {
        // The accept loop runs until this task is aborted.
        let _ = server.try_serve(router).await;
    });
    let handle = task.abort_handle();
    process
        .server
        .set(handle)
        .expect("the server of a process is started once");
    Ok(address)
}

impl Dispatcher {
    /// Reads the whole request.
    async fn read(&self, request: &mut HttpRequest) -> Result<Request, Response> {
        let body = match request.payload_with_max_size(MAX_BODY_BYTES).await {
            Ok(body) => body.clone(),
            Err(error) => return Err(Response::bad_request(&error.to_string())),
        };
        let mut query = HashMap::new();
        for (name, value) in request.queries().iter() {
            query.insert(name.clone(), value.clone());
        }
        let peer = request.remote_addr().clone().into_std();
        let connection = match peer {
            Some(peer) => lock(&self.connections).get(&peer).copied().unwrap_or(0),
            None => 0,
        };
        Ok(Request {
            method: request.method().to_string(),
            path: request.uri().path().to_string(),
            query,
            headers: request.headers().clone(),
            body,
            connection,
        })
    }

    /// Runs the responder in its own task, so that work that has begun goes on when the client
    /// disconnects.
    async fn respond(&self, request: Request) -> Response {
        let dead = self.process.dead().clone();
        let future = (self.respond)(request);
        let task = tokio::spawn(async move { dead.run_until_cancelled(future).await });
        match task.await {
            Ok(Some(response)) => response,
            Ok(None) | Err(_) => Response::Close,
        }
    }
}

#[salvo::async_trait]
impl Handler for Dispatcher {
    async fn handle(
        &self,
        request: &mut HttpRequest,
        _depot: &mut Depot,
        response: &mut HttpResponse,
        control: &mut FlowCtrl,
    ) {
        let reply = match self.read(request).await {
            Ok(request) => self.respond(request).await,
            Err(reply) => reply,
        };
        match reply {
            Response::Full {
                status,
                content_type,
                body,
                retry_after,
            } => {
                let status =
                    StatusCode::from_u16(status).expect("stand-ins use valid status codes");
                response.status_code(status);
                let content_type =
                    HeaderValue::from_str(&content_type).expect("content types are visible ASCII");
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                if let Some(seconds) = retry_after {
                    response
                        .headers_mut()
                        .insert(RETRY_AFTER, HeaderValue::from(seconds));
                }
                // Set the body even if it is empty: Salvo replaces a missing one with an error page.
                response.body(body);
            }
            Response::Lines(lines) => {
                let content_type = HeaderValue::from_static("application/x-ndjson");
                response.status_code(StatusCode::OK);
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                response.stream(lines);
            }
            Response::Stream {
                status,
                headers,
                body,
            } => {
                let status =
                    StatusCode::from_u16(status).expect("stand-ins use valid status codes");
                response.status_code(status);
                response.headers_mut().extend(headers);
                response.stream(body);
            }
            Response::Close => {
                control.conn().abort();
                std::future::pending::<()>().await;
            }
            Response::Hang => std::future::pending::<()>().await,
        }
    }
}
