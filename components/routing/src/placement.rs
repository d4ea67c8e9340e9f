//! Placement of work on backend servers that a process reaches without a sidecar.
//!
//! The work consists of long generations whose cost, in prompt and output tokens, is known on
//! arrival. Load reports of the engines are expensive and late, so each process counts the tokens
//! that it has sent and adds what its peers report.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use self::{
    candidate::Candidate,
    notice::Unregistered,
    speed::Speeds,
    suspicion::Suspicions, //
};
use crate::{
    Outcome,
    Part,
    Prompts,
    Settings, //
};
use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};

mod candidate;
mod choice;
mod limits;
mod notice;
mod rate_limit;
pub mod speed;
mod suspicion;
mod times;

pub use choice::{
    Choice,
    Request,
    Score,
    Versions, //
};
pub use notice::{
    News,
    Said, //
};
pub use suspicion::Suspicion;

/// Registration data of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Service that the server belongs to.
    pub service: Service,
    /// Version of the service that it runs.
    pub version: Version,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Memory of an engine, in tokens; 0 for plain services.
    pub memory: u64,
}

/// Amount of work on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of requests.
    pub requests: u32,
    /// Tokens of memory that the requests fill, now or later.
    pub tokens: u64,
    /// Prompt tokens that the server has not processed yet.
    pub prefill_tokens: u64,
}

impl Work {
    /// Adds `other`.
    pub fn add(&mut self, other: Work) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill_tokens += other.prefill_tokens;
    }

    /// Subtracts `other`, saturating at zero.
    pub fn subtract(&mut self, other: Work) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }
}

/// Number of processes up to which each of them considers all servers. Above it, the servers are
/// partitioned among the processes.
///
/// All processes see the same idle servers and learn with a delay what the others send. The number
/// of processes grows with the fleet, and so does the delay, as each process has a fixed byte rate
/// for beacons; the number of requests that other processes don't know of yet therefore grows with
/// the square of the fleet. If each process of a large fleet chose the best of all servers,
/// processes that lose the streams of one server together, or that get many new ones, would send
/// them to the same few servers: of 28 processes with two prompts each, 15 prompts went to one of
/// 66 servers. With this limit it is 6, and 4 as each process also prefers its own partition.
const MAX_UNPARTITIONED_PROCESSES: f64 = 7.5;

/// Identifier of a peer process.
pub type Peer = u64;

/// The candidate servers and their estimated load.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    settings: Settings,
    candidates: BTreeMap<Server, Candidate>,
    suspicions: Suspicions,
    /// What servers without a registration said of themselves.
    unregistered: Unregistered,
    /// Time after which no server has a backoff or is on trial after one.
    last_backoff_end: Clock,
    /// Mean time of a request at a server of mean speed, in seconds, by service.
    request_times: HashMap<Service, f64>,
    /// Mean time to process one prompt token at a server of mean speed, in seconds, by service.
    token_times: HashMap<Service, f64>,
    /// Mean number of events of a token after the prompt, by service.
    event_shares: HashMap<Service, f64>,
    /// Steady speeds of the servers.
    speeds: Speeds,
    /// Parts of prompts that servers have cached.
    prompts: Prompts,
    /// Work of each peer, by server.
    peers: HashMap<Peer, HashMap<Server, Work>>,
    /// Rank of this process among all processes, and their number.
    rank: (usize, usize),
    /// Data centre of this process.
    data_centre: DataCentre,
    /// Part of this process in the demand of each service; an equal one while it is unknown.
    demand_shares: HashMap<Service, f64>,
    /// Time at which the last caller that was refused for a rate limit may return, by service.
    last_returns: HashMap<Service, Clock>,
}

impl Placement {
    /// Creates a placement without servers.
    pub fn new(settings: Settings) -> Placement {
        Placement {
            settings,
            ..Placement::default()
        }
    }

    /// Sets the data centre of this process.
    pub fn set_data_centre(&mut self, data_centre: &DataCentre) {
        self.data_centre.clone_from(data_centre);
        for (server, candidate) in &mut self.candidates {
            candidate.set_rank(server, self.rank, data_centre);
        }
    }

