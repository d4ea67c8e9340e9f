//! Listeners, updates and shutdown of the process.

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

use contract::poison::Fingerprint;
use events::{
    forwarding,
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
    admin,
    cache_lookup,
    clock,
    context::Context,
    document_cache::State,
    fleet::Fleet,
    initial_sync::InitialSync,
    lookups::CacheLookup,
    meter::{
        self,
        Gauges, //
    },
    peers::{
        Channels,
        Outgoing,
        Peers,
        Shared, //
    },
    protocol::Protocol,
    queue::Queue,
    requests::{
        Closer,
        Stage, //
    },
    retry_budget::RetryBudgets,
    rollout::Report,
    sender::Sender,
    settings::{
        Limits,
        Settings, //
    },
    update::Update, //
};

/// Interval at which idle connections to servers are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of connections that wait to be accepted, and the memory that the kernel may receive for
/// them, as a share of what callers may hold.
const MAX_BACKLOG: usize = 512;
const BACKLOG_SHARE: f64 = 0.2;

/// Interval at which a shutdown checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bound sockets of a gateway.
pub struct Listeners {
    /// Listener for callers' connections.
    pub callers: TcpListener,
    /// Listener of the readiness endpoint.
    pub ready: TcpListener,
    /// Socket for beacons and messages of other gateways.
    pub peers: UdpSocket,
    /// Listener of the metrics endpoint.
    pub metrics: Option<TcpListener>,
}

/// A gateway process.
pub struct Gateway<P> {
    context: Rc<Context<P>>,
    channels: Cell<Option<Channels>>,
    outgoing: UnboundedSender<Outgoing>,
    changes: Cell<Option<UnboundedReceiver<Changes>>>,
    lookup_requests: Cell<Option<UnboundedReceiver<Id>>>,
}

