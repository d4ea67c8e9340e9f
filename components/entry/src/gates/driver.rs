//! Keeps the gates current until the entry ends.

use std::{
    sync::Arc,
    time::Duration, //
};

use admission::Report;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

use crate::state::State;

/// Pace at which waiting requests are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two reports of the replicas' load to the gates.
const REPORT: u32 = 4;

/// Looks at the gates until the entry ends.
pub(crate) async fn follow(state: Arc<State>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        tokio::select! {
            () = state.ended.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if count.is_multiple_of(REPORT) {
            report(&state);
        }
        state.gates.tick();
        count = count.wrapping_add(1);
    }
}

fn report(state: &State) {
    let entries = state.hosts.sharing(state.settings.limits.links);
    state.gates.report(|service| {
        let (capacity, load) = state.fleet.load(service);
        // No replica has reported yet: nothing is known.
        (capacity > 0).then_some(Report {
            capacity,
            load,
            entries,
        })
    });
}
