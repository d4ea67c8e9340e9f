//! Connection of a caller in the form that the HTTP library reads and writes.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        self,
        Poll,
        ready, //
    },
};

use hyper::rt::{
    Read,
    ReadBufCursor,
    Write, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::Instant, //
};

use super::progress::Progress;

/// TCP connection in the form that hyper reads and writes. Records when a request begins.
pub(crate) struct CallerStream {
    pub(super) inner: Rc<RefCell<TcpStream>>,
    /// `None` where no timeouts apply.
    pub(super) progress: Option<Rc<Progress>>,
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
