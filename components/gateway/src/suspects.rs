//! Requests that may crash backend servers, and what this gateway tells its peers of them.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    time::Duration, //
};

use contract::poison::{
    Fingerprint,
    Verdict,
    evidence::{
        Evidence,
        Observation,
        Report,
        ServiceId,
        Stage,
        Subject, //
    }, //
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
    crashes::{
        Loss,
        Sign, //
    },
    fleet::Target,
    meter,
    probation::Probation,
    trials::Trials, //
};

/// Time for which survivals are remembered: longer than it takes to notice a crash.
const RECENT_TIME: Duration = Duration::from_secs(15);

/// Number of remembered survivals from which the older ones are removed.
const MAX_RECENT: usize = 4096;

/// Evidence against requests, from this gateway and its peers.
#[derive(Default)]
pub struct Suspects {
    evidence: RefCell<Evidence>,
    /// Recent observations of this gateway.
    own: Announcements<(Clock, Subject, Observation)>,
    /// When runs here last survived whose survival told nothing then, by their causes. A crash may be
    /// noticed seconds later.
    recent: RefCell<HashMap<Fingerprint, (ServiceId, Clock)>>,
    /// Permits of requests that run one at a time.
    pub trials: Rc<Trials>,
    /// Runs of this gateway that haven't lived yet.
    pub probation: Rc<Probation>,
}

