//! The plain service's stand-in: a ledger of deposits. The contract is
//! `docs/interfaces/service.md`.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures_util::FutureExt;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::sleep;

use crate::server::{
    self,
    Process,
    Request,
    Response,
    lock, //
};

/// How the service behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Seed of the draws for shares of calls that fail.
    pub seed: u64,
    /// Ends the operating system's process on death. For the program only.
    pub exit_on_death: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
            exit_on_death: false,
        }
    }
}

/// What goes wrong from now on; fields that are not set leave earlier faults as they are.
///
/// The body of `POST /fault`; `docs/interfaces/service.md` says what each does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Takes all faults back, before the other fields act.
    pub clear: bool,
    /// The process ends at once.
    pub die: bool,
    /// The next deposit is taken; then the process ends, unanswered.
    pub die_after_take: bool,
    /// The next deposit ends the process before it is taken.
    pub die_before_take: bool,
    /// Nothing is answered for this time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Connections that are open now carry nothing any more.
    pub silence: bool,
    /// Time before each call is worked on, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Share of calls that answer 500, with nothing taken.
    pub fail_share: Option<f64>,
    /// A second call with a key gets the first one's answer.
    pub drop_repeats: bool,
    /// A body that holds this text ends the process before anything is taken.
    pub crash_on: Option<String>,
}

/// A call that reached the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path, without the query.
    pub path: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// `X-Medlarhatch-Team`.
    pub team: Option<String>,
}

/// A running stand-in service. Dropping it stops it.
pub struct Service {
    address: SocketAddr,
    core: Arc<Core>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Gives the error of binding the address.
    pub async fn start(settings: Settings) -> io::Result<Service> {
        let process = Process::new(settings.exit_on_death);
        let core = Arc::new(Core {
            process: Arc::clone(&process),
            state: Mutex::new(Inner {
                fault: Fault::default(),
                calls: Vec::new(),
                accounts: HashMap::new(),
                deposits: 0,
                statuses: HashMap::new(),
                answers: HashMap::new(),
                rng: StdRng::seed_from_u64(settings.seed),
            }),
        });
        let handler_core = Arc::clone(&core);
        let responder =
            Box::new(move |request| respond(Arc::clone(&handler_core), request).boxed());
        let address = server::start(settings.address, process, responder).await?;
        Ok(Service { address, core })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets a fault, as `POST /fault` does.
    pub fn fault(&self, fault: Fault) {
        self.core.fault(&fault);
    }

    /// Every call that reached the service, in order.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.core.state).calls.clone()
    }

    /// Balance of an account and the number of deposits that were taken from it.
    pub fn account(&self, name: &str) -> (i64, u64) {
        let state = lock(&self.core.state);
        let account = state.accounts.get(name).cloned().unwrap_or_default();
        (account.balance, account.deposits)
    }

    /// Drops the listener and all connections at once, as a process's death does.
    pub fn stop(&self) {
        self.core.process.stop();
    }

