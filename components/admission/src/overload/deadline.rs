//! Requests that were sent before, as far as their deadlines tell.
//!
//! A caller that was refused and comes back states the time that it has left, which is less than
//! what callers state with their first requests. Its answer would be later than its objective,
//! counted from its first request.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::{
    Route,
    Team, //
};

/// Number of deadlines of a route that are kept.
const MAX_DEADLINES: usize = 128;

/// Number of deadlines from which they tell what is usual.
const MIN_DEADLINES: usize = 8;

/// Share of the shortest deadlines that aren't counted as usual: some callers come back without an
/// overload.
const UNUSUAL_SHARE: f64 = 0.1;

/// Number of a team's own deadlines from which one like them is usual.
const MIN_TEAM_DEADLINES: usize = 2;

/// Deadlines of each route while its service is within its capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Deadlines {
    routes: BTreeMap<Route, VecDeque<(Team, Duration)>>,
    /// Shortest usual deadline of each route.
    shortest: BTreeMap<Route, Duration>,
}

impl Deadlines {
    /// Records the deadline of a request.
    pub(super) fn record(&mut self, route: &Route, team: &Team, deadline: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), VecDeque::new());
        }
        let Some(recent) = self.routes.get_mut(route) else {
            return;
        };
        if recent.len() >= MAX_DEADLINES {
            recent.pop_front();
        }
        recent.push_back((team.clone(), deadline));
    }

    /// Records that an overload begins, from which on callers come back.
    pub(super) fn begin(&mut self) {
        self.shortest.clear();
        for (route, recent) in &self.routes {
            if recent.len() < MIN_DEADLINES {
                continue;
            }
            let mut sorted: Vec<Duration> = recent.iter().map(|(_, value)| *value).collect();
            sorted.sort_unstable();
            let index = (sorted.len() as f64 * UNUSUAL_SHARE) as usize;
            self.shortest.insert(route.clone(), sorted[index]);
        }
    }

    /// Returns whether a request was probably sent before, too long ago to meet its objective.
    pub(super) fn is_return(
        &self,
        route: &Route,
        team: &Team,
        deadline: Duration,
        objective: Duration,
    ) -> bool {
        let Some(shortest) = self.shortest.get(route) else {
            return false;
        };
        if deadline + objective > *shortest {
            return false;
        }
        // A team may have a shorter deadline than the others.
        let own = self.routes.get(route).into_iter().flatten();
        let alike =
            |(other, value): &&(Team, Duration)| other == team && *value <= deadline + objective;
        own.filter(alike).count() < MIN_TEAM_DEADLINES
    }
}
