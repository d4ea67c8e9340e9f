//! Facts about poisonous requests (requests that crash servers) known to this process, and their
//! exchange with other processes.

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
    Detector,
    Facts,
    Fingerprint,
    Flight,
    Placement,
    Settings,
    Verdict, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use wire::Frame;

/// Maximum number of deaths, of refusals and of cleared suspects that a process stores and sends in
/// one message.
const MAX_FACTS_PER_KIND: usize = 32;

/// Maximum number of in-flight requests that are stored for one death.
const MAX_FLIGHTS_PER_DEATH: usize = 128;

/// Detector of poisonous requests in one process, and its facts, which links send to other
/// processes.
pub struct SharedDetector {
    detector: Mutex<Detector>,
    facts: watch::Sender<Facts>,
}

impl Default for SharedDetector {
    fn default() -> Self {
        let settings = Settings {
            max_facts: MAX_FACTS_PER_KIND,
            max_flights: MAX_FLIGHTS_PER_DEATH,
            ..Settings::default()
        };
        Self {
            detector: Mutex::new(Detector::new(settings)),
            facts: watch::Sender::default(),
        }
    }
}

impl SharedDetector {
    /// Returns whether a request is clear, suspected, isolated or refused.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.lock().verdict(fingerprint, wall_clock())
    }

    /// Returns whether a request may start beside those that run on a server.
    pub fn placement(&self, fingerprint: Fingerprint, running: &[Flight]) -> Placement {
        self.lock().placement(fingerprint, running, wall_clock())
    }

    /// Returns all facts, to be sent along with a suspected request.
    pub fn facts(&self) -> Facts {
        self.facts.borrow().clone()
    }

    /// Merges the facts that another process sent.
    pub fn merge(&self, facts: &Facts) {
        let mut detector = self.lock();
        if detector.merge(facts, wall_clock()) {
            self.facts.send_replace(detector.facts().clone());
        }
    }

    /// Records that the server behind this sidecar died, and which requests were in flight.
    pub fn record_death(&self, server: &str, flights: Vec<Flight>) {
        let mut detector = self.lock();
        let death = Death {
            server: server.to_string(),
            at: wall_clock(),
            flights,
        };
        detector.record_death(rand::random(), death, wall_clock());
        self.facts.send_replace(detector.facts().clone());
    }

    /// Records that a request ran to its end.
    pub fn record_completion(&self, fingerprint: Fingerprint) {
        let mut detector = self.lock();
        if detector.verdict(fingerprint, wall_clock()) == Verdict::Clear {
            return;
        }
        detector.record_completion(fingerprint, wall_clock());
        self.facts.send_replace(detector.facts().clone());
    }

    /// Sends the facts over a link, first all that are known and then after each change, until the
    /// link ends.
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
            let current = facts.borrow_and_update().clone();
            if current == Facts::default() {
                continue;
            }
            if frames
                .send(Frame::Suspects(Box::new(current)))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Detector> {
        self.detector.lock().expect("no panic while held")
    }
}

/// Returns the wall-clock time. The expiry and eviction of facts and the comparison of deaths with
/// cleared suspects depend on it; the clocks of hosts differ by seconds at most.
fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
