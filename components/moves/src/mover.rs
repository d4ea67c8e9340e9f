//! State machine of one move at one entry.
//!
//! The share is the smaller of what the ramp and what the evidence allow, and grows by one level at
//! a time. It falls only when the move ends. A veto from any entry sends all new requests to the
//! old version at once, without the store. The store decides between done and reverted when entries
//! that couldn't communicate disagree: its record is written once, and every entry that reads it
//! follows it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::{
        Duration,
        SystemTime, //
    },
};

use environment::document::Plan;
use names::{
    Clock,
    DataCentre,
    Revision,
    Route, //
};

use crate::{
    evidence::{
        Cells,
        Evidence,
        Key,
        Source, //
    },
    judge::{
        self,
        VETO_THRESHOLD,
        Verdict, //
    },
    outcome::{
        End,
        Outcome,
        Reason,
        Veto, //
    },
    plan::Ramp,
    share::{
        self,
        Level,
        Side, //
    },
    step::{
        Action,
        Answer,
        Event,
        Fact,
        Notice,
        Pick, //
    },
};

mod count;
mod update;

/// Latency limits of a route above which a request is slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Limit {
    first: Option<Duration>,
    between: Option<Duration>,
}

/// The entry that runs a mover.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Source under which the entry counts.
    pub source: Source,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
}

/// State of one move at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Mover {
    owner: Owner,
    plan: Plan,
    routes: Vec<Route>,
    ramp: Ramp,
    evidence: Evidence,
    total: Cells,
    limits: BTreeMap<Route, Limit>,
    failed_hashes: BTreeSet<u32>,
    changed_cells: BTreeSet<Key>,
    /// Time of the last counted first-token sample at the full share.
    first_counted_at: Option<SystemTime>,
    /// Time of the last counted sample of the time between tokens at the full share.
    between_counted_at: Option<SystemTime>,
    /// Whether received facts speak against the new version and haven't been assessed yet.
    assessment_due: bool,

    level: Level,
    level_changed_at: Clock,
    ready_replicas: Option<(u32, u32)>,
    concentration: Option<u32>,
    overload: bool,
    synced: bool,
    full_at: Option<SystemTime>,
    late_noticed: bool,

    veto: Option<Veto>,
    dropped: Option<(Side, Reason)>,
    outcome: Option<Outcome>,

    rank: u32,
    revision: Option<Revision>,
    write_due: Option<Clock>,
    /// Whether the record was read since its write was due.
    read_before_write: bool,
    store_call_at: Option<Clock>,
    read_at: Clock,
    cells_published_at: Clock,
    times_published_at: Clock,
}

