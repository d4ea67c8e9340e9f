//! What a board is told, and what it asks its driver to do.

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

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due about every 100 ms.
    Tick {
        /// Wall-clock time since 1970.
        wall: Duration,
    },
    /// The platform's host list came.
    HostList(Vec<Listing>),
    /// Another process said something.
    Message {
        /// Its host.
        from: Host,
        /// What it said.
        message: Message,
    },
    /// The store answered [`Action::Read`]: all documents.
    Read {
        /// Number of the call.
        call: u64,
        /// The documents.
        documents: Vec<(Environment, Edition)>,
        /// The store's revision.
        revision: Revision,
    },
    /// The store answered [`Action::Watch`]: the documents that changed, or none.
    Changed {
        /// Number of the call.
        call: u64,
        /// The documents.
        documents: Vec<(Environment, Edition)>,
        /// The store's revision.
        revision: Revision,
    },
    /// The store has forgotten the revision that a watch went on from.
    Compacted {
        /// Number of the call.
        call: u64,
    },
    /// The store didn't answer a call as it should.
    Failed {
        /// Number of the call.
        call: u64,
    },
    /// This process wrote a document, or saw it in the store by other means.
    Observed {
        /// Its environment.
        environment: Environment,
        /// The document.
        edition: Edition,
    },
    /// This process found a fact out.
    AddFact {
        /// What it is about.
        key: Key,
        /// What is known.
        fact: Fact,
    },
    /// This process is leaving.
    Leave,
    /// An operator asks what is in force where.
    Survey {
        /// Number of the survey, for its answers.
        survey: u64,
    },
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To this host.
        to: Host,
        /// The message.
        message: Message,
    },
    /// Read all documents from the store.
    Read {
        /// Number of the call.
        call: u64,
    },
    /// Wait in the store for changes.
    Watch {
        /// Number of the call.
        call: u64,
        /// Revision after which changes are wanted.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// Give a call up, with its connection.
    StopWatch {
        /// Number of the call.
        call: u64,
    },
    /// A document came into force; [`crate::Board::document`] has it.
    InForce {
        /// Its environment.
        environment: Environment,
        /// Its revision.
        revision: Revision,
    },
    /// A fact came from another process; [`crate::Board::facts`] has it.
    FactReceived {
        /// What it is about.
        key: Key,
    },
    /// The process may serve from now on.
    Ready,
    /// The process may have missed something and must not serve until [`Action::Ready`].
    Unready,
    /// What the hosts of a data centre hold.
    Inventory {
        /// Number of the survey.
        survey: u64,
        /// What they hold.
        account: Inventory,
    },
}

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Random number of this process, not 0.
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
