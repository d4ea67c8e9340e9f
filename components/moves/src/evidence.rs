//! Observations of the two versions, in a form that gossip may repeat, reorder and lose.
//!
//! Each entry counts in its own cells, whose counters only grow. Copies of a cell merge to the
//! larger value of each counter, which is commutative, associative and idempotent. Data centres
//! exchange sums over their entries; a sum that misses an entry is smaller in some counter, so the
//! larger value never exceeds what happened.

use std::collections::BTreeMap;

use names::{
    DataCentre,
    Host,
    Route,
    Server, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    share::{
        Level,
        Side, //
    },
    sketch::Sketch,
    times::Histogram, //
};

/// Origin of counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One run of an entry. A restarted entry counts from 0 under a new incarnation.
    Entry {
        /// Host of the entry.
        host: Host,
        /// Incarnation of the entry.
        incarnation: u64,
    },
    /// Sum over the entries of a data centre.
    Centre(DataCentre),
}

/// Identifies the requests that a cell counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Time slot in which the version was picked.
    pub slot: u16,
    /// Share under which the version was picked.
    pub level: Level,
    /// Route of the requests.
    pub route: Route,
}

/// Counts of one version. Counters only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Ended requests whose end is attributable to the version.
    pub requests: u32,
    /// Requests that failed because of the version.
    pub failed: u32,
    /// First tokens that were awaited.
    pub firsts: u32,
    /// First tokens that arrived after the limit.
    pub slow_first: u32,
    /// Answers with a measured time between tokens.
    pub betweens: u32,
    /// Answers whose time between tokens exceeded the limit.
    pub slow_between: u32,
    /// Sketch of the failed requests.
    pub failures: Sketch,
}

/// Counts of both versions for the same slot, share and route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pair {
    /// The version that the traffic leaves.
    pub old: Tally,
    /// The version that the traffic goes to.
    pub new: Tally,
}

/// Latency histograms of one route and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Times {
    /// From a request's arrival to its first token or byte.
    pub first: Histogram,
    /// Mean time between tokens of an answer.
    pub between: Histogram,
}

/// Cause of a backend server's death.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// No cause other than the version is known.
    Unexplained,
    /// The server was overloaded.
    Overload,
    /// Its host, rack or data centre was lost.
    HostLoss,
    /// A request that crashes servers of any version.
    Poison,
}

/// Death of a backend server. All entries that observe the same death identify it alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The backend server.
    pub server: Server,
    /// Incarnation of the server that died.
    pub incarnation: u64,
    /// Version that it ran.
    pub side: Side,
    /// Time slot of the death.
    pub slot: u16,
    /// Share of the new version at the death.
    pub level: Level,
    /// Best known cause; any other cause replaces [`Cause::Unexplained`].
    pub cause: Cause,
}

/// Cells of one source.
pub type Cells = BTreeMap<Key, Pair>;

/// Maximum number of deaths kept per move, well above what a verdict needs.
const MAX_DEATHS: usize = 256;

/// Everything known about both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evidence {
    sources: BTreeMap<Source, Cells>,
    times: BTreeMap<Source, BTreeMap<(Route, Side), Times>>,
    deaths: BTreeMap<(Server, u64), Death>,
}

impl Tally {
    /// Merges a copy of the same tally.
    pub fn merge(&mut self, other: &Self) {
        self.requests = self.requests.max(other.requests);
        self.failed = self.failed.max(other.failed);
        self.firsts = self.firsts.max(other.firsts);
        self.slow_first = self.slow_first.max(other.slow_first);
        self.betweens = self.betweens.max(other.betweens);
        self.slow_between = self.slow_between.max(other.slow_between);
        self.failures.merge(&other.failures);
    }

    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failed = self.failed.saturating_add(other.failed);
        self.firsts = self.firsts.saturating_add(other.firsts);
        self.slow_first = self.slow_first.saturating_add(other.slow_first);
        self.betweens = self.betweens.saturating_add(other.betweens);
        self.slow_between = self.slow_between.saturating_add(other.slow_between);
        self.failures.merge(&other.failures);
    }

    /// Returns the number of events that speak against the version.
    pub fn events_against(&self) -> u32 {
        let slow = self.slow_first.saturating_add(self.slow_between);
        slow.saturating_add(self.distinct_failures())
    }

    /// Returns the number of distinct failed requests.
    pub fn distinct_failures(&self) -> u32 {
        self.failures.distinct(self.failed)
    }
}