    /// Adds a server, or updates its registration.
    pub fn upsert(&mut self, now: Clock, server: &Server, spec: Spec, leaving: bool) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            if candidate.spec.service != spec.service {
                self.speeds.insert(server, &spec.service);
            }
            candidate.set_spec(spec);
            candidate.registered_as_leaving = leaving;
            return;
        }
        self.speeds.insert(server, &spec.service);
        let mut candidate = Candidate::new(now, server, spec, leaving);
        candidate.notice = self.unregistered.take(server);
        candidate.peer_work = self.peer_work(server);
        candidate.set_rank(server, self.rank, &self.data_centre);
        self.candidates.insert(server.clone(), candidate);
    }

    /// Removes a server.
    pub fn remove(&mut self, server: &Server) {
        if let Some(candidate) = self.candidates.remove(server) {
            self.unregistered.keep(server, candidate.notice);
        }
        self.speeds.remove(server);
    }

    /// Returns whether a server is known.
    pub fn contains(&self, server: &Server) -> bool {
        self.candidates.contains_key(server)
    }

    /// Returns the known servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.candidates.keys()
    }

    /// Returns the registration of a server.
    pub fn spec(&self, server: &Server) -> Option<&Spec> {
        self.candidates.get(server).map(|candidate| &candidate.spec)
    }

    /// Returns whether a server is registered as leaving.
    pub fn is_registered_as_leaving(&self, server: &Server) -> bool {
        let candidate = self.candidates.get(server);
        candidate.is_some_and(|candidate| candidate.registered_as_leaving)
    }

    /// Returns whether a server accepts new work, according to its registration and to what it said.
    pub fn accepts_work(&self, server: &Server) -> bool {
        let candidate = self.candidates.get(server);
        candidate.is_some_and(|candidate| !candidate.is_leaving())
    }

    /// Records work that was sent to a server.
    pub fn sent(&mut self, now: Clock, server: &Server, work: Work) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.sent(now, work);
        if work.requests > 0 {
            candidate.notice.sent(now);
            let end = candidate.notice.next_request_at();
            self.last_backoff_end = self.last_backoff_end.max(end);
        }
        if work.requests > 0 && candidate.rate_limit.per_second().is_some() {
            candidate.rate_limit.take(now);
        }
    }

    /// Records that a server had the parts of a prompt in its cache at the time `at`.
    pub fn record_cached(&mut self, at: Clock, parts: &[(Part, u32)], server: &Server) {
        for (part, _) in parts {
            self.prompts.record(at, *part, server);
        }
    }

    /// Returns the number of leading tokens of a prompt that a server is assumed to have cached.
    pub fn cached_tokens(&self, now: Clock, parts: &[(Part, u32)], server: &Server) -> u64 {
        self.prompts.cached_tokens(now, parts, server)
    }

    /// Records that work ended; `work` is the part of it that is still counted.
    pub fn done(&mut self, now: Clock, server: &Server, work: Work, outcome: Outcome) {
        // The failure shares of thousands of engines are only computed when one of them failed.
        let is_plain = self
            .candidates
            .get(server)
            .is_some_and(|candidate| candidate.spec.memory == 0);
        let (failure_share, better_half) = match is_plain || outcome == Outcome::Failed {
            true => self.failure_shares(now, server),
            false => (0.0, 0.0),
        };
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.own_work.subtract(work);
        let mean_time = Duration::from_secs(1);
        candidate
            .member
            .done(now, outcome, mean_time, &self.settings);
        let was_executed = matches!(outcome, Outcome::Served { .. } | Outcome::Failed);
        if is_plain && was_executed {
            let failed = outcome == Outcome::Failed;
            candidate
                .member
                .update_fault_evidence(now, failed, better_half, &self.settings);
        }
        // The processing time of prompts says more about an engine and is measured separately.
        if let Outcome::Served { time } = outcome
            && candidate.spec.memory == 0
        {
            self.record_whole(now, server, time);
        }
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        if outcome == Outcome::Failed {
            candidate
                .member
                .eject_if_failing(now, failure_share, &self.settings);
        }
    }

    /// Suspends a server from new work for a while.
    pub fn suspend(&mut self, now: Clock, server: &Server, suspicion: Suspicion) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.suspend(now, suspicion);
        self.suspicions
            .record(now, candidate.domain.clone(), server, suspicion);
    }

    /// Returns when this process or a peer last found the server unresponsive, or enough servers of
    /// its data centre that it is probably unresponsive too.
    pub fn suspected_since(&self, now: Clock, server: &Server) -> Option<Clock> {
        let candidate = self.candidates.get(server)?;
        self.suspicions
            .suspected_since(now, &candidate.domain, server, candidate.last_alive)
    }

    /// Records that a server answered, which ends its suspension.
    pub fn mark_alive(&mut self, now: Clock, server: &Server) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.mark_alive(now);
        }
    }

    /// Records evidence from the time `at` that the server is alive, such as a heartbeat in the
    /// register.
    pub fn record_heartbeat(&mut self, at: Clock, server: &Server) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.last_alive = candidate.last_alive.max(at);
        }
    }

    /// Replaces all work of a peer.
    pub fn set_peer_loads(&mut self, peer: Peer, loads: HashMap<Server, Work>) {
        self.forget_peer(peer);
        for (server, work) in &loads {
            if let Some(candidate) = self.candidates.get_mut(server) {
                candidate.peer_work.add(*work);
            }
        }
        self.peers.insert(peer, loads);
    }

    /// Replaces the work of a peer at one server.
    pub fn set_peer_work(&mut self, peer: Peer, server: &Server, work: Work) {
        let loads = self.peers.entry(peer).or_default();
        let before = loads.insert(server.clone(), work).unwrap_or_default();
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.peer_work.subtract(before);
            candidate.peer_work.add(work);
        }
    }

    /// Returns the work of this process at a server.
    pub fn own_work(&self, server: &Server) -> Work {
        let candidate = self.candidates.get(server);
        candidate.map_or_else(Work::default, |candidate| candidate.own_work)
    }

    /// Returns the known work of all processes at a server.
    pub fn total_work(&self, server: &Server) -> Work {
        let candidate = self.candidates.get(server);
        candidate.map_or_else(Work::default, Candidate::total_work)
    }

    /// Removes the work of a peer that ended or stopped reporting.
    pub fn forget_peer(&mut self, peer: Peer) {
        for (server, work) in self.peers.remove(&peer).unwrap_or_default() {
            if let Some(candidate) = self.candidates.get_mut(&server) {
                candidate.peer_work.subtract(work);
            }
        }
    }

    /// Returns the work of this process, by server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&Server, Work)> {
        let busy = self
            .candidates
            .iter()
            .filter(|(_, candidate)| candidate.own_work != Work::default());
        busy.map(|(server, candidate)| (server, candidate.own_work))
    }

    /// Returns the recent suspicions of this process and its peers, with their age.
    pub fn recent_suspicions(&self, now: Clock) -> Vec<(&Server, Duration, Suspicion)> {
        self.suspicions.recent(now)
    }

    /// Records a suspicion of a peer from the time `at`, unless newer evidence is known.
    pub fn record_peer_suspicion(&mut self, at: Clock, server: &Server, suspicion: Suspicion) {
        let Some(candidate) = self.candidates.get(server) else {
            return;
        };
        if candidate.has_newer_evidence(at) {
            return;
        }
        self.suspend(at, server, suspicion);
    }

    /// Sets the rank of this process among all processes, and their number.
    pub fn set_rank(&mut self, rank: (usize, usize)) {
        if self.rank == rank {
            return;
        }
        self.rank = rank;
        for (server, candidate) in &mut self.candidates {
            candidate.set_rank(server, rank, &self.data_centre);
        }
    }

    /// Returns the rank of this process among all processes, and their number.
    pub fn rank(&self) -> (usize, usize) {
        self.rank
    }

    /// Returns whether there are so many processes that each has a partition of the servers.
    pub fn is_partitioned(&self) -> bool {
        self.rank.1 as f64 > MAX_UNPARTITIONED_PROCESSES
    }

    /// Returns whether a server is in the partition of this process. Without partitions every
    /// process owns all servers.
    pub fn owns(&self, server: &Server) -> bool {
        let candidate = self.candidates.get(server);
        candidate.is_some_and(|candidate| candidate.is_owned)
    }

    fn peer_work(&self, server: &Server) -> Work {
        let mut sum = Work::default();
        for loads in self.peers.values() {
            sum.add(loads.get(server).copied().unwrap_or_default());
        }
        sum
    }

    /// Returns the share of failures among the other servers of the same service, and among the
    /// better half of them, as two of three servers may have the same fault.
    fn failure_shares(&self, now: Clock, server: &Server) -> (f64, f64) {
        let Some(own) = self.candidates.get(server) else {
            return (0.0, 0.0);
        };
        let mut counts: Vec<(f64, f64)> = Vec::new();
        for (name, candidate) in &self.candidates {
            if name == server || candidate.spec.service != own.spec.service {
                continue;
            }
            counts.push(candidate.member.counts(now, &self.settings));
        }
        let half = counts.len().div_ceil(2);
        if half < counts.len() {
            counts.select_nth_unstable_by(half, |one, other| {
                share(&[*one]).total_cmp(&share(&[*other]))
            });
        }
        (share(&counts), share(&counts[..half]))
    }
}

/// Returns the share of failures from counts of served and failed requests.
fn share(counts: &[(f64, f64)]) -> f64 {
    let served: f64 = counts.iter().map(|(served, _)| served).sum();
    let failed: f64 = counts.iter().map(|(_, failed)| failed).sum();
    failed / f64::max(served + failed, 1.0)
}
