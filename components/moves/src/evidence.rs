//! What the entries saw of two versions, in a form that gossip may repeat, reorder and lose.
//!
//! Each entry counts in cells of its own, whose counters only grow. Copies of a cell merge to the
//! larger of each counter: commutative, associative, idempotent. Between data centres travel sums
//! over the entries of one data centre; a sum that misses an entry is smaller in some counter, so
//! that the larger one is never more than what happened.

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

/// Who counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One run of an entry. A restarted entry counts from 0 under a new incarnation.
    Entry {
        /// Host of the entry.
        host: Host,
        /// Number of the run.
        incarnation: u64,
    },
    /// Sum over the entries of a data centre.
    Centre(DataCentre),
}

/// Which requests a cell counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Slot of time in which the version was picked.
    pub slot: u16,
    /// Share under which the version was picked.
    pub level: Level,
    /// Route of the requests.
    pub route: Route,
}

/// Counts of one version. Counters only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that came to an end which says something about the version.
    pub requests: u32,
    /// Requests that failed by the version's fault.
    pub failed: u32,
    /// First tokens that were waited for.
    pub firsts: u32,
    /// First tokens that came later than the limit.
    pub slow_first: u32,
    /// Answers whose time between tokens is known.
    pub betweens: u32,
    /// Answers whose time between tokens was over the limit.
    pub slow_between: u32,
    /// The requests that failed.
    pub failures: Sketch,
}

/// Counts of both versions over the same requests' time, route and share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pair {
    /// The version that the traffic leaves.
    pub old: Tally,
    /// The version that the traffic goes to.
    pub new: Tally,
}

/// Histograms of one route and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Times {
    /// From a request's arrival to its first token or byte.
    pub first: Histogram,
    /// Mean time between tokens of an answer.
    pub between: Histogram,
}

/// Why a backend server died.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// Nothing explains it but the version.
    Unexplained,
    /// Too much was asked of it.
    Overload,
    /// Its host, rack or data centre was lost.
    HostLoss,
    /// A request that brings down servers of any version.
    Poison,
}

/// Death of a backend server. Entries that saw the same death name it alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The backend server.
    pub server: Server,
    /// Which of its runs ended.
    pub incarnation: u64,
    /// Version that it ran.
    pub side: Side,
    /// Slot of time of the death.
    pub slot: u16,
    /// Share at the death.
    pub level: Level,
    /// The best explanation known; a later one replaces [`Cause::Unexplained`].
    pub cause: Cause,
}

/// Cells of one source.
pub type Cells = BTreeMap<Key, Pair>;

/// Most deaths that a move remembers. Many more than any judgement needs.
const DEATHS: usize = 256;

/// All that is known of both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evidence {
    sources: BTreeMap<Source, Cells>,
    times: BTreeMap<Source, BTreeMap<(Route, Side), Times>>,
    deaths: BTreeMap<(Server, u64), Death>,
}

impl Tally {
    /// Takes in a copy of the same tally.
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

    /// Number of events that speak against the version.
    pub fn against(&self) -> u32 {
        let slow = self.slow_first.saturating_add(self.slow_between);
        slow.saturating_add(self.distinct_failures())
    }

    /// Number of distinct requests that failed.
    pub fn distinct_failures(&self) -> u32 {
        self.failures.distinct(self.failed)
    }
}

impl Pair {
    /// Counts of one version.
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
    /// Gives the cell of a source for counting.
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

    /// Takes in cells of a source, which may be old, repeated or incomplete.
    pub fn merge_cells(&mut self, source: &Source, cells: &Cells) {
        for (key, pair) in cells {
            let mine = self.cell(source, key);
            mine.old.merge(&pair.old);
            mine.new.merge(&pair.new);
        }
    }

    /// Gives the histograms of a source for counting.
    pub fn times(&mut self, source: &Source, route: &Route, side: Side) -> &mut Times {
        let of_source = self.times.entry(source.clone()).or_default();
        of_source.entry((route.clone(), side)).or_default()
    }

    /// Takes in histograms of a source.
    pub fn merge_times(&mut self, source: &Source, route: &Route, side: Side, times: &Times) {
        let mine = self.times(source, route, side);
        mine.first.merge(&times.first);
        mine.between.merge(&times.between);
    }

    /// Takes in a death; tells whether anything new was learned.
    pub fn merge_death(&mut self, death: &Death) -> bool {
        let name = (death.server.clone(), death.incarnation);
        let Some(known) = self.deaths.get_mut(&name) else {
            if self.deaths.len() >= DEATHS {
                return false;
            }
            self.deaths.insert(name, death.clone());
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

    /// Deaths known so far.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.values()
    }

    /// Sums the cells of all sources.
    ///
    /// A data centre's sum counts only where none of its entries is known one by one: `data_centre` is
    /// the data centre whose entries are.
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

    /// Cells by source.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, &Cells)> {
        self.sources.iter()
    }

    /// Histograms of a source.
    pub fn times_of(&self, source: &Source) -> impl Iterator<Item = (&Route, Side, &Times)> {
        let of_source = self.times.get(source).into_iter().flatten();
        of_source.map(|((route, side), times)| (route, *side, times))
    }

    /// Sums the cells of the entries known one by one, for the other data centres.
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
