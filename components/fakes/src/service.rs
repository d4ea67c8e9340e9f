//! Stand-in for a plain service: a ledger of deposits. The contract is
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

/// Configuration of a service without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Seed of the random choice of calls that fail.
    pub seed: u64,
    /// Whether death exits the operating system process. Only the stand-in program sets it.
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

/// Faults to inject from now on, the request body of `POST /fault`.
///
/// Unset fields leave earlier faults unchanged. `docs/interfaces/service.md` describes each fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Clears all faults before the other fields apply.
    pub clear: bool,
    /// Ends the process at once.
    pub die: bool,
    /// Ends the process after it has applied the next deposit and before it responds.
    pub die_after_take: bool,
    /// Ends the process at the next deposit, before it is applied.
    pub die_before_take: bool,
    /// Stops all responses for this time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Silences the connections that are open now for good, without closing them.
    pub silence: bool,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Share of calls that fail with 500 and have no effect.
    pub fail_share: Option<f64>,
    /// Deduplicates by idempotency key: a repeated call gets the first one's response.
    pub drop_repeats: bool,
    /// Ends the process at a call whose body contains this text, before it has an effect.
    pub crash_on: Option<String>,
}

/// Call that reached the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path, without the query.
    pub path: String,
    /// `Idempotency-Key` header.
    pub key: Option<String>,
    /// `X-Medlarhatch-Team` header.
    pub team: Option<String>,
}

/// Running stand-in service, stopped on drop.
pub struct Service {
    address: SocketAddr,
    core: Arc<Core>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be bound.
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
                responses: HashMap::new(),
                rng: StdRng::seed_from_u64(settings.seed),
            }),
        });
        let handler_core = Arc::clone(&core);
        let responder =
            Box::new(move |request| respond(Arc::clone(&handler_core), request).boxed());
        let address = server::start(settings.address, process, responder).await?;
        Ok(Service { address, core })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: Fault) {
        self.core.inject_fault(&fault);
    }

    /// Returns all calls that reached the service, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.core.state).calls.clone()
    }

    /// Returns the balance of an account and the number of deposits applied to it.
    pub fn account(&self, name: &str) -> (i64, u64) {
        let state = lock(&self.core.state);
        let account = state.accounts.get(name).cloned().unwrap_or_default();
        (account.balance, account.deposits)
    }

    /// Drops the listener and all connections at once, as the death of a process does.
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
    /// Responses by idempotency key, for the fault `drop_repeats`.
    responses: HashMap<String, (u16, Bytes)>,
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

/// Request body of `POST /deposits`.
#[derive(Deserialize)]
struct Deposit {
    account: String,
    amount: i64,
}

impl Core {
    fn inject_fault(&self, fault: &Fault) {
        {
            let mut state = lock(&self.state);
            if fault.clear {
                state.fault = Fault::default();
                self.process.clear();
            }
            let active = &mut state.fault;
            active.die_after_take |= fault.die_after_take;
            active.die_before_take |= fault.die_before_take;
            active.slow_ms = fault.slow_ms.or(active.slow_ms);
            active.fail_share = fault.fail_share.or(active.fail_share);
            active.drop_repeats |= fault.drop_repeats;
            active.crash_on = fault.crash_on.clone().or(active.crash_on.take());
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

    fn record_call(&self, request: &Request) {
        lock(&self.state).calls.push(Call {
            method: request.method.clone(),
            path: request.path.clone(),
            key: request.header("idempotency-key"),
            team: request.header("x-medlarhatch-team"),
        });
    }

    /// Applies the faults `crash_on` and `fail_share`; returns a response if one of them hits the
    /// request.
    fn apply_faults(&self, request: &Request) -> Option<Response> {
        let mut state = lock(&self.state);
        let crash_text = state.fault.crash_on.clone();
        if crash_text.is_some_and(|text| contains(&request.body, &text)) {
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
        if let Some(response) = state.recorded_response(key.as_deref()) {
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
            state.responses.insert(key, (201, body.clone()));
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
    /// Returns the first response to this key if the service deduplicates calls.
    fn recorded_response(&self, key: Option<&str>) -> Option<Response> {
        if !self.fault.drop_repeats {
            return None;
        }
        let (status, body) = self.responses.get(key?)?;
        Some(Response::bytes(*status, "application/json", body.clone()))
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
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
        ("GET", "/calls") => return Response::json(200, &lock(&core.state).calls),
        _ => core.process.wait_responsive(request.connection).await,
    }
    if (request.method.as_str(), request.path.as_str()) == ("GET", "/health") {
        return Response::json(200, &serde_json::json!({ "ok": true }));
    }
    core.record_call(&request);
    let delay_ms = lock(&core.state).fault.slow_ms;
    if let Some(delay_ms) = delay_ms {
        sleep(Duration::from_millis(delay_ms)).await;
        core.process.wait_responsive(request.connection).await;
    }
    if let Some(response) = core.apply_faults(&request) {
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
