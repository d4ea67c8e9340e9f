//! State that the handlers of requests share, and what they ask of it.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use admission::{
    Forecast,
    Purpose, //
};
use bytes::Bytes;
use contract::poison::{
    Fingerprint,
    evidence::Observation, //
};
use events::{
    forwarding,
    note, //
};
use http::{
    Method,
    Response,
    StatusCode, //
};
use names::{
    Clock,
    Route,
    Server,
    Service,
    Version, //
};
use routing::placement::Said;
use spread::Freshness;
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};
use upstream::Head;

use crate::{
    account::Account,
    body::Body,
    call::Call,
    clock,
    crashes::Crashes,
    demands::Demands,
    document_cache::{
        DocumentCache,
        State, //
    },
    fleet::{
        Fleet,
        Target, //
    },
    initial_sync::InitialSync,
    lookups::CacheLookup,
    probation::PlainGuard,
    protocol::{
        Activity,
        Protocol,
        Reply, //
    },
    queue::Queue,
    refuse::{
        DocumentInfo,
        Refusal, //
    },
    requests::Requests,
    retry_budget::{
        Permit,
        RetryBudgets, //
    },
    rollout::{
        Rollouts,
        Selection, //
    },
    sender::Sender,
    settings::Settings,
    shutdown::Shutdown,
    suspects::Suspects,
    trials::Ticket, //
};

/// Timeout of a request for a server's current runs.
const ACTIVITY_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait until the refusal of a request is certain, which further crashes delay.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(400);

/// Shared state of the gateway.
pub struct Context<P> {
    /// Settings of the process.
    pub settings: Rc<RefCell<Rc<Settings>>>,
    /// Last known version of the operator's document.
    pub document_cache: RefCell<DocumentCache>,
    /// How current the document is.
    pub freshness: Rc<RefCell<Freshness>>,
    /// Backend servers known to the gateway.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Client for backend servers.
    pub sender: Sender<P>,
    /// Retry budget of each service.
    pub retry_budgets: Rc<RefCell<RetryBudgets>>,
    /// Lookups of the engines' caches.
    pub cache_lookup: CacheLookup,
    /// Queue of streams that wait for an engine.
    pub queue: Rc<Queue>,
    /// Rollouts of new versions.
    pub rollouts: Rc<Rollouts>,
    /// Demand for each service.
    pub demands: Rc<Demands>,
    /// Requests that may crash servers.
    pub suspects: Rc<Suspects>,
    /// Losses that may turn out to be crashes.
    pub crashes: Rc<Crashes>,
    /// Initial read of the store.
    pub initial_sync: InitialSync,
    /// Estimates of how long answers take.
    pub forecast: RefCell<Forecast>,
    /// State of the graceful shutdown.
    pub shutdown: Rc<Shutdown>,
    /// What callers make the process hold.
    pub account: Rc<Account>,
    /// Time at which the process started.
    pub started: Instant,
    /// Requests in progress.
    pub requests: Rc<Requests>,
}

impl<P> Context<P> {
    /// Selects the versions for a new request, and counts the request.
    pub fn select(&self, service: &Service, route: &Route) -> Selection {
        self.rollouts.select(&self.fleet.borrow(), service, route)
    }

    /// Returns the versions for a request that is resumed after a loss.
    pub fn select_resumed(&self, service: &Service) -> Selection {
        self.rollouts.select_resumed(&self.fleet.borrow(), service)
    }

    /// Renews the versions of a new request that is sent later than they were selected.
    pub fn renew_selection(&self, service: &Service, selection: &mut Selection) {
        let fleet = self.fleet.borrow();
        self.rollouts.renew(&fleet, service, selection);
    }

    /// Returns whether a version of a service was taken back.
    pub fn is_taken_back(&self, service: &Service, version: &Version) -> bool {
        self.rollouts.is_taken_back(service, version)
    }
}

