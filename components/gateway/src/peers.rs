//! Beacons between gateways, over UDP.

use std::{
    cell::RefCell,
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
    departure::Departure,
    fleet::Fleet,
    moving::Moving,
    queue::Queue,
    quotas::Quotas,
    settings::Settings, //
};

/// Bytes that are kept free for the echo and the message's kind.
const ECHO_BYTES: usize = 34;

/// Servers in one message on work that changed: with its frame it fits a datagram.
const MAX_LOADS: usize = 50;

/// Prompts in one datagram: with their frame they fit it.
const MAX_READS: usize = 80;

/// Pace at which it is looked whether there is news.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(30);

/// The peers' side of a gateway.
pub struct Peers {
    socket: UdpSocket,
    table: Table,
    shared: Shared,
    told: Option<Clock>,
    exchange: Exchange,
    reassembly: Reassembly,
    incarnation: u64,
    sequence: u64,
    /// Sequence number of messages on work that changed.
    loads_sequence: u64,
    /// Bytes of the last beacon.
    size: usize,
    /// There are addresses that no beacon went to yet.
    grown: bool,
}

/// What peers tell one another of.
pub struct Shared {
    /// Work at servers, and servers that were lost.
    pub fleet: Rc<RefCell<Fleet>>,
    /// How current what is known is.
    pub fresh: Rc<RefCell<Freshness>>,
    /// Retries.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Requests that wait.
    pub queue: Rc<Queue>,
    /// Moves between versions.
    pub moving: Rc<Moving>,
    /// The process's way out.
    pub departure: Rc<Departure>,
    /// Settings of the process.
    pub settings: Rc<RefCell<Rc<Settings>>>,
}

/// What this process has for its peers besides beacons.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// What it heard from the store.
    Changes(Changes, Scope),
    /// A caller came back whose prompt may be at any engine of a service.
    Lookup(Id),
    /// What engines hold, as they said.
    Held(Vec<Prompt>),
}

/// The other side of what goes to peers, and comes from them.
pub struct Exchange {
    /// What is for the peers.
    pub out: UnboundedReceiver<Outgoing>,
    /// What peers heard from the store.
    pub inward: UnboundedSender<Changes>,
    /// Services whose engines peers want to be asked.
    pub lookups: UnboundedSender<Id>,
}

impl Peers {
    /// Prepares beacons on a socket.
    pub fn new(socket: UdpSocket, shared: Shared, exchange: Exchange) -> Peers {
        let incarnation = rand::random();
        let seeds = shared.settings.borrow().seeds.clone();
        Peers {
            socket,
            table: Table::new(incarnation, seeds),
            shared,
            told: None,
            exchange,
            reassembly: Reassembly::default(),
            incarnation,
            sequence: 0,
            loads_sequence: 0,
            size: 0,
            grown: true,
        }
    }

