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

/// Deaths that it takes to refuse a fingerprint.
const DEATHS: usize = 2;

/// A request that strikes within the probation divided by this struck at once.
const AT_ONCE: u32 = 4;

/// Bounds and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// A request that has run this long beside others is no longer fresh.
    pub probation: Duration,
    /// How long a death blames.
    pub death_ttl: Duration,
    /// How long a fingerprint is refused.
    pub refusal_ttl: Duration,
    /// Most deaths, refusals and passes that are kept, each.
    pub max_facts: usize,
    /// Most flights of a death that are kept; the freshest stay.
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

/// What is held of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// It was in flight at one death that nobody else explains: at most one such on a server.
    Suspect,
    /// It was in flight at several: it runs with no other request that may be to blame.
    Isolated,
    /// It is refused.
    Refused {
        /// For how long.
        remaining: Duration,
    },
}

/// Whether a request may start on a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// It may.
    Allowed,
    /// Not now: a death could not be told apart. Another server, or a little later.
    Deferred,
}

/// The facts and what follows from them.
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    facts: Facts,
    /// Number of deaths that blame each suspect. Worked out once a change of the facts, since it is
    /// asked for each request in flight whenever one is placed.
    suspects: BTreeMap<Fingerprint, usize>,
}

/// Deaths that blame each fingerprint.
type Blames<'a> = BTreeMap<Fingerprint, Vec<&'a Death>>;

impl Detector {
    /// Starts with no facts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            facts: Facts::default(),
            suspects: BTreeMap::new(),
        }
    }

    /// The facts, to be spread.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Takes facts of another process; tells whether anything was new.
    pub fn merge(&mut self, facts: &Facts, now: Clock) -> bool {
        let new = self.facts.merge(facts);
        self.settle(now);
        new
    }

    /// Takes the death of a server that this process saw.
    pub fn record_death(&mut self, number: Nonce, mut death: Death, now: Clock) {
        death.flights.sort_by_key(|flight| flight.elapsed);
        death.flights.truncate(self.settings.max_flights);
        self.facts.deaths.entry(number).or_insert(death);
        self.settle(now);
    }

    /// A request ran to its end. If it was a suspect, it is cleared.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Clock) {
        if !self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.facts.cleared.insert(fingerprint, now);
        self.settle(now);
    }

    /// What is held of a fingerprint.
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

    /// Tells whether a request may start on a server beside what runs there.
    ///
    /// A fresh request beside a suspect would make the next death ambiguous: one would notice an
    /// innocent refused, or a third server lost. So a suspect starts beside no fresh request and no
    /// fresh suspect, nothing starts beside a fresh suspect, and nothing at all beside a solitary
    /// one.
    pub fn placement(&self, fingerprint: Fingerprint, running: &[Flight], now: Clock) -> Placement {
        let verdict = self.verdict(fingerprint, now);
        for flight in running {
            let fresh = flight.elapsed < self.settings.probation;
            let apart = match (verdict, self.verdict(flight.fingerprint, now)) {
                (_, Verdict::Isolated) | (Verdict::Isolated, Verdict::Suspect) => true,
                (Verdict::Clear, Verdict::Clear | Verdict::Refused { .. }) => false,
                (_, _) => fresh,
            };
            if apart {
                return Placement::Deferred;
            }
        }
        Placement::Allowed
    }

    /// Refuses whoever is proven, then forgets what has expired.
    fn settle(&mut self, now: Clock) {
        let until = now + self.settings.refusal_ttl;
        while let Some(fingerprint) = self.proven() {
            self.facts.refused.insert(fingerprint, until);
        }
        self.facts
            .trim(now, self.settings.death_ttl, self.settings.max_facts);
        let blames = self.blames();
        self.suspects = blames
            .iter()
            .map(|(fingerprint, deaths)| (*fingerprint, deaths.len()))
            .collect();
    }

    /// A fingerprint that the deaths prove, and that isn't refused yet.
    fn proven(&self) -> Option<Fingerprint> {
        for (fingerprint, deaths) in self.blames() {
            if deaths.len() < DEATHS || self.facts.refused.contains_key(&fingerprint) {
                continue;
            }
            if deaths.len() == DEATHS && !self.alike(fingerprint, &deaths) {
                continue;
            }
            let mut deaths_alone = deaths.iter();
            if deaths_alone.any(|death| !self.has_rival(fingerprint, death, &deaths)) {
                return Some(fingerprint);
            }
        }
        None
    }

    /// Tells whether the deaths look like the work of one request: it struck after about the same
    /// time, or at once when it was taken up again where it had struck before.
    ///
    /// A server that dies by itself while a suspect runs on it would otherwise prove an innocent
    /// guilty, and clear the poison that was with it the first time.
    fn alike(&self, fingerprint: Fingerprint, deaths: &[&Death]) -> bool {
        let (mut shortest, mut longest) = (Duration::MAX, Duration::ZERO);
        for death in deaths {
            let time = elapsed(fingerprint, death);
            shortest = shortest.min(time);
            longest = longest.max(time);
        }
        longest < self.settings.probation
            || shortest * 2 >= longest
            || shortest < self.settings.probation / AT_ONCE
    }

    /// Tells whether somebody else in flight at a death may be to blame for it: a fresh request, or
    /// one that was at another death with this one. The latter doesn't count beside a request that
    /// was fresh each time, since it has run on its own before this one came.
    fn has_rival(&self, fingerprint: Fingerprint, death: &Death, blames: &[&Death]) -> bool {
        let prompt = blames.iter().all(|death| self.fresh(fingerprint, death));
        death.flights.iter().any(|flight| {
            let shared = || {
                blames
                    .iter()
                    .any(|other| *other != death && holds(other, flight.fingerprint))
            };
            flight.fingerprint != fingerprint
                && (flight.elapsed < self.settings.probation || !prompt && shared())
        })
    }

    fn fresh(&self, fingerprint: Fingerprint, death: &Death) -> bool {
        elapsed(fingerprint, death) < self.settings.probation
    }

    /// Deaths that blame each fingerprint: it was there, nobody refused was, and it has not run to
    /// its end since.
    fn blames(&self) -> Blames<'_> {
        let mut blames = Blames::new();
        for death in self.facts.deaths.values() {
            if self.explained(death) {
                continue;
            }
            for flight in &death.flights {
                let passed = self.facts.cleared.get(&flight.fingerprint);
                if passed.is_some_and(|at| *at >= death.at) {
                    continue;
                }
                let of = blames.entry(flight.fingerprint).or_default();
                // The same content may have been in flight twice.
                if of.last().is_none_or(|last| *last != death) {
                    of.push(death);
                }
            }
        }
        blames
    }

    fn explained(&self, death: &Death) -> bool {
        death
            .flights
            .iter()
            .any(|flight| self.facts.refused.contains_key(&flight.fingerprint))
    }
}

/// How long a request had run when its server died; of several with the content the shortest.
fn elapsed(fingerprint: Fingerprint, death: &Death) -> Duration {
    let flights = death.flights.iter();
    let own = flights.filter(|flight| flight.fingerprint == fingerprint);
    own.map(|flight| flight.elapsed)
        .min()
        .unwrap_or(Duration::MAX)
}

fn holds(death: &Death, fingerprint: Fingerprint) -> bool {
    death
        .flights
        .iter()
        .any(|flight| flight.fingerprint == fingerprint)
}
