//! What is in flight at the backend server, and who is to blame when it dies.

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
use daemon::suspects::Suspects;
use reqwest::Client;
use settings::Sidecar;
use tokio::time::{
    Instant,
    sleep, //
};

/// Longest wait of a request until it may start beside what runs. Somewhat longer than the
/// probation of the ledger, so that a suspect always finds its place.
const PATIENCE: Duration = Duration::from_millis(2500);

/// Pace at which a waiting request looks again.
const PACE: Duration = Duration::from_millis(20);

/// A server that refuses connections is dead; one that doesn't answer in this time may be paused.
const PROBE: Duration = Duration::from_millis(500);

/// The blame travels ahead of the end of the runs, or the entries would start a suspect elsewhere
/// before anybody there knows it for one.
const AHEAD: Duration = Duration::from_millis(20);

/// Requests in flight at the backend server.
pub struct Flights {
    suspects: Arc<Suspects>,
    running: Mutex<Running>,
    /// Requests wait in order, so that a suspect that waits isn't overtaken by fresh requests.
    gate: tokio::sync::Mutex<()>,
    client: Client,
    address: String,
    server: String,
}

#[derive(Default)]
struct Running {
    next: u64,
    flights: BTreeMap<u64, (Fingerprint, Instant)>,
}

/// One request in flight; dropping it ends that.
pub struct Flying {
    flights: Arc<Flights>,
    number: u64,
    fingerprint: Fingerprint,
}

/// Why a request may not start here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It brought servers down, and is refused everywhere for that time.
    Poisonous(Duration),
    /// What runs here and the request must be kept apart.
    Apart,
}

impl Flights {
    pub(crate) fn new(settings: &Sidecar, suspects: Arc<Suspects>) -> Arc<Self> {
        let client = Client::builder()
            .timeout(PROBE)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        Arc::new(Self {
            suspects,
            running: Mutex::default(),
            gate: tokio::sync::Mutex::default(),
            client,
            address: settings.server.address.clone(),
            server: settings.server.name.clone(),
        })
    }

    /// Takes a request in, after a wait where it has to be kept apart from what runs.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Flying, Refusal> {
        let _turn = self.gate.lock().await;
        let begun = Instant::now();
        loop {
            if let Verdict::Refused { remaining } = self.suspects.verdict(fingerprint) {
                return Err(Refusal::Poisonous(remaining));
            }
            if let Some(flying) = self.enter(fingerprint) {
                return Ok(flying);
            }
            if begun.elapsed() >= PATIENCE {
                return Err(Refusal::Apart);
            }
            sleep(PACE).await;
        }
    }

    fn enter(self: &Arc<Self>, fingerprint: Fingerprint) -> Option<Flying> {
        let mut running = self.running.lock().expect("no panic while held");
        if self.suspects.place(fingerprint, &running.list()) != Placement::Allowed {
            return None;
        }
        running.next += 1;
        let number = running.next;
        running
            .flights
            .insert(number, (fingerprint, Instant::now()));
        Some(Flying {
            flights: self.clone(),
            number,
            fingerprint,
        })
    }

    /// Takes out all that is in flight, unless somebody else has noted the death already.
    fn take(&self, number: u64) -> Option<Vec<Flight>> {
        let mut running = self.running.lock().expect("no panic while held");
        if !running.flights.contains_key(&number) {
            return None;
        }
        let flights = running.list();
        running.flights.clear();
        Some(flights)
    }

    async fn dead(&self) -> bool {
        let probe = self.client.get(format!("{}/health", self.address)).send();
        probe.await.is_err_and(|error| error.is_connect())
    }
}

impl Running {
    fn list(&self) -> Vec<Flight> {
        let flights = self.flights.values();
        let flights = flights.map(|(fingerprint, since)| Flight {
            fingerprint: *fingerprint,
            elapsed: since.elapsed(),
        });
        flights.collect()
    }
}

impl Flying {
    /// The request ran to its end.
    pub(crate) fn ended(&self) {
        self.flights.suspects.ended(self.fingerprint);
    }

    /// The request's run broke. If the server is dead, all that was in flight is to blame, and the
    /// entries are told before this returns. Gives the facts, to be sent ahead of the run's end: on
    /// a slow link the entry would otherwise start a suspect elsewhere before it knows of it.
    pub(crate) async fn broke(&self) -> Option<Facts> {
        if !self.flights.dead().await {
            return None;
        }
        if let Some(flights) = self.flights.take(self.number) {
            self.flights.suspects.died(&self.flights.server, flights);
        }
        sleep(AHEAD).await;
        Some(self.flights.suspects.facts())
    }
}

impl Drop for Flying {
    fn drop(&mut self) {
        let mut running = self.flights.running.lock().expect("no panic while held");
        running.flights.remove(&self.number);
    }
}
