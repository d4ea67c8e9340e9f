//! Messages between processes about documents and facts.

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
        Fingerprint,
        Key, //
    },
    slot::Edition, //
};

/// Message between processes. Postcard encodes variants by position, so their order is the wire
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat with digests of the sender's documents and facts.
    Heartbeat(Heartbeat),
    /// Revisions that the sender holds; the receiver replies with newer documents.
    Holdings(Holdings),
    /// Document that the sender holds.
    Push(Push),
    /// Acknowledgement that the sender holds this revision of a document, or a newer one.
    Ack {
        /// Environment of the document.
        environment: Environment,
        /// Revision that the sender holds.
        revision: Revision,
    },
    /// Request for the full text of a document, as the sender could not apply a delta.
    Pull {
        /// Environment of the document.
        environment: Environment,
    },
    /// Facts that are new to the sender, or that the receiver lacks.
    Facts(Vec<(Key, Fact)>),
    /// Fingerprints of all facts of a class that the sender knows.
    Have {
        /// Class of the facts.
        class: Class,
        /// Fingerprints of the facts.
        fingerprints: Vec<Fingerprint>,
    },
    /// Request for facts that the sender lacks, by the hashes of their keys.
    Want(Vec<u64>),
    /// Request for the revisions that the hosts of the receiver's data centre hold.
    Survey {
        /// Id of the survey.
        survey: u64,
    },
    /// Response to [`Message::Survey`].
    Inventory {
        /// Id of the survey.
        survey: u64,
        /// Revisions by host.
        inventory: Inventory,
    },
}

/// Heartbeat. A difference in the digests triggers [`Message::Holdings`] and [`Message::Have`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Random id of the sender's process.
    pub incarnation: Nonce,
    /// Whether the sender accepts no new work.
    pub leaving: bool,
    /// Whether the sender may serve, see [`crate::gate`].
    pub ready: bool,
    /// Whether the sender's last calls to the store failed.
    pub store_fails: bool,
    /// Digest of the revisions that the sender holds.
    pub documents: u64,
    /// Digest of the urgent facts.
    pub urgent: u64,
    /// Digest of the summaries.
    pub summaries: u64,
    /// Nonce that the receiver must answer with; 0 requests no answer.
    pub nonce: Nonce,
}

/// Revisions that a process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Revisions by environment.
    pub held: Vec<(Environment, Revision)>,
    /// Whether the sender may serve.
    pub ready: bool,
    /// Nonce of the heartbeat that this answers; 0 for none.
    pub in_reply_to: Nonce,
    /// Whether the receiver should reply with its own revisions if it lacks a newer one.
    pub reply: bool,
}

/// Transfer of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Environment of the document.
    pub environment: Environment,
    /// Content of the document.
    pub body: Body,
    /// Whether the sender expects an acknowledgement.
    pub confirm: bool,
}

/// Content of a document, in full or as a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Full document.
    Whole(Edition),
    /// Change against an older revision.
    Delta {
        /// Revision that the delta was computed from.
        base: Revision,
        /// New revision.
        revision: Revision,
        /// Digest of the new document.
        digest: u64,
        /// Change of the text.
        delta: Delta,
    },
}

impl Body {
    /// Returns the revision of the transferred document.
    pub fn revision(&self) -> Revision {
        match self {
            Body::Whole(edition) => edition.revision,
            Body::Delta { revision, .. } => *revision,
        }
    }
}

/// Revisions that the hosts of one data centre hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Hosts by environment and revision; revision 0 means none.
    #[serde(rename = "standings")]
    pub holders: Vec<Holders>,
    /// Known hosts that do not answer.
    pub silent: Vec<Host>,
}

/// Hosts of a data centre that hold the same revision of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holders {
    /// Environment of the document.
    pub environment: Environment,
    /// Revision that the hosts hold.
    pub revision: Revision,
    /// Names of the hosts.
    pub hosts: Vec<Host>,
}
