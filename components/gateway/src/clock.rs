//! Clock that keeps counting while the host is suspended.

use std::time::Duration;

use names::Clock;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Returns the time since the host booted, including time that it was suspended.
///
/// `CLOCK_MONOTONIC` stops while a host is suspended. Anything that must expire in real time, such
/// as the right to accept an API key, would live too long if measured by it.
pub fn now() -> Clock {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