impl<P: Protocol + 'static> Context<P> {
    /// Returns whether a complete request may be sent to a server now, which may be long after its head
    /// arrived.
    pub fn may_begin(&self, call: &Call) -> bool {
        let grace = self.settings.borrow().bounds.grace;
        call.is_admitted(&self.shutdown, grace)
    }

    /// Returns the refusal of a request that this process can't complete before it exits.
    pub fn shutting_down(&self) -> Refusal {
        let grace = self.settings.borrow().bounds.grace;
        Refusal::ShuttingDown(self.shutdown.retry_after(grace))
    }

    /// Returns the document on which decisions are based now, for logs.
    pub fn document_info(&self) -> DocumentInfo {
        let document_cache = self.document_cache.borrow();
        let confirmed = self.freshness.borrow().confirmed_at();
        DocumentInfo {
            version: document_cache
                .snapshot()
                .map_or(0, |snapshot| snapshot.version),
            age: confirmed.map(|at| clock::now().saturating_sub(at)),
        }
    }

    /// Returns whether requests can be decided now.
    pub fn state(&self, settings: &Settings) -> State {
        let confirmed = self.freshness.borrow().confirmed_at();
        let revocation = settings.bounds.revocation;
        self.document_cache
            .borrow()
            .state(clock::now(), confirmed, revocation)
    }

    /// Counts a send of a request. Returns `None` when it is a retry and the budget is used up.
    pub fn may_send(&self, service: &Service, first: bool, purpose: Purpose) -> Option<Permit> {
        let bound = self.settings.borrow().bounds.retries();
        if !first {
            return Permit::retry(&self.retry_budgets, service, &bound, purpose);
        }
        self.retry_budgets
            .borrow_mut()
            .count_request(service, &bound);
        self.demands.count_request(service);
        Some(Permit::default())
    }

    /// Counts the replacement of a quiet run, and the way back to its server. Returns `None` when the
    /// retry budget doesn't allow both.
    pub fn may_replace(&self, service: &Service) -> Option<(Permit, Permit)> {
        let bound = self.settings.borrow().bounds.retries();
        Permit::replacement(&self.retry_budgets, service, &bound)
    }

    /// Returns why no server could be chosen for a request: none takes it, or all that could want no
    /// requests or limit their request rates.
    pub fn unplaced_refusal(&self, service: &Service) -> Refusal {
        let mut fleet = self.fleet.borrow_mut();
        if let Some(retry_after) = fleet.backoff_retry_after(service) {
            return Refusal::BackingOff(retry_after);
        }
        let retry_after = fleet.unplaced_retry_after(service);
        retry_after.map_or(Refusal::NoServer, Refusal::RateLimited)
    }

    /// Returns the refusal of a request while all servers of its service want none.
    pub fn backing_off(&self, service: &Service) -> Option<Refusal> {
        let retry_after = self.fleet.borrow_mut().backoff_retry_after(service)?;
        Some(Refusal::BackingOff(retry_after))
    }

    /// Returns whether it is certain that a request must not run, as servers crashed under it or under
    /// a part of its prompt.
    pub fn is_poisonous(&self, call: &Call) -> bool {
        let cause = self.refused_cause(call);
        cause.is_some_and(|cause| self.suspects.unsettled_for(cause).is_zero())
    }

    /// Returns the cause for which a request must not be sent, if there is one. While that may still
    /// turn out to be wrong, it waits.
    pub async fn poisonous_cause(&self, call: &Call) -> Option<Fingerprint> {
        let latest = call.until.min(Instant::now() + MAX_SETTLE_WAIT);
        loop {
            let cause = self.refused_cause(call)?;
            let unsettled_for = self.suspects.unsettled_for(cause);
            if unsettled_for.is_zero() || Instant::now() >= latest {
                return Some(cause);
            }
            sleep(unsettled_for).await;
        }
    }

    /// Rejects a request that must not be sent; see [`Context::poisonous_cause`].
    pub async fn refuse_poisonous(&self, call: &Call) -> Option<Response<Body>> {
        let cause = self.poisonous_cause(call).await?;
        Some(call.refuse(&Refusal::Poisonous(cause)))
    }

    /// Returns the servers that take no further run of a request with a prompt until one lives there.
    /// Requests without one are told apart by their crashes.
    pub fn occupied_servers(&self, call: &Call) -> Vec<Server> {
        if self.suspects.is_empty() || call.parts().is_empty() {
            return Vec::new();
        }
        self.suspects.occupied_servers(call.subject().service)
    }

    /// Returns the cause for which a request is refused, although that may still turn out to be wrong.
    pub fn refused_cause(&self, call: &Call) -> Option<Fingerprint> {
        if self.suspects.is_empty() {
            return None;
        }
        self.suspects.refused_cause(call.subject())
    }

    /// Returns whether a request may have crashed servers, or is refused as it did.
    pub fn is_suspect(&self, call: &Call) -> bool {
        self.refused_cause(call).is_some()
            || !self.suspects.is_empty() && self.suspects.is_suspect(call.fingerprint())
    }

    /// Returns whether a request may only run beside no other one that may crash servers.
    pub fn is_held(&self, call: &Call) -> bool {
        !self.suspects.is_empty() && self.suspects.held_causes(call.subject()) > 0
    }

    /// Returns whether a request may run now. One that may only run beside no other waits for its turn.
    pub fn may_run(&self, call: &Call, ticket: &mut Option<Ticket>) -> bool {
        if !self.is_held(call) {
            *ticket = None;
            return true;
        }
        let subject = call.subject();
        if self.suspects.is_undecided(subject) {
            *ticket = None;
            return false;
        }
        let held_causes = self.suspects.held_causes(subject);
        let trials = &self.suspects.trials;
        ticket
            .get_or_insert_with(|| trials.wait(subject.service, held_causes))
            .has_come()
    }

    /// Returns whether a plain request has to wait for another one; see [`Suspects::must_wait`].
    pub fn must_wait(&self, call: &Call) -> bool {
        !self.suspects.is_empty()
            && call.parts().is_empty()
            && self.suspects.must_wait(call.subject())
    }

    /// Records that a run of a plain request begins, while any request is suspected.
    pub fn begin_plain(&self, call: &Call) -> Option<PlainGuard> {
        let subject = (!self.suspects.is_empty()).then(|| call.subject())?;
        let probation = &self.suspects.probation;
        Some(probation.begin_plain(subject.service, subject.request))
    }

    /// Records that a run of a request lived or survived.
    pub fn record_life(&self, call: &Call, observation: Observation) {
        if observation == Observation::Survived || !self.suspects.is_empty() {
            self.suspects.record_life(call.subject(), observation);
        }
    }

    /// Records what a server says of itself in the head of an answer to a request that was sent at
    /// `sent_at`: whether it leaves, whether it wants requests, and the limit on their rate.
    pub fn record_reply(&self, target: &Target, status: StatusCode, reply: &Reply, sent_at: Clock) {
        if reply.misdirected {
            // Another server answered.
            return;
        }
        let mut fleet = self.fleet.borrow_mut();
        if reply.signed {
            fleet.confirm(target);
        }
        if reply.signed || reply.rate_limit.is_some() {
            fleet.record_rate_limit(&target.server, reply.rate_limit, sent_at);
        }
        let is_backoff =
            |time: &Duration| status == StatusCode::SERVICE_UNAVAILABLE && !time.is_zero();
        let said = Said {
            leaving: reply.leaving,
            backoff: reply.retry_after.filter(is_backoff),
        };
        fleet.record_said(target, said, sent_at);
    }

    /// Records that the server at a target's address said that it is another one, and uses the target
    /// again after a while.
    pub fn record_denial(&self, target: &Target) {
        self.sender.disconnect(target.address);
        let Some(time) = self.fleet.borrow_mut().deny(target) else {
            return;
        };
        note!(
            forwarding::DENIED,
            server = target.server.as_str(),
            address = target.address.to_string().as_str(),
            ms = time.as_millis() as u64
        );
        let (fleet, target) = (self.fleet.clone(), target.clone());
        spawn_local(async move {
            let mut wait = Some(time);
            while let Some(time) = wait {
                sleep(time).await;
                wait = fleet.borrow_mut().reinstate(&target);
            }
        });
    }

    /// Sends a request of the gateway itself, and reads the whole response; see [`Sender::call`].
    /// Returns `None` when there is none, or the server wants no requests.
    pub async fn call(
        &self,
        target: &Target,
        method: &Method,
        head: Vec<u8>,
        body: Bytes,
    ) -> Option<Result<(Head, Bytes), upstream::Error>> {
        if !self.fleet.borrow().wants_requests(&target.server) {
            return None;
        }
        let sent_at = clock::now();
        let result = self.sender.call(target, method, head, body).await;
        if let Ok((head, _)) = &result {
            let reply = self.sender.protocol().parse_reply(head);
            self.record_reply(target, head.status, &reply, sent_at);
        }
        Some(result)
    }

    /// Reads a server's current runs. Returns `None` when it can't be reached. Nothing is known of them
    /// while the server wants no requests, or if the response can't be parsed.
    pub async fn read_activity(&self, target: &Target) -> Option<Activity> {
        // While `queued` isn't 0, `Activity::has_lost` doesn't count a missing run as lost.
        let unknown = Activity {
            queued: 1,
            runs: Vec::new(),
        };
        let protocol = self.sender.protocol();
        let head = protocol.activity_request();
        let call = self.call(target, &Method::GET, head, Bytes::new());
        let (head, body) = match timeout(ACTIVITY_TIMEOUT, call).await.ok()? {
            None => {
                let is_alive = self.sender.probe(target).await;
                return is_alive.then_some(unknown);
            }
            Some(Ok(response)) => response,
            Some(Err(upstream::Error::Excess(_) | upstream::Error::Malformed(_))) => {
                return Some(unknown);
            }
            Some(Err(_)) => return None,
        };
        Some(protocol.parse_activity(&head, &body).unwrap_or(unknown))
    }
}
