//! Measures how late this process runs.
//!
//! A process that is starved of processor time by its neighbours sees every answer come slowly. It
//! can detect this: its own timer fires late as well, and tasks that are ready wait long to be
//! scheduled.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::Duration, //
};

use names::Clock;
use tokio::{
    task::yield_now,
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;

/// Interval of the timer. Stalls shorter than it go unnoticed; a shorter interval would wake the
/// process up more often.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Lateness of a tick that counts as normal: the runtime's timers have a resolution of one
/// millisecond.
const NORMAL_TICK_DELAY: Duration = Duration::from_micros(1500);

/// Scheduling delay of a ready task that counts as normal. An answer passes through several such
/// delays, so delays far below a timer's lateness add up.
const NORMAL_SCHEDULING_DELAY: Duration = Duration::from_micros(250);

/// Lateness of a tick from which on the process counts as paused. Shorter stalls are common on busy
/// hosts.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Shortest period over which lateness is computed: a shorter one may contain no tick.
const MIN_MEASURED_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of late ticks and scheduling delays that are stored: enough for ten seconds in
/// which all are late.
const MAX_LATE_EVENTS: usize = 4_000;

/// Late ticks and long scheduling delays of this process.
#[derive(Debug, Default)]
pub struct Lateness(Mutex<Ticks>);

#[derive(Debug, Default)]
struct Ticks {
    /// Time at which the next tick is due; `None` before the first tick.
    due: Option<Clock>,
    /// Time of each late tick or scheduling delay, and by how much it was late.
    late: VecDeque<(Clock, Duration)>,
}

impl Lateness {
    /// Records a tick of the timer at `now`.
    pub fn record_tick(&self, now: Clock) {
        let mut ticks = self.0.lock().expect("no panic while held");
        ticks.record(now);
    }

    /// Records at `now` how long a ready task waited to be scheduled. Such delays are sampled once
    /// per tick.
    pub fn record_wait(&self, now: Clock, waited: Duration) {
        let late = waited.saturating_sub(NORMAL_SCHEDULING_DELAY);
        if late.is_zero() {
            return;
        }
        let mut ticks = self.0.lock().expect("no panic while held");
        ticks.push(now, late);
    }

    /// Returns the fraction, from 0 to 1, of the time from `begun` to `now` by which the process
    /// ran late. For shorter times, the last 20 ms are used.
    pub fn fraction(&self, begun: Clock, now: Clock) -> f64 {
        let ticks = self.0.lock().expect("no panic while held");
        let begun = begun.min(now.saturating_sub(MIN_MEASURED_PERIOD));
        let recent = ticks.late.iter().rev().take_while(|(at, _)| *at >= begun);
        // After a stall, the timer and the callers of this function wake up in any order.
        let late = recent.map(|(_, late)| *late).sum::<Duration>() + ticks.overdue(now);
        let time = now.saturating_sub(begun).as_secs_f64();
        (late.as_secs_f64() / time.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns for how long the process was paused since `since`, for example by a signal or with
    /// its whole host. Silence of other processes during a pause is no evidence against them.
    pub fn paused(&self, since: Clock, now: Clock) -> Duration {
        let mut ticks = self.0.lock().expect("no panic while held");
        // After a pause, the timer and the callers of this function wake up in any order. Whichever
        // comes first records the pause, so that it counts once.
        if ticks.overdue(now) >= MIN_PAUSE {
            ticks.record(now);
        }
        let recent = ticks.late.iter().rev().take_while(|(at, _)| *at > since);
        let pauses = recent.filter(|(_, late)| *late >= MIN_PAUSE);
        pauses.map(|(_, late)| *late).sum()
    }

    /// Runs the timer until `stop` is cancelled. `clock` is the process's monotonic clock.
    pub async fn monitor(&self, clock: impl Fn() -> Clock, stop: &CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let ticked = clock();
            self.record_tick(ticked);
            yield_now().await;
            let now = clock();
            self.record_wait(now, now.saturating_sub(ticked));
        }
    }
}

impl Ticks {
    /// Records a tick of the timer.
    fn record(&mut self, now: Clock) {
        let late = self.overdue(now);
        if !late.is_zero() {
            self.push(now, late);
        }
        self.due = Some(now + TICK_INTERVAL);
    }

    /// Stores a late tick or scheduling delay.
    fn push(&mut self, now: Clock, late: Duration) {
        self.late.push_back((now, late));
        if self.late.len() > MAX_LATE_EVENTS {
            self.late.pop_front();
        }
    }

    /// Returns by how much the next tick is late at `now`, beyond the normal delay.
    fn overdue(&self, now: Clock) -> Duration {
        let due = self.due.unwrap_or(now);
        now.saturating_sub(due).saturating_sub(NORMAL_TICK_DELAY)
    }
}
