//! Events, actions and gossiped facts of a mover.

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;
use names::{
    Revision,
    Route, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    evidence::{
        Cells,
        Death,
        Source,
        Times, //
    },
    outcome::{
        Outcome,
        Record,
        Veto, //
    },
    share::{
        Level,
        Side, //
    },
};

/// A version picked for a request. All generations of the request keep it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The picked version.
    pub side: Side,
    /// Share under which it was picked.
    pub level: Level,
    /// Time slot in which it was picked.
    pub slot: u16,
    /// Route of the request.
    pub route: Route,
    /// Hash of the request.
    pub hash: u64,
}

/// End of a request, as far as it is attributable to the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer was complete.
    Completed,
    /// The version failed: an error, or a broken or stalled stream.
    Failed,
    /// Something else ended the request: the caller, a refusal, a lost host, a server's death.
    ///
    /// A death ends many requests at once and is counted once, by [`Event::Died`].
    Inconclusive,
}

/// Information that entries exchange. Facts may be lost, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// The start of the move; the earliest received time applies.
    Began(SystemTime),
    /// Counts of a source.
    Cells {
        /// Source of the counts.
        source: Source,
        /// Recently changed cells.
        cells: Cells,
    },
    /// Histograms of a source.
    Times {
        /// Source of the counts.
        source: Source,
        /// Route of the requests.
        route: Route,
        /// Version of the requests.
        side: Side,
        /// The histograms.
        times: Times,
    },
    /// A backend server died.
    Death(Death),
    /// The new version is bad.
    Veto(Veto),
    /// The move has ended.
    Outcome(Outcome),
}

/// Response of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Current value of the move's key, after a read, a write or a conflict.
    Current {
        /// Revision of the key; 0 if the key is absent.
        revision: Revision,
        /// The record, if there is one.
        record: Option<Box<Record>>,
    },
    /// No response or a refusal. A write may have taken effect.
    Failed,
}

/// Input of a mover.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A document contains the move.
    Planned {
        /// The move as configured in the document.
        plan: Plan,
        /// The routes that the move covers.
        routes: Vec<Route>,
    },
    /// A document no longer contains the move; its routes now name this version.
    Dropped(Side),
    /// All facts of a synced peer were received, or there is no such peer.
    ///
    /// Until then the new version gets no traffic from this entry, which may have been restarted
    /// after a veto. The store's record is no substitute: a veto is known before it is written.
    Synced,
    /// Number of ready replicas.
    Ready {
        /// Ready replicas of the old version.
        old: u32,
        /// Ready replicas of the new version.
        new: u32,
    },
    /// This entry's rank among the writers; 0 writes at once.
    Rank(u32),
    /// Whether the service is overloaded.
    Overload(bool),
    /// The first token of a request arrived.
    First {
        /// The request's pick.
        pick: Pick,
        /// Time since the request's arrival.
        time: Duration,
        /// Fraction of the time by which this entry's own processing was delayed, from 0 to 1.
        late: f64,
    },
    /// The mean time between the first tokens of an answer was measured; once per request.
    ///
    /// A few dozen tokens are enough. A slow version takes long to finish an answer, and its
    /// slowness would go unnoticed until then.
    Between {
        /// The request's pick.
        pick: Pick,
        /// Mean time between tokens.
        time: Duration,
        /// Fraction of the time by which this entry's own processing was delayed, from 0 to 1.
        late: f64,
    },
    /// A request ended.
    Finished {
        /// The request's pick.
        pick: Pick,
        /// How the request ended.
        ending: Ending,
    },
    /// A backend server died, or the cause of a known death was found.
    Died(Death),
    /// A fact from another entry was received.
    Received(Fact),
    /// The store responded.
    Stored(Answer),
    /// Periodic timer, expected about once a second.
    Tick,
}

/// Output of a mover, to be carried out by its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Use this share for new requests.
    Share(Level),
    /// Restrict the new version's traffic to this many replicas; `None` lifts the restriction.
    Concentrate(Option<u32>),
    /// Whether to keep the old version's replicas ready.
    KeepWarm(bool),
    /// Send the fact to the other entries.
    Publish(Fact),
    /// Read the move's record.
    Read,
    /// Write the move's record if its key is still at this revision.
    Write {
        /// The record.
        record: Box<Record>,
        /// Revision that the key must have; 0 if it must be absent.
        expect: Revision,
    },
    /// Notify the operators.
    Notice(Notice),
}

/// Notification for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This entry found the new version bad.
    Vetoed(Veto),
    /// The deadline passed before all traffic had moved.
    Late,
    /// The move ended, and this entry wrote the outcome.
    Reported(Outcome),
    /// The move ended; another entry wrote the outcome.
    Received(Outcome),
    /// A veto followed the record that the move is done. The record stays in force; the operators
    /// should inspect the version.
    Overruled(Veto),
}
