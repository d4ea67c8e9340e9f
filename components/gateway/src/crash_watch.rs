//! Decides whether a server that broke off a run, or stopped answering, has crashed.
//!
//! A refused connection shows it, though not always at once: the port of an ending process may close
//! after its connections, and something else may keep the port open for good, or nothing may close at
//! all. What all ends have in common is that nothing that is asked there is answered any more. Such a
//! server is silent: what it ran is suspected and held back, until the server answers, or its
//! registration tells that it has ended.

use std::{
    rc::Rc,
    time::Duration, //
};

use contract::poison::evidence::{
    PROBATION,
    Stage, //
};
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
use tokio_util::sync::CancellationToken;

use crate::{
    call::Call,
    clock,
    context::Context,
    crashes::{
        Loss,
        OpenRun,
        Sign,
        Unanswered,
        Watched, //
    },
    fleet::{
        Registered,
        Suspicion,
        Target, //
    },
    protocol::Protocol,
    sender::Status, //
};

/// Times after a loss at which the server is checked, unless it has sent something meanwhile.
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

/// The same for a server that is silent all the while.
const SILENCE_TIME: Duration = Duration::from_secs(12);

/// Interval of the checks of a silent server, once it is known to be silent.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time without anything from a server after which a run that it hasn't answered may be lost,
/// and factor on the usual time of an answer.
const MIN_SILENCE: Duration = Duration::from_millis(250);
const SILENCE_FACTOR: f64 = 3.0;

/// Maximum number of times that the silence is doubled for the checks of one stream.
const MAX_DOUBLINGS: u32 = 4;

/// Time after a loss in which what the server sent before it is still read.
const READ_TIME: Duration = Duration::from_millis(10);

/// Time within which this process must have heard of another server: otherwise it may be cut off
/// itself.
const CONTACT_TIME: Duration = Duration::from_secs(1);

/// Age of the last sign of life from which a server counts as one that has just answered.
const FRESH_TIME: Duration = Duration::from_millis(100);

/// Time for which a request that runs alone waits for the decision on its loss before another one runs,
/// and how often it looks: the first checks of the port.
const DECISION_TIME: Duration = Duration::from_millis(60);
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of servers that are watched.
const MAX_SERVERS: usize = 64;

/// Maximum number of losses at one server that are decided together.
const MAX_LOSSES: usize = 128;

