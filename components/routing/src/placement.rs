//! Placement of work on backend servers that entries reach themselves.
//!
//! The load that it answers: long generations whose cost is known when they come (tokens of the
//! prompt and of the answer), on engines whose own reports are dear and late. So each entry counts
//! what it has sent, in tokens, and adds what its peers say they have sent.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use self::{
    candidate::Candidate,
    suspicion::Losses, //
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
mod suspicion;

pub use choice::{
    Choice,
    Request,
    Score,
    Versions, //
};
pub use suspicion::Suspicion;

/// What is known of a server from its registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Service that it serves.
    pub service: Service,
    /// Version of its software.
    pub version: Version,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Engines: memory in tokens. 0 for plain services.
    pub memory: u64,
}

/// Work at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Tokens that they fill, now or later.
    pub tokens: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

impl Work {
    /// Adds other work.
    pub fn add(&mut self, other: Work) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.unread += other.unread;
    }

    /// Takes work away that was added before.
    pub fn subtract(&mut self, other: Work) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.unread = self.unread.saturating_sub(other.unread);
    }
}

/// Weight of a new reading in the usual time of a request.
const TIME_FRESH: f64 = 0.05;

/// Weight of a new reading in the usual time to read a token.
const PACE_FRESH: f64 = 0.1;

/// Entries up to which each looks at all servers. All know of the same idle servers, and what the
/// others send they hear a moment later: their number and, as each may spend so many bytes a second
/// on beacons, the moment both grow with the fleet, so that sends nobody has heard of grow with its
/// square. If each entry of a large fleet took the best of all servers, those that lose one server's
/// streams together, or many that just have new ones, would send them to the same few: of 28 entries
/// with two prompts each, 15 prompts to one of 66 servers, 6 with this, and 4 as each prefers its own
/// part besides.
const FEW: f64 = 7.5;

/// Number of a peer.
pub type Peer = u64;

/// Where work is placed.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    settings: Settings,
    candidates: BTreeMap<Server, Candidate>,
    losses: Losses,
    /// Usual time of a request, in seconds, by service.
    times: HashMap<Service, f64>,
    /// Usual time to read one token of a prompt, in seconds, by service.
    paces: HashMap<Service, f64>,
    /// Parts of prompts that servers have read.
    prompts: Prompts,
    /// Work of each peer.
    peers: HashMap<Peer, HashMap<Server, Work>>,
    /// This entry's place among all, and their number.
    place: (usize, usize),
    /// Where this entry is.
    home: DataCentre,
}

impl Placement {
    /// A placement that knows no server.
    pub fn new(settings: Settings) -> Placement {
        Placement {
            settings,
            ..Placement::default()
        }
    }

    /// Notes where this entry is.
    pub fn set_data_centre(&mut self, home: &DataCentre) {
        self.home.clone_from(home);
        for (server, candidate) in &mut self.candidates {
            candidate.stand(server, self.place, home);
        }
    }

