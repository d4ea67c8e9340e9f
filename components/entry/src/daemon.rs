//! Start and stop of an entry.

use std::{
    net::SocketAddr,
    sync::Arc, //
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
        PROTOCOL, //
    },
};

use crate::{
    burn::Book,
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
        keeper, //
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
        Pools,
        Requests,
        State, //
    },
};

/// An entry that runs.
pub struct Entry {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address of its links.
    pub links: SocketAddr,
    task: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry. Once `stop` is cancelled it takes no new requests, finishes those in
    /// progress within the drain time, and ends.
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
        let handle = metering::install();
        let state = Arc::new(state(settings, node, stop.clone())?);
        let (ready, readiness) = watch::channel(Readiness::Waiting("no document yet".into()));
        let callers = http::serve(
            state.settings.callers,
            callers::router(&state),
            limits(&state.settings),
            state.ended.clone(),
        )
        .await?;
        let router = probe::router(handle, readiness).push(operators::router(&state));
        let operators = http::serve(
            state.settings.operators,
            router,
            http::Limits::default(),
            state.ended.clone(),
        )
        .await?;
        tokio::spawn(keeper::follow(state.clone()));
        tokio::spawn(gates::driver::follow(state.clone()));
        tokio::spawn(links::accept(state.clone()));
        tokio::spawn(documents::driver::follow(state.clone()));
        tokio::spawn(moves::follow(state.clone()));
        tokio::spawn(lateness(state.clone()));
        tokio::spawn(announce(state.clone(), ready));
        events::emit!(
            process::STARTED,
            "role=entry host={} callers={} operators={} links={links}",
            state.settings.name,
            callers.address,
            operators.address
        );
        let started = Self {
            callers: callers.address,
            operators: operators.address,
            links,
            task: tokio::spawn(async move {
                stop.cancelled().await;
                drain(&state).await;
                state.ended.cancel();
                state.node.close().await;
                let _ = callers.task.await;
                let _ = operators.task.await;
                events::emit!(process::STOPPED, "host={}", state.settings.name);
            }),
        };
        Ok(started)
    }

    /// Waits until the entry has stopped.
    pub async fn ended(self) {
        let _ = self.task.await;
    }
}

fn limits(settings: &settings::Entry) -> http::Limits {
    http::Limits {
        header_timeout: settings.times.header,
        idle_timeout: settings.times.idle,
        max_connections: settings.limits.connections,
        drain_timeout: settings.times.drain,
    }
}

fn state(
    settings: settings::Entry,
    node: Node,
    leaving: CancellationToken,
) -> Result<State, Error> {
    let platform = store::Client::new(&settings.platform, settings.times.platform)
        .map_err(|error| wire::Error::Keys(error.to_string()))?;
    let hello = Hello {
        protocol: PROTOCOL,
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
        documents: Documents::default(),
        movers: Movers::default(),
        book: Book::default(),
        resumes: Resumes::default(),
        gaps: Pools::default(),
        silent: Default::default(),
        lateness: Default::default(),
        requests: Requests::default(),
        origin,
        leaving,
        ended: CancellationToken::new(),
        settings,
    })
}

/// Watches how late this process runs, until it ends.
async fn lateness(state: Arc<State>) {
    let clock = || state.now();
    state.lateness.monitor(clock, &state.ended).await;
}

/// Is ready with a document while it can be no older than what this host served by before; stops
/// being ready when the entry leaves, so that the balancer sends nothing more.
async fn announce(state: Arc<State>, ready: watch::Sender<Readiness>) {
    let mut revisions = state.documents.revisions();
    let mut readiness = state.documents.readiness();
    loop {
        let serves = *readiness.borrow_and_update() && *revisions.borrow_and_update() > 0;
        let was = matches!(*ready.borrow(), Readiness::Ready);
        if serves && !was {
            events::emit!(process::READY, "host={}", state.settings.name);
        }
        ready.send_replace(match serves {
            true => Readiness::Ready,
            false => Readiness::Waiting("no document that is known to be the newest".into()),
        });
        tokio::select! {
            () = state.leaving.cancelled() => break,
            changed = revisions.changed() => if changed.is_err() { break },
            changed = readiness.changed() => if changed.is_err() { break },
        }
    }
    state.leaving.cancelled().await;
    ready.send_replace(Readiness::Waiting("shutting down".into()));
    state.ended.cancelled().await;
}

async fn drain(state: &State) {
    let count = state.requests.count();
    let host = &state.settings.name;
    events::emit!(process::STOPPING, "host={host} in_progress={count}");
    state
        .heartbeat
        .send_modify(|heartbeat| heartbeat.leaving = true);
    drain::drain(|| state.requests.count(), state.settings.times.drain).await;
}
