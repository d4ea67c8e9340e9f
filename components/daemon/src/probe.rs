//! The probe endpoints `/healthz`, `/readyz` and `/metrics`.
//!
//! Health means that the process runs, readiness that it may receive traffic. They are separate
//! because a process that waits for its first document must not be restarted for that.

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{
    Response,
    Router,
    handler,
    http::StatusCode,
    writing::Text, //
};
use tokio::sync::watch;

/// Whether the process may receive traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process may receive traffic.
    Ready,
    /// The process may not receive traffic yet, for this reason.
    Waiting(String),
}

/// Returns the router of the probe endpoints.
pub fn router(handle: PrometheusHandle, readiness: watch::Receiver<Readiness>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(health))
        .push(Router::with_path("readyz").get(Ready { readiness }))
        .push(Router::with_path("metrics").get(Metrics { handle }))
}

#[handler]
async fn health(res: &mut Response) {
    res.render(Text::Plain("ok\n"));
}

struct Ready {
    readiness: watch::Receiver<Readiness>,
}

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        match &*self.readiness.borrow() {
            Readiness::Ready => res.render(Text::Plain("ready\n")),
            Readiness::Waiting(reason) => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render(Text::Plain(format!("{reason}\n")));
            }
        }
    }
}

struct Metrics {
    handle: PrometheusHandle,
}

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        res.render(Text::Plain(self.handle.render()));
    }
}
