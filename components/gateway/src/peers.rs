//! Beacons and messages between gateways, over UDP.

use std::{
    cell::RefCell,
    collections::HashSet,
    io,
    net::SocketAddr,
    rc::Rc, //
};

use events::{
    links,
    note, //
};
use names::Clock;
use spread::{
    Freshness,
    beacon::{
        self,
        Age,
        Beacon,
        Changes,
        Id,
        Incarnation,
        Loads,
        MAX_DATAGRAM_BYTES,
        Message,
        Prompt,
        Reassembly,
        Receipt,
        Scope,
        Table, //
    },
};
use tokio::{
    net::UdpSocket,
    sync::mpsc::{
        UnboundedReceiver,
        UnboundedSender, //
    },
    time::{
        Instant,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    demands::Demands,
    fleet::Fleet,
    queue::Queue,
    retry_budget::RetryBudgets,
    rollout::Rollouts,
    settings::Settings,
    shutdown::{
        self,
        Shutdown, //
    },
    suspects::Suspects, //
};

mod news;
mod speeds;

/// Bytes of a datagram that are reserved for the echo and the message's kind.
const ECHO_BYTES: usize = 34;

/// Maximum number of servers in a load message, so that it fits a datagram.
const MAX_LOADS_PER_MESSAGE: usize = 50;

/// Maximum number of cached prompts in a message, so that it fits a datagram.
const MAX_PROMPTS_PER_MESSAGE: usize = 80;

/// Interval at which this process checks for changes to send in a beacon. It is four times as long
/// while there are none.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(30);

/// Time without a turn of the loop from which on this process was paused, and what arrived meanwhile isn't
/// read yet.
const MAX_TURN_TIME: std::time::Duration = std::time::Duration::from_millis(250);

/// Maximum number of datagrams that are read as ones that arrived during a pause: more than the system
/// keeps of the smallest.
const MAX_BACKLOG: usize = 4096;

/// Sends and receives the messages between gateways.
pub struct Peers {
    socket: UdpSocket,
    table: Table,
    shared: Shared,
    /// Time of the claim in the last beacon.
    last_claim: Option<Clock>,
    channels: Channels,
    reassembly: Reassembly,
    incarnation: u64,
    sequence: u64,
    /// Sequence number of the last load message.
    load_sequence: u64,
    /// Size of the last beacon in bytes.
    beacon_bytes: usize,
    /// Time at which the demand was last sent.
    demand_sent: Option<Instant>,
    /// Whether peers were told that a service is over capacity.
    told_overload: bool,
    /// Time from which observations of servers' speeds are sent again.
    speeds_due: Option<Instant>,
    /// Sequence number of the last such message.
    speeds_sequence: u32,
    /// Peers that were sent all reports on crashes and all limits.
    informed: HashSet<Incarnation>,
    /// Whether addresses are known that no beacon has been sent to yet.
    new_addresses: bool,
}

/// State that is exchanged with peers.
pub struct Shared {
    /// Loads and failures of servers.
    pub fleet: Rc<RefCell<Fleet>>,
    /// How current the document and registry are.
    pub freshness: Rc<RefCell<Freshness>>,
    /// Budgets that bound retries.
    pub retry_budgets: Rc<RefCell<RetryBudgets>>,
    /// Queue of streams that wait for an engine.
    pub queue: Rc<Queue>,
    /// Rollouts of new versions.
    pub rollouts: Rc<Rollouts>,
    /// Demand for each service.
    pub demands: Rc<Demands>,
    /// Requests that may crash servers.
    pub suspects: Rc<Suspects>,
    /// State of the graceful shutdown.
    pub shutdown: Rc<Shutdown>,
    /// Settings of the process.
    pub settings: Rc<RefCell<Rc<Settings>>>,
}

/// Messages of this process to its peers besides beacons.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// Changes read from the store or received from a peer, and their recipients.
    Changes(Changes, Scope),
    /// Request to query the engines of a service, since the prompt of a reconnected caller may be
    /// cached at any of them.
    Lookup(Id),
    /// Prompt parts that engines reported as cached.
    Cached(Vec<Prompt>),
}

/// Channels between the gateway and its peers.
pub struct Channels {
    /// Messages to the peers.
    pub outgoing: UnboundedReceiver<Outgoing>,
    /// Changes that peers read from the store.
    pub changes: UnboundedSender<Changes>,
    /// Services whose engines peers request to query.
    pub lookup_requests: UnboundedSender<Id>,
}

