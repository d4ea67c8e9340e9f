//! Callers' connections.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    convert::Infallible,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        self,
        Poll,
        ready, //
    },
    time::Duration, //
};

use bytes::Bytes;
use events::{
    forwarding,
    note, //
};
use http::{
    HeaderValue,
    Request,
    Response,
    header::{
        CONNECTION,
        RETRY_AFTER, //
    }, //
};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    rt::{
        Read,
        ReadBufCursor,
        Write, //
    },
    server::conn::http1,
    service::service_fn, //
};
use rustix::net::sockopt;
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    account::{
        self,
        Charge,
        Connection, //
    },
    context::Context,
    meter,
    protocol::Protocol,
    requests::{
        self,
        Closer,
        Stage,
        Work, //
    },
    settings::Limits, //
};

/// Idle timeout of a connection while no document is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of a request's head while no document is known.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a request's head while no document is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;

/// Wait before a connection is accepted again after a failure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// Pause after a connection was accepted for which another one had to yield. Callers who come back at
/// once would take the processor otherwise; they wait in the queue of the listener.
const FULL_PAUSE: Duration = Duration::from_millis(2);

/// Time after the last response within which a caller closes its connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the buffer in which the kernel keeps what a caller hasn't taken when the process exits, in
/// bytes. Systems allow less.
const EXIT_SEND_BUFFER: usize = 1 << 20;

/// Interval at which received bytes are discarded before the exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the rest of the body of a request that has its response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of that rest, in bytes, where the document allows no longer bodies.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Accepts connections until `stop` is cancelled. Once `close` is cancelled, each open connection
/// is closed after the request in progress, and each new one after its first request.
pub async fn run<P: Protocol + 'static>(
    listener: TcpListener,
    context: Rc<Context<P>>,
    stop: CancellationToken,
    close: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = context.settings.borrow().limits;
                let is_full = context.account.is_full(&limits);
                if let Some(connection) = context.account.open(&limits) {
                    spawn_local(serve(stream, connection, context.clone(), close.clone()));
                }
                if is_full {
                    sleep(FULL_PAUSE).await;
                }
            }
            // The process is out of descriptors or the peer disconnected; accepting continues after
            // a pause.
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// State of a connection, by which its timeouts are applied.
struct Progress {
    connection: Connection,
    /// Number of requests in progress. The rest of a body may end after the next request began.
    running: Cell<usize>,
    /// Time at which the last response ended, or the connection was opened.
    idle_since: Cell<Option<Instant>>,
    /// Time at which the first byte of the next request arrived.
    request_began: Cell<Option<Instant>>,
    /// Whether the last response asked its caller to come back later, and nothing was read since.
    is_refused: Cell<bool>,
    /// Responses that were taken and aren't written yet.
    unwritten: RefCell<Vec<Pending>>,
    /// Since when the caller has taken nothing of what is written.
    blocked_since: Cell<Option<Instant>>,
}

/// What a response holds until it is written.
struct Pending {
    /// The request that it answers.
    running: Option<requests::Guard>,
    _active: Rc<ActiveGuard>,
    _charge: Charge,
}

/// Part of a response's body. The connection keeps what is pending once the body is dropped, which is
/// when its last byte was taken.
struct Unwritten {
    progress: Rc<Progress>,
    pending: Option<Pending>,
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if let Some(running) = &pending.running
            && running.progress.work() == Work::Complete
        {
            running.progress.writing();
        }
        self.progress.unwritten.borrow_mut().push(pending);
    }
}

/// Ends the requests of a connection when it is dropped, after the connection.
struct ConnectionGuard(Rc<Progress>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        for pending in self.0.unwritten.take() {
            let Some(running) = &pending.running else {
                continue;
            };
            let request = &running.progress;
            if request.stage() != Stage::Writing {
                // A response that broke off is logged by its handler.
                continue;
            }
            meter::answer_cut(request.closer(), request.work());
            note!(
                forwarding::UNWRITTEN,
                id = request.id().as_str(),
                route = request.route().as_deref(),
                server = request.server().as_deref(),
                by = request.closer().name(),
                ms = request.arrived.elapsed().as_millis() as u64
            );
        }
    }
}

/// Marks a request as in progress until its response is written.
struct ActiveGuard(Rc<Progress>);

impl Progress {
    fn new(connection: Connection) -> Progress {
        Progress {
            connection,
            running: Cell::default(),
            idle_since: Cell::new(Some(Instant::now())),
            request_began: Cell::default(),
            is_refused: Cell::default(),
            unwritten: RefCell::default(),
            blocked_since: Cell::default(),
        }
    }

    /// Returns the pause before a request: it has one if it was sent before the refusal of the one ahead
    /// of it was read. Otherwise callers who don't read responses take the place of those who do.
    fn pause(&self, limits: &Limits) -> Duration {
        if !self.is_refused.replace(false) || limits.pipeline_pause.is_zero() {
            return Duration::ZERO;
        }
        self.connection.record_held_back();
        limits.pipeline_pause
    }

