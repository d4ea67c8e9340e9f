//! HTTP server for readiness and metrics.

use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    accept::CallerStream,
    body::Body, //
};

/// Wait before a connection is accepted again after a failure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Status and text of a response.
pub type Page = (StatusCode, String);

/// Responds to every request with the result of `respond` until `stop` is cancelled.
pub async fn run(listener: TcpListener, respond: Rc<dyn Fn() -> Page>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Descriptors may have run out; the connection is still waiting.
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let respond = respond.clone();
        spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let (status, text) = respond();
                let mut response = Response::new(Body::whole(text));
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            // A failed connection needs no handling: the client polls again.
            let _ = http1::Builder::new()
                .serve_connection(CallerStream::new(stream), service)
                .await;
        });
    }
}
