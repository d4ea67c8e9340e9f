//! Known backend servers, and the work that is sent to them.

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

use contract::poison::evidence::ServerIncarnation;
use moves::rollout::Servers;
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
        Score,
        Versions,
        Work, //
    }, //
};
use spread::beacon::{
    self,
    Id,
    Incarnation,
    Prompt, //
};
use tokio::sync::Notify;

use crate::{
    announcements::Announcements,
    clock,
    update::Registration, //
};

mod claims;
mod exchange;
mod in_flight;
mod notice;
mod rate_limit;
mod speed;
mod versions;

use claims::Claims;
pub use in_flight::InFlight;
use versions::Versions as VersionCounts;

/// Rounds a load to three decimal places for a log line.
pub fn round_load(load: f64) -> f64 {
    (load * 1000.0).round() / 1000.0
}

/// Returns the suspicion that a failed connection raises against its server.
pub fn suspicion_for(error: &upstream::Error) -> Suspicion {
    match error {
        upstream::Error::Timeout => Suspicion::Unresponsive,
        _ => Suspicion::Refused,
    }
}

/// Maximum number of recently processed prompts that are sent to peers.
const MAX_RECENT_PROMPTS: usize = 24;

/// Maximum number of replaced servers that are remembered. Runs last minutes at most.
const MAX_REPLACED_SERVERS: usize = 256;

/// Known backend servers.
pub struct Fleet {
    placement: Placement,
    claims: Claims,
    versions: VersionCounts,
    /// Addresses of the servers in use.
    addresses: HashMap<Server, SocketAddr>,
    /// Reverse index of `addresses`.
    servers_by_address: HashMap<SocketAddr, Server>,
    /// Start times of the servers' processes, where they state them.
    started_ms: HashMap<Server, u64>,
    /// Servers by their ids in beacons.
    servers_by_id: HashMap<Id, Server>,
    /// Whether work changed since the last beacon.
    changed: bool,
    /// Servers whose work of this gateway changed since the last message to peers of the data
    /// centre.
    changed_servers: HashSet<Server>,
    /// Wakes the task that sends loads and new prompts to those peers.
    announce_notify: Rc<Notify>,
    /// Highest sequence number of each peer's load messages.
    load_sequences: HashMap<Incarnation, u64>,
    /// Prompts that were processed for this gateway: last part, server and time.
    prompts: VecDeque<(Part, Server, Clock)>,
    /// Prompts that were processed since the last message to peers of the data centre.
    new_prompts: Vec<Prompt>,
    /// Limits that servers named or lifted in answers to this gateway.
    rate_limit_news: Announcements<(Server, Option<f64>)>,
    /// Servers whose address was taken by another one, with the address and the start of the process,
    /// oldest first.
    replaced: VecDeque<(Server, SocketAddr, ServerIncarnation)>,
    /// When each server last sent anything to this gateway.
    heard: HashMap<Server, Clock>,
    /// Bound on the log lines about the servers' speeds.
    speed_log: speed::LogBound,
    rng: SmallRng,
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the server.
    pub server: Server,
    /// Address of the server.
    pub address: SocketAddr,
    /// Version of the service that it runs.
    pub version: Version,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Score by which it was chosen.
    pub score: Score,
    /// Start of its process that was known when it was chosen; 0 when it is unknown.
    pub incarnation: ServerIncarnation,
}

