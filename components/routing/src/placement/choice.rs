//! Requests to a placement, and how it chooses a server.

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
    MAX_UNPARTITIONED_PROCESSES,
    Placement,
    Work,
    candidate::Candidate, //
};
use crate::Part;

/// Random load added so that processes with the same knowledge don't all choose the same server.
const MAX_JITTER: f64 = 0.005;

/// Random load in a large fleet, which has too many processes to separate by small offsets.
const PARTITIONED_MAX_JITTER: f64 = 0.08;

/// Minimum average number of servers that each choice considers.
const MIN_CONSIDERED_SERVERS: f64 = 2.0;

// Penalties of a server; each outweighs all lower ones together.
const AVOIDED_DATA_CENTRE_PENALTY: u8 = 1;
const FULL_PENALTY: u8 = 2;
const EJECTED_PENALTY: u8 = 4;
const SUSPECTED_DATA_CENTRE_PENALTY: u8 = 8;
const AVOIDED_SERVER_PENALTY: u8 = 16;
const SUSPENDED_PENALTY: u8 = 32;

/// Memory use up to which a server takes backup copies of runs of other servers. Beyond it, memory
/// is reserved for new work: a copy saves a prefill only if its run is lost, while a slot serves a
/// caller for certain.
const MAX_BACKUP_MEMORY_USE: f64 = 0.75;

/// Versions that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Versions<'a> {
    /// Any version.
    #[default]
    Any,
    /// Only this version.
    Only(&'a Version),
    /// Any version but this one.
    Not(&'a Version),
}

impl Versions<'_> {
    /// Returns whether a version is allowed.
    pub fn allow(&self, version: &Version) -> bool {
        match self {
            Versions::Any => true,
            Versions::Only(only) => *only == version,
            Versions::Not(not) => *not != version,
        }
    }
}

/// A request to a placement.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service that must serve it.
    pub service: &'a Service,
    /// Data centre of the process that sends the request.
    pub data_centre: &'a str,
    /// Work of the request.
    pub work: Work,
    /// Parts of its prompt with their number of tokens, in order.
    pub parts: &'a [(Part, u32)],
    /// Servers that are chosen only if there is no other.
    pub avoid: &'a [Server],
    /// Versions that may serve it.
    pub versions: Versions<'a>,
    /// Data centre that is chosen only if there is no other.
    pub avoid_data_centre: Option<&'a DataCentre>,
    /// Time within which its first event is due.
    pub within: Option<Duration>,
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// Score of the server.
    pub score: Score,
}

/// Score of a chosen server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Load of the server with the work added.
    pub load: f64,
    /// Sum of the server's penalties: 1 avoided data centre, 2 full, 4 ejected, 8 suspected data
    /// centre, 16 already tried, 32 suspended. More than 0 means that there was no better server.
    pub penalties: u8,
    /// Number of servers of the service that were candidates.
    pub candidates: u32,
}

impl Score {
    /// Returns whether no server had room for the work.
    pub fn is_full(&self) -> bool {
        self.penalties & FULL_PENALTY != 0
    }
}

/// Order of preference: penalties, whether sampling skipped the server, whether the first event would
/// be late, and its load. With news that are half a second old, many processes would crowd the few
/// servers in time if those came before all that sampling allows.
type Order = (u8, bool, bool, f64);

impl Placement {
    /// Returns how many more requests of the size of `work` the servers of a service can begin now,
    /// with their first events within the time `within`. Suspected servers are excluded, and so are
    /// those of versions that may not serve the request, such as a version that only gets sampled
    /// requests.
    pub fn room(
        &self,
        now: Clock,
        service: &Service,
        versions: Versions<'_>,
        work: Work,
        within: Duration,
    ) -> u32 {
        let token_time = self.token_times.get(service).copied();
        let tokens =
            token_time.map(|token_time| within.as_secs_f64() / token_time.max(f64::MIN_POSITIVE));
        let mut room = 0_u32;
        for candidate in self.candidates.values() {
            if candidate.is_leaving()
                || candidate.spec.service != *service
                || candidate.is_suspended(now)
                || !candidate.notice.wants_requests(now)
            {
                continue;
            }
            if !versions.allow(&candidate.spec.version) {
                continue;
            }
            let is_suspected =
                self.suspicions
                    .is_domain_suspected(now, &candidate.domain, candidate.last_alive);
            if is_suspected || candidate.member.is_ejected(now) || candidate.member.is_refusing(now)
            {
                continue;
            }
            let allowed = candidate.rate_limit.available(now);
            let free = candidate.room(now, work, tokens);
            room = room.saturating_add(free.min(allowed.unwrap_or(u32::MAX)));
        }
        room
    }

    /// Returns the share of memory in use on the reachable servers of a service.
    pub fn memory_use(&self, now: Clock, service: &Service) -> f64 {
        let (mut used, mut memory) = (0, 0);
        for candidate in self.candidates.values() {
            if candidate.is_leaving()
                || candidate.spec.service != *service
                || candidate.is_unreachable(now)
            {
                continue;
            }
            used += candidate.total_work().tokens;
            memory += candidate.spec.memory;
        }
        used as f64 / memory.max(1) as f64
    }

