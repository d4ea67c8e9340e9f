//! The HTTP side that the stand-ins share: one handler a process, and faults of the process as a
//! whole (death, pause, silent connections).

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

/// Largest body that a stand-in reads, in bytes.
const BODY: usize = 64 << 20;

/// Content type of most answers.
const JSON: &str = "application/json";

/// Locks state whose every change is a single step, so a panic of another holder leaves it whole.
pub fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One call as a stand-in sees it.
pub struct Request {
    /// Method.
    pub method: String,
    /// Path, without the query.
    pub path: String,
    /// Values of the query; of several with one name the last.
    pub query: HashMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
    /// The connection it came on.
    pub connection: Connection,
}

impl Request {
    /// Reads the body as JSON, or gives the 400 that says why it can't be.
    ///
    /// # Errors
    ///
    /// The answer to give.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body).map_err(|error| Response::bad(&error.to_string()))
    }

    /// Reads a number from the query; 400 when it is there and no number.
    ///
    /// # Errors
    ///
    /// The answer to give.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Response> {
        let Some(text) = self.query.get(name) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(Response::bad(&format!("{name} isn't a number"))),
        }
    }

    /// The header's text, when it is there and readable.
    pub fn header(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?;
        Some(value.to_str().ok()?.to_string())
    }
}

/// Tells connections from before a silence from those after it.
pub type Connection = u64;

/// What becomes of a call.
pub enum Response {
    /// Status, content type and body.
    Whole {
        /// Status code.
        status: u16,
        /// Content type.
        kind: String,
        /// Body.
        body: Bytes,
        /// Seconds after which to come back.
        retry_after: Option<u64>,
    },
    /// Status 200 with lines that come over time; an error closes the connection midway.
    Lines(BoxStream<'static, io::Result<Bytes>>),
    /// An answer with headers of its own, whose body comes over time; an error closes the
    /// connection midway.
    Stream {
        /// Status code.
        status: u16,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: BoxStream<'static, io::Result<Bytes>>,
    },
    /// The connection closes unanswered.
    Close,
    /// The connection stays open, unanswered.
    Hang,
}

impl Response {
    /// An answer in JSON.
    pub fn json(status: u16, body: &impl Serialize) -> Response {
        let body = serde_json::to_vec(body).expect("plain data turns into JSON");
        Response::bytes(status, JSON, body)
    }

    /// An answer of any content type.
    pub fn bytes(status: u16, kind: &str, body: impl Into<Bytes>) -> Response {
        Response::Whole {
            status,
            kind: kind.to_string(),
            body: body.into(),
            retry_after: None,
        }
    }

    /// An error in JSON.
    pub fn error(status: u16, error: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": error }))
    }

    /// A 400.
    pub fn bad(error: &str) -> Response {
        Response::error(400, error)
    }

    /// A 429 with the seconds to wait.
    pub fn busy(seconds: u64) -> Response {
        let body = serde_json::json!({ "error": "busy" }).to_string();
        Response::Whole {
            status: 429,
            kind: JSON.to_string(),
            body: body.into(),
            retry_after: Some(seconds),
        }
    }
}

/// Faults of a stand-in's process as a whole, and its end.
pub struct Process {
    /// Ends the program's process on death; an embedded stand-in only drops its sockets.
    exit: bool,
    dead: CancellationToken,
    paused: Mutex<Option<Instant>>,
    silences: AtomicU64,
    server: OnceLock<tokio::task::AbortHandle>,
}

impl Process {
    /// A process that lives.
    pub fn new(exit: bool) -> Arc<Process> {
        Arc::new(Process {
            exit,
            dead: CancellationToken::new(),
            paused: Mutex::new(None),
            silences: AtomicU64::new(0),
            server: OnceLock::new(),
        })
    }

    /// Ends the stand-in at once: the listener and all connections drop, tasks in flight end.
    pub fn die(&self) {
        if self.exit {
            std::process::exit(1);
        }
        self.stop();
    }

    /// Like [`Process::die`], but never ends the operating system's process.
    pub fn stop(&self) {
        self.dead.cancel();
        if let Some(server) = self.server.get() {
            server.abort();
        }
    }