impl Peers {
    /// Creates the peer exchange on a socket.
    pub fn new(socket: UdpSocket, shared: Shared, channels: Channels) -> Peers {
        let incarnation = rand::random();
        let mut retry_budgets = shared.retry_budgets.borrow_mut();
        retry_budgets.set_incarnation(incarnation);
        drop(retry_budgets);
        shared.suspects.trials.set_process(incarnation);
        let seeds = shared.settings.borrow().seeds.clone();
        Peers {
            socket,
            table: Table::new(incarnation, seeds),
            shared,
            last_claim: None,
            channels,
            reassembly: Reassembly::default(),
            incarnation,
            sequence: 0,
            load_sequence: 0,
            beacon_bytes: 0,
            demand_sent: None,
            told_overload: false,
            speeds_due: None,
            speeds_sequence: 0,
            informed: HashSet::new(),
            new_addresses: true,
        }
    }

    /// Sends and receives messages until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let announced = self.shared.fleet.borrow().announce_notify();
        let observed = self.shared.suspects.announce_notify();
        let limited = self.shared.fleet.borrow().rate_limit_notify();
        let trials = self.shared.suspects.trials.notify();
        let mut sent = Instant::now();
        let mut turn = sent;
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if turn.elapsed() > MAX_TURN_TIME {
                self.read_backlog(&mut bytes);
            }
            turn = Instant::now();
            self.report_demand();
            self.report_speeds();
            self.send_trials();
            let now = Instant::now();
            let confirmed = self.shared.freshness.borrow().confirmed_at();
            self.new_addresses |= self.table.take_new_candidates();
            let has_changes = self.new_addresses
                || self.shared.fleet.borrow().has_changes()
                || confirmed != self.last_claim;
            let next_send = sent + self.table.beacon_interval(has_changes, self.beacon_bytes);
            if now >= next_send {
                self.beacon_bytes = self.send_beacons().await;
                sent = now;
                self.send_crash_reports(false);
                self.send_rate_limits(false);
                self.tick();
                continue;
            }
            let wake = next_send.min(
                now + if has_changes || self.shared.suspects.trials.are_open() {
                    POLL_INTERVAL
                } else {
                    POLL_INTERVAL * 4
                },
            );
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep_until(wake) => {}
                () = announced.notified() => {
                    self.send_loads();
                    self.send_new_prompts();
                }
                () = observed.notified() => self.send_crash_reports(true),
                () = limited.notified() => self.send_rate_limits(true),
                () = trials.notified() => {}
                outgoing = self.channels.outgoing.recv() => match outgoing {
                    None => {}
                    Some(Outgoing::Changes(changes, scope)) => self.send_changes(changes, scope),
                    Some(Outgoing::Lookup(service)) => self.broadcast(&Message::Lookup(service)),
                    Some(Outgoing::Cached(prompts)) => {
                        self.send_prompts(&prompts, &self.table.peers());
                    }
                },
                received = self.socket.recv_from(&mut bytes) => {
                    match turn.elapsed() > MAX_TURN_TIME {
                        true => self.receive_late(received, &bytes),
                        false => self.receive(received, &bytes),
                    }
                }
            }
        }
    }

    /// Reads what arrived while this process was paused.
    fn read_backlog(&mut self, bytes: &mut [u8]) {
        for _ in 0..MAX_BACKLOG {
            let received = self.socket.try_recv_from(bytes);
            if received.is_err() {
                return;
            }
            self.receive_late(received, bytes);
        }
    }

    /// Handles a datagram that may have arrived long ago. What tells its age, or holds for a moment, would
    /// be taken for newer than it is; its sender repeats that.
    fn receive_late(&mut self, received: io::Result<(usize, SocketAddr)>, bytes: &[u8]) {
        let Ok((length, _)) = received else {
            return;
        };
        match postcard::from_bytes(&bytes[..length]) {
            Ok(
                Message::Crashes(_)
                | Message::RateLimits(_)
                | Message::Demand(_)
                | Message::Trial(_),
            ) => {}
            _ => self.receive(received, bytes),
        }
    }

    /// Updates everything that depends on which peers are live.
    fn tick(&mut self) {
        let mut fleet = self.shared.fleet.borrow_mut();
        for silent in self.table.expire(clock::now()) {
            note!(
                links::BEACONS_LOST,
                peer = silent,
                alive = self.table.rank().1
            );
            self.informed.remove(&silent);
            fleet.remove_peer(silent);
            self.shared.queue.remove_peer(silent);
            self.shared.demands.remove_peer(silent);
            let bound = self.shared.settings.borrow().bounds.retries();
            let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
            match self.table.has_left(silent) {
                true => retry_budgets.remove_peer(silent, &bound),
                false => retry_budgets.lose_peer(silent, &bound),
            }
        }
        fleet.set_rank(self.table.rank());
        self.shared.queue.set_gateways(self.table.rank().1);
        self.shared.rollouts.set_rank(self.table.rank());
        drop(fleet);
        let settings = self.shared.settings.borrow();
        let local_rank = self.table.local_rank(&settings.data_centre);
        self.shared
            .freshness
            .borrow_mut()
            .set_rank(self.table.rank(), local_rank);
        let return_time = shutdown::Availability::return_time(settings.bounds.grace);
        let returns = self.table.leaving_since();
        let remaining = returns.filter_map(|since| (since + return_time).checked_sub(clock::now()));
        self.shared
            .shutdown
            .set_availability(shutdown::Availability {
                accepting: self.table.rank().1 - 1,
                local: self.table.local_count(&settings.data_centre),
                next_return: remaining.min().map(|remaining| Instant::now() + remaining),
            });
        self.table.add_seeds(&settings.seeds);
        let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
        retry_budgets.set_has_seeds(settings.has_seeds());
    }

    /// Sends a beacon to all peers, and returns its size in bytes.
    async fn send_beacons(&mut self) -> usize {
        self.sequence += 1;
        self.new_addresses = false;
        let settings = self.shared.settings.borrow().clone();
        let mut beacon = Beacon {
            host: settings.host.clone(),
            incarnation: self.incarnation,
            data_centre: settings.data_centre.clone(),
            sequence: self.sequence,
            leaving: self.shared.shutdown.has_begun(),
            addresses: self.table.sample_addresses(),
            peer_count: self.table.count() as u32,
            ..Beacon::default()
        };
        self.shared.fleet.borrow_mut().fill_beacon(&mut beacon);
        self.shared.queue.fill_beacon(&mut beacon);
        self.shared.rollouts.fill_beacon(&mut beacon);
        let bound = settings.bounds.retries();
        let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
        retry_budgets.fill_beacon(&mut beacon, &bound);
        drop(retry_budgets);
        let now = clock::now();
        let claim = self.shared.freshness.borrow().claim();
        self.last_claim = claim.map(|claim| claim.at);
        beacon.timestamp = now.as_millis() as u64;
        beacon.interval_ms = self
            .table
            .beacon_interval(false, self.beacon_bytes)
            .as_millis() as u32;
        beacon.freshness = claim.map(|claim| Age {
            revision: claim.revision,
            // Rounded up: the claim may look older than it is, never newer.
            age_ms: now.saturating_sub(claim.at).as_millis() as u64 + 1,
        });
        shrink_to_fit(&mut beacon);
        let mut size = 0;
        for target in self.table.targets() {
            if target == settings.peers {
                continue;
            }
            beacon.echo = self.table.echo(now, target);
            let message = Message::Beacon(Box::new(beacon.clone()));
            size = self.send_to(&message, target);
        }
        size
    }

    /// Sends a message and returns its size in bytes. A send that fails isn't repeated; the next
    /// message supersedes it.
    fn send_to(&self, message: &Message, target: SocketAddr) -> usize {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return 0;
        };
        let _ = self.socket.try_send_to(&bytes, target);
        bytes.len()
    }

    /// Sends changes to the peers in `scope`, in as many datagrams as needed.
    fn send_changes(&self, changes: Changes, scope: Scope) {
        let data_centre = self.shared.settings.borrow().data_centre.clone();
        let recipients = self.table.recipients(&data_centre, scope);
        for message in beacon::split(changes) {
            for target in &recipients {
                self.send_to(&message, *target);
            }
        }
    }

    /// Sends the changed loads and the recent attempts to the other gateways of the data centre.
    fn send_loads(&mut self) {
        let loads = self.shared.fleet.borrow_mut().take_changed();
        if loads.is_empty() {
            return;
        }
        let settings = self.shared.settings.borrow().clone();
        let bound = settings.bounds.retries();
        let attempts = self.shared.retry_budgets.borrow_mut().attempts(&bound);
        let targets = self.table.local_peers(&settings.data_centre);
        for loads in loads.chunks(MAX_LOADS_PER_MESSAGE) {
            self.load_sequence += 1;
            let message = Message::Loads(Loads {
                incarnation: self.incarnation,
                sequence: self.load_sequence,
                loads: loads.to_vec(),
                attempts: attempts.clone(),
            });
            for target in &targets {
                self.send_to(&message, *target);
            }
        }
    }

    /// Sends the prompts that were processed lately to the other gateways of the data centre.
    fn send_new_prompts(&mut self) {
        let prompts = self.shared.fleet.borrow_mut().take_new_prompts();
        if prompts.is_empty() {
            return;
        }
        let data_centre = self.shared.settings.borrow().data_centre.clone();
        self.send_prompts(&prompts, &self.table.local_peers(&data_centre));
    }

    /// Sends prompts that engines have cached, in as many datagrams as needed.
    fn send_prompts(&self, prompts: &[Prompt], targets: &[SocketAddr]) {
        for prompts in prompts.chunks(MAX_PROMPTS_PER_MESSAGE) {
            let message = Message::CachedPrompts(prompts.to_vec());
            for target in targets {
                self.send_to(&message, *target);
            }
        }
    }

    /// Sends a message to all live peers.
    fn broadcast(&self, message: &Message) {
        for target in self.table.peers() {
            self.send_to(message, target);
        }
    }

    /// Passes on changes from a peer; those from an unknown address are ignored.
    fn forward_changes(&self, from: SocketAddr, changes: Changes) {
        if self.table.contains(from) {
            // The receiver is gone when the process exits.
            let _ = self.channels.changes.send(changes);
        }
    }

    /// Handles a datagram.
    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>, bytes: &[u8]) {
        let Ok((length, from)) = received else {
            return;
        };
        let beacon = match postcard::from_bytes(&bytes[..length]) {
            Ok(Message::Beacon(beacon)) => beacon,
            Ok(Message::Changes(changes)) => {
                self.forward_changes(from, changes);
                return;
            }
            Ok(Message::Fragment(fragment)) => {
                if let Some(changes) = self.reassembly.add(from, fragment) {
                    self.forward_changes(from, changes);
                }
                return;
            }
            Ok(Message::Loads(loads)) => {
                if self.table.contains(from) && self.shared.fleet.borrow_mut().apply_loads(&loads) {
                    let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
                    retry_budgets.apply_attempts(loads.incarnation, &loads.attempts, true);
                }
                return;
            }
            Ok(Message::Lookup(service)) => {
                if self.table.contains(from) {
                    // The receiver is gone when the process exits.
                    let _ = self.channels.lookup_requests.send(service);
                }
                return;
            }
            Ok(Message::CachedPrompts(prompts)) => {
                if self.table.contains(from) {
                    self.shared.fleet.borrow_mut().apply_cached(&prompts);
                }
                return;
            }
            Ok(message @ (Message::Crashes(_) | Message::Demand(_) | Message::RateLimits(_))) => {
                if self.table.contains(from) {
                    self.apply_news(message);
                }
                return;
            }
            Ok(Message::Speeds(speeds)) => {
                if self.table.contains(from) {
                    self.shared.fleet.borrow_mut().apply_speeds(&speeds);
                }
                return;
            }
            Ok(Message::Trial(trial)) => {
                if self.table.contains(from)
                    && let Some(answer) = self.shared.suspects.trials.receive(&trial)
                {
                    self.send_to(&Message::Trial(answer), from);
                }
                return;
            }
            Ok(Message::Introduction(addresses)) => {
                self.table.add_introduced(clock::now(), from, &addresses);
                return;
            }
            Err(_) => {
                note!(links::MALFORMED, from = from.to_string().as_str());
                return;
            }
        };
        let Receipt::Accepted { ended, returned } = self.table.receive(clock::now(), from, &beacon)
        else {
            return;
        };
        let addresses = self.table.introduction(clock::now(), from);
        if !addresses.is_empty() {
            self.send_to(&Message::Introduction(addresses), from);
        }
        if returned {
            note!(
                links::BEACONS_RECEIVED,
                peer = beacon.incarnation,
                host = beacon.host.as_str(),
                alive = self.table.rank().1
            );
            self.informed.remove(&beacon.incarnation);
        }
        self.inform(from, &beacon);
        let bound = self.shared.settings.borrow().bounds.retries();
        let mut fleet = self.shared.fleet.borrow_mut();
        if let Some(ended) = ended {
            self.informed.remove(&ended);
            fleet.remove_peer(ended);
            self.shared.queue.remove_peer(ended);
            self.shared.demands.remove_peer(ended);
            let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
            retry_budgets.remove_peer(ended, &bound);
        }
        fleet.apply_beacon(&beacon);
        self.shared.queue.apply_beacon(&beacon);
        self.shared.rollouts.apply_beacon(&beacon);
        let is_local = beacon.data_centre == self.shared.settings.borrow().data_centre;
        let received_for = self.table.received_for(&beacon);
        let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
        retry_budgets.apply_beacon(&beacon, is_local, received_for);
        if let Some(claim) = beacon.claim(self.incarnation) {
            self.shared
                .freshness
                .borrow_mut()
                .receive(clock::now(), claim);
        }
    }
}

/// Drops the smallest loads and the last failures, a quarter at a time, until the beacon fits a
/// datagram.
fn shrink_to_fit(beacon: &mut Beacon) {
    let loads = &mut beacon.loads;
    loads.sort_unstable_by_key(|load| std::cmp::Reverse(load.prefill_tokens + load.tokens));
    while postcard::to_stdvec(&*beacon)
        .is_ok_and(|bytes| bytes.len() > MAX_DATAGRAM_BYTES - ECHO_BYTES)
    {
        let keep = beacon.loads.len().max(beacon.failures.len()) * 3 / 4;
        beacon.loads.truncate(keep);
        beacon.failures.truncate(keep);
        if keep == 0 {
            return;
        }
    }
}
