//! What is asked of a placement, and what it chooses.

use std::time::Duration;

use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};
use rand::{
    Rng,
    RngExt, //
};

use super::{
    FEW,
    Placement,
    Work,
    candidate::Candidate, //
};
use crate::Part;

/// Random part of a load, so that entries which know the same don't all choose the same server.
const JITTER: f64 = 0.005;

/// The same in a large fleet, whose entries are too many to be told apart by small offsets.
const DIVIDED_JITTER: f64 = 0.08;

/// Servers that are looked at for each choice, on the average, at the least.
const LEAST_DRAWN: f64 = 2.0;

// What speaks against a server, each more than all those before it together.
const NEAR: u8 = 1;
const FULL: u8 = 2;
const EJECTED: u8 = 4;
const SHAKEN: u8 = 8;
const AVOIDED: u8 = 16;
const SUSPENDED: u8 = 32;

/// Part of a server's memory up to which it takes copies of other servers' runs. Beyond it memory is
/// for new work: a copy saves a prompt if its run is lost, a place serves a caller for sure.
const COPIES: f64 = 0.75;

/// Versions that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Versions<'a> {
    /// All.
    #[default]
    Any,
    /// This one.
    Only(&'a Version),
    /// All but this one.
    Not(&'a Version),
}

impl Versions<'_> {
    /// Whether a version is among them.
    pub fn allow(&self, version: &Version) -> bool {
        match self {
            Versions::Any => true,
            Versions::Only(only) => *only == version,
            Versions::Not(not) => *not != version,
        }
    }
}

/// What is asked of a placement.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service that must serve it.
    pub service: &'a Service,
    /// Where the entry is.
    pub data_centre: &'a str,
    /// The work.
    pub work: Work,
    /// Parts of its prompt, in order.
    pub parts: &'a [(Part, u32)],
    /// Servers that are only taken when there is no other.
    pub avoid: &'a [Server],
    /// Versions that may serve it.
    pub versions: Versions<'a>,
    /// Data centre that is only taken when there is no other.
    pub avoid_data_centre: Option<&'a DataCentre>,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// What it was chosen by.
    pub score: Score,
}

/// What a server was chosen by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Its load, with the work.
    pub load: f64,
    /// What speaks against it, as a sum: 1 the data centre, 2 full, 4 ejected, 8 its data centre is
    /// doubted, 16 tried before, 32 suspended. More than 0 means that there was no better one.
    pub penalties: u8,
    /// Servers of the service that there were.
    pub candidates: u32,
}

impl Score {
    /// Whether no server had room for the work.
    pub fn is_full(&self) -> bool {
        self.penalties & FULL != 0
    }
}

impl Placement {
    /// How many more requests with some work the servers of a service could begin now, with their
    /// first events within a time. Servers that are in doubt don't count, nor do those of versions
    /// that may not serve it: while a version gets samples only, its idle servers are no room.
    pub fn room(
        &self,
        now: Clock,
        service: &Service,
        versions: Versions<'_>,
        work: Work,
        within: Duration,
    ) -> u32 {
        let pace = self.paces.get(service).copied();
        let tokens = pace.map(|pace| within.as_secs_f64() / pace.max(f64::MIN_POSITIVE));
        let mut room = 0_u32;
        for candidate in self.candidates.values() {
            if candidate.leaving
                || candidate.facts.service != *service
                || candidate.is_suspended(now)
            {
                continue;
            }
            if !versions.allow(&candidate.facts.version) {
                continue;
            }
            let doubted = self.losses.shaken(now, &candidate.domain, candidate.heard);
            if doubted || candidate.member.ejected(now) || candidate.member.refusing(now) {
                continue;
            }
            room = room.saturating_add(candidate.room(now, work, tokens));
        }
        room
    }

