//! Bodies of the responses to callers.

use std::{
    any::Any,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{
        LocalBoxStream,
        Stream, //
    },
};
use http_body::{
    Frame,
    SizeHint, //
};

use crate::requests;

/// Error of a response that ends early. The connection is closed without the end of the body, so
/// that the caller notices that the response is incomplete.
#[derive(Debug, thiserror::Error)]
#[error("response ended early")]
pub struct Abort;

/// Body of a response.
pub struct Body {
    content: Content,
    /// Values that are dropped with the body, once its last byte was taken.
    guards: Vec<Box<dyn Any>>,
    /// The request, which is in progress until its response is written.
    running: Option<requests::Guard>,
}

enum Content {
    /// The whole body; `None` after it was taken.
    Whole(Option<Bytes>),
    /// Chunks as they arrive.
    Stream(LocalBoxStream<'static, Result<Bytes, Abort>>),
}

impl Body {
    /// Creates a body from all its bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        Body::new(Content::Whole(Some(bytes.into())))
    }

    /// Creates a body from a stream of chunks.
    pub fn stream(stream: impl Stream<Item = Result<Bytes, Abort>> + 'static) -> Body {
        Body::new(Content::Stream(stream.boxed_local()))
    }

    /// Keeps `guard` alive until the body is written or dropped.
    pub fn hold(&mut self, guard: impl Any) {
        self.guards.push(Box::new(guard));
    }

    /// Sets the request that the response belongs to.
    pub fn set_running(&mut self, running: requests::Guard) {
        self.running = Some(running);
    }

    /// Takes the request that the response belongs to.
    pub fn take_running(&mut self) -> Option<requests::Guard> {
        self.running.take()
    }

    /// Returns whether all bytes of the body are known.
    pub fn is_whole(&self) -> bool {
        matches!(self.content, Content::Whole(_))
    }

    fn new(content: Content) -> Body {
        Body {
            content,
            guards: Vec::new(),
            running: None,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(stream) => {
                let next = Pin::new(stream).poll_next(context);
                next.map(|data| data.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