    /// Cancelled once the stand-in is dead.
    pub fn dead(&self) -> &CancellationToken {
        &self.dead
    }

    /// Nothing is answered or sent until this time has passed.
    pub fn pause(&self, time: Duration) {
        *lock(&self.paused) = Some(Instant::now() + time);
    }

    /// Connections that are open now never carry anything again.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Takes back pause and silence; connections that fell silent stay so.
    pub fn clear(&self) {
        *lock(&self.paused) = None;
    }

    /// Whether the connection was open when a silence began.
    pub fn silent(&self, connection: Connection) -> bool {
        connection < self.silences.load(Ordering::SeqCst)
    }

    /// Waits while the process is paused, and for ever on a silent connection or once it is dead.
    pub async fn wait_responsive(&self, connection: Connection) {
        self.wait_resumed().await;
        if self.silent(connection) || self.dead.is_cancelled() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits while the process is paused.
    pub async fn wait_resumed(&self) {
        loop {
            let until = *lock(&self.paused);
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

/// Answers calls.
pub type Respond = Box<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Which silence, if any, a peer's connection came after.
type Connections = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

struct Door {
    process: Arc<Process>,
    connections: Connections,
    respond: Respond,
}

/// Binds the address and serves until the process dies.
///
/// # Errors
///
/// Gives the error of binding the address.
pub async fn start(
    address: SocketAddr,
    process: Arc<Process>,
    respond: Respond,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    let connections = Connections::default();
    let (known, silences) = (Arc::clone(&connections), Arc::clone(&process));
    let policy = move |info: &FuseInfo| {
        if let Some(peer) = info.remote_addr.clone().into_std() {
            let since = silences.silences.load(Ordering::SeqCst);
            lock(&known).insert(peer, since);
        }
        FuseAction::Accept(FuseConfig::default())
    };
    let door = Door {
        process: Arc::clone(&process),
        connections,
        respond,
    };
    let router = Router::with_path("{**rest}").goal(door);
    let server = Server::new(acceptor).fuse_policy(policy);
    let task = tokio::spawn(async move {
        // The accept loop only ends with the task.
        let _ = server.try_serve(router).await;
    });
    let handle = task.abort_handle();
    process
        .server
        .set(handle)
        .expect("a process starts its server once");
    Ok(address)
}

impl Door {
    async fn call(&self, request: &mut HttpRequest) -> Result<Request, Response> {
        let body = match request.payload_with_max_size(BODY).await {
            Ok(body) => body.clone(),
            Err(error) => return Err(Response::bad(&error.to_string())),
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

    /// Answers in a task of its own: a caller that goes away doesn't undo what a process began.
    async fn answer(&self, call: Request) -> Response {
        let dead = self.process.dead().clone();
        let future = (self.respond)(call);
        let task = tokio::spawn(async move { dead.run_until_cancelled(future).await });
        match task.await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => Response::Close,
        }
    }
}

#[salvo::async_trait]
impl Handler for Door {
    async fn handle(
        &self,
        request: &mut HttpRequest,
        _depot: &mut Depot,
        response: &mut HttpResponse,
        control: &mut FlowCtrl,
    ) {
        let answer = match self.call(request).await {
            Ok(call) => self.answer(call).await,
            Err(answer) => answer,
        };
        match answer {
            Response::Whole {
                status,
                kind,
                body,
                retry_after,
            } => {
                let status = StatusCode::from_u16(status).expect("stand-ins give valid statuses");
                response.status_code(status);
                let kind = HeaderValue::from_str(&kind).expect("content types are plain text");
                response.headers_mut().insert(CONTENT_TYPE, kind);
                if let Some(seconds) = retry_after {
                    response
                        .headers_mut()
                        .insert(RETRY_AFTER, HeaderValue::from(seconds));
                }
                // An empty body would be replaced by an error page of the library.
                response.body(body);
            }
            Response::Lines(lines) => {
                let kind = HeaderValue::from_static("application/x-ndjson");
                response.status_code(StatusCode::OK);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response.stream(lines);
            }
            Response::Stream {
                status,
                headers,
                body,
            } => {
                let status = StatusCode::from_u16(status).expect("stand-ins give valid statuses");
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
