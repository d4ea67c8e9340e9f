//! The process: listeners, news, the way out.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use events::{
    direct,
    note,
    process, //
};
use http::StatusCode;
use spread::{
    Fresh,
    beacon::{
        Changes,
        Number,
        Reach, //
    },
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        UdpSocket, //
    },
    sync::mpsc::{
        UnboundedReceiver,
        UnboundedSender,
        unbounded_channel, //
    },
    task::spawn_local,
    time::{
        Instant,
        interval,
        sleep,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    accept,
    cache_lookup::{
        self,
        CacheLookup, //
    },
    clock,
    document_cache::State,
    fleet::Fleet,
    handle::Context,
    initial_sync::InitialSync,
    meter::Level,
    peers::{
        Exchange,
        Outgoing,
        Peers,
        Shared, //
    },
    protocol::Protocol,
    queue::Queue,
    ready,
    rollout::Report,
    sender::Sender,
    settings::Settings,
    update::Update, //
};

/// Pace at which idle connections to servers are looked over.
const SWEEP: Duration = Duration::from_secs(1);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pace at which it is looked whether connections are left.
const PACE: Duration = Duration::from_millis(20);

/// Addresses that are bound.
pub struct Listeners {
    /// Where callers connect.
    pub callers: TcpListener,
    /// Where the platform asks whether this process takes new connections.
    pub ready: TcpListener,
    /// Where beacons of other gateways come.
    pub peers: UdpSocket,
    /// Where metrics are asked for.
    pub metrics: Option<TcpListener>,
}

/// A gateway that serves.
pub struct Gateway<P> {
    context: Rc<Context<P>>,
    exchange: Cell<Option<Exchange>>,
    told: UnboundedSender<Outgoing>,
    heard: Cell<Option<UnboundedReceiver<Changes>>>,
    wanted: Cell<Option<UnboundedReceiver<Number>>>,
}