impl Mover {
    /// Starts a move at this entry. The actions are to be carried out like those of [`handle`].
    ///
    /// [`handle`]: Self::handle
    pub fn new(
        owner: Owner,
        plan: Plan,
        routes: Vec<Route>,
        now: Clock,
        wall: SystemTime,
    ) -> (Self, Vec<Action>) {
        let ramp = Ramp::new(&plan, wall);
        let mover = Self {
            owner,
            plan,
            routes,
            ramp,
            evidence: Evidence::default(),
            total: Cells::new(),
            limits: BTreeMap::new(),
            failed_hashes: BTreeSet::new(),
            changed_cells: BTreeSet::new(),
            first_counted_at: None,
            between_counted_at: None,
            assessment_due: false,
            level: Level::ZERO,
            level_changed_at: now,
            ready_replicas: None,
            concentration: None,
            overload: false,
            synced: false,
            full_at: None,
            late_noticed: false,
            veto: None,
            dropped: None,
            outcome: None,
            rank: 0,
            revision: None,
            write_due: None,
            read_before_write: false,
            store_call_at: Some(now),
            read_at: now,
            cells_published_at: now,
            times_published_at: now,
        };
        (mover, vec![Action::KeepWarm(true), Action::Read])
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Clock, wall: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        // Requests arrive at hundreds per second; they can't change the share unless one causes a
        // veto.
        let frequent = matches!(
            event,
            Event::First { .. } | Event::Between { .. } | Event::Finished { .. }
        );
        match event {
            Event::Planned { plan, routes } => self.replan(plan, routes),
            Event::Dropped(side) => self.dropped = Some((side, Reason::Dropped)),
            Event::Synced => self.synced = true,
            Event::Ready { old, new } => self.ready_replicas = Some((old, new)),
            Event::Rank(rank) => self.rank = rank,
            Event::Overload(overload) => self.overload = overload,
            Event::First { pick, time, late } => {
                self.record_first_token(&pick, time, late, wall, &mut actions);
            }
            Event::Between { pick, time, late } => {
                self.record_token_gap(&pick, time, late, wall, &mut actions);
            }
            Event::Finished { pick, ending } => self.record_end(&pick, ending, wall, &mut actions),
            Event::Died(death) => {
                if self.evidence.merge_death(&death) {
                    actions.push(Action::Publish(Fact::Death(death)));
                    self.judge(wall, &mut actions);
                }
            }
            Event::Received(fact) => self.receive(fact, &mut actions),
            Event::Stored(answer) => self.receive_stored(answer, &mut actions),
            Event::Tick => {
                if self.assessment_due {
                    self.assessment_due = false;
                    self.judge(wall, &mut actions);
                }
                self.publish(now, wall, &mut actions);
            }
        }
        if !frequent || !actions.is_empty() {
            self.update(now, wall, &mut actions);
        }
        actions
    }

    /// Picks the version for a request. `hash` must depend on the request and on the move.
    pub fn pick(&self, route: &Route, hash: u64, wall: SystemTime) -> Pick {
        Pick {
            side: share::pick(hash, self.level),
            level: self.level,
            slot: self.ramp.slot(wall),
            route: route.clone(),
            hash,
        }
    }

    /// Returns the new version's share of new requests.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns how many replicas of the new version receive its traffic; `None` means all.
    pub fn concentration(&self) -> Option<u32> {
        self.concentration
    }

    /// Returns whether this entry has its peers' facts, so that a peer may rely on its own.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the move as configured in the document.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the veto, if one is known.
    pub fn veto(&self) -> Option<&Veto> {
        self.veto.as_ref()
    }

    /// Returns the outcome, if it is known.
    pub fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// Returns the known counts of all entries.
    pub fn total(&self) -> &Cells {
        &self.total
    }

    /// Assesses the current evidence.
    pub fn verdict(&self) -> Verdict {
        judge::assess(&self.total, self.evidence.deaths())
    }

    /// Returns the sum over the entries of this data centre, for the other data centres.
    pub fn summary(&self) -> Fact {
        Fact::Cells {
            source: Source::Centre(self.owner.data_centre.clone()),
            cells: self.evidence.summary(),
        }
    }

    /// Returns all known facts, for a peer that has just started.
    pub fn facts(&self) -> Vec<Fact> {
        let mut facts = vec![Fact::Began(self.ramp.began())];
        facts.extend(self.veto.clone().map(Fact::Veto));
        facts.extend(self.outcome.clone().map(Fact::Outcome));
        facts.extend(self.evidence.deaths().cloned().map(Fact::Death));
        facts.extend(self.evidence.sources().map(|(source, cells)| Fact::Cells {
            source: source.clone(),
            cells: cells.clone(),
        }));
        facts
    }

    fn replan(&mut self, plan: Plan, routes: Vec<Route>) {
        let same = (&plan.service, &plan.from, &plan.to)
            == (&self.plan.service, &self.plan.from, &self.plan.to);
        if !same {
            self.dropped = Some((Side::Old, Reason::Replaced));
            return;
        }
        self.ramp = Ramp::new(&plan, self.ramp.began());
        self.plan = plan;
        self.routes = routes;
        self.dropped = None;
        self.late_noticed = false;
    }

