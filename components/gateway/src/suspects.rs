//! Requests that may crash backend servers, and what this gateway tells its peers of them.

use std::{
    cell::RefCell,
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
    announcements::Announcements,
    clock,
    meter, //
};

/// Evidence against requests, from this gateway and its peers.
#[derive(Default)]
pub struct Suspects {
    evidence: RefCell<Evidence>,
    /// Recent observations of this gateway.
    own: Announcements<(Fingerprint, Observation)>,
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
        self.own.push(now, (fingerprint, observation));
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
        self.own.notify()
    }

    /// Returns the own observations that are due to be sent to all peers; see
    /// [`Announcements::due`].
    pub fn due_reports(&self, is_new: bool) -> Vec<Report> {
        let now = clock::now();
        let due = self.own.due(now, is_new).into_iter();
        due.map(|(at, (fingerprint, observation))| Report::new(now, at, fingerprint, observation))
            .collect()
    }

    /// Returns all reports, for a peer that may have none.
    pub fn all_reports(&self) -> Vec<Report> {
        self.evidence.borrow().reports(clock::now())
    }
}

fn is_refused(evidence: &Evidence, now: Clock, fingerprint: Fingerprint) -> bool {
    matches!(evidence.verdict(now, fingerprint), Verdict::Refused { .. })
}