impl Pair {
    /// Returns the counts of one version.
    pub fn side(&mut self, side: Side) -> &mut Tally {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }
}

impl Evidence {
    /// Returns the cell of a source, created if absent.
    pub fn cell(&mut self, source: &Source, key: &Key) -> &mut Pair {
        if !self.sources.contains_key(source) {
            self.sources.insert(source.clone(), Cells::new());
        }
        let cells = self.sources.get_mut(source).expect("the source was added");
        if !cells.contains_key(key) {
            cells.insert(key.clone(), Pair::default());
        }
        cells.get_mut(key).expect("the cell was added")
    }

    /// Merges cells of a source, which may be outdated, repeated or incomplete.
    pub fn merge_cells(&mut self, source: &Source, cells: &Cells) {
        for (key, pair) in cells {
            let own = self.cell(source, key);
            own.old.merge(&pair.old);
            own.new.merge(&pair.new);
        }
    }

    /// Returns the histograms of a source, created if absent.
    pub fn times(&mut self, source: &Source, route: &Route, side: Side) -> &mut Times {
        let of_source = self.times.entry(source.clone()).or_default();
        of_source.entry((route.clone(), side)).or_default()
    }

    /// Merges histograms of a source.
    pub fn merge_times(&mut self, source: &Source, route: &Route, side: Side, times: &Times) {
        let own = self.times(source, route, side);
        own.first.merge(&times.first);
        own.between.merge(&times.between);
    }

    /// Merges a death and returns whether it added information.
    pub fn merge_death(&mut self, death: &Death) -> bool {
        let identity = (death.server.clone(), death.incarnation);
        let Some(known) = self.deaths.get_mut(&identity) else {
            if self.deaths.len() >= MAX_DEATHS {
                return false;
            }
            self.deaths.insert(identity, death.clone());
            return true;
        };
        let merged = (
            known.cause.max(death.cause),
            known.slot.min(death.slot),
            known.level.min(death.level),
        );
        let changed = merged != (known.cause, known.slot, known.level);
        (known.cause, known.slot, known.level) = merged;
        changed
    }

    /// Iterates over the known deaths.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.values()
    }

    /// Sums the cells of all sources.
    ///
    /// A data centre's sum counts only where its entries aren't known individually: `data_centre`
    /// is the one whose entries are.
    pub fn total(&self, data_centre: &DataCentre) -> Cells {
        let own = Source::Centre(data_centre.clone());
        let mut total = Cells::new();
        for (source, cells) in &self.sources {
            if *source == own {
                continue;
            }
            for (key, pair) in cells {
                total.entry(key.clone()).or_default().add(pair);
            }
        }
        total
    }

    /// Sums one cell over all sources, like [`Evidence::total`].
    pub fn total_of(&self, data_centre: &DataCentre, key: &Key) -> Pair {
        let own = Source::Centre(data_centre.clone());
        let mut total = Pair::default();
        for (source, cells) in &self.sources {
            if *source == own {
                continue;
            }
            if let Some(pair) = cells.get(key) {
                total.add(pair);
            }
        }
        total
    }

    /// Iterates over the cells by source.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, &Cells)> {
        self.sources.iter()
    }

    /// Iterates over the histograms of a source.
    pub fn times_of(&self, source: &Source) -> impl Iterator<Item = (&Route, Side, &Times)> {
        let of_source = self.times.get(source).into_iter().flatten();
        of_source.map(|((route, side), times)| (route, *side, times))
    }

    /// Sums the cells of the individually known entries, for the other data centres.
    pub fn summary(&self) -> Cells {
        let mut total = Cells::new();
        for (source, cells) in &self.sources {
            let Source::Entry { .. } = source else {
                continue;
            };
            for (key, pair) in cells {
                total.entry(key.clone()).or_default().add(pair);
            }
        }
        total
    }

    /// Sums the histograms of a route and version over all sources.
    pub fn all_times(&self, route: &Route, side: Side) -> Times {
        let mut total = Times::default();
        for by_route in self.times.values() {
            let Some(times) = by_route.get(&(route.clone(), side)) else {
                continue;
            };
            total.first.add(&times.first);
            total.between.add(&times.between);
        }
        total
    }
}
