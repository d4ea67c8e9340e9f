//! Verdicts on fingerprints, derived from the facts.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    Nonce, //
};

use super::{
    Death,
    Facts,
    Fingerprint,
    Flight, //
};

/// Minimum number of deaths before a fingerprint is refused.
const MIN_DEATHS_FOR_REFUSAL: usize = 2;

/// A crash within the probation period divided by this number counts as immediate.
const IMMEDIATE_CRASH_DIVISOR: u32 = 4;

/// Timing and limits of the detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a request counts as fresh, that is, as a possible cause of a crash while others
    /// run.
    pub probation: Duration,
    /// How long a death makes suspects of the requests that were in flight.
    pub death_ttl: Duration,
    /// How long a fingerprint stays refused.
    pub refusal_ttl: Duration,
    /// Maximum number of stored deaths, of refusals, and of cleared suspects.
    pub max_facts: usize,
    /// Maximum number of in-flight requests stored per death; those that ran shortest are stored.
    pub max_flights: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probation: Duration::from_secs(2),
            death_ttl: Duration::from_secs(30 * 60),
            refusal_ttl: Duration::from_secs(60 * 60),
            max_facts: 256,
            max_flights: 256,
        }
    }
}

/// Assessment of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request is not suspected.
    Clear,
    /// In flight at one unexplained death: starts beside no request that has run for less than the
    /// probation period, and no new request starts beside it until it has run for that period.
    Suspect,
    /// In flight at several unexplained deaths: starts beside no suspect and no fresh request, and
    /// nothing starts beside it.
    Isolated,
    /// The request is refused on every server.
    Refused {
        /// Time until the refusal ends.
        remaining: Duration,
    },
}

/// Whether a request may start on a given server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// The request may start.
    Allowed,
    /// The request must not start here now, because the cause of a death would be ambiguous. Try
    /// another server, or the same one later.
    Deferred,
}

/// Derives verdicts from the facts.
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    facts: Facts,
    /// Number of deaths attributed to each suspect. Cached until the facts change, since each
    /// placement looks it up for every request in flight.
    suspects: BTreeMap<Fingerprint, usize>,
}

/// Deaths attributed to each fingerprint.
type Attributions<'a> = BTreeMap<Fingerprint, Vec<&'a Death>>;

