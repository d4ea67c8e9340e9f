//! What callers are told, fault by fault, with records and without.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fakes::{
    platform,
    service, //
};
use tokio::time::sleep;

use super::desk::{
    Desk,
    PACE,
    Told, //
};
use crate::table;

#[derive(Clone, Copy)]
enum Fault {
    StoreOut,
    StoreSilent,
    StoreAnswerLost,
    StoreWriteLate,
    SidecarBeforeRecord,
    SidecarInHandOver,
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
    Fault::SidecarInHandOver,
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
            Self::SidecarInHandOver => "sidecar killed after the hand-over",
            Self::ServiceDown => "service down",
            Self::ServiceDiesBefore => "service dies with the call, not taken",
            Self::ServiceDiesAfter => "service dies with the call, taken",
        }
    }

    fn before_hand_over(self) -> bool {
        !matches!(
            self,
            Self::SidecarInHandOver | Self::ServiceDiesBefore | Self::ServiceDiesAfter
        )
    }
}

pub(super) async fn print(runs: usize) {
    let mut rows = Vec::new();
    for fault in FAULTS {
        for kept in [false, true] {
            rows.push(row(fault, kept, runs).await);
        }
    }
    let heading = [
        "fault",
        "loss before the hand-over",
        "record",
        "ran",
        "not_run",
        "unknown",
        "longest s",
        "most hand-overs a call",
    ];
    table::print(&heading, &rows);
}

async fn row(fault: Fault, kept: bool, runs: usize) -> Vec<String> {
    let mut told = BTreeMap::<String, usize>::new();
    let mut longest = Duration::ZERO;
    let mut most = 0;
    for _ in 0..runs {
        let mut desk = Desk::open().await;
        let first = strike(&mut desk, fault, kept.then_some("k")).await;
        longest = longest.max(first.took);
        *told.entry(first.run).or_default() += 1;
        // A caller that repeats the call with its key must not make it run twice.
        if kept {
            desk.store(platform::Fault {
                clear: true,
                ..platform::Fault::default()
            });
            desk.deposit(1, Some("k")).await;
        }
        most = most.max(desk.calls(kept.then_some("k")));
    }
    let share = |name: &str| {
        let count = told.get(name).copied().unwrap_or_default();
        format!("{:.0} %", 100.0 * count as f64 / runs as f64)
    };
    vec![
        fault.name().into(),
        if fault.before_hand_over() {
            "yes"
        } else {
            "no"
        }
        .into(),
        if kept { "kept" } else { "none" }.into(),
        share("ran"),
        share("not_run"),
        share("unknown"),
        format!("{:.2}", longest.as_secs_f64()),
        most.to_string(),
    ]
}

async fn strike(desk: &mut Desk, fault: Fault, key: Option<&str>) -> Told {
    let store = platform::Fault::default();
    let all = service::Fault::default();
    match fault {
        Fault::StoreOut => desk.store(platform::Fault {
            outage: true,
            ..store
        }),
        Fault::StoreSilent => desk.store(platform::Fault {
            silence: true,
            ..store
        }),
        Fault::StoreAnswerLost => {
            warm(desk).await;
            desk.store(platform::Fault {
                lose_answers: Some(1),
                ..store
            });
        }
        Fault::StoreWriteLate => {
            warm(desk).await;
            desk.store(platform::Fault {
                slow_ms: Some(2500),
                ..store
            });
        }
        Fault::SidecarBeforeRecord => return kill_before_record(desk, key).await,
        Fault::SidecarInHandOver => return kill_in_hand_over(desk, key).await,
        Fault::ServiceDown => {
            strike_services(desk, &service::Fault { die: true, ..all });
            for service in &desk.0.services {
                service.dead().await;
            }
        }
        Fault::ServiceDiesBefore => strike_services(
            desk,
            &service::Fault {
                die_before_take: true,
                ..all
            },
        ),
        Fault::ServiceDiesAfter => strike_services(
            desk,
            &service::Fault {
                die_after_take: true,
                ..all
            },
        ),
    }
    desk.deposit(0, key).await
}

/// Lets each sidecar take its lease, so that the next write is a record.
async fn warm(desk: &Desk) {
    let (one, other) = (desk.send(0, Some("w1")), desk.send(1, Some("w2")));
    let _ = (one.await, other.await);
    sleep(Duration::from_millis(50)).await;
}

async fn kill_before_record(desk: &mut Desk, key: Option<&str>) -> Told {
    let before = desk.0.platform.counts().writes;
    desk.store(platform::Fault {
        slow_ms: Some(700),
        ..platform::Fault::default()
    });
    strike_services(
        desk,
        &service::Fault {
            slow_ms: Some(300),
            ..service::Fault::default()
        },
    );
    let told = desk.send(0, key);
    while desk.0.platform.counts().writes == before && desk.calls(key) == 0 {
        sleep(PACE).await;
    }
    for sidecar in &mut desk.0.sidecars {
        sidecar.kill();
    }
    desk.store(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
    told.await.expect("no task panics")
}

async fn kill_in_hand_over(desk: &mut Desk, key: Option<&str>) -> Told {
    strike_services(
        desk,
        &service::Fault {
            slow_ms: Some(300),
            ..service::Fault::default()
        },
    );
    let told = desk.send(0, key);
    let replica = desk.handed().await;
    desk.0.sidecars[replica].kill();
    told.await.expect("no task panics")
}

fn strike_services(desk: &Desk, fault: &service::Fault) {
    for service in &desk.0.services {
        service.inject_fault(fault.clone());
    }
}
