//! Tests of the permits of requests that may crash servers.

use std::time::Duration;

use contract::poison::{
    evidence::ServiceId,
    trial::{
        Arbiter,
        LEASE,
        Permit, //
    },
};
use names::Clock;

const SERVICE: ServiceId = 1;
const OTHER_SERVICE: ServiceId = 2;

const START: Clock = Duration::from_secs(1000);

fn permit(process: u64, number: u32) -> Permit {
    Permit { process, number }
}

/// Guards against two requests that run together.
#[test]
fn a_service_has_one_permit_at_a_time() {
    let mut arbiter = Arbiter::default();
    assert!(arbiter.grant(START, SERVICE, permit(1, 1)));
    assert!(!arbiter.grant(START, SERVICE, permit(1, 2)));
    assert!(!arbiter.grant(START, SERVICE, permit(2, 1)));
    assert!(arbiter.grant(START, OTHER_SERVICE, permit(2, 1)));
    arbiter.release(SERVICE, permit(2, 1));
    assert!(!arbiter.grant(START, SERVICE, permit(2, 1)));
    arbiter.release(SERVICE, permit(1, 1));
    assert!(arbiter.grant(START, SERVICE, permit(2, 1)));
}

/// Guards against a permit that its process takes with it when it ends, and against one that ends while
/// its request runs.
#[test]
fn a_permit_ends_unless_it_is_renewed() {
    let mut arbiter = Arbiter::default();
    assert!(arbiter.grant(START, SERVICE, permit(1, 1)));
    let later = START + LEASE / 2;
    assert!(arbiter.grant(later, SERVICE, permit(1, 1)));
    assert!(!arbiter.grant(START + LEASE, SERVICE, permit(2, 1)));
    assert!(arbiter.grant(later + LEASE, SERVICE, permit(2, 1)));
}