impl<P: Protocol + 'static> Gateway<P> {
    /// Prepares a gateway; it knows nothing yet.
    pub fn new(settings: Settings, protocol: P) -> Gateway<P> {
        let (told, out) = unbounded_channel();
        let (inward, heard) = unbounded_channel();
        let (lookups, wanted) = unbounded_channel();
        let mut fleet = Fleet::new(rand::random());
        fleet.set_home(&settings.data_centre);
        let context = Context {
            settings: Rc::new(RefCell::new(Rc::new(settings))),
            document_cache: RefCell::default(),
            fresh: Rc::default(),
            fleet: Rc::new(RefCell::new(fleet)),
            sender: Sender::new(Rc::new(protocol)),
            quotas: Rc::default(),
            cache_lookup: CacheLookup::new(told.clone()),
            queue: Rc::new(Queue::default()),
            rollouts: Rc::default(),
            initial_sync: InitialSync::default(),
            outlook: RefCell::default(),
            departure: Rc::default(),
            started: Instant::now(),
            running: Cell::new(0),
            connections: Cell::new(0),
        };
        let exchange = Exchange {
            out,
            inward,
            lookups,
        };
        Gateway {
            context: Rc::new(context),
            exchange: Cell::new(Some(exchange)),
            told,
            heard: Cell::new(Some(heard)),
            wanted: Cell::new(Some(wanted)),
        }
    }

    /// How current what is known is. Whoever reads the store keeps this up to date.
    pub fn freshness(&self) -> &RefCell<Fresh> {
        &self.context.fresh
    }

    /// Notes that the first reading of the store has ended, or that a call failed.
    pub fn end_initial_sync(&self) {
        self.context.initial_sync.end();
    }

    /// Notes that servers may be missing from the register for a time, as it is made anew.
    pub fn await_registrations(&self, time: Duration) {
        self.context.cache_lookup.registering(time);
    }

    /// The states of moves that should stand in the store and don't.
    pub fn pending_reports(&self) -> Vec<Report> {
        self.context.rollouts.due()
    }

    /// This process's place among those that live.
    pub fn position(&self) -> usize {
        self.context.rollouts.place()
    }

    /// Tells peers what was heard from the store, or from another peer.
    pub fn send_changes(&self, changes: Changes, reach: Reach) {
        // Nobody listens any more when the process ends.
        let _ = self.told.send(Outgoing::Changes(changes, reach));
    }

    /// What peers heard from the store; to be taken once.
    pub fn take_changes(&self) -> Option<UnboundedReceiver<Changes>> {
        self.heard.take()
    }

    /// Takes news.
    pub fn apply(&self, update: Update) {
        match update {
            Update::Document(snapshot) => {
                let version = snapshot.version;
                if self.context.document_cache.borrow_mut().learn(snapshot) {
                    note!(direct::DOCUMENT, version = version);
                }
            }
            Update::Server {
                registration,
                since,
            } => {
                let told = registration.clone();
                if self.context.fleet.borrow_mut().put(registration, since) {
                    note!(
                        direct::SERVER,
                        server = told.server.as_str(),
                        service = told.facts.service.as_str(),
                        version = told.facts.version.as_str(),
                        data_centre = told.facts.data_centre.as_str(),
                        address = told.address.to_string().as_str(),
                        leaving = told.leaving
                    );
                    cache_lookup::registered(&self.context, &told);
                }
            }
            Update::Rollout { service, order } => {
                let exposure = self.context.settings.borrow().bounds.exposure;
                self.context.rollouts.order(&service, order, exposure);
            }
            Update::RolloutState {
                service,
                at,
                to,
                state,
            } => self.context.rollouts.stands(&service, at, &to, state),
            Update::Deregistered(server) => {
                note!(direct::GONE, server = server.as_str());
                let address = self.context.fleet.borrow_mut().remove(&server);
                if let Some(address) = address {
                    self.context.sender.forget(address);
                }
            }
        }
    }

    /// Takes changed settings. Addresses are those of the start.
    pub fn set_settings(&self, settings: Settings) {
        *self.context.settings.borrow_mut() = Rc::new(settings);
    }

    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub fn listen(&self) -> io::Result<Listeners> {
        let settings = self.context.settings.borrow().clone();
        Ok(Listeners {
            callers: listen(settings.callers)?,
            ready: listen(settings.ready)?,
            peers: datagrams(settings.peers)?,
            metrics: settings.metrics.map(listen).transpose()?,
        })
    }

    /// Serves until `stop`, then finishes what is in progress within the grace time.
    pub async fn run(&self, listeners: Listeners, stop: CancellationToken) {
        let Listeners {
            callers,
            ready: asked,
            peers,
            metrics,
        } = listeners;
        let over = CancellationToken::new();
        let close = CancellationToken::new();
        let accept = accept::run(callers, self.context.clone(), over.clone(), close.clone());
        spawn_local(accept);
        let context = self.context.clone();
        let answer = Rc::new(move || match is_ready(&context) {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        });
        spawn_local(ready::run(asked, answer, over.clone()));
        if let Some(metrics) = metrics {
            let (context, handle) = (self.context.clone(), metering::install());
            let answer = Rc::new(move || {
                level(&context).set();
                (StatusCode::OK, handle.render())
            });
            spawn_local(ready::run(metrics, answer, over.clone()));
        }
        let context = &self.context;
        if let Some(exchange) = self.exchange.take() {
            let shared = Shared {
                fleet: context.fleet.clone(),
                fresh: context.fresh.clone(),
                quotas: context.quotas.clone(),
                queue: context.queue.clone(),
                rollouts: context.rollouts.clone(),
                departure: context.departure.clone(),
                settings: context.settings.clone(),
            };
            let peers = Peers::new(peers, shared, exchange);
            spawn_local(peers.run(over.clone()));
        }
        if let Some(wanted) = self.wanted.take() {
            spawn_local(cache_lookup::serve(context.clone(), wanted));
        }
        let mut pace = interval(SWEEP);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = pace.tick() => self.context.sender.sweep(),
            }
        }
        self.leave(&over, &close).await;
    }

    async fn leave(&self, over: &CancellationToken, close: &CancellationToken) {
        let context = &self.context;
        context.departure.begin();
        note!(process::STOPPING, running = context.running.get());
        let grace = context.settings.borrow().bounds.grace;
        if let Some(at) = context.departure.close() {
            sleep_until(at).await;
        }
        close.cancel();
        let end = context.departure.end(grace).unwrap_or_else(Instant::now);
        while context.connections.get() > 0 && Instant::now() < end {
            sleep(PACE).await;
        }
        if context.running.get() > 0 {
            note!(process::CUT, running = context.running.get());
        }
        over.cancel();
    }
}

fn level<P>(context: &Context<P>) -> Level {
    let document_cache = context.document_cache.borrow();
    let confirmed = context.fresh.borrow().confirmed();
    Level {
        connections: context.connections.get(),
        running: context.running.get(),
        document: document_cache
            .snapshot()
            .map_or(0, |snapshot| snapshot.version),
        age: confirmed.map(|at| clock::now().saturating_sub(at)),
    }
}

fn is_ready<P: Protocol + 'static>(context: &Context<P>) -> bool {
    if context.departure.begun() {
        return false;
    }
    let settings = context.settings.borrow().clone();
    matches!(context.state(&settings), State::Current(_))
}

fn datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // A process that comes back finds its port in the time-wait state otherwise.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