    /// Adds a server, or changes what is known of it.
    pub fn upsert(&mut self, now: Clock, server: &Server, facts: Spec, leaving: bool) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.learn(facts);
            candidate.leaving = leaving;
            return;
        }
        let mut candidate = Candidate::new(now, server, facts, leaving);
        candidate.peers = self.of_peers(server);
        candidate.stand(server, self.place, &self.home);
        self.candidates.insert(server.clone(), candidate);
    }

    /// Forgets a server.
    pub fn remove(&mut self, server: &Server) {
        self.candidates.remove(server);
    }

    /// Whether a server is known.
    pub fn contains(&self, server: &Server) -> bool {
        self.candidates.contains_key(server)
    }

    /// The servers that are known.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.candidates.keys()
    }

    /// What a server's registration says.
    pub fn spec(&self, server: &Server) -> Option<&Spec> {
        self.candidates
            .get(server)
            .map(|candidate| &candidate.facts)
    }

    /// Whether a server takes new work as far as its registration says.
    pub fn accepts_work(&self, server: &Server) -> bool {
        self.candidates
            .get(server)
            .is_some_and(|candidate| !candidate.leaving)
    }

    /// Notes work that was sent.
    pub fn sent(&mut self, now: Clock, server: &Server, work: Work) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.sent(now, work);
        }
    }

    /// Notes that a prompt was read, `time` after it was sent, when `ahead` tokens were to be read
    /// at its server.
    pub fn record_read(
        &mut self,
        now: Clock,
        server: &Server,
        tokens: u64,
        ahead: u64,
        time: Duration,
    ) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.own.unread = candidate.own.unread.saturating_sub(tokens);
        candidate.member.answered();
        if ahead == 0 {
            return;
        }
        let pace = time.as_secs_f64() / ahead as f64;
        let known = self
            .paces
            .entry(candidate.facts.service.clone())
            .or_insert(pace);
        candidate.speed.learn(now, pace / *known);
        *known += PACE_FRESH * (pace - *known);
    }

    /// Notes that a server had read the parts of a prompt at a time.
    pub fn record_cached(&mut self, at: Clock, parts: &[(Part, u32)], server: &Server) {
        for (part, _) in parts {
            self.prompts.read(at, *part, server);
        }
    }

    /// Tokens at the beginning of a prompt that a server is believed to have.
    pub fn cached_tokens(&self, now: Clock, parts: &[(Part, u32)], server: &Server) -> u64 {
        self.prompts.known(now, parts, server)
    }

    /// Tokens of prompts that are to be read at a server.
    pub fn unread_tokens(&self, server: &Server) -> u64 {
        self.candidates
            .get(server)
            .map_or(0, |candidate| candidate.all().unread)
    }

    /// Usual time of a plain request of a service.
    pub fn mean_time(&self, service: &Service) -> Option<Duration> {
        Duration::try_from_secs_f64(*self.times.get(service)?).ok()
    }

    /// Time that the prompts which are to be read at a server usually take.
    pub fn queued_read_time(&self, server: &Server) -> Option<Duration> {
        let candidate = self.candidates.get(server)?;
        let pace = self.paces.get(&candidate.facts.service)?;
        Duration::try_from_secs_f64(pace * candidate.all().unread as f64).ok()
    }

    /// Time that a prompt usually takes at a server of the same service that reads nothing else.
    pub fn idle_read_time(&self, server: &Server, unread: u64) -> Option<Duration> {
        let candidate = self.candidates.get(server)?;
        let pace = self.paces.get(&candidate.facts.service)?;
        Duration::try_from_secs_f64(pace * unread as f64).ok()
    }

    /// Notes that work ended; `work` is what is left of it.
    pub fn done(&mut self, now: Clock, server: &Server, work: Work, outcome: Outcome) {
        // Thousands of engines are looked at only when one of them failed.
        let plain = self
            .candidates
            .get(server)
            .is_some_and(|candidate| candidate.facts.memory == 0);
        let (others, better) = match plain || outcome == Outcome::Failed {
            true => self.others(now, server),
            false => (0.0, 0.0),
        };
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.own.subtract(work);
        let usual = Duration::from_secs(1);
        candidate.member.done(now, outcome, usual, &self.settings);
        let answers = matches!(outcome, Outcome::Served { .. } | Outcome::Failed);
        if plain && answers {
            let failed = outcome == Outcome::Failed;
            candidate.member.weigh(now, failed, better, &self.settings);
        }
        // Of engines the time to read a prompt is known, which tells more.
        if let Outcome::Served { time } = outcome
            && candidate.facts.memory == 0
        {
            let time = time.as_secs_f64();
            let known = self
                .times
                .entry(candidate.facts.service.clone())
                .or_insert(time);
            candidate
                .speed
                .learn(now, time / known.max(f64::MIN_POSITIVE));
            *known += TIME_FRESH * (time - *known);
        }
        if outcome == Outcome::Failed {
            candidate.member.judge(now, others, &self.settings);
        }
    }

    /// Notes that a server should get no new work for a while.
    pub fn suspend(&mut self, now: Clock, server: &Server, suspicion: Suspicion) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.suspend(now, suspicion);
        self.losses
            .note(now, candidate.domain.clone(), server, suspicion);
    }

    /// When this entry or a peer last found a server dark, or enough of its data centre that it is
    /// probably dark too.
    pub fn suspected_since(&self, now: Clock, server: &Server) -> Option<Clock> {
        let candidate = self.candidates.get(server)?;
        self.losses
            .doubted(now, &candidate.domain, server, candidate.heard)
    }

    /// Notes that a server answered.
    pub fn mark_alive(&mut self, now: Clock, server: &Server) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.alive(now);
        }
    }

    /// Notes a sign of life that was given at a time, such as a heartbeat in the register.
    pub fn record_heartbeat(&mut self, at: Clock, server: &Server) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.heard = candidate.heard.max(at);
        }
    }

    /// Takes all work that a peer has, in place of what it had before.
    pub fn set_peer_loads(&mut self, peer: Peer, loads: HashMap<Server, Work>) {
        self.forget_peer(peer);
        for (server, work) in &loads {
            if let Some(candidate) = self.candidates.get_mut(server) {
                candidate.peers.add(*work);
            }
        }
        self.peers.insert(peer, loads);
    }

    /// Takes all work that a peer has at one server, in place of what it had there before.
    pub fn set_peer_work(&mut self, peer: Peer, server: &Server, work: Work) {
        let loads = self.peers.entry(peer).or_default();
        let before = loads.insert(server.clone(), work).unwrap_or_default();
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.peers.subtract(before);
            candidate.peers.add(work);
        }
    }

    /// Work of this entry at a server.
    pub fn own_work(&self, server: &Server) -> Work {
        let candidate = self.candidates.get(server);
        candidate.map_or_else(Work::default, |candidate| candidate.own)
    }

    /// Forgets the work of a peer that ended or fell silent.
    pub fn forget_peer(&mut self, peer: Peer) {
        for (server, work) in self.peers.remove(&peer).unwrap_or_default() {
            if let Some(candidate) = self.candidates.get_mut(&server) {
                candidate.peers.subtract(work);
            }
        }
    }

    /// Work of this entry, by server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&Server, Work)> {
        let busy = self
            .candidates
            .iter()
            .filter(|(_, candidate)| candidate.own != Work::default());
        busy.map(|(server, candidate)| (server, candidate.own))
    }

    /// What this entry or a peer noted of servers a moment ago.
    pub fn recent_losses(&self, now: Clock) -> Vec<(&Server, Duration, Suspicion)> {
        self.losses.told(now)
    }

    /// Takes a loss that a peer saw.
    pub fn record_peer_loss(&mut self, at: Clock, server: &Server, suspicion: Suspicion) {
        let Some(candidate) = self.candidates.get(server) else {
            return;
        };
        if candidate.knows_better(at) {
            return;
        }
        self.suspend(at, server, suspicion);
    }

    /// Notes this entry's place among all, and their number.
    pub fn set_position(&mut self, place: (usize, usize)) {
        if self.place == place {
            return;
        }
        self.place = place;
        for (server, candidate) in &mut self.candidates {
            candidate.stand(server, place, &self.home);
        }
    }

    /// This entry's place among all, and their number.
    pub fn position(&self) -> (usize, usize) {
        self.place
    }

    /// Whether the entries are so many that each has a part of the servers.
    pub fn is_partitioned(&self) -> bool {
        self.place.1 as f64 > FEW
    }

    /// Whether a server is of this entry's part; in a small fleet all servers are of everybody's.
    pub fn owns(&self, server: &Server) -> bool {
        let candidate = self.candidates.get(server);
        candidate.is_some_and(|candidate| candidate.is_own)
    }

    fn of_peers(&self, server: &Server) -> Work {
        let mut sum = Work::default();
        for loads in self.peers.values() {
            sum.add(loads.get(server).copied().unwrap_or_default());
        }
        sum
    }

    /// Share of failures among the other servers of the same service, and among the better half of
    /// them: of three servers two may have the same fault.
    fn others(&self, now: Clock, server: &Server) -> (f64, f64) {
        let Some(own) = self.candidates.get(server) else {
            return (0.0, 0.0);
        };
        let mut counts: Vec<(f64, f64)> = Vec::new();
        for (name, candidate) in &self.candidates {
            if name == server || candidate.facts.service != own.facts.service {
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

/// Share of failures, from counts of what was served and what failed.
fn share(counts: &[(f64, f64)]) -> f64 {
    let served: f64 = counts.iter().map(|(served, _)| served).sum();
    let failed: f64 = counts.iter().map(|(_, failed)| failed).sum();
    failed / f64::max(served + failed, 1.0)
}
