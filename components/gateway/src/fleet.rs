//! The backend servers: where they are, and what is sent to them.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
pub use routing::placement::Suspicion;
use routing::{
    Outcome,
    Part,
    Placement,
    placement::{
        Choice,
        Request,
        Versions,
        Why,
        Work, //
    }, //
};

use spread::beacon::{
    self,
    Beacon,
    Incarnation,
    Load,
    Loads,
    Loss,
    Number,
    Read, //
};

use tokio::sync::Notify;

use crate::{
    clock,
    update::Registration, //
};

/// A load for a log line: three places tell all there is to see.
pub fn rounded(load: f64) -> f64 {
    (load * 1000.0).round() / 1000.0
}

/// What a connection that didn't come about says of its server.
pub fn suspicion(error: &upstream::Error) -> Suspicion {
    match error {
        upstream::Error::Timeout => Suspicion::Dark,
        _ => Suspicion::Refused,
    }
}

/// Prompts that are told to peers; those that were read last.
const PROMPTS: usize = 24;

/// Age up to which they are told: runs usually end within, and their callers come back at once.
const TOLD: Duration = Duration::from_secs(12);

/// Servers that are remembered as over. Runs last minutes at most.
const OVER: usize = 256;

/// Backend servers that are known.
pub struct Fleet {
    placement: Placement,
    addresses: HashMap<Server, SocketAddr>,
    /// Servers by their numbers in beacons.
    numbers: HashMap<Number, Server>,
    /// Work changed since the last beacon.
    changed: bool,
    /// Servers at which own work changed since peers of the data centre were told.
    changed_at: HashSet<Server>,
    /// Wakes who tells them.
    wake: Rc<Notify>,
    /// Newest sequence number of each peer's messages on its work.
    loads_sequences: HashMap<Incarnation, u64>,
    /// Prompts that were read for this entry: the last part, the server, and when that was.
    prompts: VecDeque<(Part, Server, Clock)>,
    /// Servers that were found to be over, as another stands at their address; the newest last.
    over: VecDeque<Server>,
    rng: SmallRng,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// Its name.
    pub server: Server,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: Version,
    /// Where it is.
    pub data_centre: DataCentre,
    /// What it was chosen by.
    pub why: Why,
}

impl Fleet {
    /// A fleet without servers.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            placement: Placement::default(),
            addresses: HashMap::new(),
            numbers: HashMap::new(),
            changed: false,
            changed_at: HashSet::new(),
            wake: Rc::default(),
            loads_sequences: HashMap::new(),
            prompts: VecDeque::new(),
            over: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes a registration that was written at `since` or later; tells whether it is news.
    pub fn put(&mut self, registration: Registration, since: Clock) -> bool {
        let Registration {
            server,
            address,
            facts,
            leaving,
        } = registration;
        let same = self.addresses.get(&server) == Some(&address)
            && self.placement.facts(&server) == Some(&facts)
            && self.placement.open(&server) != leaving;
        self.placement.heard(since, &server);
        if same {
            return false;
        }
        // A server that starts anew has a new name and its old address.
        let before = self.addresses.iter().find(|(_, known)| **known == address);
        let before = before.map(|(name, _)| name.clone());
        if let Some(before) = before.filter(|before| *before != server) {
            self.replaced(&before);
        }
        self.placement.put(clock::now(), &server, facts, leaving);
        self.numbers.insert(beacon::number(&server), server.clone());
        self.addresses.insert(server, address);
        true
    }

    /// Notes that another server stands at a server's address: what ran there is lost.
    pub fn replaced(&mut self, server: &Server) -> Option<SocketAddr> {
        self.over.push_back(server.clone());
        if self.over.len() > OVER {
            self.over.pop_front();
        }
        self.remove(server)
    }

    /// Whether a server is over, as another stands at its address.
    pub fn is_over(&self, server: &Server) -> bool {
        self.over.contains(server)
    }

