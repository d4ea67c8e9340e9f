//! Updates the gates periodically.

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

/// Interval at which queued requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two reports of the replicas' load to the gates.
const TICKS_PER_REPORT: u32 = 4;

/// Updates the gates until the entry has stopped.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        tokio::select! {
            () = state.stopped.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if count.is_multiple_of(TICKS_PER_REPORT) {
            report(&state);
        }
        state.gates.tick();
        count = count.wrapping_add(1);
    }
}

/// Reports the load of the replicas to the gates.
fn report(state: &State) {
    let entries = state.hosts.entries_per_sidecar(state.settings.limits.links);
    state.gates.report(|service| {
        let (capacity, load) = state.fleet.load(service);
        // Without a report of any replica, the load is unknown.
        (capacity > 0).then_some(Report {
            capacity,
            load,
            processes: entries,
        })
    });
}
