//! Result of one request at a version, for the rollout of its service.

use std::{
    rc::Rc,
    time::Duration, //
};

use names::{
    Route,
    Service,
    Version, //
};
use tokio::time::Instant;

use super::{
    Answer,
    Rollouts, //
};
use crate::{
    call::Call,
    fleet::Target,
    requests::Running, //
};

/// A request whose result at a version is reported once: when it is answered, when it fails, or when
/// its answer is overdue, whether or not it is still waited for. If only the answers that arrive
/// counted, nothing would speak against a version that answers too late.
pub struct Trial {
    rollouts: Rc<Rollouts>,
    service: Service,
    route: Route,
    version: Version,
    progress: Rc<Running>,
    began: Instant,
    /// Time after which an answer is overdue while the usual time of the route is unknown.
    objective: Duration,
    /// Time at which the caller no longer waits.
    until: Instant,
    reported: bool,
}

impl Trial {
    /// Creates the trial of a request that is being sent to a server.
    pub fn begin(rollouts: &Rc<Rollouts>, call: &Call, target: &Target) -> Trial {
        Trial {
            rollouts: rollouts.clone(),
            service: call.service.clone(),
            route: call.route.clone(),
            version: target.version.clone(),
            progress: call.progress.clone(),
            began: Instant::now(),
            objective: call.pass.objective,
            until: call.until,
            reported: false,
        }
    }

    /// Returns the time at which the answer is overdue; `None` if the service has no rollout.
    pub fn overdue_at(&self) -> Option<Instant> {
        if !self.rollouts.has_order(&self.service) {
            return None;
        }
        let limit = self.rollouts.slow_limit(&self.route);
        Some(self.began + limit.unwrap_or(self.objective))
    }

    /// Reports the answer as overdue if it is. The caller's deadline may come before the time that
    /// is unusual for the route.
    pub fn check(&mut self) {
        let overdue_at = self.overdue_at().map(|at| at.min(self.until));
        if self.reported || overdue_at.is_none_or(|at| Instant::now() < at) {
            return;
        }
        self.reported = true;
        self.report(Answer::Overdue);
    }

    /// Reports that the first event or the response arrived.
    pub fn answered(&mut self) {
        let time = self.began.elapsed();
        if !std::mem::replace(&mut self.reported, true) {
            self.report(Answer::After(time));
        }
    }

    /// Reports that the server failed.
    pub fn failed(&mut self) {
        if !std::mem::replace(&mut self.reported, true) {
            self.report(Answer::Failed);
        }
    }

    /// Reports that the server was given up as too slow.
    pub fn given_up(&mut self) {
        if !std::mem::replace(&mut self.reported, true) {
            self.report(Answer::Overdue);
        }
    }

    /// Ends the trial without a result, as the server didn't run the request.
    pub fn cancel(&mut self) {
        self.reported = true;
    }

    fn report(&self, answer: Answer) {
        self.rollouts.record_result(
            &self.service,
            &self.route,
            &self.version,
            &self.progress,
            answer,
        );
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.check();
    }
}
