//! Callers' connections.

use std::{
    cell::RefCell,
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
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
    server::conn::http1,
    service::service_fn, //
};
use rustix::net::sockopt;
use tokio::{
    io::AsyncReadExt,
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
        Connection, //
    },
    context::Context,
    protocol::Protocol,
    requests::Closer, //
};

mod caller_stream;
mod progress;

pub(crate) use caller_stream::CallerStream;
use progress::{
    ActiveGuard,
    ConnectionGuard,
    Pending,
    Progress,
    Unwritten, //
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

/// Interval at which received bytes are discarded before the exit, and most reads each time: a caller who
/// sends without end must not keep the thread.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_EXIT_READS: usize = 16;

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
    for _ in 0..MAX_EXIT_READS {
        let Ok(1..) = stream.try_read(&mut bytes) else {
            return;
        };
    }
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
