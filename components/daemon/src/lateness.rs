//! How late this process runs.
//!
//! A process whose processor is taken away by its neighbours sees every answer come slowly. It can
//! tell: a timer of its own comes late as well, and a task that is ready waits long for its turn.

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

/// Time between two ticks of the timer. Stalls that fall between two ticks stay unseen, and each
/// tick wakes the process up.
const PACE: Duration = Duration::from_millis(5);

/// Part of a tick's lateness that is usual: the runtime's timers count in whole milliseconds.
const USUAL: Duration = Duration::from_micros(1500);

/// Time that a task that is ready usually waits for its turn. What an answer passes through waits
/// several times, so that waits far below a timer's lateness add up.
const USUAL_TURN: Duration = Duration::from_micros(250);

/// Shortest time over which lateness is told: a shorter one may have no tick.
const SHORTEST: Duration = Duration::from_millis(20);

/// Late ticks and turns that are remembered: those of ten seconds in which all are late.
const REMEMBERED: usize = 4_000;

/// Ticks and turns that came late.
#[derive(Debug, Default)]
pub struct Lateness(Mutex<Ticks>);

#[derive(Debug, Default)]
struct Ticks {
    /// When the next one is due; none before the first.
    due: Option<Clock>,
    /// When a late tick or turn came, and by how much it was late.
    late: VecDeque<(Clock, Duration)>,
}

impl Lateness {
    /// Notes that the timer ticked at `now`.
    pub fn record_tick(&self, now: Clock) {
        let mut ticks = self.0.lock().expect("no panic while held");
        let late = ticks.behind(now);
        if !late.is_zero() {
            ticks.note(now, late);
        }
        ticks.due = Some(now + PACE);
    }

    /// Notes at `now` that a task that was ready waited for its turn. Such waits are seen once a tick.
    pub fn record_wait(&self, now: Clock, waited: Duration) {
        let late = waited.saturating_sub(USUAL_TURN);
        if late.is_zero() {
            return;
        }
        let mut ticks = self.0.lock().expect("no panic while held");
        ticks.note(now, late);
    }

    /// Part of the time from `begun` to `now` by which the process ran late, from 0 to 1. Of a
    /// short time it is taken over the last 20 ms.
    pub fn fraction(&self, begun: Clock, now: Clock) -> f64 {
        let ticks = self.0.lock().expect("no panic while held");
        let begun = begun.min(now.saturating_sub(SHORTEST));
        let recent = ticks.late.iter().rev().take_while(|(at, _)| *at >= begun);
        // After a stall the timer and those who ask wake up together, in any order.
        let late = recent.map(|(_, late)| *late).sum::<Duration>() + ticks.behind(now);
        let time = now.saturating_sub(begun).as_secs_f64();
        (late.as_secs_f64() / time.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Lets the timer tick until the process ends. `clock` is the process's steady clock.
    pub async fn monitor(&self, clock: impl Fn() -> Clock, ended: &CancellationToken) {
        let mut ticks = interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = ended.cancelled() => return,
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
    fn note(&mut self, now: Clock, late: Duration) {
        self.late.push_back((now, late));
        if self.late.len() > REMEMBERED {
            self.late.pop_front();
        }
    }

    fn behind(&self, now: Clock) -> Duration {
        let due = self.due.unwrap_or(now);
        now.saturating_sub(due).saturating_sub(USUAL)
    }
}
