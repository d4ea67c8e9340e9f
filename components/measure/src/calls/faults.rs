//! Results that callers receive under each fault, with and without call records.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fakes::{
    platform,
    service, //
};
use tokio::time::sleep;

use super::fixture::{
    CallResult,
    Fixture,
    POLL_INTERVAL, //
};
use crate::table;

/// A fault during a call.
#[derive(Clone, Copy)]
enum Fault {
    StoreOut,
    StoreSilent,
    StoreAnswerLost,
    StoreWriteLate,
    SidecarBeforeRecord,
    SidecarAfterForward,
    ServiceDown,
    ServiceDiesBefore,
    ServiceDiesAfter,
}

const FAULTS: [Fault; 9] = [
    Fault::StoreOut,
    Fault::StoreSilent,
    Fault::StoreAnswerLost,
    Fault::StoreWriteLate,
    Fault::SidecarBeforeRecord,
    Fault::SidecarAfterForward,
    Fault::ServiceDown,
    Fault::ServiceDiesBefore,
    Fault::ServiceDiesAfter,
];

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::StoreOut => "store out",
            Self::StoreSilent => "store silent",
            Self::StoreAnswerLost => "store's answer lost after the write",
            Self::StoreWriteLate => "store's write takes effect after its time-out",
            Self::SidecarBeforeRecord => "sidecar killed before the record",
            Self::SidecarAfterForward => "sidecar killed after forwarding",
            Self::ServiceDown => "service down",
            Self::ServiceDiesBefore => "service dies with the call, not taken",
            Self::ServiceDiesAfter => "service dies with the call, taken",
        }
    }

    /// Whether the fault strikes before the sidecar forwards the call to the service.
    fn before_forward(self) -> bool {
        !matches!(
            self,
            Self::SidecarAfterForward | Self::ServiceDiesBefore | Self::ServiceDiesAfter
        )
    }
}

pub(super) async fn print(runs: usize) {
    let mut rows = Vec::new();
    for fault in FAULTS {
        for recorded in [false, true] {
            rows.push(row(fault, recorded, runs).await);
        }
    }
    let heading = [
        "fault",
        "loss before forwarding",
        "record",
        "ran",
        "not_run",
        "unknown",
        "longest s",
        "most forwards per call",
    ];
    table::print(&heading, &rows);
}

async fn row(fault: Fault, recorded: bool, runs: usize) -> Vec<String> {
    let mut outcomes = BTreeMap::<String, usize>::new();
    let mut max_latency = Duration::ZERO;
    let mut max_calls = 0;
    for _ in 0..runs {
        let mut fixture = Fixture::start().await;
        let first = inject(&mut fixture, fault, recorded.then_some("k")).await;
        max_latency = max_latency.max(first.latency);
        *outcomes.entry(first.outcome).or_default() += 1;
        // A retry with the same key must not make the call run twice.
        if recorded {
            fixture.inject_store_fault(platform::Fault {
                clear: true,
                ..platform::Fault::default()
            });
            fixture.deposit(1, Some("k")).await;
        }
        max_calls = max_calls.max(fixture.calls(recorded.then_some("k")));
    }
    let share = |name: &str| {
        let count = outcomes.get(name).copied().unwrap_or_default();
        format!("{:.0} %", 100.0 * count as f64 / runs as f64)
    };
    vec![
        fault.name().into(),
        if fault.before_forward() { "yes" } else { "no" }.into(),
        if recorded { "kept" } else { "none" }.into(),
        share("ran"),
        share("not_run"),
        share("unknown"),
        format!("{:.2}", max_latency.as_secs_f64()),
        max_calls.to_string(),
    ]
}

/// Injects a fault and sends a call; returns the caller's result.
async fn inject(fixture: &mut Fixture, fault: Fault, key: Option<&str>) -> CallResult {
    let store_healthy = platform::Fault::default();
    let healthy = service::Fault::default();
    match fault {
        Fault::StoreOut => fixture.inject_store_fault(platform::Fault {
            outage: true,
            ..store_healthy
        }),
        Fault::StoreSilent => fixture.inject_store_fault(platform::Fault {
            silence: true,
            ..store_healthy
        }),
        Fault::StoreAnswerLost => {
            warm_up(fixture).await;
            fixture.inject_store_fault(platform::Fault {
                lose_answers: Some(1),
                ..store_healthy
            });
        }
        Fault::StoreWriteLate => {
            warm_up(fixture).await;
            fixture.inject_store_fault(platform::Fault {
                slow_ms: Some(2500),
                ..store_healthy
            });
        }
        Fault::SidecarBeforeRecord => return kill_before_record(fixture, key).await,
        Fault::SidecarAfterForward => return kill_after_forward(fixture, key).await,
        Fault::ServiceDown => {
            inject_service_fault(
                fixture,
                &service::Fault {
                    die: true,
                    ..healthy
                },
            );
            for service in &fixture.0.services {
                service.dead().await;
            }
        }
        Fault::ServiceDiesBefore => inject_service_fault(
            fixture,
            &service::Fault {
                die_before_take: true,
                ..healthy
            },
        ),
        Fault::ServiceDiesAfter => inject_service_fault(
            fixture,
            &service::Fault {
                die_after_take: true,
                ..healthy
            },
        ),
    }
    fixture.deposit(0, key).await
}

/// Makes each sidecar take its lease, so that the next write to the store is a call record.
async fn warm_up(fixture: &Fixture) {
    let (first, second) = (fixture.send(0, Some("w1")), fixture.send(1, Some("w2")));
    let _ = (first.await, second.await);
    sleep(Duration::from_millis(50)).await;
}

/// Kills the sidecars while they write the call record to a slow store.
async fn kill_before_record(fixture: &mut Fixture, key: Option<&str>) -> CallResult {
    let before = fixture.0.platform.counts().writes;
    fixture.inject_store_fault(platform::Fault {
        slow_ms: Some(700),
        ..platform::Fault::default()
    });
    inject_service_fault(
        fixture,
        &service::Fault {
            slow_ms: Some(300),
            ..service::Fault::default()
        },
    );
    let result = fixture.send(0, key);
    while fixture.0.platform.counts().writes == before && fixture.calls(key) == 0 {
        sleep(POLL_INTERVAL).await;
    }
    for sidecar in &mut fixture.0.sidecars {
        sidecar.kill();
    }
    fixture.inject_store_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
    result.await.expect("no task panics")
}

/// Kills the sidecar of the replica that is serving the call.
async fn kill_after_forward(fixture: &mut Fixture, key: Option<&str>) -> CallResult {
    inject_service_fault(
        fixture,
        &service::Fault {
            slow_ms: Some(300),
            ..service::Fault::default()
        },
    );
    let result = fixture.send(0, key);
    let replica = fixture.wait_for_call().await;
    fixture.0.sidecars[replica].kill();
    result.await.expect("no task panics")
}

fn inject_service_fault(fixture: &Fixture, fault: &service::Fault) {
    for service in &fixture.0.services {
        service.inject_fault(fault.clone());
    }
}
