//! Stand-in for the model engine. The contract is `docs/interfaces/engine.md`.
//!
//! It simulates continuous batching with a simple cost model. Prefill takes
//! [`first_token`](Settings::first_token) for up to a thousand uncached prompt tokens and grows in
//! proportion beyond that. Tokens then follow every [`token_interval`](Settings::token_interval).
//! With more than [`capacity`](Settings::capacity) runs, both times grow in proportion to the
//! number of runs of the same or a higher priority. At [`max_runs`](Settings::max_runs) the engine
//! refuses new runs.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use futures_util::FutureExt;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::server::{
    self,
    Process,
    Request,
    Response,
    lock, //
};

mod cache;
mod fault;
mod order;
mod run;
mod text;

pub use fault::{
    Fault,
    Slow, //
};
pub use run::{
    Run,
    State, //
};
pub use text::{
    answer_length,
    prefix_hash,
    token, //
};

/// Configuration of an engine without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Model that the engine serves.
    pub model: String,
    /// Version that is loaded at startup.
    pub version: String,
    /// Number of concurrent runs at full speed.
    pub capacity: u32,
    /// Number of concurrent runs from which new ones get 429; `None` means four times `capacity`.
    pub max_runs: Option<u32>,
    /// Time to the first token of a prompt of up to a thousand tokens.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Delay of load reports and cache events.
    pub report_lag: Duration,
    /// Time that loading a version takes.
    pub load_time: Duration,
    /// Capacity of the prefix cache in prompts.
    pub cached_prompts: usize,
    /// Seed of the random choice of runs that fail.
    pub seed: u64,
    /// Whether death exits the operating system process. Only the stand-in program sets it.
    pub exit_on_death: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: "m".to_string(),
            version: "v1".to_string(),
            capacity: 32,
            max_runs: None,
            first_token: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            report_lag: Duration::from_millis(100),
            load_time: Duration::ZERO,
            cached_prompts: 64,
            seed: 1,
            exit_on_death: false,
        }
    }
}

/// Running stand-in engine, stopped on drop.
pub struct Engine {
    address: SocketAddr,
    core: Arc<Core>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(settings: Settings) -> io::Result<Engine> {
        let process = Process::new(settings.exit_on_death);
        let address = settings.address;
        let core = Arc::new(Core::new(settings, Arc::clone(&process)));
        let handler_core = Arc::clone(&core);
        let responder =
            Box::new(move |request| respond(Arc::clone(&handler_core), request).boxed());
        let address = server::start(address, process, responder).await?;
        Ok(Engine { address, core })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: Fault) {
        self.core.inject_fault(&fault);
    }

