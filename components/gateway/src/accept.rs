//! Callers' connections.

use std::{
    cell::Cell,
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

use http::{
    HeaderValue,
    Request,
    header::CONNECTION, //
};
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
use tokio::{
    io::{
        AsyncRead,
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
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    handle::Context, //
    protocol::Protocol,
};

/// Time for which a connection may rest while no document says.
const IDLE: Duration = Duration::from_secs(15);

/// Time for the head of a request while no document says.
const HEADER: Duration = Duration::from_secs(5);

/// Longest head while no document says, in bytes. The library takes no less than 8 KiB.
const HEAD: usize = 16 * 1024;

/// Accepts connections until `stop`.
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
                let serve = serve(stream, context.clone(), close.clone());
                let open = Open::new(&context);
                spawn_local(async move {
                    serve.await;
                    drop(open);
                });
            }
            // Out of descriptors, or the peer went away: the next one may do better.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// A connection that is open.
struct Open<P>(Rc<Context<P>>);

impl<P> Open<P> {
    fn new(context: &Rc<Context<P>>) -> Open<P> {
        context.connections.set(context.connections.get() + 1);
        Open(context.clone())
    }
}

impl<P> Drop for Open<P> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// What is known of a connection's progress.
#[derive(Default)]
struct Progress {
    /// Requests in progress.
    running: Cell<bool>,
    /// When the last answer ended, or the connection began.
    rested: Cell<Option<Instant>>,
    /// When the first byte of the next request came.
    begun: Cell<Option<Instant>>,
}

/// A request in progress, until its answer is written.
struct Busy(Rc<Progress>);

impl Busy {
    fn new(progress: Rc<Progress>) -> Busy {
        progress.running.set(true);
        progress.begun.set(None);
        Busy(progress)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.running.set(false);
        self.0.rested.set(Some(Instant::now()));
    }
}

async fn serve<P: Protocol + 'static>(
    stream: TcpStream,
    context: Rc<Context<P>>,
    close: CancellationToken,
) {
    // Without it the last piece of an answer waits for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let progress = Rc::new(Progress::default());
    progress.rested.set(Some(Instant::now()));
    let (idle, header, head) = limits(&context);
    let service = {
        let progress = progress.clone();
        let context = context.clone();
        service_fn(move |request: Request<Incoming>| {
            let progress = progress.clone();
            let context = context.clone();
            async move {
                let busy = Busy::new(progress);
                let mut response = context.serve(request).await;
                if context.departure.begun() {
                    let value = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, value);
                }
                response.body_mut().hold(busy);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let guard = Stream {
        inner: stream,
        progress: progress.clone(),
    };
    let connection = http1::Builder::new()
        .max_buf_size(head.max(8192))
        .serve_connection(guard, service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = false;
    loop {
        let due = due(&progress, idle, header);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = close.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(due) => {
                if progress.running.get() || self::due(&progress, idle, header) > Instant::now() {
                    continue;
                }
                if progress.begun.get().is_some() || closing {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

fn limits<P>(context: &Context<P>) -> (Duration, Duration, usize) {
    let document_cache = context.document_cache.borrow();
    let snapshot = document_cache.snapshot();
    let bounds = snapshot.and_then(|snapshot| snapshot.index.document().callers.as_ref());
    match bounds {
        Some(bounds) => (bounds.idle_time, bounds.header_time, bounds.header_bytes),
        None => (IDLE, HEADER, HEAD),
    }
}

/// When the connection has to be looked at next.
fn due(progress: &Progress, idle: Duration, header: Duration) -> Instant {
    if progress.running.get() {
        return Instant::now() + idle;
    }
    if let Some(begun) = progress.begun.get() {
        return begun + header;
    }
    progress.rested.get().unwrap_or_else(Instant::now) + idle
}

/// A caller's connection as the library wants it.
pub(crate) struct Stream {
    inner: TcpStream,
    progress: Rc<Progress>,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream) -> Stream {
        Stream {
            inner,
            progress: Rc::default(),
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 8192];
        let room = cursor.remaining().min(bytes.len());
        let mut buffer = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.inner).poll_read(waker, &mut buffer))?;
        let read = buffer.filled();
        if !read.is_empty() && !self.progress.running.get() && self.progress.begun.get().is_none() {
            self.progress.begun.set(Some(Instant::now()));
        }
        cursor.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(waker, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, waker: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(waker)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(waker)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        waker: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(waker, slices)
    }
}
