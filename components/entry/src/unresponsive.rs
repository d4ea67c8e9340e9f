//! Backend servers that have recently proved unresponsive.
//!
//! A stopped server stalls all its answers at once, and the retry budget doesn't cover a resume on
//! suspicion for each of them. Answers that the budget denies would wait half a minute until the
//! loss is certain. Once a second epoch has overtaken one answer of a server, that is evidence
//! against the server, and its other answers resume as after a loss. A token from the server
//! removes the evidence.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};

/// Time for which evidence against a server is valid.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(10);

/// Unresponsive servers, each with the time of the latest evidence.
#[derive(Default)]
pub(crate) struct Unresponsive(Mutex<HashMap<Server, Clock>>);

impl Unresponsive {
    /// Records that a later epoch overtook an answer on this server.
    pub(crate) fn record_overtaken(&self, now: Clock, server: &Server) {
        let mut servers = self.0.lock().expect("no panic while held");
        servers.retain(|_, since| *since + EVIDENCE_LIFETIME > now);
        servers.insert(server.clone(), now);
    }

    /// Clears a server, as it sent a fresh token.
    pub(crate) fn clear(&self, server: &Server) {
        let mut servers = self.0.lock().expect("no panic while held");
        servers.remove(server);
    }

    /// Returns whether there is valid evidence against this server.
    pub(crate) fn contains(&self, now: Clock, server: &Server) -> bool {
        let servers = self.0.lock().expect("no panic while held");
        servers
            .get(server)
            .is_some_and(|since| *since + EVIDENCE_LIFETIME > now)
    }
}
