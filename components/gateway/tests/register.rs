//! Test of the registration of a large fleet of backend servers.

mod common;

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use common::{
    Harness,
    document, //
};
use tokio::time::Instant;

const SERVER_COUNT: u32 = 30_000;

/// Longest time for registering all servers, also on a busy machine.
const MAX_REGISTRATION_TIME: Duration = Duration::from_secs(10);

/// Guards against an initial load that takes time quadratic in the number of servers: after a
/// restart, all callers would wait for seconds.
#[test]
fn a_large_fleet_is_registered_in_time() {
    common::run(async {
        let harness = Harness::with_document(document());
        let started = Instant::now();
        for number in 0..SERVER_COUNT {
            let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 8000));
            harness.register(&format!("s{number}"), "draft", "a", address);
        }
        let elapsed = started.elapsed();
        assert!(elapsed < MAX_REGISTRATION_TIME, "{elapsed:?}");
    });
}
