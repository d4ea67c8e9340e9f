//! One entry's part in one move.
//!
//! The share is the smaller of what the ramp and what the evidence allow, and grows by one level at
//! a time. It falls only when the move ends. A veto, an entry's own or another's, sends all new
//! requests to the old version at once, without the store. The store decides between done and
//! reverted where entries that couldn't hear one another saw it differently: its record is written
//! once, and every entry that learns of it follows it.

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
mod settle;

/// Limits beyond which a request of a route is slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Limit {
    first: Option<Duration>,
    between: Option<Duration>,
}

/// Whose mover it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The entry, which counts under this name.
    pub source: Source,
    /// Its data centre.
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
    /// When a time until the first token, and one between tokens, was last counted at the full share.
    first_counted_at: Option<SystemTime>,
    between_counted_at: Option<SystemTime>,
    /// Something was heard that speaks against the new version and hasn't been judged.
    unjudged: bool,

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
    store_call_at: Option<Clock>,
    read_at: Clock,
    cells_published_at: Clock,
    times_published_at: Clock,
}

impl Mover {
    /// Begins to take part in a move. The actions are to be carried out like those of [`handle`].
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
            unjudged: false,
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
            store_call_at: Some(now),
            read_at: now,
            cells_published_at: now,
            times_published_at: now,
        };
        (mover, vec![Action::KeepWarm(true), Action::Read])
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now: Clock, wall: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        // Requests come by the hundred a second; unless one trips, they change no share.
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
                self.first(&pick, time, late, wall, &mut actions);
            }
            Event::Between { pick, time, late } => {
                self.between(&pick, time, late, wall, &mut actions);
            }
            Event::Finished { pick, ending } => self.finished(&pick, ending, wall, &mut actions),
            Event::Died(death) => {
                if self.evidence.merge_death(&death) {
                    actions.push(Action::Publish(Fact::Death(death)));
                    self.judge(wall, &mut actions);
                }
            }
            Event::Received(fact) => self.hear(fact, &mut actions),
            Event::Stored(answer) => self.stored(answer, &mut actions),
            Event::Tick => {
                if self.unjudged {
                    self.unjudged = false;
                    self.judge(wall, &mut actions);
                }
                self.tell(now, wall, &mut actions);
            }
        }
        if !frequent || !actions.is_empty() {
            self.settle(now, wall, &mut actions);
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

    /// The new version's share of new requests.
    pub fn level(&self) -> Level {
        self.level
    }

    /// How many replicas of the new version get its traffic; all of them when none.
    pub fn concentration(&self) -> Option<u32> {
        self.concentration
    }

    /// Whether this entry knows what its peers know, so that a peer may rely on its facts.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// The move as the document has it.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The veto, once one is known.
    pub fn veto(&self) -> Option<&Veto> {
        self.veto.as_ref()
    }

    /// The outcome, once it is known.
    pub fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// Counts of all entries, as far as they are known here.
    pub fn total(&self) -> &Cells {
        &self.total
    }

    /// What the evidence says now.
    pub fn verdict(&self) -> Verdict {
        judge::assess(&self.total, self.evidence.deaths())
    }

    /// Sum over the entries of this data centre, for the other data centres.
    pub fn summary(&self) -> Fact {
        Fact::Cells {
            source: Source::Centre(self.owner.data_centre.clone()),
            cells: self.evidence.summary(),
        }
    }

    /// Everything known, for a peer that has just come up.
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

    fn hear(&mut self, fact: Fact, actions: &mut Vec<Action>) {
        match fact {
            Fact::Began(began) if began < self.ramp.began() => {
                self.ramp = Ramp::new(&self.plan, began);
            }
            Fact::Began(_) => {}
            Fact::Cells { source, cells } => {
                if source == self.owner.source {
                    return;
                }
                // A request that failed at another entry isn't counted again when its caller sends
                // it to this one.
                for pair in cells.values() {
                    for tally in [&pair.old, &pair.new] {
                        tally.failures.hashes().for_each(|hash| self.remember(hash));
                    }
                }
                self.evidence.merge_cells(&source, &cells);
                for key in cells.keys() {
                    let sum = self.evidence.total_of(&self.owner.data_centre, key);
                    let against = sum.new.against();
                    let before = self.total.insert(key.clone(), sum);
                    let before = before.map_or(0, |pair| pair.new.against());
                    self.unjudged |= against > before;
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
            Fact::Death(death) => self.unjudged |= self.evidence.merge_death(&death),
            Fact::Veto(veto) => self.take_veto(veto, actions),
            Fact::Outcome(outcome) => self.take_outcome(outcome, actions),
        }
    }

    fn take_veto(&mut self, veto: Veto, actions: &mut Vec<Action>) {
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

    fn take_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
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
            Notice::Learned(outcome.clone())
        };
        actions.push(Action::Publish(Fact::Outcome(outcome.clone())));
        actions.push(Action::Notice(notice));
        actions.push(Action::KeepWarm(false));
        self.outcome = Some(outcome);
    }

    fn stored(&mut self, answer: Answer, actions: &mut Vec<Action>) {
        let Answer::Current { revision, record } = answer else {
            return;
        };
        // A record without an outcome says nothing of a veto that only the entries know yet, so
        // an entry that was restarted still has to hear a peer before it sends any traffic.
        self.revision = Some(revision);
        self.store_call_at = None;
        let Some(record) = record else {
            return;
        };
        if record.began < self.ramp.began() {
            self.ramp = Ramp::new(&self.plan, record.began);
        }
        if let Some(outcome) = record.outcome {
            self.take_outcome(outcome, actions);
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
