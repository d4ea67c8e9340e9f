//! Start and stop of a sidecar.

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
    suspects::Suspects, //
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
        PROTOCOL, //
    },
};

use crate::{
    backend,
    calls::Calls,
    flights::Flights,
    generations::Generations,
    links,
    orders,
    shared::Shared,
    state::State,
    work::Work, //
};

/// Time for which a sidecar that leaves still refuses work that was on its way.
const LINGER: Duration = Duration::from_millis(500);

/// A sidecar that runs.
pub struct Sidecar {
    /// Address of its links.
    pub links: SocketAddr,
    /// Address of its probes and metrics.
    pub operators: SocketAddr,
    task: JoinHandle<()>,
}

impl Sidecar {
    /// Starts a sidecar. Once `stop` is cancelled it takes no new work, finishes what is in
    /// progress within the drain time, and ends.
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
        let ended = CancellationToken::new();
        let state = Arc::new(state(settings, stop.clone())?);
        let (ready, readiness) = watch::channel(Readiness::Waiting("backend server unseen".into()));
        let served = http::serve(
            state.shared.settings.operators,
            probe::router(metering::install(), readiness),
            http::Limits::default(),
            ended.clone(),
        )
        .await?;
        tokio::spawn(backend::follow(state.clone(), ready, ended.clone()));
        tokio::spawn(orders::follow(state.clone(), ended.clone()));
        tokio::spawn(links::accept(state.clone(), node.clone(), ended.clone()));
        events::emit!(
            process::STARTED,
            "role=sidecar host={} server={} links={links} operators={}",
            state.shared.settings.name,
            state.shared.settings.server.name,
            served.address
        );
        let operators = served.address;
        let task = tokio::spawn(async move {
            stop.cancelled().await;
            drain(&state).await;
            ended.cancel();
            node.close().await;
            let _ = served.task.await;
            events::emit!(process::STOPPED, "host={}", state.shared.settings.name);
        });
        Ok(Self {
            links,
            operators,
            task,
        })
    }

    /// Waits until the sidecar has stopped.
    pub async fn ended(self) {
        let _ = self.task.await;
    }

    /// Ends the sidecar at once, as a killed process would. For tests.
    pub fn kill(self) {
        self.task.abort();
    }
}

fn state(settings: settings::Sidecar, leaving: CancellationToken) -> Result<State, Error> {
    let platform = store::Client::new(&settings.platform, settings.times.platform)
        .map_err(|error| wire::Error::Keys(error.to_string()))?;
    let work = Work::default();
    let hello = Hello {
        protocol: PROTOCOL,
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
    let suspects = Arc::new(Suspects::default());
    Ok(State {
        hello,
        heartbeat,
        generations: Generations::new(&settings, work.clone()),
        calls: Calls::new(&settings, work.clone()),
        pointers: Mutex::new(pointer::Table::new(pointer::Settings::default())),
        work,
        shared: Shared {
            flights: Flights::new(&settings, suspects.clone()),
            suspects,
            records: Records::new(platform),
            origin: Instant::now(),
            leaving,
            settings,
        },
    })
}

/// Says that this host leaves, and waits until nothing is in progress.
async fn drain(state: &State) {
    events::emit!(
        process::STOPPING,
        "host={} in_progress={}",
        state.shared.settings.name,
        state.work.count()
    );
    state
        .heartbeat
        .send_modify(|heartbeat| heartbeat.leaving = true);
    // A call that was sent before its entry saw the sign must be refused, not cut with the links.
    sleep(LINGER).await;
    drain::drain(
        || state.work.count() as usize,
        state.shared.settings.times.drain,
    )
    .await;
}