impl<P: Protocol + 'static> Gateway<P> {
    /// Creates a gateway without a document or servers.
    pub fn new(settings: Settings, protocol: P) -> Gateway<P> {
        let retry_budgets = RetryBudgets::new(settings.has_seeds(), settings.retries_known);
        let (outgoing, outgoing_receiver) = unbounded_channel();
        let (changes_sender, changes) = unbounded_channel();
        let (lookup_sender, lookup_requests) = unbounded_channel();
        let mut fleet = Fleet::new(rand::random());
        fleet.set_data_centre(&settings.data_centre);
        let server_memory = settings.limits.server_memory;
        let context = Context {
            settings: Rc::new(RefCell::new(Rc::new(settings))),
            document_cache: RefCell::default(),
            freshness: Rc::default(),
            fleet: Rc::new(RefCell::new(fleet)),
            sender: Sender::new(Rc::new(protocol), server_memory),
            retry_budgets: Rc::new(RefCell::new(retry_budgets)),
            cache_lookup: CacheLookup::new(outgoing.clone()),
            queue: Rc::new(Queue::default()),
            rollouts: Rc::default(),
            demands: Rc::default(),
            suspects: Rc::default(),
            crashes: Rc::default(),
            initial_sync: InitialSync::default(),
            forecast: RefCell::default(),
            shutdown: Rc::default(),
            account: Rc::default(),
            started: Instant::now(),
            requests: Rc::default(),
        };
        let channels = Channels {
            outgoing: outgoing_receiver,
            changes: changes_sender,
            lookup_requests: lookup_sender,
        };
        Gateway {
            context: Rc::new(context),
            channels: Cell::new(Some(channels)),
            outgoing,
            changes: Cell::new(Some(changes)),
            lookup_requests: Cell::new(Some(lookup_requests)),
        }
    }

    /// Returns how current the document and registry are; the reader of the store updates it.
    pub fn freshness(&self) -> &RefCell<Freshness> {
        &self.context.freshness
    }

    /// Records that a part of the store was read and applied.
    pub fn advance_initial_sync(&self) {
        self.context.initial_sync.advance();
    }

    /// Records that the whole store was read.
    pub fn complete_initial_sync(&self) {
        self.context.fleet.borrow_mut().set_registry_known();
        self.context.initial_sync.complete();
    }

    /// Records that a call of the initial read failed: requests no longer wait for it.
    pub fn end_initial_sync(&self) {
        self.context.initial_sync.end();
    }

    /// Records that servers may be missing from the registry for a time, as they register again.
    pub fn await_registrations(&self, time: Duration) {
        self.context.cache_lookup.await_registrations(time);
    }

    /// Returns the states of rollouts that are due to be written to the store.
    pub fn pending_reports(&self) -> Vec<Report> {
        let fleet = self.context.fleet.borrow();
        self.context.rollouts.pending_reports(&fleet)
    }

    /// Returns the refusals of requests that crash servers that are due to be written to the store,
    /// each with the time for which it holds.
    pub fn pending_refusals(&self) -> Vec<(Fingerprint, Duration)> {
        self.context.suspects.unstored()
    }

    /// Returns the rank of this process among the live gateways, from 0.
    pub fn rank(&self) -> usize {
        self.context.rollouts.rank()
    }

    /// Sends changes to the peers in `scope`. The changes were read from the store or received from
    /// another peer.
    pub fn send_changes(&self, changes: Changes, scope: Scope) {
        // The receiver is gone when the process exits.
        let _ = self.outgoing.send(Outgoing::Changes(changes, scope));
    }

    /// Returns the receiver of changes that peers read from the store; `None` after the first call.
    pub fn take_changes(&self) -> Option<UnboundedReceiver<Changes>> {
        self.changes.take()
    }

    /// Applies an update.
    pub fn apply(&self, update: Update) {
        match update {
            Update::Document(snapshot) => {
                let version = snapshot.version;
                let services = snapshot.index.document().services.iter();
                let services = services.map(|service| service.name.clone()).collect();
                if self.context.document_cache.borrow_mut().update(snapshot) {
                    self.context.fleet.borrow_mut().set_services(services);
                    note!(forwarding::DOCUMENT_IN_FORCE, version = version);
                }
            }
            Update::Server {
                registration,
                since,
            } => {
                let registered = registration.clone();
                let changed = self
                    .context
                    .fleet
                    .borrow_mut()
                    .register(registration, since);
                if !changed {
                    return;
                }
                // The initial read of the store finds thousands of servers.
                if self.context.initial_sync.has_ended() {
                    note!(
                        forwarding::SERVER_REGISTERED,
                        server = registered.server.as_str(),
                        service = registered.spec.service.as_str(),
                        version = registered.spec.version.as_str(),
                        data_centre = registered.spec.data_centre.as_str(),
                        address = registered.address.to_string().as_str(),
                        leaving = registered.leaving
                    );
                }
                cache_lookup::query_registered(&self.context, &registered);
            }
            Update::Rollout { service, order } => {
                let exposure = self.context.settings.borrow().bounds.exposure;
                self.context.rollouts.set_order(&service, order, exposure);
            }
            Update::RolloutState {
                service,
                at,
                to,
                state,
            } => self.context.rollouts.apply_state(&service, at, &to, state),
            Update::Refusal {
                fingerprint,
                stored,
            } => self.context.suspects.set_stored(fingerprint, stored),
            Update::Deregistered(server) => {
                note!(forwarding::SERVER_GONE, server = server.as_str());
                let address = self.context.fleet.borrow_mut().remove(&server);
                if let Some(address) = address {
                    self.context.sender.disconnect(address);
                }
            }
        }
    }

    /// Replaces the settings. Listening addresses don't change until a restart.
    pub fn set_settings(&self, settings: Settings) {
        *self.context.settings.borrow_mut() = Rc::new(settings);
    }

    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub fn listen(&self) -> io::Result<Listeners> {
        let settings = self.context.settings.borrow().clone();
        Ok(Listeners {
            callers: listen(settings.callers, &settings.limits)?,
            ready: listen(settings.ready, &settings.limits)?,
            peers: bind_udp(settings.peers)?,
            metrics: settings
                .metrics
                .map(|address| listen(address, &settings.limits))
                .transpose()?,
        })
    }

    /// Serves until `stop` is cancelled, then waits for requests in progress within the grace time.
    pub async fn run(&self, listeners: Listeners, stop: CancellationToken) {
        let Listeners {
            callers,
            ready: readiness,
            peers,
            metrics,
        } = listeners;
        let stopped = CancellationToken::new();
        let close = CancellationToken::new();
        let accept = accept::run(
            callers,
            self.context.clone(),
            stopped.clone(),
            close.clone(),
        );
        spawn_local(accept);
        let context = self.context.clone();
        let respond = Rc::new(move || match is_ready(&context) {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        });
        let admin_connections = self.context.settings.borrow().limits.admin_connections;
        let ready = admin::Server::new(respond, admin_connections);
        spawn_local(ready.run(readiness, stopped.clone()));
        if let Some(metrics) = metrics {
            let (context, handle) = (self.context.clone(), metering::install());
            spawn_local(metering::keep_up(handle.clone(), stopped.clone()));
            let respond = Rc::new(move || {
                gauges(&context).set();
                (StatusCode::OK, handle.render())
            });
            let server = admin::Server::new(respond, admin_connections);
            spawn_local(server.run(metrics, stopped.clone()));
        }
        let (context, stop_watch) = (self.context.clone(), stopped.clone());
        spawn_local(async move { context.watch_abandoned(stop_watch).await });
        let context = &self.context;
        if let Some(channels) = self.channels.take() {
            let shared = Shared {
                fleet: context.fleet.clone(),
                freshness: context.freshness.clone(),
                retry_budgets: context.retry_budgets.clone(),
                queue: context.queue.clone(),
                rollouts: context.rollouts.clone(),
                demands: context.demands.clone(),
                suspects: context.suspects.clone(),
                shutdown: context.shutdown.clone(),
                settings: context.settings.clone(),
            };
            let peers = Peers::new(peers, shared, channels);
            spawn_local(peers.run(stopped.clone()));
        }
        if let Some(lookup_requests) = self.lookup_requests.take() {
            spawn_local(cache_lookup::serve_peers(context.clone(), lookup_requests));
        }
        let mut ticks = interval(IDLE_SWEEP_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.context.sender.close_idle(),
            }
        }
        self.drain(&stopped, &close).await;
    }

    /// Logs how the drain ended, and each request that it cuts off.
    fn log_drained(&self) {
        let context = &self.context;
        let running = context.requests.count();
        note!(
            process::DRAINED,
            running = running,
            connections = context.account.connections(),
            ms = context.shutdown.elapsed().as_millis() as u64
        );
        if running > 0 {
            note!(process::ABORTED, running = running);
        }
        for request in context.requests.all() {
            let admitted = context.shutdown.elapsed_until(request.arrived);
            meter::answer_cut(Closer::Exit, request.work());
            note!(
                forwarding::CUT_OFF,
                id = request.id().as_str(),
                route = request.route().as_deref(),
                stage = request.stage().name(),
                server = request.server().as_deref(),
                work = request.work().name(),
                silence_ms = request.silence().map(|time| time.as_millis() as u64),
                stopping_ms = admitted.map(|time| time.as_millis() as u64),
                ms = request.arrived.elapsed().as_millis() as u64
            );
        }
    }

    /// Begins the shutdown, and waits until all connections are closed or the grace time is over.
    async fn drain(&self, stopped: &CancellationToken, close: &CancellationToken) {
        let context = &self.context;
        context.shutdown.begin(Instant::now());
        note!(process::STOPPING, running = context.requests.count());
        let grace = context.settings.borrow().bounds.grace;
        let exit_at = context.shutdown.exit_at(grace).unwrap_or_else(Instant::now);
        let cutoff_at = context.shutdown.cutoff_at(grace).unwrap_or(exit_at);
        // Until then the balancer may send connections, which get a refusal rather than none.
        let removed_at = context.shutdown.idle_close_at().unwrap_or(exit_at);
        sleep_until(removed_at.min(cutoff_at)).await;
        close.cancel();
        let is_needed = || context.account.connections() > 0 || Instant::now() < removed_at;
        while is_needed() && Instant::now() < exit_at {
            if Instant::now() >= cutoff_at {
                context.shutdown.cutoff().cancel();
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.log_drained();
        stopped.cancel();
    }
}

/// Returns the current values of the gauges.
fn gauges<P>(context: &Context<P>) -> Gauges {
    let document_cache = context.document_cache.borrow();
    let confirmed = context.freshness.borrow().confirmed_at();
    Gauges {
        connections: context.account.connections(),
        held_bytes: context.account.bytes(),
        body_bytes: context.account.body_bytes(),
        running: context.requests.count(),
        by_stage: Stage::ALL.map(|stage| (stage.name(), context.requests.count_at(stage))),
        document: document_cache
            .snapshot()
            .map_or(0, |snapshot| snapshot.version),
        age: confirmed.map(|at| clock::now().saturating_sub(at)),
    }
}

/// Returns whether the process should get requests from the balancer.
fn is_ready<P: Protocol + 'static>(context: &Context<P>) -> bool {
    if context.shutdown.has_begun() {
        return false;
    }
    // The document is read before the registry. If the store fails in between, other processes can
    // serve.
    if !context.initial_sync.is_complete() && !context.fleet.borrow().has_servers() {
        return false;
    }
    let settings = context.settings.borrow().clone();
    matches!(context.state(&settings), State::Current(_))
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn listen(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Without it a restarted process can't bind its port while old connections are in the time-wait
    // state.
    socket.set_reuseaddr(true)?;
    // Connections inherit them. Without them the kernel holds megabytes for each that isn't read, or
    // whose caller reads nothing. A system that can't be told has buffers of its own size.
    let size = |bytes: usize| u32::try_from(bytes).unwrap_or(u32::MAX);
    let _ = socket.set_recv_buffer_size(size(limits.receive_buffer));
    let _ = socket.set_send_buffer_size(size(limits.send_buffer));
    socket.bind(address)?;
    socket.listen(size(backlog(limits)))
}

/// Returns how many connections may wait to be accepted.
fn backlog(limits: &Limits) -> usize {
    let bytes = limits.memory as f64 * BACKLOG_SHARE;
    let count = (bytes / limits.receive_buffer as f64) as usize;
    count.clamp(1, MAX_BACKLOG)
}