impl Suspects {
    /// Returns whether no request is suspected, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.evidence.borrow().is_empty()
    }

    /// Returns the cause for which a request is refused, if it is.
    pub fn refused_cause(&self, subject: &Subject) -> Option<Fingerprint> {
        let evidence = self.evidence.borrow();
        evidence.refused_cause(clock::now(), subject)
    }

    /// Returns how long the refusal of a cause may still be wrong; see [`Evidence::unsettled_for`].
    pub fn unsettled_for(&self, cause: Fingerprint) -> Duration {
        self.evidence.borrow().unsettled_for(clock::now(), cause)
    }

    /// Returns the servers that take no further run of a service until one lives there; see
    /// [`Evidence::separates`].
    pub fn occupied_servers(&self, service: ServiceId) -> Vec<Server> {
        match self.evidence.borrow().separates(clock::now(), service) {
            true => self.probation.servers(),
            false => Vec::new(),
        }
    }

    /// Returns the number of causes for which a request needs a permit; see [`Evidence::held_causes`].
    pub fn held_causes(&self, subject: &Subject) -> usize {
        self.evidence.borrow().held_causes(subject)
    }

    /// Returns whether a request waits for what became of a silent server; see
    /// [`Evidence::is_undecided`].
    pub fn is_undecided(&self, subject: &Subject) -> bool {
        self.evidence.borrow().is_undecided(subject)
    }

    /// Returns whether a request may have crashed servers.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        let evidence = self.evidence.borrow();
        evidence.verdict(clock::now(), request) == Verdict::Suspect
    }

    /// Returns whether a plain request that may have crashed servers has to wait for another one:
    /// requests that are together at each crash can't be told apart.
    pub fn must_wait(&self, subject: &Subject) -> bool {
        if !self.is_suspect(subject.request) {
            return false;
        }
        let mut young = self.probation.young_requests(subject.service).into_iter();
        young.any(|request| self.is_suspect(request))
    }

    /// Records that a server crashed before a run of a request survived.
    pub fn record_crash(&self, loss: &Loss, target: &Target, sign: Sign) {
        let (call, stage) = (&loss.call, loss.stage);
        let observation = Observation::Crashed {
            server: beacon::id(&target.server),
            incarnation: target.incarnation,
            stage,
            run_ms: loss.run_ms(),
        };
        let subject = call.subject();
        if !self.record_own(loss.at, subject, observation) {
            return;
        }
        self.recall(loss.at, subject);
        meter::server_crash();
        let cause = self.refused_cause(subject);
        note!(
            forwarding::SERVER_CRASHED,
            id = call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            fingerprint = format!("{:032x}", subject.request).as_str(),
            started = stage != Stage::Pending,
            sign = sign.name(),
            noticed_ms = clock::now().saturating_sub(loss.at).as_millis() as u64,
            refused = cause.is_some(),
            cause = cause.map(|cause| format!("{cause:032x}")).as_deref(),
            part = cause.and_then(|cause| call.part_of(cause))
        );
    }

    /// Records that a server stopped answering before a run of a request survived.
    pub fn record_silence(&self, loss: &Loss, target: &Target) {
        let call = &loss.call;
        let observation = Observation::Silent {
            server: beacon::id(&target.server),
            incarnation: target.incarnation,
            stage: loss.stage,
            run_ms: loss.run_ms(),
        };
        if !self.record_own(loss.at, call.subject(), observation) {
            return;
        }
        self.recall(loss.at, call.subject());
        meter::server_silence();
        note!(
            forwarding::SERVER_SILENT,
            id = call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            fingerprint = format!("{:032x}", call.fingerprint()).as_str(),
            parts = call.part_ids().as_deref(),
            started = loss.stage != Stage::Pending,
            silent_ms = clock::now().saturating_sub(loss.at).as_millis() as u64,
            held = self.held_causes(call.subject())
        );
    }

    /// Returns whether a server is only known to be silent.
    pub fn is_silent(&self, server: &Server) -> bool {
        self.evidence.borrow().is_silent(beacon::id(server))
    }

    /// Records that a server hasn't crashed, if it was taken for silent.
    pub fn record_answer(&self, server: &Server) {
        if self.is_empty() || !self.is_silent(server) {
            return;
        }
        let subject = Subject::new(0, 0, []);
        let observation = Observation::Answered {
            server: beacon::id(server),
        };
        if self.record_own(clock::now(), &subject, observation) {
            note!(forwarding::SERVER_ANSWERS, server = server.as_str());
        }
    }

    /// Returns whether a request may only go to a server that has just answered; see
    /// [`Evidence::is_unproven`].
    pub fn is_unproven(&self, request: Fingerprint) -> bool {
        self.evidence.borrow().is_unproven(request)
    }

    /// Records that a run of the request lived or survived, if that changes anything.
    pub fn record_life(&self, subject: &Subject, observation: Observation) {
        let now = clock::now();
        let relevant = self.evidence.borrow().relevant_to(subject, observation);
        if let Some(relevant) = relevant {
            self.record_own(now, &relevant, observation);
        }
        if observation != Observation::Survived {
            return;
        }
        let mut recent = self.recent.borrow_mut();
        for cause in subject.causes() {
            recent.insert(cause, (subject.service, now));
        }
        if recent.len() > MAX_RECENT {
            recent.retain(|_, (_, at)| *at + RECENT_TIME > now);
        }
        if recent.len() > MAX_RECENT {
            recent.clear();
        }
    }

    /// Records the survivals of the causes of a request since its server crashed, or fell silent, at a
    /// time.
    fn recall(&self, at: Clock, subject: &Subject) {
        let survived: Vec<_> = {
            let recent = self.recent.borrow();
            let causes = subject.causes();
            let survived = causes.filter_map(|cause| Some((cause, *recent.get(&cause)?)));
            survived.filter(|(_, (_, last))| *last >= at).collect()
        };
        for (cause, (service, last)) in survived {
            let subject = Subject::new(service, cause, []);
            self.record_own(last, &subject, Observation::Survived);
        }
    }

    /// Records an observation of this gateway from the time `at`; returns whether it was new.
    fn record_own(&self, at: Clock, subject: &Subject, observation: Observation) -> bool {
        let now = clock::now();
        let mut evidence = self.evidence.borrow_mut();
        if !evidence.record(now, at, subject, observation) {
            return false;
        }
        self.own.push(now, (at, subject.clone(), observation));
        true
    }

    /// Applies the reports of a peer.
    pub fn apply(&self, reports: &[Report]) {
        let now = clock::now();
        let mut evidence = self.evidence.borrow_mut();
        let refused = |evidence: &Evidence| -> HashSet<Fingerprint> {
            let causes = reports.iter();
            let causes = causes.filter_map(|report| evidence.refused_cause(now, &report.subject));
            causes.collect()
        };
        let before = refused(&evidence);
        evidence.apply(now, reports);
        drop(evidence);
        for report in reports {
            let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
            if let Observation::Crashed { .. } | Observation::Silent { .. } = report.observation {
                self.recall(at, &report.subject);
            }
        }
        for cause in refused(&self.evidence.borrow()).difference(&before) {
            note!(
                forwarding::REQUEST_POISONOUS,
                fingerprint = format!("{cause:032x}").as_str()
            );
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
        due.map(|(_, (at, subject, observation))| Report::new(now, at, subject, observation))
            .collect()
    }

    /// Returns all reports, for a peer that may have none.
    pub fn all_reports(&self) -> Vec<Report> {
        self.evidence.borrow().reports(clock::now())
    }
}