    fn receive(&mut self, fact: Fact, actions: &mut Vec<Action>) {
        match fact {
            Fact::Began(began) if began < self.ramp.began() => {
                self.ramp = Ramp::new(&self.plan, began);
            }
            Fact::Began(_) => {}
            Fact::Cells { source, cells } => {
                if source == self.owner.source {
                    return;
                }
                // A request that failed at another entry isn't counted again when its caller
                // retries it here.
                for pair in cells.values() {
                    for tally in [&pair.old, &pair.new] {
                        tally
                            .failures
                            .hashes()
                            .for_each(|hash| self.remember_failed_hash(hash));
                    }
                }
                self.evidence.merge_cells(&source, &cells);
                for key in cells.keys() {
                    let sum = self.evidence.total_of(&self.owner.data_centre, key);
                    let events_against = sum.new.events_against();
                    let before = self.total.insert(key.clone(), sum);
                    let before = before.map_or(0, |pair| pair.new.events_against());
                    self.assessment_due |= events_against > before;
                }
            }
            Fact::Times {
                source,
                route,
                side,
                times,
            } => {
                if source != self.owner.source {
                    self.evidence.merge_times(&source, &route, side, &times);
                }
            }
            Fact::Death(death) => self.assessment_due |= self.evidence.merge_death(&death),
            Fact::Veto(veto) => self.adopt_veto(veto, actions),
            Fact::Outcome(outcome) => self.adopt_outcome(outcome, actions),
        }
    }

    fn adopt_veto(&mut self, veto: Veto, actions: &mut Vec<Action>) {
        let done = self.outcome.as_ref().is_some_and(|o| o.end == End::Done);
        if done && self.veto.is_none() {
            actions.push(Action::Notice(Notice::Overruled(veto.clone())));
        }
        let first = match self.veto.take() {
            Some(known) => known.min(veto),
            None => veto,
        };
        self.veto = Some(first);
    }

    fn adopt_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        if self.outcome.is_some() {
            return;
        }
        if outcome.end == End::Done
            && let Some(veto) = &self.veto
        {
            actions.push(Action::Notice(Notice::Overruled(veto.clone())));
        }
        let notice = if outcome.by == self.owner.source {
            Notice::Reported(outcome.clone())
        } else {
            Notice::Received(outcome.clone())
        };
        actions.push(Action::Publish(Fact::Outcome(outcome.clone())));
        actions.push(Action::Notice(notice));
        actions.push(Action::KeepWarm(false));
        self.outcome = Some(outcome);
    }

    fn receive_stored(&mut self, answer: Answer, actions: &mut Vec<Action>) {
        let Answer::Current { revision, record } = answer else {
            return;
        };
        // A record without an outcome doesn't exclude a veto that only the entries know yet, so a
        // restarted entry still needs a peer's facts before it sends any traffic.
        self.revision = Some(revision);
        self.store_call_at = None;
        let Some(record) = record else {
            return;
        };
        if record.began < self.ramp.began() {
            self.ramp = Ramp::new(&self.plan, record.began);
        }
        if let Some(outcome) = record.outcome {
            self.adopt_outcome(outcome, actions);
        }
    }

    fn judge(&mut self, wall: SystemTime, actions: &mut Vec<Action>) {
        if self.veto.is_some() || self.outcome.is_some() || self.dropped.is_some() {
            return;
        }
        let verdict = self.verdict();
        if verdict.e_value < VETO_THRESHOLD {
            return;
        }
        let Some(finding) = verdict.finding else {
            return;
        };
        let veto = Veto {
            at: wall,
            by: self.owner.source.clone(),
            finding,
        };
        self.veto = Some(veto.clone());
        actions.push(Action::Publish(Fact::Veto(veto.clone())));
        actions.push(Action::Notice(Notice::Vetoed(veto)));
    }
}
