//! What processes say to each other about documents and facts.

use names::{
    DataCentre,
    Environment,
    Host,
    Nonce,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    delta::Delta,
    fact::{
        Class,
        Fact,
        Key,
        Mark, //
    },
    slot::Edition, //
};

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat with digests of all that the sender holds.
    Heartbeat(Heartbeat),
    /// What the sender holds; the receiver sends what is newer.
    Holdings(Holdings),
    /// A document.
    Push(Push),
    /// The sender holds this revision of a document, or a newer one.
    Ack {
        /// Its environment.
        environment: Environment,
        /// The revision that is held.
        revision: Revision,
    },
    /// The sender couldn't use a change and needs the whole text.
    Ask {
        /// Its environment.
        environment: Environment,
    },
    /// Facts that are new to the sender, or that the receiver lacks.
    Facts(Vec<(Key, Fact)>),
    /// Names of all facts of a class that the sender knows.
    Have {
        /// The class.
        class: Class,
        /// The facts' names and weights.
        marks: Vec<Mark>,
    },
    /// The sender lacks these facts, named by the hashes of their keys.
    Want(Vec<u64>),
    /// Asks what the hosts of the receiver's data centre hold.
    Survey {
        /// Number of the survey.
        survey: u64,
    },
    /// What the hosts of a data centre hold.
    Inventory {
        /// Number of the survey.
        survey: u64,
        /// What they hold.
        account: Inventory,
    },
}

/// A heartbeat. Digests that differ lead to [`Message::Holding`] and [`Message::Have`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// Random number of the sender's process.
    pub incarnation: Nonce,
    /// The sender wants no new work.
    pub leaving: bool,
    /// The sender may serve, see [`crate::gate`].
    pub ready: bool,
    /// The store failed to answer the sender lately.
    pub store_fails: bool,
    /// Digest of the revisions held.
    pub documents: u64,
    /// Digest of the urgent facts.
    pub urgent: u64,
    /// Digest of the summaries.
    pub summaries: u64,
    /// The receiver is to answer, with this number; 0 asks for nothing.
    pub question: Nonce,
}

/// What a process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Revisions by environment.
    pub held: Vec<(Environment, Revision)>,
    /// The sender may serve.
    pub ready: bool,
    /// Number of the question that this answers; 0 when it answers none.
    pub answers: Nonce,
    /// The receiver shall say what it holds, if it lacks something.
    pub reply: bool,
}

/// A document on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Its environment.
    pub environment: Environment,
    /// The document, whole or as a change.
    pub body: Body,
    /// The sender waits for an acknowledgement.
    pub confirm: bool,
}

/// A document, whole or as a change from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The whole document.
    Whole(Edition),
    /// What changed.
    Delta {
        /// Revision that the change was made from.
        base: Revision,
        /// The new revision.
        revision: Revision,
        /// Digest of the new document.
        digest: u64,
        /// The change of the text.
        delta: Delta,
    },
}

impl Body {
    /// The revision that this brings.
    pub fn revision(&self) -> Revision {
        match self {
            Body::Whole(edition) => edition.revision,
            Body::Delta { revision, .. } => *revision,
        }
    }
}

/// What the hosts of one data centre hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Hosts by environment and revision; revision 0 is none.
    pub standings: Vec<Standing>,
    /// Hosts that are known and don't answer.
    pub silent: Vec<Host>,
}

/// The hosts of a data centre that hold the same revision of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The environment.
    pub environment: Environment,
    /// The revision that they hold.
    pub revision: Revision,
    /// The hosts.
    pub hosts: Vec<Host>,
}
