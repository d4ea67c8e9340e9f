//! Requests that may crash backend servers, and what this gateway tells its peers of them.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::Duration, //
};

use contract::poison::{
    Fingerprint, Verdict,
    evidence::{
        Evidence,
        Observation,
        Report,
        Stage, //
    },
};
use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Server, //
};
use spread::beacon;
use tokio::sync::Notify;

use crate::{
    clock,
    meter, //
};

/// Time for which an own observation is sent again, as datagrams may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// Interval between two sends of the own observations.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of own observations that are sent again.
const MAX_OWN_REPORTS: usize = 128;

/// Evidence against requests, from this gateway and its peers.
#[derive(Default)]
pub struct Suspects {
    evidence: RefCell<Evidence>,
    /// Recent observations of this gateway, oldest first.
    own: RefCell<VecDeque<(Clock, Fingerprint, Observation)>>,
    last_sent: RefCell<Clock>,
    notify: Rc<Notify>,
}

impl Suspects {
    /// Returns whether no request is suspected, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.evidence.borrow().is_empty()
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.evidence.borrow().verdict(clock::now(), fingerprint)
    }

    /// Records that a server crashed before a run of the request survived.
    pub fn record_crash(&self, id: &str, fingerprint: Fingerprint, server: &Server, stage: Stage) {
        let observation = Observation::Crashed {
            server: beacon::id(server),
            stage,
        };
        if !self.record_own(fingerprint, observation) {
            return;
        }
        meter::server_crash();
        let refused = matches!(self.verdict(fingerprint), Verdict::Refused { .. });
        note!(
            forwarding::SERVER_CRASHED,
            id = id,
            server = server.as_str(),
            fingerprint = format!("{fingerprint:032x}").as_str(),
            started = stage == Stage::Started,
            refused = refused
        );
    }

    /// Records that a run of the request survived or was answered.
    pub fn record_survival(&self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) != Verdict::Clear {
            self.record_own(fingerprint, Observation::Survived);
        }
    }

    /// Records an observation of this gateway; returns whether it was new.
    fn record_own(&self, fingerprint: Fingerprint, observation: Observation) -> bool {
        let now = clock::now();
        let mut evidence = self.evidence.borrow_mut();
        if !evidence.record(now, now, fingerprint, observation) {
            return false;
        }
        let mut own = self.own.borrow_mut();
        own.push_back((now, fingerprint, observation));
        if own.len() > MAX_OWN_REPORTS {
            own.pop_front();
        }
        self.notify.notify_one();
        true
    }

    /// Applies the reports of a peer.
    pub fn apply(&self, reports: &[Report]) {
        let now = clock::now();
        let mut evidence = self.evidence.borrow_mut();
        for report in reports {
            let was_refused = is_refused(&evidence, now, report.fingerprint);
            evidence.apply(now, report);
            if !was_refused && is_refused(&evidence, now, report.fingerprint) {
                note!(
                    forwarding::REQUEST_POISONOUS,
                    fingerprint = format!("{:032x}", report.fingerprint).as_str(),
                    age_ms = report.age_ms
                );
            }
        }
    }

    /// Sets whether the store has a refusal of a request.
    pub fn set_stored(&self, fingerprint: Fingerprint, stored: bool) {
        self.evidence.borrow_mut().set_stored(fingerprint, stored);
    }

    /// Returns the refusals that are due to be stored, each with the time for which it holds.
    pub fn unstored(&self) -> Vec<(Fingerprint, Duration)> {
        self.evidence.borrow().unstored(clock::now())
    }

    /// Returns the handle that is notified when there is a new own observation.
    pub fn announce_notify(&self) -> Rc<Notify> {
        self.notify.clone()
    }

    /// Returns the own observations that are due to be sent to all peers: all recent ones, once per
    /// interval, or at once if `is_new`.
    pub fn due_reports(&self, is_new: bool) -> Vec<Report> {
        let now = clock::now();
        let mut own = self.own.borrow_mut();
        own.retain(|(at, _, _)| now.saturating_sub(*at) <= REPEAT_TIME);
        let mut last_sent = self.last_sent.borrow_mut();
        if own.is_empty() || !is_new && now.saturating_sub(*last_sent) < REPEAT_INTERVAL {
            return Vec::new();
        }
        *last_sent = now;
        let reports = own.iter().map(|(at, fingerprint, observation)| {
            Report::new(now, *at, *fingerprint, *observation)
        });
        reports.collect()
    }

    /// Returns all reports, for a peer that may have none.
    pub fn all_reports(&self) -> Vec<Report> {
        self.evidence.borrow().reports(clock::now())
    }
}

fn is_refused(evidence: &Evidence, now: Clock, fingerprint: Fingerprint) -> bool {
    matches!(evidence.verdict(now, fingerprint), Verdict::Refused { .. })
}
