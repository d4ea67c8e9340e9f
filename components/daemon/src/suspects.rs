//! What a process knows of poisonous requests, and how it tells the others.

use std::{
    sync::Mutex,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use contract::poison::{
    Death,
    Facts,
    Fingerprint,
    Flight,
    Ledger,
    Place,
    Settings,
    Verdict, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use wire::Frame;

/// Most deaths, refusals and passes, each, that a process keeps and tells at once.
const MOST: usize = 32;

/// Most requests of one death that are kept.
const FLIGHTS: usize = 128;

/// The ledger of one process, and its facts for the links.
pub struct Suspects {
    ledger: Mutex<Ledger>,
    facts: watch::Sender<Facts>,
}

impl Default for Suspects {
    fn default() -> Self {
        let settings = Settings {
            most: MOST,
            flights: FLIGHTS,
            ..Settings::default()
        };
        Self {
            ledger: Mutex::new(Ledger::new(settings)),
            facts: watch::Sender::default(),
        }
    }
}

impl Suspects {
    /// What is held of a fingerprint.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.lock().verdict(fingerprint, wall())
    }

    /// Tells whether a request may start beside what runs on a server.
    pub fn place(&self, fingerprint: Fingerprint, running: &[Flight]) -> Place {
        self.lock().place(fingerprint, running, wall())
    }

    /// All facts; to be sent along with a request that is under suspicion.
    pub fn facts(&self) -> Facts {
        self.facts.borrow().clone()
    }

    /// Takes the facts of another process.
    pub fn merge(&self, facts: &Facts) {
        let mut ledger = self.lock();
        if ledger.merge(facts, wall()) {
            self.facts.send_replace(ledger.facts().clone());
        }
    }

    /// Notes that the server beside this process died.
    pub fn died(&self, server: &str, flights: Vec<Flight>) {
        let mut ledger = self.lock();
        let death = Death {
            server: server.to_string(),
            at: wall(),
            flights,
        };
        ledger.died(rand::random(), death, wall());
        self.facts.send_replace(ledger.facts().clone());
    }

    /// Notes that a request ran to its end.
    pub fn ended(&self, fingerprint: Fingerprint) {
        let mut ledger = self.lock();
        if ledger.verdict(fingerprint, wall()) == Verdict::Clear {
            return;
        }
        ledger.ended(fingerprint, wall());
        self.facts.send_replace(ledger.facts().clone());
    }

    /// Sends the facts over a link, all that are known and then each change, until the link ends.
    pub async fn send_changes(&self, frames: mpsc::Sender<Frame>) {
        let mut facts = self.facts.subscribe();
        facts.mark_changed();
        loop {
            tokio::select! {
                () = frames.closed() => return,
                changed = facts.changed() => if changed.is_err() {
                    return;
                },
            }
            let now = facts.borrow_and_update().clone();
            if now == Facts::default() {
                continue;
            }
            if frames.send(Frame::Suspects(Box::new(now))).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no panic while held")
    }
}

/// Wall-clock time. Only expiry rests on it, and hosts differ by seconds at most.
fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