/// What the registry says of a server since it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// It is registered as it was.
    Same,
    /// It leaves.
    Leaving,
    /// Its process has started again, or another server has its address.
    Restarted,
    /// It isn't registered.
    Removed,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            placement: Placement::default(),
            claims: Claims::default(),
            versions: VersionCounts::default(),
            addresses: HashMap::new(),
            servers_by_address: HashMap::new(),
            started_ms: HashMap::new(),
            servers_by_id: HashMap::new(),
            changed: false,
            changed_servers: HashSet::new(),
            announce_notify: Rc::default(),
            load_sequences: HashMap::new(),
            prompts: VecDeque::new(),
            new_prompts: Vec::new(),
            rate_limit_news: Announcements::default(),
            replaced: VecDeque::new(),
            heard: HashMap::new(),
            speed_log: speed::LogBound::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a registration that was written at `since` or later; returns whether it changed
    /// anything.
    pub fn register(&mut self, registration: Registration, since: Clock) -> bool {
        let server = registration.server.clone();
        let addresses = self.claims.put(registration);
        let mut changed = false;
        for address in addresses {
            changed |= self.settle(address);
        }
        self.placement.record_heartbeat(since, &server);
        changed
    }

    /// Sets the services of the operator's document: a registration of another service takes no server's
    /// address.
    pub fn set_services(&mut self, services: HashSet<Service>) {
        for address in self.claims.set_services(services) {
            self.settle(address);
        }
    }

    /// Uses the server that holds an address, and no other one there; returns whether that changed
    /// anything.
    fn settle(&mut self, address: SocketAddr) -> bool {
        let holder = self.claims.holder(clock::now(), address).cloned();
        let previous = self.servers_by_address.get(&address).cloned();
        let is_other = |previous: &Server| {
            holder
                .as_ref()
                .is_none_or(|holder| holder.server != *previous)
        };
        if let Some(previous) = previous.filter(is_other) {
            if holder.is_some() {
                self.record_replaced(&previous);
            }
            self.withdraw(&previous);
        }
        holder.is_some_and(|holder| self.use_server(holder))
    }

    /// Uses a registered server; returns whether that changed anything.
    fn use_server(&mut self, registration: Registration) -> bool {
        let Registration {
            server,
            address,
            spec,
            leaving,
            started_ms,
            revision: _,
        } = registration;
        if let Some(started_ms) = started_ms {
            let before = self.started_ms.insert(server.clone(), started_ms);
            if before.is_some_and(|before| before != started_ms) {
                self.placement.reset_speed(&server);
            }
            self.placement.set_started(&server, started_ms);
        }
        let unchanged = self.addresses.get(&server) == Some(&address)
            && self.placement.spec(&server) == Some(&spec)
            && self.placement.is_registered_as_leaving(&server) == leaving;
        if unchanged {
            return false;
        }
        self.discount_version(&server);
        if !leaving {
            self.versions.add(&spec.service, &spec.version);
        }
        self.placement.upsert(clock::now(), &server, spec, leaving);
        if let Some(started_ms) = started_ms {
            self.placement.set_started(&server, started_ms);
        }
        self.servers_by_id
            .insert(beacon::id(&server), server.clone());
        if let Some(old_address) = self.addresses.insert(server.clone(), address)
            && self.servers_by_address.get(&old_address) == Some(&server)
        {
            self.servers_by_address.remove(&old_address);
        }
        let run = (server.clone(), address, self.incarnation(&server));
        self.replaced.retain(|replaced| *replaced != run);
        self.servers_by_address.insert(address, server);
        true
    }

    /// Records that the server at a target's address said that it is another one. Returns the time for
    /// which the target isn't used, or `None` if it has another address by now.
    ///
    /// The answer may be wrong, so that the runs there go on unless the registry has another server at
    /// the address.
    pub fn deny(&mut self, target: &Target) -> Option<Duration> {
        let server = &target.server;
        if self.addresses.get(server) != Some(&target.address) {
            return None;
        }
        let time = self.claims.deny(clock::now(), server)?;
        self.withdraw(server);
        self.settle(target.address);
        Some(time)
    }

    /// Uses a target again that was denied. Returns how long that has to wait still, if it has to.
    pub fn reinstate(&mut self, target: &Target) -> Option<Duration> {
        let wait = self.claims.denied_for(clock::now(), &target.server);
        if wait.is_none() {
            self.settle(target.address);
        }
        wait
    }

    /// Records that a target answered as the server that it is registered as.
    pub fn confirm(&mut self, target: &Target) {
        if self.addresses.get(&target.server) == Some(&target.address) {
            self.claims.confirm(&target.server);
        }
    }

    /// Records that the runs at a server are lost, as another one has its address.
    fn record_replaced(&mut self, server: &Server) {
        let Some(address) = self.addresses.get(server).copied() else {
            return;
        };
        let run = (server.clone(), address, self.incarnation(server));
        self.replaced.push_back(run);
        if self.replaced.len() > MAX_REPLACED_SERVERS {
            self.replaced.pop_front();
        }
    }

    /// Returns whether another server took over the address of a server since it was chosen.
    pub fn is_replaced(&self, target: &Target) -> bool {
        let mut replaced = self.replaced.iter();
        replaced.any(|(server, address, incarnation)| {
            *server == target.server
                && *address == target.address
                && *incarnation == target.incarnation
        }) || self.is_superseded(target)
    }

    /// Returns whether a target isn't used as it denied its identity, and the registry has another
    /// server at its address.
    fn is_superseded(&self, target: &Target) -> bool {
        self.addresses.get(&target.server) != Some(&target.address)
            && self.claims.is_superseded(&target.server, target.address)
    }

    /// Returns what the registry says of a server since it was chosen.
    pub fn registered(&self, target: &Target) -> Registered {
        let server = &target.server;
        let Some(address) = self.addresses.get(server) else {
            return match self.is_replaced(target) {
                true => Registered::Restarted,
                false => Registered::Removed,
            };
        };
        let incarnation = self.incarnation(server);
        let has_started =
            incarnation != target.incarnation && incarnation != 0 && target.incarnation != 0;
        match has_started || *address != target.address {
            true => Registered::Restarted,
            false if self.accepts_work(server) => Registered::Same,
            false => Registered::Leaving,
        }
    }

    /// Removes a server that is no longer registered, and returns its address.
    pub fn remove(&mut self, server: &Server) -> Option<SocketAddr> {
        let claimed = self.claims.remove(server);
        let address = self.withdraw(server);
        if let Some(claimed) = claimed {
            self.settle(claimed);
        }
        address
    }

    /// Stops using a server, and returns its address.
    fn withdraw(&mut self, server: &Server) -> Option<SocketAddr> {
        self.discount_version(server);
        self.placement.remove(server);
        self.started_ms.remove(server);
        self.heard.remove(server);
        self.servers_by_id.remove(&beacon::id(server));
        let address = self.addresses.remove(server)?;
        if self.servers_by_address.get(&address) == Some(server) {
            self.servers_by_address.remove(&address);
        }
        Some(address)
    }

    /// Removes a server from the counts of its version, if it is in them.
    fn discount_version(&mut self, server: &Server) {
        let Some(spec) = self.placement.spec(server) else {
            return;
        };
        if !self.placement.is_registered_as_leaving(server) {
            self.versions
                .remove(clock::now(), &spec.service, &spec.version);
        }
    }

    /// Records that the whole registry is known.
    pub fn set_registry_known(&mut self) {
        self.versions.set_known(clock::now());
    }

    /// Returns the servers of a service that are and aren't of a version; `None` until the registry is
    /// known.
    pub fn servers_beside(&self, service: &Service, version: &Version) -> Option<Servers> {
        self.versions.servers(service, version)
    }

    /// Returns the usable servers of a service.
    pub fn usable_servers(&self, service: &Service) -> Vec<Target> {
        let serves = |server: &&Server| {
            let spec = self.placement.spec(server);
            spec.is_some_and(|spec| spec.service == *service)
        };
        let servers = self.placement.servers().filter(serves);
        servers
            .filter_map(|server| self.usable_server(server))
            .collect()
    }

    /// Returns the usable servers of a service that want requests now, with their slots.
    pub fn slots(&self, service: &Service) -> Vec<(Server, u32)> {
        let mut slots = Vec::new();
        for server in self.placement.servers() {
            let spec = self.placement.spec(server);
            let Some(spec) = spec.filter(|spec| spec.service == *service) else {
                continue;
            };
            if self.is_usable(server) && self.wants_requests(server) {
                slots.push((server.clone(), spec.slots));
            }
        }
        slots
    }

    /// Returns whether all slots of a server are known to be in use.
    pub fn is_full(&self, server: &Server) -> bool {
        let slots = self.placement.spec(server).map_or(0, |spec| spec.slots);
        self.placement.total_work(server).requests >= slots.max(1)
    }

    /// Returns whether any server is known.
    pub fn has_servers(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Returns whether any server of a service is known.
    pub fn serves(&self, service: &Service) -> bool {
        let mut servers = self.placement.servers();
        servers.any(|server| {
            let spec = self.placement.spec(server);
            spec.is_some_and(|spec| spec.service == *service)
        })
    }

    /// Returns a server by name, if it is usable.
    pub fn usable_server(&self, server: &Server) -> Option<Target> {
        if !self.is_usable(server) {
            return None;
        }
        self.target(Choice {
            server: server.clone(),
            score: Score::default(),
        })
    }

    /// Returns how many more requests with the given work the servers of a service can start now so
    /// that the first event of each arrives within `within`.
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

    /// Returns the share of the memory of a service's servers that is in use.
    pub fn memory_use(&self, service: &Service) -> f64 {
        self.placement.memory_use(clock::now(), service)
    }

    /// Chooses a server for a request.
    pub fn choose(&mut self, request: &Request<'_>) -> Option<Target> {
        let now = clock::now();
        let choice = self.placement.choose(now, request, &mut self.rng);
        let choice = match (choice, request.versions) {
            // The new version of a rollout may have no server yet; any other version can serve the
            // request.
            (None, Versions::Only(version)) => {
                let fallback = Request {
                    versions: Versions::Not(version),
                    ..request.clone()
                };
                self.placement.choose(now, &fallback, &mut self.rng)
            }
            (choice, _) => choice,
        };
        self.target(choice?)
    }

    /// Chooses a server for the copy of a run's KV cache, if one has memory for it.
    pub fn choose_backup(&mut self, request: &Request<'_>) -> Option<Target> {
        let now = clock::now();
        let choice = self.placement.choose_backup(now, request, &mut self.rng)?;
        self.target(choice)
    }

    fn target(&self, choice: Choice) -> Option<Target> {
        let Choice { server, score } = choice;
        let address = *self.addresses.get(&server)?;
        let spec = self.placement.spec(&server)?;
        Some(Target {
            version: spec.version.clone(),
            data_centre: spec.data_centre.clone(),
            incarnation: self.incarnation(&server),
            server,
            address,
            score,
        })
    }

    /// Returns the start of a server's process, as far as its registration states it.
    fn incarnation(&self, server: &Server) -> ServerIncarnation {
        // Starts of one server are told apart by the low bits, which repeat after weeks.
        self.started_ms
            .get(server)
            .map_or(0, |started_ms| *started_ms as ServerIncarnation)
    }

    /// Returns the mean time of a plain request of a service; 0 when there are no samples.
    pub fn mean_time(&self, service: &Service) -> Duration {
        self.placement.mean_time(service).unwrap_or_default()
    }

    /// Returns the expected time to the first event of work that was just sent to a server; 0 when
    /// it is unknown.
    pub fn expected_first_event(&self, target: &Target) -> Duration {
        self.placement
            .queued_prefill_time(&target.server)
            .unwrap_or_default()
    }

    /// Returns the expected time to the first event at a server of the same service that has no
    /// other prompts to process; 0 when it is unknown. `prefill_tokens` is the number of prompt
    /// tokens that are not cached.
    pub fn unloaded_first_event(&self, target: &Target, prefill_tokens: u64) -> Duration {
        self.placement
            .idle_prefill_time(&target.server, prefill_tokens)
            .unwrap_or_default()
    }

    /// Returns the number of tokens at the beginning of a prompt that a server is expected to have
    /// cached.
    pub fn cached_tokens(&self, parts: &[(Part, u32)], server: &Server) -> u64 {
        self.placement.cached_tokens(clock::now(), parts, server)
    }

    /// Records that a server processed a prompt and has it cached for a while.
    pub fn record_prompt(&mut self, parts: &[(Part, u32)], server: &Server) {
        let now = clock::now();
        self.placement.record_cached(now, parts, server);
        let Some((last, _)) = parts.last() else {
            return;
        };
        self.prompts.retain(|(part, _, _)| part != last);
        self.prompts.push_back((*last, server.clone(), now));
        if self.prompts.len() > MAX_RECENT_PROMPTS {
            self.prompts.pop_front();
        }
        self.changed = true;
        self.announce_prompt(Prompt {
            hash: *last,
            server: beacon::id(server),
        });
    }

    /// Returns whether any server is expected to have a prompt part cached.
    pub fn is_cached(&self, part: (Part, u32)) -> bool {
        let now = clock::now();
        let mut servers = self.placement.servers();
        servers.any(|server| self.placement.cached_tokens(now, &[part], server) > 0)
    }

    /// Records the prompt parts that a server reported as cached.
    pub fn record_cached(&mut self, parts: &[(Part, u32)], server: &Server) {
        self.placement.record_cached(clock::now(), parts, server);
    }

    /// Records a failure of a server, which receives no new work for a while.
    pub fn suspect(&mut self, server: &Server, suspicion: Suspicion) {
        self.placement.suspend(clock::now(), server, suspicion);
        self.changed = true;
    }

    /// Returns the time since a server or its data centre was last found unreachable, or `None`
    /// if neither was.
    pub fn suspected_for(&self, server: &Server) -> Option<Duration> {
        let now = clock::now();
        let at = self.placement.suspected_since(now, server)?;
        Some(now.saturating_sub(at))
    }

    /// Records that a server answered.
    pub fn mark_alive(&mut self, server: &Server) {
        self.placement.mark_alive(clock::now(), server);
    }

    /// Records that a server sent something.
    pub fn record_heard(&mut self, server: &Server) {
        let now = clock::now();
        match self.heard.get_mut(server) {
            Some(heard) => *heard = now,
            None if self.addresses.contains_key(server) => {
                self.heard.insert(server.clone(), now);
            }
            None => {}
        }
    }

    /// Returns when a server last sent anything; `None` if it hasn't.
    pub fn heard(&self, server: &Server) -> Option<Clock> {
        self.heard.get(server).copied()
    }

    /// Returns whether any other server has sent anything since a time.
    pub fn has_heard_others(&self, server: &Server, since: Clock) -> bool {
        let mut heard = self.heard.iter();
        heard.any(|(other, at)| other != server && *at >= since)
    }

    /// Returns whether a server accepts work, according to its registration and to what it said.
    pub fn accepts_work(&self, server: &Server) -> bool {
        self.placement.accepts_work(server)
    }

    /// Returns whether a server accepts work and is not suspected to be unreachable.
    pub fn is_usable(&self, server: &Server) -> bool {
        self.placement.is_usable(clock::now(), server)
    }
}
