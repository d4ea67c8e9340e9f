//! Polls the backend server's health and load, which heartbeats report to the entries.

use std::{
    sync::Arc,
    time::Duration, //
};

use daemon::probe::Readiness;
use events::answers;
use serde::Deserialize;
use settings::sidecar::Kind;
use tokio::{
    sync::watch,
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;
use wire::frame::Load;

use crate::state::State;

/// Assumed capacity of a plain service, which reports none, in calls.
const PLAIN_CAPACITY: u32 = 64;

/// Load that the engine reports at `GET /load`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Report {
    running: u32,
    queued: u32,
    capacity: u32,
    kv_used: f64,
    age_ms: u64,
}

/// Updates the content of heartbeats and the readiness until the sidecar has stopped.
pub(crate) async fn poll(
    state: Arc<State>,
    ready: watch::Sender<Readiness>,
    stopped: CancellationToken,
) {
    let times = &state.context.settings.times;
    let Ok(client) = reqwest::Client::builder().timeout(times.silence).build() else {
        return;
    };
    let mut ticks = interval(times.load);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let healthy = is_healthy(&client, &state.context.settings.server.address).await;
        let load = load(&client, &state).await;
        update(&state, &ready, healthy, load);
    }
}

async fn is_healthy(client: &reqwest::Client, address: &str) -> bool {
    let answer = client.get(format!("{address}/health")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Reads the load of an engine. For a plain service, or an engine that doesn't answer, returns the
/// load that the sidecar counts itself.
async fn load(client: &reqwest::Client, state: &State) -> Load {
    let counted = Load {
        running: state.concurrency.count(),
        capacity: PLAIN_CAPACITY,
        ..Load::default()
    };
    if state.context.settings.server.kind == Kind::Plain {
        return counted;
    }
    let address = &state.context.settings.server.address;
    let Ok(answer) = client.get(format!("{address}/load")).send().await else {
        return counted;
    };
    let Ok(report) = answer.json::<Report>().await else {
        return counted;
    };
    Load {
        running: report.running.max(counted.running),
        queued: report.queued,
        capacity: report.capacity,
        cache: (report.kv_used.clamp(0.0, 1.0) * 1000.0) as u16,
        age: Duration::from_millis(report.age_ms),
    }
}

fn update(state: &State, ready: &watch::Sender<Readiness>, healthy: bool, load: Load) {
    let before = state.heartbeat.borrow().healthy;
    // Only a change of health triggers a heartbeat; the load alone waits for the next regular one.
    state.heartbeat.send_if_modified(|heartbeat| {
        heartbeat.load = Some(load);
        let changed = heartbeat.healthy != healthy;
        heartbeat.healthy = healthy;
        changed
    });
    if before == healthy {
        return;
    }
    let server = &state.context.settings.server.name;
    if healthy {
        events::emit!(answers::BACKEND_UP, "server={server}");
        ready.send_replace(Readiness::Ready);
    } else {
        events::emit!(answers::BACKEND_DOWN, "server={server}");
        ready.send_replace(Readiness::Waiting("backend server doesn't answer".into()));
    }
}
