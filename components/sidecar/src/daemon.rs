//! Startup and shutdown of a sidecar.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use answer::pointer;
use daemon::{
    Error,
    drain,
    handshake::MAX_MISSED_HEARTBEATS,
    http,
    probe::{
        self,
        Readiness, //
    },
    records::Records,
    suspects::SharedDetector, //
};
use events::process;
use settings::Keys;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};
use tokio_util::sync::CancellationToken;
use wire::{
    Node,
    frame::{
        Backend,
        Heartbeat,
        Hello,
        PROTOCOL_VERSION, //
    },
};

use crate::{
    backend,
    calls::Calls,
    concurrency::Counter,
    context::Context,
    generations::Generations,
    inflight::Tracker,
    links,
    orders,
    state::State, //
};

/// Time for which a leaving sidecar keeps its links open to refuse calls that were sent before
/// their entry received the leaving heartbeat.
const LEAVING_GRACE: Duration = Duration::from_millis(500);

/// A running sidecar.
pub struct Sidecar {
    /// Address that it listens on for links (QUIC over UDP).
    pub links: SocketAddr,
    /// Address that it listens on for health checks and metrics (HTTP over TCP).
    pub operators: SocketAddr,
    task: JoinHandle<()>,
}

impl Sidecar {
    /// Starts a sidecar. Once `stop` is cancelled, the sidecar refuses new work, finishes work in
    /// progress within the drain time, and stops.
    ///
    /// # Errors
    ///
    /// [`Error`] when an address can't be bound, the keys are unusable or the platform's client
    /// can't be built.
    pub async fn start(
        settings: settings::Sidecar,
        keys: &Keys,
        stop: CancellationToken,
    ) -> Result<Self, Error> {
        let node = Node::bind(
            settings.links,
            keys,
            settings.times.rest * MAX_MISSED_HEARTBEATS,
        )?;
        let links = node.address().map_err(|source| wire::Error::Bind {
            address: settings.links,
            source,
        })?;
        let stopped = CancellationToken::new();
        let state = Arc::new(state(settings, stop.clone())?);
        let (ready, readiness) = watch::channel(Readiness::Waiting("backend server unseen".into()));
        let metrics = metering::install();
        tokio::spawn(metering::keep_up(metrics.clone(), stopped.clone()));
        let served = http::serve(
            state.context.settings.operators,
            probe::router(metrics, readiness),
            http::Limits::default(),
            stopped.clone(),
        )
        .await?;
        tokio::spawn(backend::poll(state.clone(), ready, stopped.clone()));
        tokio::spawn(orders::forward(state.clone(), stopped.clone()));
        tokio::spawn(links::accept(state.clone(), node.clone(), stopped.clone()));
        events::emit!(
            process::STARTED,
            "role=sidecar host={} server={} links={links} operators={}",
            state.context.settings.name,
            state.context.settings.server.name,
            served.address
        );
        let operators = served.address;
        let task = tokio::spawn(async move {
            stop.cancelled().await;
            drain(&state).await;
            stopped.cancel();
            node.close().await;
            let _ = served.task.await;
            events::emit!(process::STOPPED, "host={}", state.context.settings.name);
        });
        Ok(Self {
            links,
            operators,
            task,
        })
    }

    /// Waits until the sidecar has stopped.
    pub async fn stopped(self) {
        let _ = self.task.await;
    }

    /// Aborts the shutdown task, so that the sidecar doesn't drain, as when its process is killed.
    /// For tests.
    pub fn kill(self) {
        self.task.abort();
    }
}

fn state(settings: settings::Sidecar, leaving: CancellationToken) -> Result<State, Error> {
    let platform = store::Client::new(&settings.platform, settings.times.platform)
        .map_err(|error| wire::Error::Keys(error.to_string()))?;
    let concurrency = Counter::default();
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        host: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: rand::random(),
        backend: Some(Backend {
            server: settings.server.name.clone(),
            service: settings.server.service.clone(),
            version: settings.server.version.clone(),
        }),
    };
    let (heartbeat, _) = watch::channel(Heartbeat::default());
    let suspects = Arc::new(SharedDetector::default());
    Ok(State {
        hello,
        heartbeat,
        generations: Generations::new(&settings, concurrency.clone()),
        calls: Calls::new(&settings, concurrency.clone()),
        pointers: Mutex::new(pointer::Table::new(pointer::Settings::default())),
        concurrency,
        context: Context {
            inflight: Tracker::new(&settings, suspects.clone()),
            suspects,
            records: Records::new(platform),
            origin: Instant::now(),
            leaving,
            settings,
        },
    })
}

/// Announces that this host is leaving, and waits until no work is in progress.
async fn drain(state: &State) {
    events::emit!(
        process::STOPPING,
        "host={} in_progress={}",
        state.context.settings.name,
        state.concurrency.count()
    );
    state
        .heartbeat
        .send_modify(|heartbeat| heartbeat.leaving = true);
    // A call sent before its entry received the leaving heartbeat must be refused; closing the
    // links now would break it off.
    sleep(LEAVING_GRACE).await;
    drain::drain(
        || state.concurrency.count() as usize,
        state.context.settings.times.drain,
    )
    .await;
}