    /// Forgets a server.
    pub fn remove(&mut self, server: &Server) -> Option<SocketAddr> {
        self.placement.remove(server);
        self.numbers.remove(&beacon::number(server));
        self.addresses.remove(server)
    }

    /// The servers of a service that can be used.
    pub fn of(&self, service: &Service) -> Vec<Chosen> {
        let mut all = Vec::new();
        for server in self.placement.servers() {
            let facts = self.placement.facts(server);
            if facts.is_none_or(|facts| facts.service != *service) || !self.usable(server) {
                continue;
            }
            let why = Why::default();
            let server = server.clone();
            all.extend(self.chosen(Choice { server, why }));
        }
        all
    }

    /// How many more requests with some work the servers of a service could begin now, with their
    /// first events within a time.
    pub fn room(
        &self,
        service: &Service,
        versions: Versions<'_>,
        work: Work,
        within: Duration,
    ) -> u32 {
        let now = clock::now();
        self.placement.room(now, service, versions, work, within)
    }

    /// Part of the memory of a service's servers that is taken.
    pub fn fill(&self, service: &Service) -> f64 {
        self.placement.fill(clock::now(), service)
    }

    /// Chooses a server for work.
    pub fn choose(&mut self, request: &Request<'_>) -> Option<Chosen> {
        let now = clock::now();
        let choice = self.placement.choose(now, request, &mut self.rng);
        let choice = match (choice, request.versions) {
            // A version that should get samples may have no server yet; any other can serve them.
            (None, Versions::Only(version)) => {
                let others = Request {
                    versions: Versions::Not(version),
                    ..request.clone()
                };
                self.placement.choose(now, &others, &mut self.rng)
            }
            (choice, _) => choice,
        };
        self.chosen(choice?)
    }

    /// Chooses a server for the copy of a run's memory, if one has room.
    pub fn choose_backup(&mut self, request: &Request<'_>) -> Option<Chosen> {
        let now = clock::now();
        let choice = self.placement.choose_backup(now, request, &mut self.rng)?;
        self.chosen(choice)
    }

    fn chosen(&self, choice: Choice) -> Option<Chosen> {
        let Choice { server, why } = choice;
        let address = *self.addresses.get(&server)?;
        let facts = self.placement.facts(&server)?;
        Some(Chosen {
            version: facts.version.clone(),
            data_centre: facts.data_centre.clone(),
            server,
            address,
            why,
        })
    }

    /// Usual time of a plain request of a service; 0 when nothing is known.
    pub fn usual(&self, service: &Service) -> Duration {
        self.placement.usual(service).unwrap_or_default()
    }

    /// Time that a first event of work that was just sent usually takes; 0 when nothing is known.
    pub fn expected(&self, chosen: &Chosen) -> Duration {
        self.placement.expected(&chosen.server).unwrap_or_default()
    }

    /// The same at a server of the same service that has nothing else to read.
    pub fn alone(&self, chosen: &Chosen, unread: u64) -> Duration {
        self.placement
            .alone(&chosen.server, unread)
            .unwrap_or_default()
    }

    /// Tokens at the beginning of a prompt that a server is believed to have.
    pub fn known(&self, parts: &[(Part, u32)], server: &Server) -> u64 {
        self.placement.known(clock::now(), parts, server)
    }

    /// Notes that a server has read a prompt, and may have it for a while.
    pub fn has_read(&mut self, parts: &[(Part, u32)], server: &Server) {
        let now = clock::now();
        self.placement.has_read(now, parts, server);
        let Some((last, _)) = parts.last() else {
            return;
        };
        self.prompts.retain(|(part, _, _)| part != last);
        self.prompts.push_back((*last, server.clone(), now));
        if self.prompts.len() > PROMPTS {
            self.prompts.pop_front();
        }
        self.changed = true;
    }

