//! Inputs of a [`Replica`](crate::Replica), and the actions that it requests from its driver.

use std::time::Duration;

use names::{
    DataCentre,
    Environment,
    Host,
    Nonce,
    Revision, //
};

use crate::{
    fact::{
        Fact,
        Key, //
    },
    membership::Listing,
    message::{
        Inventory,
        Message, //
    },
    slot::Edition,
    watch::Call, //
};

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer; due about every 100 ms.
    Tick {
        /// Wall-clock time since the Unix epoch.
        wall: Duration,
    },
    /// New host list from the platform.
    HostList(Vec<Listing>),
    /// Message from another process.
    Message {
        /// Host of the sender.
        from: Host,
        /// The message.
        message: Message,
    },
    /// Response of the store to [`Action::Read`], with all documents.
    Read {
        /// Id of the call.
        call: u64,
        /// All documents.
        documents: Vec<(Environment, Edition)>,
        /// Current revision of the store.
        revision: Revision,
    },
    /// Response of the store to [`Action::Watch`], with the changed documents, if any.
    Changed {
        /// Id of the call.
        call: u64,
        /// Documents that changed.
        documents: Vec<(Environment, Edition)>,
        /// Current revision of the store.
        revision: Revision,
    },
    /// The store has compacted the revision that a watch continues from.
    Compacted {
        /// Id of the call.
        call: u64,
    },
    /// A call to the store failed.
    Failed {
        /// Id of the call.
        call: u64,
    },
    /// This process wrote a document, or found it in the store by other means than a watch.
    Observed {
        /// Environment of the document.
        environment: Environment,
        /// The document.
        edition: Edition,
    },
    /// This process established a fact.
    AddFact {
        /// Key of the fact.
        key: Key,
        /// The fact.
        fact: Fact,
    },
    /// This process is shutting down.
    Leave,
    /// An operator requests the revisions that each host holds.
    Survey {
        /// Id of the survey, repeated in its results.
        survey: u64,
    },
}

/// Request to the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Host of the receiver.
        to: Host,
        /// The message.
        message: Message,
    },
    /// Read all documents from the store.
    Read {
        /// Id of the call.
        call: u64,
    },
    /// Long-poll the store for changes.
    Watch {
        /// Id of the call.
        call: u64,
        /// Revision after which to report changes.
        after: Revision,
        /// Time after which the store responds even without changes.
        wait: Duration,
    },
    /// Cancel a call and close its connection.
    StopWatch {
        /// Id of the call.
        call: u64,
    },
    /// A document came into force; [`crate::Replica::document`] returns it.
    InForce {
        /// Environment of the document.
        environment: Environment,
        /// Revision of the document.
        revision: Revision,
    },
    /// Another process sent a new fact; [`crate::Replica::facts`] holds it.
    FactReceived {
        /// Key of the fact.
        key: Key,
    },
    /// The process may serve requests from now on.
    Ready,
    /// The process may have missed changes and must not serve until [`Action::Ready`].
    Unready,
    /// Part of a survey's result: the revisions that the hosts of one data centre hold.
    Inventory {
        /// Id of the survey.
        survey: u64,
        /// Revisions by host.
        inventory: Inventory,
    },
}

/// Identity of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Host that the process runs on.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Random id of this process; never 0.
    pub incarnation: Nonce,
}

impl From<Call> for Action {
    fn from(call: Call) -> Self {
        match call {
            Call::Read { call } => Action::Read { call },
            Call::Watch { call, after, wait } => Action::Watch { call, after, wait },
            Call::Stop { call } => Action::StopWatch { call },
        }
    }
}
