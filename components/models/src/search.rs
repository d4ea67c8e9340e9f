//! Breadth-first search of a whole state space, by the `pathfinding` library.

use std::{
    cell::Cell,
    fmt::Debug,
    hash::Hash,
    time::{
        Duration,
        Instant, //
    },
};

use pathfinding::directed::bfs::bfs;

/// What a search found.
#[derive(Clone, Debug)]
pub enum Outcome<A> {
    /// Every reachable state was seen and kept every invariant.
    Holds {
        /// Number of states.
        states: usize,
        /// Number of steps between them.
        steps: usize,
        /// Time that the search took.
        took: Duration,
    },
    /// A state broke an invariant; the trace is the shortest way there.
    Broken {
        /// The invariant.
        invariant: &'static str,
        /// The steps from the first state to the broken one.
        trace: Vec<A>,
    },
}

/// Searches every state reachable from `start`.
///
/// `next` gives the steps that are possible in a state, `broken` the invariant that a state breaks.
/// The search ends only when the state space is finite: bound losses, repetitions and epochs in
/// the specification.
pub fn search<S, A>(
    start: S,
    next: impl Fn(&S) -> Vec<(A, S)>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Outcome<A>
where
    S: Clone + Eq + Hash,
    A: Clone + Debug,
{
    let began = Instant::now();
    let states = Cell::new(0);
    let steps = Cell::new(0);
    let path = bfs(
        &start,
        |state| {
            let following = next(state);
            states.set(states.get() + 1);
            steps.set(steps.get() + following.len());
            following
                .into_iter()
                .map(|(_, state)| state)
                .collect::<Vec<_>>()
        },
        |state| broken(state).is_some(),
    );
    let Some(path) = path else {
        return Outcome::Holds {
            states: states.get(),
            steps: steps.get(),
            took: began.elapsed(),
        };
    };
    let invariant = path.last().and_then(&broken).unwrap_or("unnamed");
    let trace = path
        .windows(2)
        .filter_map(|pair| {
            let mut following = next(&pair[0]).into_iter();
            following
                .find(|(_, state)| *state == pair[1])
                .map(|(step, _)| step)
        })
        .collect();
    Outcome::Broken { invariant, trace }
}
