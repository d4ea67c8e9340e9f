//! The backend servers: where they are, and what is sent to them.

use std::{
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
    Id,
    Incarnation, //
};
use tokio::sync::Notify;

use crate::{
    clock,
    update::Registration, //
};

mod charge;
mod exchange;

pub use charge::Charge;

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

/// Servers that are remembered as over. Runs last minutes at most.
const OVER: usize = 256;

/// Backend servers that are known.
pub struct Fleet {
    placement: Placement,
    addresses: HashMap<Server, SocketAddr>,
    /// The same the other way round: who stands at an address.
    standing: HashMap<SocketAddr, Server>,
    /// Servers by their numbers in beacons.
    numbers: HashMap<Id, Server>,
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
            standing: HashMap::new(),
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
        let before = self.standing.get(&address).cloned();
        if let Some(before) = before.filter(|before| *before != server) {
            self.replaced(&before);
        }
        self.placement.put(clock::now(), &server, facts, leaving);
        self.numbers.insert(beacon::id(&server), server.clone());
        if let Some(moved) = self.addresses.insert(server.clone(), address) {
            self.standing.remove(&moved);
        }
        self.standing.insert(address, server);
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
        self.numbers.remove(&beacon::id(server));
        let address = self.addresses.remove(server)?;
        self.standing.remove(&address);
        Some(address)
    }

    /// The servers of a service that can be used.
    pub fn of(&self, service: &Service) -> Vec<Chosen> {
        let serves = |server: &&Server| {
            let facts = self.placement.facts(server);
            facts.is_some_and(|facts| facts.service == *service)
        };
        let servers = self.placement.servers().filter(serves);
        servers.filter_map(|server| self.named(server)).collect()
    }

    /// Whether any server of a service is known.
    pub fn serves(&self, service: &Service) -> bool {
        let mut servers = self.placement.servers();
        servers.any(|server| {
            let facts = self.placement.facts(server);
            facts.is_some_and(|facts| facts.service == *service)
        })
    }

    /// A server by its name, if it can be used.
    pub fn named(&self, server: &Server) -> Option<Chosen> {
        if !self.usable(server) {
            return None;
        }
        self.chosen(Choice {
            server: server.clone(),
            why: Why::default(),
        })
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