    /// Part of the memory of a service's servers that is taken, among those that can be reached.
    pub fn memory_use(&self, now: Clock, service: &Service) -> f64 {
        let (mut taken, mut memory) = (0, 0);
        for candidate in self.candidates.values() {
            if candidate.leaving
                || candidate.facts.service != *service
                || candidate.is_unreachable(now)
            {
                continue;
            }
            taken += candidate.all().tokens;
            memory += candidate.facts.memory;
        }
        taken as f64 / memory.max(1) as f64
    }

    /// Whether a server is known, takes work and can be reached as far as is known.
    pub fn is_usable(&self, now: Clock, server: &Server) -> bool {
        let Some(candidate) = self.candidates.get(server) else {
            return false;
        };
        !candidate.leaving && !candidate.is_unreachable(now)
    }

    /// Chooses a server: the least loaded of those that can be used.
    pub fn choose(&self, now: Clock, request: &Request<'_>, rng: &mut impl Rng) -> Option<Choice> {
        self.pick(now, request, u8::MAX, f64::INFINITY, rng)
    }

    /// Chooses a server that has room for a copy. A copy is worth no more than the work that it
    /// would take the place of, so a server that is only just good enough isn't taken.
    pub fn choose_backup(
        &self,
        now: Clock,
        request: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.pick(now, request, NEAR, COPIES, rng)
    }

    /// The least loaded server against which at most `worst` speaks, and of whose memory at most a
    /// `part` is taken with the work.
    fn pick(
        &self,
        now: Clock,
        request: &Request<'_>,
        worst: u8,
        part: f64,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut best: Option<((u8, bool, f64), &Server)> = None;
        let candidates = self.candidates.iter().filter(|(_, candidate)| {
            let serves = !candidate.leaving && candidate.facts.service == *request.service;
            serves && request.versions.allow(&candidate.facts.version)
        });
        let among = u32::try_from(candidates.clone().count()).unwrap_or(u32::MAX);
        let drawn = self.drawn(among);
        let jitter = if self.is_partitioned() {
            DIVIDED_JITTER
        } else {
            JITTER
        };
        for (server, candidate) in candidates {
            let tier = self.tier(now, server, candidate, request);
            if tier > worst || candidate.use_with(request.work) > part {
                continue;
            }
            let known = self.prompts.known(now, request.parts, server);
            let load = candidate.load(now, request, known) + rng.random_range(0.0..jitter);
            let looked_at = candidate.followed || candidate.is_own;
            let passed_over = known == 0 && !looked_at && !rng.random_bool(drawn);
            let rank = (tier, passed_over, load);
            if best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, server));
            }
        }
        best.map(|((against, _, load), server)| Choice {
            server: server.clone(),
            score: Score {
                load,
                penalties: against,
                candidates: among,
            },
        })
    }

    /// Probability with which each of a service's servers is looked at.
    fn drawn(&self, among: u32) -> f64 {
        let entries = self.place.1.max(1) as f64;
        let least = LEAST_DRAWN / f64::from(among.max(1));
        (FEW / entries).powi(2).max(least).min(1.0)
    }

    /// 0 for a server that is wanted, more for one that is only taken for want of others.
    fn tier(
        &self,
        now: Clock,
        server: &Server,
        candidate: &Candidate,
        request: &Request<'_>,
    ) -> u8 {
        let avoided = request.avoid.contains(server);
        let ejected = candidate.member.ejected(now);
        let full = candidate.member.refusing(now) || !candidate.fits(request.work);
        let near = request.avoid_data_centre == Some(&candidate.facts.data_centre);
        let suspended = candidate.is_suspended(now);
        let shaken = self.losses.shaken(now, &candidate.domain, candidate.heard);
        u8::from(suspended) * SUSPENDED
            + u8::from(avoided) * AVOIDED
            + u8::from(shaken) * SHAKEN
            + u8::from(ejected) * EJECTED
            + u8::from(full) * FULL
            + u8::from(near) * NEAR
    }
}