impl<P: Protocol + 'static> Context<P> {
    /// Checks whether the server that broke off a run has crashed, and records it against the
    /// request. A lost answer alone doesn't count.
    pub async fn check_crash(self: &Rc<Self>, run: OpenRun) {
        let mut loss = Loss {
            is_silent: false,
            call: run.call.without_body(),
            stage: run.stage,
            sent_at: run.sent_at,
            at: clock::now(),
            ticket: run.ticket,
        };
        let target = &run.target;
        if self.sender.is_gone(target).await {
            self.record_crashes(target, &[loss], Sign::Refused);
            return;
        }
        // A port that closes each connection breaks off what it is sent long after the crash.
        let heard = self.fleet.borrow().heard(&target.server);
        loss.sent_at = loss.sent_at.min(heard.unwrap_or(loss.sent_at));
        let call = loss.call.clone();
        note!(
            forwarding::BROKEN_OFF,
            id = call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            fingerprint = format!("{:032x}", call.fingerprint()).as_str(),
            parts = call.part_ids().as_deref(),
            started = loss.stage != Stage::Pending
        );
        self.watch(target, loss);
        if self.is_held(&call) {
            self.await_decision(target).await;
        }
    }

    /// Checks whether the server that doesn't answer a run has crashed, once it is silent to all.
    pub fn check_silence(self: &Rc<Self>, run: OpenRun) {
        let heard = self.fleet.borrow().heard(&run.target.server);
        let target = run.target.clone();
        self.watch(&target, Loss::silent(run, heard));
    }

    /// Waits until a server has sent nothing since a time for so long that a run that it hasn't answered
    /// may be lost.
    pub async fn await_silence(&self, run: &OpenRun, since: Clock) {
        let silence = match run.call.pass.stream {
            // The time of a whole stream says nothing about the time to its next event.
            true => MIN_SILENCE,
            false => {
                let usual = self.fleet.borrow().mean_time(&run.call.service);
                usual.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE)
            }
        };
        self.await_silence_of(&run.target.server, since, silence)
            .await;
    }

    /// Waits until a server has sent nothing since a time, for `silence`.
    async fn await_silence_of(&self, server: &Server, since: Clock, silence: Duration) {
        loop {
            let heard = self.fleet.borrow().heard(server).unwrap_or_default();
            let silent_for = clock::now().saturating_sub(heard.max(since));
            if silent_for >= silence {
                return;
            }
            sleep(silence - silent_for).await;
        }
    }

    /// Waits until the server of a stream may have ended without closing anything, and has it checked.
    /// Each check of a run that hasn't survived comes after twice the silence: a server may be busy
    /// with a long prompt.
    pub async fn await_silent_check(self: &Rc<Self>, unanswered: &Unanswered) {
        if !unanswered.is_open() {
            return std::future::pending().await;
        }
        let (since, checks) = unanswered.checked();
        let silence = MIN_SILENCE * (1 << checks.min(MAX_DOUBLINGS));
        self.await_silence_of(&unanswered.run.target.server, since, silence)
            .await;
        unanswered.record_check();
        self.check_silence(unanswered.run.clone());
    }

    /// Watches the unanswered runs of requests that are given up, until `stop` is cancelled.
    pub async fn watch_abandoned(self: &Rc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.crashes.notify.notified() => {}
            }
            for run in std::mem::take(&mut *self.crashes.abandoned.borrow_mut()) {
                let Some(place) = self.crashes.watch_abandoned() else {
                    continue;
                };
                let context = self.clone();
                spawn_local(async move {
                    let _place = place;
                    let survived = context.await_survival(&run);
                    let silent = context.await_silence(&run, run.sent_at);
                    tokio::select! {
                        biased;
                        () = survived => {}
                        () = silent => context.check_silence(run.clone()),
                    }
                });
            }
        }
    }

    /// Waits until a server was heard for so long after a request was given up that it has survived it.
    async fn await_survival(&self, run: &OpenRun) {
        let survives_at = clock::now() + PROBATION;
        let is_heard = || {
            let heard = self.fleet.borrow().heard(&run.target.server);
            heard.is_some_and(|heard| heard >= survives_at)
        };
        while !is_heard() {
            sleep(PROBATION / 2).await;
        }
    }

    /// Records that a server sent something.
    pub fn record_heard(&self, server: &Server) {
        self.fleet.borrow_mut().record_heard(server);
        self.suspects.record_answer(server);
    }

    /// Returns whether a request may be sent to a server. One whose server fell silent only goes to
    /// one that has just answered: otherwise the next silence would tell nothing of the request.
    pub async fn may_send_to(&self, call: &Call, target: &Target) -> bool {
        if self.suspects.is_empty() || !self.suspects.is_unproven(call.fingerprint()) {
            return true;
        }
        let heard = self.fleet.borrow().heard(&target.server);
        if heard.is_some_and(|at| clock::now().saturating_sub(at) <= FRESH_TIME) {
            return true;
        }
        match self.sender.check_status(target).await {
            Status::Answers => {
                self.record_heard(&target.server);
                true
            }
            Status::Silent | Status::Gone => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.suspect(&target.server, Suspicion::Unresponsive);
                false
            }
            Status::Unknown => false,
        }
    }

    /// Returns whether a request whose server fell silent would now go to one that is silent too: that
    /// would tell nothing of it, whatever becomes of the server.
    pub fn tells_nothing(&self, call: &Call, target: &Target) -> bool {
        !self.suspects.is_empty()
            && self.suspects.is_silent(&target.server)
            && self.suspects.is_unproven(call.fingerprint())
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
        let watched_loss = Watched {
            loss,
            is_reported: false,
        };
        let mut watched = self.crashes.watched.borrow_mut();
        if let Some(losses) = watched.get_mut(&target.server) {
            let id = &watched_loss.loss.call.request.metadata.id;
            let is_known = |known: &Watched| known.loss.call.request.metadata.id == *id;
            if losses.len() < MAX_LOSSES && !losses.iter().any(is_known) {
                losses.push(watched_loss);
            }
            return;
        }
        if watched.len() >= MAX_SERVERS {
            return;
        }
        watched.insert(target.server.clone(), vec![watched_loss]);
        let (context, target) = (self.clone(), target.clone());
        spawn_local(async move {
            let sign = context.await_sign(&target).await;
            let losses = context.crashes.watched.borrow_mut().remove(&target.server);
            let losses = losses.unwrap_or_default();
            let is_reported = losses.iter().any(|watched| watched.is_reported);
            let losses: Vec<Loss> = losses.into_iter().map(|watched| watched.loss).collect();
            match sign {
                Some(sign) => context.record_crashes(&target, &losses, sign),
                // It is registered still.
                None if is_reported => context.suspects.record_answer(&target.server),
                None => {}
            }
        });
    }

    /// Waits for a sign that a server has crashed; returns `None` if there is none in time.
    async fn await_sign(&self, target: &Target) -> Option<Sign> {
        let began = Instant::now();
        let mut port_checks = PORT_CHECKS.into_iter();
        let mut checked_at = began;
        // A server that leaves ends after its last run.
        let mut is_removed = self.fleet.borrow().registered(target) != Registered::Same;
        let mut is_silent = true;
        while began.elapsed()
            < match is_silent {
                true => SILENCE_TIME,
                false => REGISTRY_TIME,
            }
        {
            let port_check = port_checks.next();
            match port_check {
                Some(after) => sleep_until(began + after).await,
                None => sleep(REGISTRY_INTERVAL).await,
            }
            let registered = self.fleet.borrow().registered(target);
            if registered == Registered::Restarted {
                return Some(Sign::Restarted);
            }
            let is_just_gone = registered == Registered::Removed && !is_removed;
            is_removed |= matches!(registered, Registered::Removed | Registered::Leaving);
            let silence = self.settle(target);
            is_silent = silence.is_some();
            if !self.crashes.has_losses(target) {
                return None;
            }
            let is_due = match silence {
                None => false,
                Some(Silence::New) => true,
                Some(Silence::Reported) => checked_at.elapsed() >= SILENCE_INTERVAL,
            };
            if !is_just_gone && (!is_due || is_removed) {
                continue;
            }
            checked_at = Instant::now();
            match self.sender.check_status(target).await {
                Status::Gone => return Some(Sign::Refused),
                Status::Silent if is_just_gone => return Some(Sign::Unregistered),
                Status::Silent => self.report_silence(target),
                Status::Answers => self.record_heard(&target.server),
                Status::Unknown if is_just_gone => is_removed = false,
                Status::Unknown => {}
            }
        }
        None
    }

    /// Decides on the losses after which a server was heard; returns whether there are others.
    fn settle(&self, target: &Target) -> Option<Silence> {
        let heard = self.fleet.borrow().heard(&target.server);
        let is_heard = |loss: &Loss| heard.is_some_and(|heard| heard > loss.at + READ_TIME);
        let mut watched = self.crashes.watched.borrow_mut();
        let losses = watched.get_mut(&target.server)?;
        losses.retain(|watched| !watched.loss.is_silent || !is_heard(&watched.loss));
        let mut silence = None;
        for watched in losses {
            if is_heard(&watched.loss) {
                watched.loss.ticket = None;
                continue;
            }
            silence = match watched.is_reported {
                false => Some(Silence::New),
                true => silence.or(Some(Silence::Reported)),
            };
        }
        silence
    }

    /// Tells peers of the runs at a server that doesn't answer.
    fn report_silence(&self, target: &Target) {
        let now = clock::now();
        let (heard, is_in_contact) = {
            let fleet = self.fleet.borrow();
            let since = now.saturating_sub(CONTACT_TIME);
            (
                fleet.heard(&target.server),
                fleet.has_heard_others(&target.server, since),
            )
        };
        if !is_in_contact {
            return;
        }
        let mut fleet = self.fleet.borrow_mut();
        fleet.suspect(&target.server, Suspicion::Unresponsive);
        drop(fleet);
        let mut watched = self.crashes.watched.borrow_mut();
        for watched in watched.get_mut(&target.server).into_iter().flatten() {
            let is_heard = heard.is_some_and(|heard| heard > watched.loss.at + READ_TIME);
            if !is_heard && !watched.is_reported {
                watched.is_reported = true;
                self.suspects.record_silence(&watched.loss, target);
                watched.loss.ticket = None;
            }
        }
    }

    fn record_crashes(&self, target: &Target, losses: &[Loss], sign: Sign) {
        // A request that is sent on a connection of the crashed process would look lost too.
        self.sender.disconnect(target.address);
        for loss in losses {
            self.suspects.record_crash(loss, target, sign);
        }
    }
}

/// Losses at a server that was not heard since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Peers were told of all of them.
    Reported,
    /// There are some of which they weren't.
    New,
}
