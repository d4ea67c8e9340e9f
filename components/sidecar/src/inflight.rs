//! Tracks the requests in flight at the backend server, which become suspects when it dies.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use contract::poison::{
    Facts,
    Fingerprint,
    Flight,
    Placement,
    Verdict, //
};
use daemon::suspects::SharedDetector;
use reqwest::Client;
use settings::Sidecar;
use tokio::time::{
    Instant,
    sleep, //
};

/// Maximum time that a request waits until it may run together with those in flight. Slightly
/// longer than the probation in `contract::poison`, so that a suspected request always gets its
/// turn.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Interval between two checks of a waiting request.
const ADMISSION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit of the health check. A server that refuses the connection is dead; one that doesn't
/// answer within this time may only be paused.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the end of a failed run is reported, so that the facts about the death reach the
/// entries first. Otherwise an entry would retry the request on another server before it knows that
/// the request is a suspect.
const FAILURE_REPORT_DELAY: Duration = Duration::from_millis(20);

/// Tracks the requests in flight at the backend server.
pub struct Tracker {
    suspects: Arc<SharedDetector>,
    running: Mutex<Running>,
    /// Admits requests in order, so that newer ones don't overtake a waiting suspect.
    admission: tokio::sync::Mutex<()>,
    client: Client,
    address: String,
    server: String,
}

#[derive(Default)]
struct Running {
    next_id: u64,
    flights: BTreeMap<u64, (Fingerprint, Instant)>,
}

/// One request in flight; dropping the guard removes the request.
pub struct Guard {
    tracker: Arc<Tracker>,
    id: u64,
    fingerprint: Fingerprint,
}

/// Why a request can't start here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request crashed servers; it is refused everywhere for the remaining time.
    Poisonous(Duration),
    /// The request must not run at the same time as those in flight here.
    Deferred,
}

impl Tracker {
    pub(crate) fn new(settings: &Sidecar, suspects: Arc<SharedDetector>) -> Arc<Self> {
        let client = Client::builder()
            .timeout(HEALTH_CHECK_TIMEOUT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        Arc::new(Self {
            suspects,
            running: Mutex::default(),
            admission: tokio::sync::Mutex::default(),
            client,
            address: settings.server.address.clone(),
            server: settings.server.name.clone(),
        })
    }

    /// Admits a request, after a wait if it must not run at the same time as those in flight.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Guard, Refusal> {
        let _turn = self.admission.lock().await;
        let started = Instant::now();
        loop {
            if let Verdict::Refused { remaining } = self.suspects.verdict(fingerprint) {
                return Err(Refusal::Poisonous(remaining));
            }
            if let Some(guard) = self.try_start(fingerprint) {
                return Ok(guard);
            }
            if started.elapsed() >= ADMISSION_TIMEOUT {
                return Err(Refusal::Deferred);
            }
            sleep(ADMISSION_CHECK_INTERVAL).await;
        }
    }

    fn try_start(self: &Arc<Self>, fingerprint: Fingerprint) -> Option<Guard> {
        let mut running = self.running.lock().expect("no panic while held");
        if self.suspects.placement(fingerprint, &running.flights()) != Placement::Allowed {
            return None;
        }
        running.next_id += 1;
        let id = running.next_id;
        running.flights.insert(id, (fingerprint, Instant::now()));
        Some(Guard {
            tracker: self.clone(),
            id,
            fingerprint,
        })
    }

    /// Removes and returns all requests in flight; `None` if another request has reported this
    /// death already.
    fn take_all(&self, id: u64) -> Option<Vec<Flight>> {
        let mut running = self.running.lock().expect("no panic while held");
        if !running.flights.contains_key(&id) {
            return None;
        }
        let flights = running.flights();
        running.flights.clear();
        Some(flights)
    }

    async fn is_server_dead(&self) -> bool {
        let probe = self.client.get(format!("{}/health", self.address)).send();
        probe.await.is_err_and(|error| error.is_connect())
    }
}

impl Running {
    fn flights(&self) -> Vec<Flight> {
        let flights = self.flights.values();
        let flights = flights.map(|(fingerprint, since)| Flight {
            fingerprint: *fingerprint,
            elapsed: since.elapsed(),
        });
        flights.collect()
    }
}

impl Guard {
    /// Records that the request ran to its end, which clears it of suspicion.
    pub(crate) fn record_completion(&self) {
        self.tracker.suspects.record_completion(self.fingerprint);
    }

    /// Records that the request's run failed. If the server is dead, all requests in flight become
    /// suspects, and the facts are sent to the entries before this returns. Returns the facts, to
    /// be sent before the end of the run: on a slow link the entry would otherwise retry the
    /// request on another server before it knows of the death.
    pub(crate) async fn record_failure(&self) -> Option<Facts> {
        if !self.tracker.is_server_dead().await {
            return None;
        }
        if let Some(flights) = self.tracker.take_all(self.id) {
            self.tracker
                .suspects
                .record_death(&self.tracker.server, flights);
        }
        sleep(FAILURE_REPORT_DELAY).await;
        Some(self.tracker.suspects.facts())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut running = self.tracker.running.lock().expect("no panic while held");
        running.flights.remove(&self.id);
    }
}