impl Detector {
    /// Creates a detector without facts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            facts: Facts::default(),
            suspects: BTreeMap::new(),
        }
    }

    /// Returns all facts, to be sent to other processes.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Merges the facts of another process and returns whether anything was new.
    pub fn merge(&mut self, facts: &Facts, now: Clock) -> bool {
        let changed = self.facts.merge(facts);
        self.update(now);
        changed
    }

    /// Records the death of a server that this process observed.
    pub fn record_death(&mut self, nonce: Nonce, mut death: Death, now: Clock) {
        death.flights.sort_by_key(|flight| flight.elapsed);
        death.flights.truncate(self.settings.max_flights);
        self.facts.deaths.entry(nonce).or_insert(death);
        self.update(now);
    }

    /// Records that a request completed. If it was a suspect, it is cleared.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Clock) {
        if !self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.facts.cleared.insert(fingerprint, now);
        self.update(now);
    }

    /// Returns the verdict on a fingerprint.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Clock) -> Verdict {
        if let Some(until) = self.facts.refused.get(&fingerprint)
            && *until > now
        {
            return Verdict::Refused {
                remaining: *until - now,
            };
        }
        match self.suspects.get(&fingerprint) {
            None => Verdict::Clear,
            Some(1) => Verdict::Suspect,
            Some(_) => Verdict::Isolated,
        }
    }

    /// Returns whether a request may start on a server beside the `running` requests.
    ///
    /// A fresh request beside a suspect would make the next death ambiguous: an innocent request
    /// could be refused, or a third server lost. A suspect therefore starts beside no fresh
    /// request, no request starts beside a fresh suspect, and none ever starts beside an isolated
    /// one.
    pub fn placement(&self, fingerprint: Fingerprint, running: &[Flight], now: Clock) -> Placement {
        let verdict = self.verdict(fingerprint, now);
        for flight in running {
            let fresh = flight.elapsed < self.settings.probation;
            let conflict = match (verdict, self.verdict(flight.fingerprint, now)) {
                (_, Verdict::Isolated) | (Verdict::Isolated, Verdict::Suspect) => true,
                (Verdict::Clear, Verdict::Clear | Verdict::Refused { .. }) => false,
                (_, _) => fresh,
            };
            if conflict {
                return Placement::Deferred;
            }
        }
        Placement::Allowed
    }

    /// Refuses every proven fingerprint, prunes expired facts and rebuilds the suspect cache.
    fn update(&mut self, now: Clock) {
        let until = now + self.settings.refusal_ttl;
        while let Some(fingerprint) = self.proven() {
            self.facts.refused.insert(fingerprint, until);
        }
        self.facts
            .prune(now, self.settings.death_ttl, self.settings.max_facts);
        let attributions = self.attributions();
        self.suspects = attributions
            .iter()
            .map(|(fingerprint, deaths)| (*fingerprint, deaths.len()))
            .collect();
    }

    /// Returns a fingerprint that the deaths prove to be poisonous and that isn't refused yet.
    fn proven(&self) -> Option<Fingerprint> {
        for (fingerprint, deaths) in self.attributions() {
            if deaths.len() < MIN_DEATHS_FOR_REFUSAL
                || self.facts.refused.contains_key(&fingerprint)
            {
                continue;
            }
            if deaths.len() == MIN_DEATHS_FOR_REFUSAL && !self.consistent(fingerprint, &deaths) {
                continue;
            }
            let mut candidates = deaths.iter();
            if candidates.any(|death| !self.has_rival(fingerprint, death, &deaths)) {
                return Some(fingerprint);
            }
        }
        None
    }

    /// Returns whether the deaths are consistent with one cause: the request crashed its servers
    /// after similar run times, or immediately when it resumed at the point of the earlier crash.
    ///
    /// Otherwise a server that dies on its own while a suspect runs on it would incriminate an
    /// innocent request, and clear the poisonous one that ran beside it at the first death.
    fn consistent(&self, fingerprint: Fingerprint, deaths: &[&Death]) -> bool {
        let (mut shortest, mut longest) = (Duration::MAX, Duration::ZERO);
        for death in deaths {
            let run_time = elapsed(fingerprint, death);
            shortest = shortest.min(run_time);
            longest = longest.max(run_time);
        }
        longest < self.settings.probation
            || shortest * 2 >= longest
            || shortest < self.settings.probation / IMMEDIATE_CRASH_DIVISOR
    }

    /// Returns whether another request in flight at a death may have caused it: a fresh one, or one
    /// that was also in flight at another of the deaths. The latter doesn't count if this request
    /// was fresh at every death, since the other one had run without a crash before this one
    /// started.
    fn has_rival(&self, fingerprint: Fingerprint, death: &Death, deaths: &[&Death]) -> bool {
        let always_fresh = deaths
            .iter()
            .all(|death| self.was_fresh(fingerprint, death));
        death.flights.iter().any(|flight| {
            let shared = || {
                deaths
                    .iter()
                    .any(|other| *other != death && contains(other, flight.fingerprint))
            };
            flight.fingerprint != fingerprint
                && (flight.elapsed < self.settings.probation || !always_fresh && shared())
        })
    }

    fn was_fresh(&self, fingerprint: Fingerprint, death: &Death) -> bool {
        elapsed(fingerprint, death) < self.settings.probation
    }

    /// Attributes deaths to fingerprints: the fingerprint was in flight, no refused one was, and it
    /// has not completed since.
    fn attributions(&self) -> Attributions<'_> {
        let mut attributions = Attributions::new();
        for death in self.facts.deaths.values() {
            if self.explained(death) {
                continue;
            }
            for flight in &death.flights {
                let cleared = self.facts.cleared.get(&flight.fingerprint);
                if cleared.is_some_and(|at| *at >= death.at) {
                    continue;
                }
                let deaths = attributions.entry(flight.fingerprint).or_default();
                // Two requests with the same content may have been in flight.
                if deaths.last().is_none_or(|last| *last != death) {
                    deaths.push(death);
                }
            }
        }
        attributions
    }

    fn explained(&self, death: &Death) -> bool {
        death
            .flights
            .iter()
            .any(|flight| self.facts.refused.contains_key(&flight.fingerprint))
    }
}

/// Returns how long a request had run when its server died; the shortest time if several requests
/// had the same fingerprint.
fn elapsed(fingerprint: Fingerprint, death: &Death) -> Duration {
    let flights = death.flights.iter();
    let own = flights.filter(|flight| flight.fingerprint == fingerprint);
    own.map(|flight| flight.elapsed)
        .min()
        .unwrap_or(Duration::MAX)
}

fn contains(death: &Death, fingerprint: Fingerprint) -> bool {
    death
        .flights
        .iter()
        .any(|flight| flight.fingerprint == fingerprint)
}
