//! The movers of this entry, and the versions that they pick for requests.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::SystemTime, //
};

use environment::{
    Document,
    Target,
    document::{
        Plan,
        Release, //
    }, //
};
use moves::{
    Mover,
    Side,
    evidence::Tally,
    step::Pick, //
};
use names::{
    Move,
    Route,
    Server, //
};
use report::moves::{
    Evidence,
    Progress, //
    VersionCounts,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Movers of the moves in the document, and of removed moves whose outcome is not known yet.
#[derive(Default)]
pub(crate) struct Movers(Mutex<BTreeMap<Move, Mover>>);

/// Assignment of a request to one of the versions of a move.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(super) name: Move,
    pub(super) pick: Pick,
}

impl Movers {
    /// Locks the movers, by move.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<Move, Mover>> {
        self.0.lock().expect("no panic while held")
    }

    /// Assigns a request to a version if a move applies to its target, and sets target and release
    /// to that version.
    pub(crate) fn assign(
        &self,
        document: &Document,
        request: &str,
        servers: &[Server],
        target: &mut Target,
        release: &mut Release,
    ) -> Option<Assignment> {
        let plan = document.moves.iter().find(|plan| applies(plan, target))?;
        let movers = self.lock();
        let mover = movers.get(&plan.name)?;
        // Seeded by the move's name, or every move would start with the same requests.
        let seed = xxh3_64_with_seed(plan.name.as_bytes(), 0);
        let hash = xxh3_64_with_seed(request.as_bytes(), seed);
        let pick = mover.pick(&target.route, hash, SystemTime::now());
        let version = match pick.side {
            Side::Old => &plan.from,
            Side::New => &plan.to,
        };
        let provision = document.service(&target.service)?;
        let picked = provision
            .versions
            .iter()
            .find(|release| release.name == *version)?;
        *release = picked.clone();
        target.version = version.clone();
        if pick.side == Side::New
            && let Some(limit) = mover.concentration()
        {
            let mut ready = ready_servers(servers, picked);
            ready.truncate(limit as usize);
            if !ready.is_empty() {
                release.servers = ready;
            }
        }
        let name = plan.name.clone();
        Some(Assignment { name, pick })
    }

    /// Returns the progress of every move, for the report.
    pub(crate) fn progress(&self) -> Vec<Progress> {
        let movers = self.lock();
        movers.values().map(progress).collect()
    }
}

/// Returns the progress of one move.
fn progress(mover: &Mover) -> Progress {
    let plan = mover.plan();
    let mut routes = BTreeMap::<&Route, (VersionCounts, VersionCounts)>::new();
    for (key, pair) in mover.total() {
        let (old, new) = routes.entry(&key.route).or_default();
        add(old, &pair.old);
        add(new, &pair.new);
    }
    let (state, reason) = match (mover.outcome(), mover.veto()) {
        (Some(outcome), _) => (format!("{:?}", outcome.end), outcome.reason.to_string()),
        (None, Some(veto)) => ("reverting".into(), veto.finding.to_string()),
        (None, None) => ("running".into(), String::new()),
    };
    Progress {
        name: plan.name.clone(),
        from: plan.from.clone(),
        to: plan.to.clone(),
        permille: mover.level().permille(),
        by: plan.by,
        against: mover.verdict().e_value,
        state: state.to_lowercase(),
        reason,
        routes: routes
            .into_iter()
            .map(|(route, (old, new))| Evidence {
                route: route.clone(),
                old,
                new,
            })
            .collect(),
    }
}

/// Adds a tally to a count.
fn add(count: &mut VersionCounts, tally: &Tally) {
    count.requests += tally.requests;
    count.failed += tally.distinct_failures();
    count.slow_first += tally.slow_first;
    count.slow_between += tally.slow_between;
}

/// Returns whether a plan applies to the requests of a target.
fn applies(plan: &Plan, target: &Target) -> bool {
    let version = plan.from == target.version || plan.to == target.version;
    let route = plan.routes.is_empty() || plan.routes.contains(&target.route);
    plan.service == target.service && version && route
}

/// Returns those of `servers` that run a release, in the same order.
pub(super) fn ready_servers(servers: &[Server], release: &Release) -> Vec<Server> {
    let ready = servers.iter().filter(|server| release.runs_on(server));
    ready.cloned().collect()
}
