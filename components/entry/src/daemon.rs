//! Starts and stops an entry.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use daemon::{
    Error,
    drain,
    handshake::MAX_MISSED_HEARTBEATS,
    http,
    probe::{
        self,
        Readiness, //
    },
    records::Records, //
};
use events::process;
use settings::Keys;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;
use wire::{
    Node,
    frame::{
        Heartbeat,
        Hello,
        PROTOCOL_VERSION, //
    },
};

use crate::{
    burn::BurnCounters,
    callers,
    documents::{
        self,
        Documents, //
    },
    fleet::Fleet,
    gates::{
        self,
        Gates, //
    },
    hosts::{
        Hosts,
        connector, //
    },
    links,
    moves::{
        self,
        movers::Movers, //
    },
    operators,
    outage::Outage,
    pool::Pool,
    resumes::Resumes,
    state::{
        GapTable,
        Requests,
        State, //
    },
};

/// Time before the end of the drain time by which requests get their final responses.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// A running entry.
pub struct Entry {
    /// Address of the interface for callers.
    pub callers: SocketAddr,
    /// Address of the interface for operators.
    pub operators: SocketAddr,
    /// Address that peers dial.
    pub links: SocketAddr,
    task: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry. Once `stop` is cancelled, it refuses new requests, completes those in
    /// progress within the drain time, and stops.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, or when the keys or the address of the platform are
    /// invalid.
    pub async fn start(
        settings: settings::Entry,
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
        let metrics = metering::install();
        let state = Arc::new(state(settings, node, stop.clone())?);
        tokio::spawn(metering::keep_up(metrics.clone(), state.stopped.clone()));
        let (ready, readiness) = watch::channel(Readiness::Waiting("no document yet".into()));
        let callers = http::serve(
            state.settings.callers,
            callers::router(&state),
            limits(&state.settings),
            state.stopped.clone(),
        )
        .await?;
        let router = probe::router(metrics, readiness).push(operators::router(&state));
        let operators = http::serve(
            state.settings.operators,
            router,
            http::Limits::default(),
            state.stopped.clone(),
        )
        .await?;
        tokio::spawn(connector::run(state.clone()));
        tokio::spawn(gates::driver::run(state.clone()));
        tokio::spawn(links::accept(state.clone()));
        tokio::spawn(documents::driver::run(state.clone()));
        tokio::spawn(moves::run(state.clone()));
        tokio::spawn(measure_lateness(state.clone()));
        tokio::spawn(update_readiness(state.clone(), ready));
        events::emit!(
            process::STARTED,
            "role=entry host={} callers={} operators={} links={links}",
            state.settings.name,
            callers.address,
            operators.address
        );
        let entry = Self {
            callers: callers.address,
            operators: operators.address,
            links,
            task: tokio::spawn(async move {
                stop.cancelled().await;
                drain(&state).await;
                state.stopped.cancel();
                state.node.close().await;
                let _ = callers.task.await;
                let _ = operators.task.await;
                events::emit!(process::STOPPED, "host={}", state.settings.name);
            }),
        };
        Ok(entry)
    }

    /// Waits until the entry has stopped.
    pub async fn stopped(self) {
        let _ = self.task.await;
    }
}

/// Returns the limits of the HTTP server for callers.
fn limits(settings: &settings::Entry) -> http::Limits {
    http::Limits {
        header_timeout: settings.times.header,
        idle_timeout: settings.times.idle,
        max_connections: settings.limits.connections,
        drain_timeout: settings.times.drain,
    }
}

/// Creates the shared state of an entry.
fn state(
    settings: settings::Entry,
    node: Node,
    stopping: CancellationToken,
) -> Result<State, Error> {
    let platform = store::Client::new(&settings.platform, settings.times.platform)
        .map_err(|error| wire::Error::Keys(error.to_string()))?;
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        host: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: rand::random(),
        backend: None,
    };
    let (heartbeat, _) = watch::channel(Heartbeat::default());
    let origin = Instant::now();
    Ok(State {
        node,
        hello,
        heartbeat,
        records: Records::new(platform.clone()),
        outage: Outage::default(),
        suspects: Arc::default(),
        platform,
        fleet: Fleet::default(),
        hosts: Hosts::default(),
        pool: Pool::new(&settings.data_centre, origin),
        gates: Gates::new(origin),
        documents: Documents::new(origin),
        movers: Movers::default(),
        burn: BurnCounters::default(),
        resumes: Resumes::default(),
        gaps: GapTable::default(),
        unresponsive: Default::default(),
        lateness: Default::default(),
        requests: Requests::default(),
        origin,
        stopping,
        cutoff: CancellationToken::new(),
        stopped: CancellationToken::new(),
        settings,
    })
}

/// Measures the scheduling delay of this process until the entry has stopped.
async fn measure_lateness(state: Arc<State>) {
    let clock = || state.now();
    state.lateness.monitor(clock, &state.stopped).await;
}

/// Sets the readiness of the entry: ready while it has a document that can't be older than the one
/// that this host last served by, and not ready from the start of its shutdown, so that the load
/// balancer sends no more requests.
async fn update_readiness(state: Arc<State>, ready: watch::Sender<Readiness>) {
    let mut revisions = state.documents.revisions();
    let mut readiness = state.documents.readiness();
    loop {
        let serving = *readiness.borrow_and_update() && *revisions.borrow_and_update() > 0;
        let was_ready = matches!(*ready.borrow(), Readiness::Ready);
        if serving && !was_ready {
            events::emit!(process::READY, "host={}", state.settings.name);
        }
        ready.send_replace(match serving {
            true => Readiness::Ready,
            false => Readiness::Waiting("no document that is known to be the newest".into()),
        });
        tokio::select! {
            () = state.stopping.cancelled() => break,
            changed = revisions.changed() => if changed.is_err() { break },
            changed = readiness.changed() => if changed.is_err() { break },
        }
    }
    state.stopping.cancelled().await;
    ready.send_replace(Readiness::Waiting("shutting down".into()));
    state.stopped.cancelled().await;
}

/// Announces the shutdown to peers, and waits for the requests in progress.
async fn drain(state: &State) {
    let count = state.requests.count();
    let host = &state.settings.name;
    events::emit!(process::STOPPING, "host={host} in_progress={count}");
    state
        .heartbeat
        .send_modify(|heartbeat| heartbeat.leaving = true);
    let limit = state.settings.times.drain;
    let in_progress = || state.requests.count();
    if !drain::drain(in_progress, limit.saturating_sub(RESPONSE_MARGIN)).await {
        state.cutoff.cancel();
        drain::wait(in_progress, RESPONSE_MARGIN).await;
    }
}