    /// Returns whether a server is known, accepts work and is not known to be unreachable.
    pub fn is_usable(&self, now: Clock, server: &Server) -> bool {
        let Some(candidate) = self.candidates.get(server) else {
            return false;
        };
        !candidate.is_leaving() && !candidate.is_unreachable(now)
    }

    /// Chooses the server with the lowest penalties and, among those, the lowest load.
    pub fn choose(&self, now: Clock, request: &Request<'_>, rng: &mut impl Rng) -> Option<Choice> {
        self.pick(now, request, u8::MAX, f64::INFINITY, rng)
    }

    /// Chooses a server for a backup copy. A copy is worth no more than the work that it displaces,
    /// so a server with any higher penalty than the avoided data centre is not chosen.
    pub fn choose_backup(
        &self,
        now: Clock,
        request: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.pick(
            now,
            request,
            AVOIDED_DATA_CENTRE_PENALTY,
            MAX_BACKUP_MEMORY_USE,
            rng,
        )
    }

    /// Chooses the best server whose penalties are at most `max_penalties` and whose memory use
    /// with the work is at most `max_memory_use`.
    fn pick(
        &self,
        now: Clock,
        request: &Request<'_>,
        max_penalties: u8,
        max_memory_use: f64,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut best: Option<(Order, &Server)> = None;
        let eligible = self.candidates.iter().filter(|(_, candidate)| {
            let serves = !candidate.is_leaving() && candidate.spec.service == *request.service;
            serves && request.versions.allow(&candidate.spec.version)
        });
        let candidates = u32::try_from(eligible.clone().count()).unwrap_or(u32::MAX);
        let speeds_differ = eligible
            .clone()
            .any(|(_, candidate)| candidate.steady != 1.0);
        let probability = self.sampling_probability(candidates);
        let jitter = if self.is_partitioned() {
            PARTITIONED_MAX_JITTER
        } else {
            MAX_JITTER
        };
        for (server, candidate) in eligible {
            let is_limited = candidate.rate_limit.available(now) == Some(0);
            if is_limited && request.work.requests > 0 || !candidate.notice.wants_requests(now) {
                continue;
            }
            let penalties = self.penalties(now, server, candidate, request);
            if penalties > max_penalties || candidate.memory_use_with(request.work) > max_memory_use
            {
                continue;
            }
            let cached = self.prompts.cached_tokens(now, request.parts, server);
            let load = candidate.load(now, request, cached) + rng.random_range(0.0..jitter);
            let is_considered = candidate.is_tracked || candidate.is_owned;
            let is_skipped = cached == 0 && !is_considered && !rng.random_bool(probability);
            let is_late = speeds_differ && self.is_late(now, candidate, request, cached);
            let order = (penalties, is_skipped, is_late, load);
            if best.is_none_or(|(best, _)| order < best) {
                best = Some((order, server));
            }
        }
        best.map(|((penalties, .., load), server)| Choice {
            server: server.clone(),
            score: Score {
                load,
                penalties,
                candidates,
            },
        })
    }

    /// Returns whether the first event of a request would come too late from a server with this
    /// number of its prompt tokens cached.
    fn is_late(
        &self,
        now: Clock,
        candidate: &Candidate,
        request: &Request<'_>,
        cached: u64,
    ) -> bool {
        let Some(within) = request.within else {
            return false;
        };
        let work = Work {
            prefill_tokens: request.work.prefill_tokens.saturating_sub(cached),
            ..request.work
        };
        let expected = self.first_event_time(now, candidate, work);
        expected.is_some_and(|expected| expected > within)
    }

    /// Returns the probability with which each server outside this process's partition and data
    /// centre is considered.
    fn sampling_probability(&self, candidates: u32) -> f64 {
        let processes = self.rank.1.max(1) as f64;
        let minimum = MIN_CONSIDERED_SERVERS / f64::from(candidates.max(1));
        (MAX_UNPARTITIONED_PROCESSES / processes)
            .powi(2)
            .max(minimum)
            .min(1.0)
    }

    /// Returns the sum of the server's penalties, 0 for a server without any.
    fn penalties(
        &self,
        now: Clock,
        server: &Server,
        candidate: &Candidate,
        request: &Request<'_>,
    ) -> u8 {
        let avoided = request.avoid.contains(server);
        let ejected = candidate.member.is_ejected(now);
        let full = candidate.member.is_refusing(now) || !candidate.fits(request.work);
        let avoided_data_centre = request.avoid_data_centre == Some(&candidate.spec.data_centre);
        let suspended = candidate.is_suspended(now);
        let suspected =
            self.suspicions
                .is_domain_suspected(now, &candidate.domain, candidate.last_alive);
        u8::from(suspended) * SUSPENDED_PENALTY
            + u8::from(avoided) * AVOIDED_SERVER_PENALTY
            + u8::from(suspected) * SUSPECTED_DATA_CENTRE_PENALTY
            + u8::from(ejected) * EJECTED_PENALTY
            + u8::from(full) * FULL_PENALTY
            + u8::from(avoided_data_centre) * AVOIDED_DATA_CENTRE_PENALTY
    }
}
