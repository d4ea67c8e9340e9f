//! What goes into a mover and what comes out.

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

/// A version picked for a request. The request's generations keep it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The version.
    pub side: Side,
    /// Share under which it was picked.
    pub level: Level,
    /// Slot of time in which it was picked.
    pub slot: u16,
    /// Route of the request.
    pub route: Route,
    /// Hash of the request.
    pub hash: u64,
}

/// How a request ended, as far as it says something about its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It got its answer.
    Completed,
    /// The version failed it: an error, a broken or stalled stream.
    Failed,
    /// Something else ended it: the caller, a refusal, a lost host, a server's death.
    ///
    /// A death ends many requests at once and is counted once, by [`Event::Died`].
    Inconclusive,
}

/// Something that entries tell one another. Facts may be lost, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// The move began at this time; the earliest holds.
    Began(SystemTime),
    /// Counts of a source.
    Cells {
        /// Who counted.
        source: Source,
        /// The cells that changed of late.
        cells: Cells,
    },
    /// Histograms of a source.
    Times {
        /// Who counted.
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

/// An answer of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// What stands under the move's key, after a read, a write or a conflict.
    Current {
        /// Revision of the key; 0 when there is none.
        revision: Revision,
        /// The record, if there is one.
        record: Option<Box<Record>>,
    },
    /// No answer or a refusal. A write may have taken effect.
    Failed,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A document holds the move.
    Planned {
        /// The move as the document has it.
        plan: Plan,
        /// The routes that move.
        routes: Vec<Route>,
    },
    /// A document no longer holds the move; the routes now name this version.
    Dropped(Side),
    /// All facts of a peer that is itself synced were taken in, or there is no such peer.
    ///
    /// Until then the new version gets no traffic from this entry, which may have been restarted
    /// after a veto. The store's record is no substitute: a veto is known before it is written.
    Synced,
    /// Replicas that can take work.
    Ready {
        /// Of the old version.
        old: u32,
        /// Of the new version.
        new: u32,
    },
    /// This entry's place in the order of who writes; 0 writes at once.
    Rank(u32),
    /// The service has more work than it can do, or no longer so.
    Overload(bool),
    /// A request's first token came.
    First {
        /// The request's pick.
        pick: Pick,
        /// Time since the request's arrival.
        time: Duration,
        /// Part of the time by which this entry itself ran late, from 0 to 1.
        late: f64,
    },
    /// The mean time between the first tokens of an answer is known; once a request.
    ///
    /// A few dozen tokens are enough. The answer of a slow version takes long to end, and until
    /// then its slowness would stay unseen.
    Between {
        /// The request's pick.
        pick: Pick,
        /// Mean time between tokens.
        time: Duration,
        /// Part of the time by which this entry itself ran late, from 0 to 1.
        late: f64,
    },
    /// A request ended.
    Finished {
        /// The request's pick.
        pick: Pick,
        /// How it ended.
        ending: Ending,
    },
    /// A backend server died, or a death is explained better than before.
    Died(Death),
    /// Another entry told something.
    Received(Fact),
    /// The store answered.
    Stored(Answer),
    /// Time passed; wanted about once a second.
    Tick,
}

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// New requests are picked by this share from now on.
    Share(Level),
    /// Send the new version's traffic to this many of its replicas; to all when none.
    Concentrate(Option<u32>),
    /// Keep the old version's replicas ready, or no longer.
    KeepWarm(bool),
    /// Tell the other entries.
    Publish(Fact),
    /// Read the move's record.
    Read,
    /// Write the move's record if its key still has this revision.
    Write {
        /// The record.
        record: Box<Record>,
        /// Revision that the key must have; 0 when it must be absent.
        expect: Revision,
    },
    /// Tell the operators.
    Notice(Notice),
}

/// Something for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This entry found the new version bad.
    Vetoed(Veto),
    /// The operator's time passed and the traffic hasn't moved whole.
    Late,
    /// The move has ended, and this entry wrote so.
    Reported(Outcome),
    /// The move has ended, as another entry wrote.
    Learned(Outcome),
    /// A veto came after the move was recorded as done. The record stands; look at the version.
    Overruled(Veto),
}
