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
    Freshness,
    beacon::{
        Changes,
        Id,
        Scope, //
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
    edge::Edge,
    fleet::Fleet,
    handle::Context,
    initial_sync::InitialSync,
    meter::Level,
    moving::Report,
    peers::{
        Exchange,
        Outgoing,
        Peers,
        Shared, //
    },
    queue::Queue,
    ready,
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
pub struct Gateway<E> {
    context: Rc<Context<E>>,
    exchange: Cell<Option<Exchange>>,
    told: UnboundedSender<Outgoing>,
    heard: Cell<Option<UnboundedReceiver<Changes>>>,
    wanted: Cell<Option<UnboundedReceiver<Id>>>,
}

impl<E: Edge + 'static> Gateway<E> {
    /// Prepares a gateway; it knows nothing yet.
    pub fn new(settings: Settings, edge: E) -> Gateway<E> {
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
            sender: Sender::new(Rc::new(edge)),
            quotas: Rc::default(),
            cache_lookup: CacheLookup::new(told.clone()),
            queue: Rc::new(Queue::default()),
            moving: Rc::default(),
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
    pub fn fresh(&self) -> &RefCell<Freshness> {
        &self.context.fresh
    }

    /// Notes that the first reading of the store has ended, or that a call failed.
    pub fn opened(&self) {
        self.context.initial_sync.end();
    }

    /// Notes that servers may be missing from the register for a time, as it is made anew.
    pub fn registering(&self, time: Duration) {
        self.context.cache_lookup.registering(time);
    }

    /// The states of moves that should stand in the store and don't.
    pub fn due(&self) -> Vec<Report> {
        self.context.moving.due()
    }

    /// This process's place among those that live.
    pub fn place(&self) -> usize {
        self.context.moving.place()
    }

    /// Tells peers what was heard from the store, or from another peer.
    pub fn tell(&self, changes: Changes, reach: Scope) {
        // Nobody listens any more when the process ends.
        let _ = self.told.send(Outgoing::Changes(changes, reach));
    }

    /// What peers heard from the store; to be taken once.
    pub fn heard(&self) -> Option<UnboundedReceiver<Changes>> {
        self.heard.take()
    }

    /// Takes news.
    pub fn learn(&self, update: Update) {
        match update {
            Update::Document(edition) => {
                let version = edition.version;
                if self.context.document_cache.borrow_mut().learn(edition) {
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
            Update::Move { service, order } => {
                let exposure = self.context.settings.borrow().bounds.exposure;
                self.context.moving.order(&service, order, exposure);
            }
            Update::Standing {
                service,
                at,
                to,
                state,
            } => self.context.moving.stands(&service, at, &to, state),
            Update::Gone(server) => {
                note!(direct::GONE, server = server.as_str());
                let address = self.context.fleet.borrow_mut().remove(&server);
                if let Some(address) = address {
                    self.context.sender.forget(address);
                }
            }
        }
    }

    /// Takes changed settings. Addresses are those of the start.
    pub fn change(&self, settings: Settings) {
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
                moving: context.moving.clone(),
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

fn level<E>(context: &Context<E>) -> Level {
    let document_cache = context.document_cache.borrow();
    let confirmed = context.fresh.borrow().confirmed_at();
    Level {
        connections: context.connections.get(),
        running: context.running.get(),
        document: document_cache
            .edition()
            .map_or(0, |edition| edition.version),
        age: confirmed.map(|at| clock::now().saturating_sub(at)),
    }
}

fn is_ready<E: Edge + 'static>(context: &Context<E>) -> bool {
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
