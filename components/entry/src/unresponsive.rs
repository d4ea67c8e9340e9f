//! Backend servers that were suspected rightly.
//!
//! A stopped server holds up every answer on it at once, and the retry budget has not as many
//! suspicions to give. Those that it denied would wait half a minute for certainty. Once a second
//! epoch has overtaken one answer of a server, there is evidence, and the others go on as after a
//! loss. A token from the server takes the evidence back.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};

/// Time that the evidence counts.
const COUNTS: Duration = Duration::from_secs(10);

/// The servers, with the time of the evidence.
#[derive(Default)]
pub(crate) struct Silent(Mutex<HashMap<Server, Clock>>);

impl Silent {
    /// A second epoch overtook an answer on this server.
    pub(crate) fn overtaken(&self, now: Clock, server: &Server) {
        let mut silent = self.0.lock().expect("no panic while held");
        silent.retain(|_, since| *since + COUNTS > now);
        silent.insert(server.clone(), now);
    }

    /// A fresh token came from this server.
    pub(crate) fn spoke(&self, server: &Server) {
        let mut silent = self.0.lock().expect("no panic while held");
        silent.remove(server);
    }

    /// Whether there is evidence against this server.
    pub(crate) fn is_silent(&self, now: Clock, server: &Server) -> bool {
        let silent = self.0.lock().expect("no panic while held");
        silent
            .get(server)
            .is_some_and(|since| *since + COUNTS > now)
    }
}