    /// Sends and takes beacons until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let changed = self.shared.fleet.borrow().wake();
        let mut sent = Instant::now();
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let now = Instant::now();
            let confirmed = self.shared.fresh.borrow().confirmed_at();
            self.grown |= self.table.take_new_candidates();
            let news = self.grown || self.shared.fleet.borrow().changed() || confirmed != self.told;
            let due = sent + self.table.beacon_interval(news, self.size);
            if now >= due {
                self.size = self.send().await;
                sent = now;
                self.tick();
                continue;
            }
            let wake = due.min(
                now + if news {
                    POLL_INTERVAL
                } else {
                    POLL_INTERVAL * 4
                },
            );
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep_until(wake) => {}
                () = changed.notified() => self.send_loads(),
                outgoing = self.exchange.out.recv() => match outgoing {
                    None => {}
                    Some(Outgoing::Changes(changes, reach)) => self.pass_on(changes, reach),
                    Some(Outgoing::Lookup(service)) => self.tell(&Message::Lookup(service)),
                    Some(Outgoing::Held(reads)) => {
                        for reads in reads.chunks(MAX_READS) {
                            self.tell(&Message::CachedPrompts(reads.to_vec()));
                        }
                    }
                },
                received = self.socket.recv_from(&mut bytes) => self.take(received, &bytes),
            }
        }
    }

    fn tick(&mut self) {
        let mut fleet = self.shared.fleet.borrow_mut();
        for silent in self.table.expire(clock::now()) {
            note!(links::SILENT, peer = silent, alive = self.table.rank().1);
            fleet.forget(silent);
            self.shared.queue.forget(silent);
            self.shared.quotas.borrow_mut().forget(silent);
        }
        fleet.stand(self.table.rank());
        self.shared.queue.stand(self.table.rank().1);
        self.shared.moving.stand(self.table.rank());
        drop(fleet);
        let settings = self.shared.settings.borrow();
        let near = self.table.local_rank(&settings.data_centre);
        self.shared
            .fresh
            .borrow_mut()
            .set_rank(self.table.rank(), near);
        let neighbours = self.table.local_count(&settings.data_centre);
        self.shared.departure.set_neighbours(neighbours);
        self.table.add_seeds(&settings.seeds);
    }

    async fn send(&mut self) -> usize {
        self.sequence += 1;
        self.grown = false;
        let settings = self.shared.settings.borrow().clone();
        let mut beacon = Beacon {
            host: settings.host.clone(),
            incarnation: self.incarnation,
            data_centre: settings.data_centre.clone(),
            sequence: self.sequence,
            leaving: self.shared.departure.begun(),
            addresses: self.table.sample_addresses(),
            peer_count: self.table.count() as u32,
            ..Beacon::default()
        };
        self.shared.fleet.borrow_mut().tell(&mut beacon);
        self.shared.queue.tell(&mut beacon);
        self.shared.moving.tell(&mut beacon);
        let bound = settings.bounds.retries();
        beacon.sends = self.shared.quotas.borrow_mut().sends(&bound);
        let now = clock::now();
        let claim = self.shared.fresh.borrow().claim();
        self.told = claim.map(|claim| claim.at);
        beacon.timestamp = now.as_millis() as u64;
        beacon.interval_ms = self.table.beacon_interval(false, self.size).as_millis() as u32;
        beacon.freshness = claim.map(|claim| Age {
            revision: claim.revision,
            // Rounded up: it may look older than it is, never newer.
            ms: now.saturating_sub(claim.at).as_millis() as u64 + 1,
        });
        fit(&mut beacon);
        let mut size = 0;
        for target in self.table.targets() {
            if target == settings.peers {
                continue;
            }
            beacon.echo = self.table.echo(now, target);
            let message = Message::Beacon(Box::new(beacon.clone()));
            size = self.post(&message, target);
        }
        size
    }

    /// Sends a message; returns its size. A peer that can't be reached hears the next one.
    fn post(&self, message: &Message, target: SocketAddr) -> usize {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return 0;
        };
        let _ = self.socket.try_send_to(&bytes, target);
        bytes.len()
    }

    /// Passes changes on to the peers, in as many datagrams as it takes.
    fn pass_on(&self, changes: Changes, reach: Scope) {
        let home = self.shared.settings.borrow().data_centre.clone();
        let audience = self.table.recipients(&home, reach);
        for message in beacon::split(changes) {
            for target in &audience {
                self.post(&message, *target);
            }
        }
    }

    /// Tells the data centre's other processes of work that changed, and of retries.
    fn send_loads(&mut self) {
        let loads = self.shared.fleet.borrow_mut().take_changed();
        if loads.is_empty() {
            return;
        }
        let settings = self.shared.settings.borrow().clone();
        let bound = settings.bounds.retries();
        let sends = self.shared.quotas.borrow_mut().sends(&bound);
        let targets = self.table.local_peers(&settings.data_centre);
        for loads in loads.chunks(MAX_LOADS) {
            self.loads_sequence += 1;
            let message = Message::Loads(Loads {
                incarnation: self.incarnation,
                sequence: self.loads_sequence,
                loads: loads.to_vec(),
                sends: sends.clone(),
            });
            for target in &targets {
                self.post(&message, *target);
            }
        }
    }

    /// Sends a message to all peers that are heard.
    fn tell(&self, message: &Message) {
        for target in self.table.peers() {
            self.post(message, target);
        }
    }

    /// Takes changes from a peer that is heard.
    fn heard(&self, from: SocketAddr, changes: Changes) {
        if self.table.contains(from) {
            // Nobody listens any more when the process ends.
            let _ = self.exchange.inward.send(changes);
        }
    }

    fn take(&mut self, received: io::Result<(usize, SocketAddr)>, bytes: &[u8]) {
        let Ok((length, from)) = received else {
            return;
        };
        let beacon = match postcard::from_bytes(&bytes[..length]) {
            Ok(Message::Beacon(beacon)) => beacon,
            Ok(Message::Changes(changes)) => {
                self.heard(from, changes);
                return;
            }
            Ok(Message::Fragment(fragment)) => {
                if let Some(changes) = self.reassembly.add(from, fragment) {
                    self.heard(from, changes);
                }
                return;
            }
            Ok(Message::Loads(loads)) => {
                if self.table.contains(from) && self.shared.fleet.borrow_mut().apply_loads(&loads) {
                    let mut quotas = self.shared.quotas.borrow_mut();
                    quotas.hear(loads.incarnation, &loads.sends, true);
                }
                return;
            }
            Ok(Message::Lookup(service)) => {
                if self.table.contains(from) {
                    // Nobody asks any more when the process ends.
                    let _ = self.exchange.lookups.send(service);
                }
                return;
            }
            Ok(Message::CachedPrompts(reads)) => {
                if self.table.contains(from) {
                    self.shared.fleet.borrow_mut().held(&reads);
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
            self.post(&Message::Introduction(addresses), from);
        }
        if returned {
            note!(
                links::HEARD,
                peer = beacon.incarnation,
                host = beacon.host.as_str(),
                alive = self.table.rank().1
            );
        }
        let mut fleet = self.shared.fleet.borrow_mut();
        if let Some(ended) = ended {
            fleet.forget(ended);
            self.shared.queue.forget(ended);
            self.shared.quotas.borrow_mut().forget(ended);
        }
        fleet.hear(&beacon);
        self.shared.queue.hear(&beacon);
        self.shared.moving.hear(&beacon);
        let near = beacon.data_centre == self.shared.settings.borrow().data_centre;
        let mut quotas = self.shared.quotas.borrow_mut();
        quotas.hear(beacon.incarnation, &beacon.sends, near);
        if let Some(claim) = beacon.claim(self.incarnation) {
            self.shared.fresh.borrow_mut().receive(clock::now(), claim);
        }
    }
}

/// Leaves out the smallest loads of a beacon that is too long for a datagram.
fn fit(beacon: &mut Beacon) {
    let loads = &mut beacon.loads;
    loads.sort_unstable_by_key(|load| std::cmp::Reverse(load.unread + load.tokens));
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
