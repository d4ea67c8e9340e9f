//! Exhaustive breadth-first search of a state space, built on the `pathfinding` library.

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

/// Result of a search.
#[derive(Clone, Debug)]
pub enum Outcome<A> {
    /// All reachable states satisfy all invariants.
    Holds {
        /// Number of reachable states.
        states: usize,
        /// Number of transitions between them.
        steps: usize,
        /// Duration of the search.
        took: Duration,
    },
    /// A reachable state violates an invariant.
    Broken {
        /// The violated invariant.
        invariant: &'static str,
        /// A shortest sequence of steps from the initial state to the violating one.
        trace: Vec<A>,
    },
}

/// Searches all states that are reachable from `initial`.
///
/// `successors` returns the enabled steps of a state with the states that they lead to, and
/// `violated` the invariant that a state violates. The search terminates only if the state space is
/// finite, so a specification must bound losses, repetitions and epochs.
pub fn search<S, A>(
    initial: S,
    successors: impl Fn(&S) -> Vec<(A, S)>,
    violated: impl Fn(&S) -> Option<&'static str>,
) -> Outcome<A>
where
    S: Clone + Eq + Hash,
    A: Clone + Debug,
{
    let started = Instant::now();
    let states = Cell::new(0);
    let steps = Cell::new(0);
    let path = bfs(
        &initial,
        |state| {
            let enabled = successors(state);
            states.set(states.get() + 1);
            steps.set(steps.get() + enabled.len());
            enabled
                .into_iter()
                .map(|(_, state)| state)
                .collect::<Vec<_>>()
        },
        |state| violated(state).is_some(),
    );
    let Some(path) = path else {
        return Outcome::Holds {
            states: states.get(),
            steps: steps.get(),
            took: started.elapsed(),
        };
    };
    let invariant = path.last().and_then(&violated).unwrap_or("unnamed");
    let trace = path
        .windows(2)
        .filter_map(|pair| {
            let mut enabled = successors(&pair[0]).into_iter();
            enabled
                .find(|(_, state)| *state == pair[1])
                .map(|(step, _)| step)
        })
        .collect();
    Outcome::Broken { invariant, trace }
}
