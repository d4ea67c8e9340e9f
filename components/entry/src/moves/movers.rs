//! The movers of this entry, and what they pick.

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
    Count,
    Evidence,
    Progress, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The movers of the moves that the document holds, and of those that have yet to end.
#[derive(Default)]
pub(crate) struct Movers(Mutex<BTreeMap<Move, Mover>>);

/// A version that a move picked for a request.
#[derive(Clone, Debug)]
pub(crate) struct Picked {
    pub(super) name: Move,
    pub(super) pick: Pick,
}

impl Movers {
    /// The movers, by move.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<Move, Mover>> {
        self.0.lock().expect("no panic while held")
    }

    /// Picks the version for a request, if a move says so, and points the target and the release
    /// at it.
    pub(crate) fn pick(
        &self,
        document: &Document,
        request: &str,
        servers: &[Server],
        target: &mut Target,
        release: &mut Release,
    ) -> Option<Picked> {
        let plan = document.moves.iter().find(|plan| moves(plan, target))?;
        let movers = self.lock();
        let mover = movers.get(&plan.name)?;
        // The move's name goes in, or the same requests would go first in every move.
        let seed = xxh3_64_with_seed(plan.name.as_bytes(), 0);
        let hash = xxh3_64_with_seed(request.as_bytes(), seed);
        let pick = mover.pick(&target.route, hash, SystemTime::now());
        let version = match pick.side {
            Side::Old => &plan.from,
            Side::New => &plan.to,
        };
        let provision = document.service(&target.service)?;
        let wanted = provision.versions.iter().find(|r| r.name == *version)?;
        *release = wanted.clone();
        target.version = version.clone();
        if pick.side == Side::New
            && let Some(most) = mover.concentration()
        {
            let mut ready = running(servers, wanted);
            ready.truncate(most as usize);
            if !ready.is_empty() {
                release.servers = ready;
            }
        }
        let name = plan.name.clone();
        Some(Picked { name, pick })
    }

    /// Every move, for a report.
    pub(crate) fn progress(&self) -> Vec<Progress> {
        let movers = self.lock();
        movers.values().map(progress).collect()
    }
}

/// One move as operators see it.
fn progress(mover: &Mover) -> Progress {
    let plan = mover.plan();
    let mut routes = BTreeMap::<&Route, (Count, Count)>::new();
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

fn add(count: &mut Count, tally: &Tally) {
    count.requests += tally.requests;
    count.failed += tally.distinct_failures();
    count.slow_first += tally.slow_first;
    count.slow_between += tally.slow_between;
}

/// Tells whether a plan moves the requests of a route.
fn moves(plan: &Plan, target: &Target) -> bool {
    let version = plan.from == target.version || plan.to == target.version;
    let route = plan.routes.is_empty() || plan.routes.contains(&target.route);
    plan.service == target.service && version && route
}

/// The servers of a release that can take work, in a fixed order.
pub(super) fn running(servers: &[Server], release: &Release) -> Vec<Server> {
    let running = servers.iter().filter(|server| release.runs_on(server));
    running.cloned().collect()
}