    /// Returns all runs so far, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.core.state).runs.clone()
    }

    /// Drops the listener and all connections at once, as the death of a process does.
    pub fn stop(&self) {
        self.core.process.stop();
    }

    /// Waits until the engine is dead, by [`Engine::stop`] or by a fault.
    pub async fn dead(&self) {
        self.core.process.dead().cancelled().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Engine state shared by request handlers and runs.
struct Core {
    settings: Settings,
    process: Arc<Process>,
    state: Mutex<Inner>,
}

struct Inner {
    faults: fault::Faults,
    runs: Vec<Run>,
    /// Priorities of the runs in progress, by index in `runs`.
    running: BTreeMap<usize, i64>,
    /// Cancellation tokens of the runs in progress, by request id.
    cancels: BTreeMap<String, Vec<tokio_util::sync::CancellationToken>>,
    cache: cache::Cache,
    orders: order::Orders,
    /// Past numbers of running runs, from which delayed load reports are made.
    load: VecDeque<(Instant, usize)>,
    rng: StdRng,
}

/// Response body of `GET /load`.
#[derive(Serialize)]
struct Load {
    running: u64,
    queued: u64,
    capacity: u32,
    kv_used: f64,
    model: String,
    versions: Vec<String>,
    role: String,
    age_ms: u64,
}

/// Request body of `POST /cancel`.
#[derive(Deserialize)]
struct Cancel {
    id: String,
}

impl Core {
    fn new(settings: Settings, process: Arc<Process>) -> Core {
        let state = Inner {
            faults: fault::Faults::default(),
            runs: Vec::new(),
            running: BTreeMap::new(),
            cancels: BTreeMap::new(),
            cache: cache::Cache::new(settings.cached_prompts),
            orders: order::Orders::new(&settings.version),
            load: VecDeque::from([(Instant::now(), 0)]),
            rng: StdRng::seed_from_u64(settings.seed),
        };
        Core {
            settings,
            process,
            state: Mutex::new(state),
        }
    }

    fn max_runs(&self) -> usize {
        let max_runs = self.settings.max_runs;
        max_runs.unwrap_or(4 * self.settings.capacity) as usize
    }

    fn inject_fault(&self, fault: &Fault) {
        if fault.clear {
            self.process.clear();
        }
        {
            let mut state = lock(&self.state);
            if state.faults.defer(fault) {
                return;
            }
            state.faults.add(fault);
        }
        if let Some(pause) = fault.pause_ms {
            self.process.pause(Duration::from_millis(pause));
        }
        if fault.silence {
            self.process.silence();
        }
        if fault.die {
            self.process.die();
        }
    }

    fn load(&self) -> Load {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let lag = self.settings.report_lag;
        // Reports the newest sample that is at least `lag` old and drops older ones.
        while state.load.len() > 1 && now.duration_since(state.load[1].0) >= lag {
            state.load.pop_front();
        }
        let runs = state.load[0].1 as u64;
        let running = runs.min(u64::from(self.settings.capacity));
        Load {
            running,
            queued: runs - running,
            capacity: self.settings.capacity,
            kv_used: state.cache.used(),
            model: self.settings.model.clone(),
            versions: state.orders.versions(now),
            role: state.orders.role().to_string(),
            age_ms: lag.as_millis() as u64,
        }
    }

    fn cancel(&self, id: &str) {
        let cancels = lock(&self.state).cancels.remove(id);
        for cancel in cancels.unwrap_or_default() {
            cancel.cancel();
        }
    }

    fn order(&self, order: &order::Order) -> Response {
        let mut state = lock(&self.state);
        let ignore_fence = state.faults.active.ignore_fence;
        let ready = Instant::now() + self.settings.load_time;
        match state
            .orders
            .apply(order, ignore_fence, &self.settings.model, ready)
        {
            order::Outcome::Applied => Response::json(200, &serde_json::json!({ "applied": true })),
            order::Outcome::Stale { highest } => {
                Response::json(409, &serde_json::json!({ "highest": highest }))
            }
            order::Outcome::Invalid(error) => Response::bad_request(&error),
        }
    }

    fn health(&self) -> Response {
        let versions = lock(&self.state).orders.versions(Instant::now());
        if versions.is_empty() {
            return Response::error(503, "no version is loaded");
        }
        Response::json(200, &serde_json::json!({ "ok": true }))
    }
}

impl Inner {
    fn record_load(&mut self) {
        let running = self.running.len();
        self.load.push_back((Instant::now(), running));
        // Bounds the memory if no load report is requested for long; evicts the oldest samples.
        if self.load.len() > 10_000 {
            self.load.pop_front();
        }
    }
}

async fn respond(core: Arc<Core>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        // Control requests are served also while the stand-in is paused or silent.
        ("POST", "/fault") => {
            return match request.json::<Fault>() {
                Ok(fault) => {
                    core.inject_fault(&fault);
                    Response::json(200, &serde_json::json!({}))
                }
                Err(response) => response,
            };
        }
        ("GET", "/runs") => return Response::json(200, &lock(&core.state).runs),
        _ => core.process.wait_responsive(request.connection).await,
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/generate") => match request.json() {
            Ok(body) => run::start(&core, body, request.connection),
            Err(response) => response,
        },
        ("POST", "/cancel") => match request.json::<Cancel>() {
            Ok(cancel) => {
                core.cancel(&cancel.id);
                Response::json(200, &serde_json::json!({}))
            }
            Err(response) => response,
        },
        ("GET", "/load") => Response::json(200, &core.load()),
        ("GET", "/cache-events") => match request.number("after") {
            Ok(after) => {
                let lag = core.settings.report_lag;
                let events = lock(&core.state).cache.events(after.unwrap_or(0), lag);
                Response::json(200, &serde_json::json!({ "events": events }))
            }
            Err(response) => response,
        },
        ("POST", "/orders") => match request.json() {
            Ok(order) => core.order(&order),
            Err(response) => response,
        },
        ("GET", "/health") => core.health(),
        _ => Response::error(404, "no such call"),
    }
}