    /// Whether a server is believed to have a part of a prompt.
    pub fn found(&self, part: (Part, u32)) -> bool {
        let now = clock::now();
        let mut servers = self.placement.servers();
        servers.any(|server| self.placement.known(now, &[part], server) > 0)
    }

    /// Notes what a server says that its cache holds.
    pub fn holds(&mut self, parts: &[(Part, u32)], server: &Server) {
        self.placement.has_read(clock::now(), parts, server);
    }

    /// Notes that a server should get no new work for a while.
    pub fn lost(&mut self, server: &Server, suspicion: Suspicion) {
        self.placement.lost(clock::now(), server, suspicion);
        self.changed = true;
    }

    /// Time since a server, or its data centre, was last found dark.
    pub fn doubted(&self, server: &Server) -> Option<Duration> {
        let now = clock::now();
        let at = self.placement.doubted(now, server)?;
        Some(now.saturating_sub(at))
    }

    /// Notes that a server answered.
    pub fn alive(&mut self, server: &Server) {
        self.placement.alive(clock::now(), server);
    }

    /// Whether a server takes work, as far as its registration says.
    pub fn open(&self, server: &Server) -> bool {
        self.placement.open(server)
    }

    /// Whether a server takes work and can be reached as far as is known.
    pub fn usable(&self, server: &Server) -> bool {
        self.placement.usable(clock::now(), server)
    }
}

fn load(server: &Server, work: Work) -> Load {
    Load {
        server: beacon::number(server),
        requests: work.requests,
        tokens: work.tokens,
        unread: work.unread,
    }
}

fn work(load: &Load) -> Work {
    Work {
        requests: load.requests,
        tokens: load.tokens,
        unread: load.unread,
    }
}

fn told(suspicion: Suspicion) -> beacon::Suspicion {
    match suspicion {
        Suspicion::Refused => beacon::Suspicion::Refused,
        Suspicion::Dark => beacon::Suspicion::Dark,
        Suspicion::Broke => beacon::Suspicion::Broke,
        Suspicion::Full => beacon::Suspicion::Full,
    }
}

fn heard(suspicion: beacon::Suspicion) -> Suspicion {
    match suspicion {
        beacon::Suspicion::Refused => Suspicion::Refused,
        beacon::Suspicion::Dark => Suspicion::Dark,
        beacon::Suspicion::Broke => Suspicion::Broke,
        beacon::Suspicion::Full => Suspicion::Full,
    }
}

// What peers tell one another.
impl Fleet {
    /// Work and losses for a beacon.
    pub fn tell(&mut self, beacon: &mut Beacon) {
        self.changed = false;
        let own = self.placement.own();
        beacon
            .loads
            .extend(own.map(|(server, work)| load(server, work)));
        self.tell_prompts(beacon);
        for (server, age, suspicion) in self.placement.losses(clock::now()) {
            beacon.losses.push(Loss {
                server: beacon::number(server),
                age_ms: age.as_millis() as u32,
                suspicion: told(suspicion),
            });
        }
    }

    fn tell_prompts(&self, beacon: &mut Beacon) {
        let now = clock::now();
        for (part, server, at) in &self.prompts {
            if now.saturating_sub(*at) > TOLD {
                continue;
            }
            beacon.prompts.push(Read {
                part: *part,
                server: beacon::number(server),
            });
        }
    }

    /// Notes where this entry is.
    pub fn set_home(&mut self, home: &DataCentre) {
        self.placement.set_home(home);
    }

    /// What is notified when own work changes.
    pub fn wake(&self) -> Rc<Notify> {
        self.wake.clone()
    }

    /// Own work at servers where it changed since the last call, for peers of the data centre. In a
    /// small fleet beacons are quick enough.
    pub fn take_changed(&mut self) -> Vec<Load> {
        let changed = std::mem::take(&mut self.changed_at);
        if !self.divided() {
            return Vec::new();
        }
        let load = |server: &Server| load(server, self.placement.own_work(server));
        changed.iter().map(load).collect()
    }