    /// Waits until the service is dead, by [`Service::stop`] or by a fault.
    pub async fn dead(&self) {
        self.core.process.dead().cancelled().await;
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Core {
    process: Arc<Process>,
    state: Mutex<Inner>,
}

struct Inner {
    fault: Fault,
    calls: Vec<Call>,
    accounts: HashMap<String, Account>,
    deposits: u64,
    statuses: HashMap<String, Status>,
    /// Answers by key, for a service that drops repeats.
    answers: HashMap<String, (u16, Bytes)>,
    rng: StdRng,
}

#[derive(Clone, Default)]
struct Account {
    balance: i64,
    deposits: u64,
}

#[derive(Clone, Copy, Default)]
struct Status {
    reads: u64,
    version: u64,
}

#[derive(Deserialize)]
struct Deposit {
    account: String,
    amount: i64,
}

impl Core {
    fn fault(&self, fault: &Fault) {
        {
            let mut state = lock(&self.state);
            if fault.clear {
                state.fault = Fault::default();
                self.process.clear();
            }
            let now = &mut state.fault;
            now.die_after_take |= fault.die_after_take;
            now.die_before_take |= fault.die_before_take;
            now.slow_ms = fault.slow_ms.or(now.slow_ms);
            now.fail_share = fault.fail_share.or(now.fail_share);
            now.drop_repeats |= fault.drop_repeats;
            now.crash_on = fault.crash_on.clone().or(now.crash_on.take());
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

    fn note(&self, request: &Request) {
        lock(&self.state).calls.push(Call {
            method: request.method.clone(),
            path: request.path.clone(),
            key: request.header("idempotency-key"),
            team: request.header("x-medlarhatch-team"),
        });
    }

    /// Dies or fails, if a fault says so for this request.
    fn strike(&self, request: &Request) -> Option<Response> {
        let mut state = lock(&self.state);
        let crash = state.fault.crash_on.clone();
        if crash.is_some_and(|text| holds(&request.body, &text)) {
            drop(state);
            self.process.die();
            return Some(Response::Hang);
        }
        let share = state.fault.fail_share?;
        if state.rng.random_bool(share.clamp(0.0, 1.0)) {
            return Some(Response::error(500, "the call failed"));
        }
        None
    }

    fn deposit(&self, request: &Request) -> Response {
        let deposit: Deposit = match request.json() {
            Ok(deposit) => deposit,
            Err(response) => return response,
        };
        let mut state = lock(&self.state);
        if state.fault.die_before_take {
            drop(state);
            self.process.die();
            return Response::Hang;
        }
        let key = request.header("idempotency-key");
        if let Some(response) = state.repeat(key.as_deref()) {
            return response;
        }
        state.deposits += 1;
        let number = state.deposits;
        let account = state.accounts.entry(deposit.account.clone()).or_default();
        account.balance += deposit.amount;
        account.deposits += 1;
        let body = serde_json::json!({
            "deposit": number, "account": deposit.account, "amount": deposit.amount,
        });
        let body = Bytes::from(body.to_string());
        if let Some(key) = key {
            state.answers.insert(key, (201, body.clone()));
        }
        if state.fault.die_after_take {
            drop(state);
            self.process.die();
            return Response::Hang;
        }
        Response::bytes(201, "application/json", body)
    }

    fn account(&self, name: &str) -> Response {
        let state = lock(&self.state);
        let account = state.accounts.get(name).cloned().unwrap_or_default();
        Response::json(
            200,
            &serde_json::json!({
                "account": name, "balance": account.balance, "deposits": account.deposits,
            }),
        )
    }

    fn status(&self, id: &str, write: bool) -> Response {
        let mut state = lock(&self.state);
        let status = state.statuses.entry(id.to_string()).or_default();
        if write {
            status.version += 1;
        } else {
            status.reads += 1;
        }
        Response::json(
            200,
            &serde_json::json!({ "id": id, "reads": status.reads, "version": status.version }),
        )
    }
}

impl Inner {
    /// The first answer to this key, when the service drops repeats.
    fn repeat(&self, key: Option<&str>) -> Option<Response> {
        if !self.fault.drop_repeats {
            return None;
        }
        let (status, body) = self.answers.get(key?)?;
        Some(Response::bytes(*status, "application/json", body.clone()))
    }
}

fn holds(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}

async fn respond(core: Arc<Core>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        // What steers the stand-in works also while it is paused or silent.
        ("POST", "/fault") => {
            return match request.json::<Fault>() {
                Ok(fault) => {
                    core.fault(&fault);
                    Response::json(200, &serde_json::json!({}))
                }
                Err(response) => response,
            };
        }
        ("GET", "/calls") => return Response::json(200, &lock(&core.state).calls),
        _ => core.process.wait_responsive(request.connection).await,
    }
    if (request.method.as_str(), request.path.as_str()) == ("GET", "/health") {
        return Response::json(200, &serde_json::json!({ "ok": true }));
    }
    core.note(&request);
    let slow = lock(&core.state).fault.slow_ms;
    if let Some(slow) = slow {
        sleep(Duration::from_millis(slow)).await;
        core.process.wait_responsive(request.connection).await;
    }
    if let Some(response) = core.strike(&request) {
        return response;
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/deposits") => core.deposit(&request),
        ("GET", path) => match path.split_at_checked(8) {
            Some(("/status/", id)) => core.status(id, false),
            _ => match path.strip_prefix("/accounts/") {
                Some(name) => core.account(name),
                None => Response::error(404, "no such call"),
            },
        },
        ("POST", path) => match path.strip_prefix("/status/") {
            Some(id) => core.status(id, true),
            None => Response::error(404, "no such call"),
        },
        _ => Response::error(404, "no such call"),
    }
}
