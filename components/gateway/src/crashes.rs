//! Decides whether a server that broke off a run has crashed.
//!
//! A refused connection shows it, though not always at once: the port of an ending process may close
//! after its connections, and something in front of it may keep the port open for good. Then only
//! the registration tells, as soon as the server states another start, or is gone from the registry.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use contract::poison::evidence::Stage;
use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Server, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::{
    clock,
    fleet::{
        Registered,
        Target, //
    },
    handle::{
        Call,
        Context, //
    },
    protocol::Protocol, //
};

/// Times after a loss at which the port is tried again. A connection is opened each time.
const PORT_CHECKS: [Duration; 4] = [
    Duration::from_millis(15),
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(400),
];

/// Interval at which the registration is compared after that.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a loss up to which a changed registration counts as a crash: a registration expires, and
/// servers are back, some seconds after a crash.
const REGISTRY_TIME: Duration = Duration::from_secs(6);

/// Time for which a request that runs alone waits for the decision on its loss before another one runs,
/// and how often it looks: the first checks of the port.
const DECISION_TIME: Duration = Duration::from_millis(60);
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of servers that are watched.
const MAX_SERVERS: usize = 64;

/// Maximum number of losses at one server that are decided together.
const MAX_LOSSES: usize = 128;

/// Why a server counts as crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Its port refuses connections.
    Refused,
    /// Its registration states another start, or another server has its address.
    Restarted,
    /// Its registration is gone, and its port closes connections.
    Unregistered,
}

impl Sign {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Sign::Refused => "refused",
            Sign::Restarted => "restarted",
            Sign::Unregistered => "unregistered",
        }
    }
}

/// Run that a server broke off before it survived.
pub struct Loss {
    pub call: Call,
    pub stage: Stage,
    pub sent_at: Clock,
    pub at: Clock,
}

/// Losses that may turn out to be crashes, by server.
#[derive(Default)]
pub struct Crashes {
    watched: RefCell<HashMap<Server, Vec<Loss>>>,
}

impl<P: Protocol + 'static> Context<P> {
    /// Checks whether the server that broke off a run has crashed, and records it against the
    /// request. A lost answer alone doesn't count.
    pub async fn check_crash(
        self: &Rc<Self>,
        call: &Call,
        target: &Target,
        stage: Stage,
        sent_at: Clock,
    ) {
        let loss = Loss {
            call: call.clone(),
            stage,
            sent_at,
            at: clock::now(),
        };
        if self.sender.is_gone(target).await {
            self.record_crashes(target, &[loss], Sign::Refused);
            return;
        }
        note!(
            forwarding::BROKEN_OFF,
            id = call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            fingerprint = format!("{:032x}", call.fingerprint()).as_str(),
            parts = call.part_ids().as_deref(),
            started = stage != Stage::Pending
        );
        self.watch(target, loss);
        if self.is_held(call) {
            self.await_decision(target).await;
        }
    }

    /// Waits until the losses at a server are decided, or may be lost answers.
    async fn await_decision(&self, target: &Target) {
        let until = Instant::now() + DECISION_TIME;
        let is_open = || self.crashes.watched.borrow().contains_key(&target.server);
        while is_open() && Instant::now() < until {
            sleep(DECISION_POLL_INTERVAL).await;
        }
    }

    /// Watches the server of a loss until the loss is decided.
    fn watch(self: &Rc<Self>, target: &Target, loss: Loss) {
        let mut watched = self.crashes.watched.borrow_mut();
        if let Some(losses) = watched.get_mut(&target.server) {
            if losses.len() < MAX_LOSSES {
                losses.push(loss);
            }
            return;
        }
        if watched.len() >= MAX_SERVERS {
            return;
        }
        watched.insert(target.server.clone(), vec![loss]);
        let (context, target) = (self.clone(), target.clone());
        spawn_local(async move {
            let sign = context.await_sign(&target).await;
            let losses = context.crashes.watched.borrow_mut().remove(&target.server);
            if let (Some(sign), Some(losses)) = (sign, losses) {
                context.record_crashes(&target, &losses, sign);
            }
        });
    }

    /// Waits for a sign that a server has crashed; returns `None` if there is none in time.
    async fn await_sign(&self, target: &Target) -> Option<Sign> {
        let began = Instant::now();
        let was_registered = self.fleet.borrow().registered(target) == Registered::Same;
        for after in PORT_CHECKS {
            sleep_until(began + after).await;
            if self.sender.is_gone(target).await {
                return Some(Sign::Refused);
            }
            if self.fleet.borrow().registered(target) == Registered::Restarted {
                return Some(Sign::Restarted);
            }
        }
        // A server that leaves ends after its last run.
        let mut is_removed = !was_registered;
        while began.elapsed() < REGISTRY_TIME {
            sleep_until(Instant::now() + REGISTRY_INTERVAL).await;
            let registered = self.fleet.borrow().registered(target);
            match registered {
                Registered::Same => {}
                Registered::Leaving => is_removed = true,
                Registered::Restarted => return Some(Sign::Restarted),
                Registered::Removed if is_removed => {}
                Registered::Removed => {
                    is_removed = true;
                    if self.sender.is_closed(target).await {
                        return Some(Sign::Unregistered);
                    }
                }
            }
        }
        None
    }

    fn record_crashes(&self, target: &Target, losses: &[Loss], sign: Sign) {
        // A request that is sent on a connection of the crashed process would look lost too.
        self.sender.disconnect(target.address);
        for loss in losses {
            self.suspects.record_crash(loss, target, sign);
        }
    }
}