    fn mark_changed(&mut self, server: &Server) {
        self.changed = true;
        self.changed_at.insert(server.clone());
        self.wake.notify_one();
    }

    /// Takes the work of a peer of the data centre; `false` when newer work is known.
    pub fn apply_loads(&mut self, message: &Loads) -> bool {
        let newest = self.loads_sequences.entry(message.incarnation).or_default();
        if *newest >= message.sequence {
            return false;
        }
        *newest = message.sequence;
        for load in &message.loads {
            if let Some(server) = self.numbers.get(&load.server) {
                self.placement
                    .set_peer_work(message.incarnation, server, work(load));
            }
        }
        true
    }

    /// Takes what engines told a peer that they hold.
    pub fn held(&mut self, reads: &[Read]) {
        let now = clock::now();
        for read in reads {
            if let Some(server) = self.numbers.get(&read.server) {
                self.placement.has_read(now, &[(read.part, 0)], server);
            }
        }
    }

    /// Takes what a peer tells.
    pub fn hear(&mut self, beacon: &Beacon) {
        let mut loads = HashMap::with_capacity(beacon.loads.len());
        for load in &beacon.loads {
            let Some(server) = self.numbers.get(&load.server) else {
                continue;
            };
            loads.insert(server.clone(), work(load));
        }
        self.placement.peer(beacon.incarnation, loads);
        self.held(&beacon.prompts);
        let now = clock::now();
        for loss in &beacon.losses {
            let Some(server) = self.numbers.get(&loss.server) else {
                continue;
            };
            let at = now.saturating_sub(Duration::from_millis(u64::from(loss.age_ms)));
            self.placement.peer_lost(at, server, heard(loss.suspicion));
        }
    }

    /// Forgets the work of a peer that ended or fell silent.
    pub fn forget(&mut self, peer: Incarnation) {
        self.loads_sequences.remove(&peer);
        self.placement.forget(peer);
    }

    /// Notes this entry's place among all, and their number.
    pub fn stand(&mut self, place: (usize, usize)) {
        self.placement.stand(place);
    }

    /// This entry's place among all, and their number.
    pub fn place(&self) -> (usize, usize) {
        self.placement.place()
    }

    /// Whether the entries are so many that each has a part of the servers.
    pub fn divided(&self) -> bool {
        self.placement.divided()
    }

    /// Whether a server is of this entry's part.
    pub fn owns(&self, server: &Server) -> bool {
        self.placement.owns(server)
    }

    /// Whether there is news for peers.
    pub fn changed(&self) -> bool {
        self.changed
    }
}

/// Work at a server, counted until it is dropped.
pub struct Charge {
    fleet: Rc<RefCell<Fleet>>,
    server: Server,
    work: Work,
    /// Tokens of prompts that were to be read at the server when the work was sent, its own too.
    ahead: u64,
    outcome: Outcome,
}

impl Charge {
    /// Counts work that is about to be sent.
    pub fn new(fleet: &Rc<RefCell<Fleet>>, server: &Server, work: Work) -> Charge {
        let mut inner = fleet.borrow_mut();
        inner.placement.sent(clock::now(), server, work);
        inner.mark_changed(server);
        let ahead = inner.placement.unread(server);
        drop(inner);
        Charge {
            fleet: fleet.clone(),
            server: server.clone(),
            work,
            ahead,
            outcome: Outcome::Cancelled,
        }
    }

    /// Notes that the prompt was read, a time after it was sent.
    pub fn read(&mut self, time: Duration) {
        let unread = std::mem::take(&mut self.work.unread);
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        fleet
            .placement
            .read(clock::now(), &self.server, unread, self.ahead, time);
    }

    /// Notes how it ended; without this it counts as cancelled.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        let placement = &mut fleet.placement;
        placement.done(clock::now(), &self.server, self.work, self.outcome);
    }
}
