//! Registers of large fleets of servers.

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

const SERVERS: u32 = 30_000;

/// Longest time for all of them, on a busy machine too.
const LIMIT: Duration = Duration::from_secs(10);

/// Guards against a first reading whose time grows with the square of the servers, which keeps all callers
/// waiting for seconds after a restart.
#[test]
fn a_large_register_is_taken_in_time() {
    common::run(async {
        let harness = Harness::with(document());
        let began = Instant::now();
        for number in 0..SERVERS {
            let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 8000));
            harness.register(&format!("s{number}"), "draft", "a", address);
        }
        let took = began.elapsed();
        assert!(took < LIMIT, "{took:?}");
    });
}