    fn is_running(&self) -> bool {
        self.running.get() > 0
    }

    /// Returns when the connection is closed if the caller takes nothing of its response until then: it
    /// isn't idle while it waits for its answer.
    fn stuck_at(&self, idle_timeout: Duration) -> Option<Instant> {
        let stuck_at = self.blocked_since.get()? + idle_timeout;
        let until = self.connection.until();
        Some(until.map_or(stuck_at, |until| until.max(stuck_at)))
    }
}

impl ActiveGuard {
    fn new(progress: Rc<Progress>) -> ActiveGuard {
        progress.running.set(progress.running.get() + 1);
        progress.request_began.set(None);
        progress.connection.set_stage(account::Stage::Active);
        ActiveGuard(progress)
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.idle_since.set(Some(Instant::now()));
        if !self.0.is_running() {
            self.0.connection.set_stage(account::Stage::Idle);
        }
    }
}

/// Serves the requests of a connection until it is closed.
async fn serve<P: Protocol + 'static>(
    stream: TcpStream,
    connection: Connection,
    context: Rc<Context<P>>,
    close: CancellationToken,
) {
    // Without it the last segment of a response waits for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let progress = Rc::new(Progress::new(connection));
    let (idle_timeout, header_timeout, max_header_bytes) = limits(&context);
    // The first request on a connection that was accepted after `close` is still answered. If the
    // connection were closed instead, a caller couldn't tell whether its request has run.
    let mut closing = close.is_cancelled();
    let idle_timeout = match closing {
        true => header_timeout,
        false => idle_timeout,
    };
    let service = {
        let progress = progress.clone();
        let context = context.clone();
        service_fn(move |request: Request<Incoming>| {
            let progress = progress.clone();
            let context = context.clone();
            // Boxed, so that a connection without a request doesn't take the memory of one.
            Box::pin(async move {
                let active = Rc::new(ActiveGuard::new(progress.clone()));
                let pause = progress.pause(&context.settings.borrow().limits);
                let (parts, mut body) = request.into_parts();
                let connection = &progress.connection;
                let mut response = context.serve(parts, &mut body, connection, pause).await;
                if body.is_end_stream() {
                    connection.set_stage(account::Stage::Active);
                } else {
                    connection.set_stage(account::Stage::Discarding);
                    let limit = discard_limit(&context);
                    spawn_local(discard(body, limit, active.clone()));
                }
                if context.shutdown.has_begun() {
                    let value = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, value);
                }
                let length = response.body().size_hint().exact().unwrap_or(0);
                let charge = connection.charge(usize::try_from(length).unwrap_or(usize::MAX));
                let running = response.body_mut().take_running();
                response.body_mut().hold(Unwritten {
                    progress: progress.clone(),
                    pending: Some(Pending {
                        running,
                        _active: active,
                        _charge: charge,
                    }),
                });
                progress.is_refused.set(is_refusal(&response));
                Ok::<_, Infallible>(response)
            })
        })
    };
    let socket = Rc::new(RefCell::new(stream));
    let caller_stream = CallerStream {
        inner: socket.clone(),
        progress: Some(progress.clone()),
    };
    let _guard = ConnectionGuard(progress.clone());
    // Hyper accepts no less than 8 KiB.
    let connection = http1::Builder::new()
        .max_buf_size(max_header_bytes.max(8192))
        .serve_connection(caller_stream, service);
    let mut connection = Box::pin(connection);
    let mut exits = false;
    loop {
        let next = next_check(&progress, idle_timeout, header_timeout);
        tokio::select! {
            ended = connection.as_mut() => {
                drop(connection);
                if let (Ok(()), Some(socket)) = (ended, Rc::into_inner(socket)) {
                    let limit = discard_limit(&context);
                    linger(socket.into_inner(), limit, &progress.connection).await;
                }
                return;
            }
            () = context.shutdown.cutoff().cancelled(), if !exits => {
                exits = true;
                widen(&socket.borrow());
            }
            () = sleep(EXIT_POLL_INTERVAL), if exits => discard_received(&socket.borrow()),
            () = progress.connection.closed() => {
                progress.connection.set_closer(Closer::Room);
                return;
            }
            () = close.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(next) => {
                let stuck_at = progress.stuck_at(idle_timeout);
                let is_stuck = stuck_at.is_some_and(|at| at <= Instant::now());
                if !is_stuck
                    && (progress.is_running()
                        || next_check(&progress, idle_timeout, header_timeout) > Instant::now())
                {
                    continue;
                }
                progress.connection.set_closer(Closer::Idle);
                if is_stuck || progress.request_began.get().is_some() || closing {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Reads what the caller of a connection still sends after the last response, until it closes the
/// connection too. With bytes unread the close would be a reset, which takes away what the caller hasn't
/// received.
async fn linger(mut stream: TcpStream, limit: usize, connection: &Connection) {
    let reading = async {
        let (mut bytes, mut length) = ([0; 8192], 0);
        while let Ok(read @ 1..) = stream.read(&mut bytes).await {
            length += read;
            if length > limit {
                return;
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = connection.closed() => {}
        () = sleep(LINGER_TIMEOUT) => {}
    }
}

/// Makes the kernel take what a caller hasn't taken yet: it sends that on when the process is gone.
fn widen(stream: &TcpStream) {
    // A system that can't be told keeps its buffer.
    let _ = sockopt::set_socket_send_buffer_size(stream, EXIT_SEND_BUFFER);
}

/// Discards what a connection has received, as a process that exits resets connections with unread bytes.
fn discard_received(stream: &TcpStream) {
    let mut bytes = [0; 8192];
    while let Ok(1..) = stream.try_read(&mut bytes) {}
}

/// Returns whether a response asks its caller to come back later.
fn is_refusal<B>(response: &Response<B>) -> bool {
    response.headers().contains_key(RETRY_AFTER)
}

/// Reads the rest of the body of a request that has its response. If the connection were closed with
/// unread bytes, it would be reset, and the caller could lose the response.
async fn discard(mut body: Incoming, limit: usize, _active: Rc<ActiveGuard>) {
    let reading = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > limit {
                return;
            }
        }
    };
    // The connection is closed if the body doesn't end.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

/// Returns the maximum length of the rest of a body that is read after the response.
fn discard_limit<P>(context: &Context<P>) -> usize {
    let document_cache = context.document_cache.borrow();
    let snapshot = document_cache.snapshot();
    let caller_limits = snapshot.and_then(|snapshot| snapshot.index.document().callers.as_ref());
    let body_bytes = caller_limits.map_or(0, |limits| limits.body_bytes);
    body_bytes.max(MAX_DISCARDED_BYTES)
}

/// Returns the idle timeout, the header timeout and the maximum size of a request's head.
fn limits<P>(context: &Context<P>) -> (Duration, Duration, usize) {
    let document_cache = context.document_cache.borrow();
    let snapshot = document_cache.snapshot();
    let caller_limits = snapshot.and_then(|snapshot| snapshot.index.document().callers.as_ref());
    match caller_limits {
        Some(limits) => (limits.idle_time, limits.header_time, limits.header_bytes),
        None => (
            DEFAULT_IDLE_TIMEOUT,
            DEFAULT_HEADER_TIMEOUT,
            DEFAULT_MAX_HEADER_BYTES,
        ),
    }
}

/// Returns when the timeouts of the connection have to be checked next.
fn next_check(progress: &Progress, idle_timeout: Duration, header_timeout: Duration) -> Instant {
    if let Some(stuck_at) = progress.stuck_at(idle_timeout) {
        return stuck_at;
    }
    if progress.is_running() {
        return Instant::now() + idle_timeout;
    }
    if let Some(request_began) = progress.request_began.get() {
        return request_began + header_timeout;
    }
    progress.idle_since.get().unwrap_or_else(Instant::now) + idle_timeout
}

/// TCP connection in the form that hyper reads and writes. Records when a request begins.
pub(crate) struct CallerStream {
    inner: Rc<RefCell<TcpStream>>,
    /// `None` where no timeouts apply.
    progress: Option<Rc<Progress>>,
}

impl CallerStream {
    pub(crate) fn new(inner: TcpStream) -> CallerStream {
        CallerStream {
            inner: Rc::new(RefCell::new(inner)),
            progress: None,
        }
    }

    fn record_read(&self, length: usize) {
        let Some(progress) = &self.progress else {
            return;
        };
        if length == 0 {
            return;
        }
        progress.is_refused.set(false);
        progress.connection.record_progress(length);
        if !progress.is_running() && progress.request_began.get().is_none() {
            progress.request_began.set(Some(Instant::now()));
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let Some(progress) = &self.progress else {
            return;
        };
        match written {
            Poll::Ready(Ok(length)) => {
                progress.blocked_since.set(None);
                progress.connection.record_progress(*length);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                if progress.blocked_since.get().is_none() {
                    progress.blocked_since.set(Some(Instant::now()));
                }
                progress.connection.record_blocked();
            }
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 8192];
        let length = cursor.remaining().min(bytes.len());
        let mut buffer = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(waker, &mut buffer))?;
        let read = buffer.filled();
        cursor.put_slice(read);
        let length = read.len();
        self.record_read(length);
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.inner.borrow_mut()).poll_write(waker, bytes);
        self.record_write(&written);
        written
    }

    /// Hyper flushes only once all that it has was written.
    fn poll_flush(self: Pin<&mut Self>, waker: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        if let Some(progress) = &self.progress {
            progress.unwritten.take();
        }
        Pin::new(&mut *self.inner.borrow_mut()).poll_flush(waker)
    }

    fn poll_shutdown(self: Pin<&mut Self>, waker: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.inner.borrow_mut()).poll_shutdown(waker)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.inner.borrow_mut()).poll_write_vectored(waker, slices);
        self.record_write(&written);
        written
    }
}
