//! Retries over a small fleet whose processes start, end, and don't all hear each other.

use std::time::Duration;

use admission::{
    Accounts,
    Bound,
    Confirmation,
    Contact,
    Purpose,
    Retries, //
};
use names::Clock;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

const BOUND: Bound = Bound {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

const STEP: Duration = Duration::from_millis(10);

const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which a process no longer counts a peer.
const SILENCE: Duration = Duration::from_millis(1500);

/// Nearly as long.
const UNNOTICED: Duration = Duration::from_millis(1400);

/// Time from a process's end to the start of the next one.
const RESTART_TIME: Duration = Duration::from_secs(1);

const PROCESSES: usize = 5;

const REQUESTS_PER_S: f64 = 5.0;

const SEEDS: u64 = 16;

/// Process number and how often it was started.
type Start = (usize, u64);

struct Process {
    accounts: Accounts,
    retries: Retries,
    starts: u64,
    /// When each peer was last heard, by its number, and as which start.
    heard: [Option<(Clock, u64)>; PROCESSES],
    /// The process runs from then on.
    from: Clock,
}

fn id((number, starts): Start) -> u64 {
    number as u64 + 100 * starts
}

/// What goes wrong in a fleet.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All processes end at once, every so often.
    Herd(Duration),
    /// The processes end one after the other.
    Turns(Duration),
    /// From the start on, no process hears another one.
    NeverMet,
    /// From the twentieth second on, this process isn't heard, and hears the others if `true`. Until
    /// the twenty-first second only its requests fail.
    Cut(usize, bool),
    /// From this second on, a process isn't heard, and hears the others. Its requests fail from then
    /// on, those of the others once they have nearly noticed it.
    Unheard(usize, u64),
    /// From the twentieth second on, the first two processes and the others don't hear each other.
    /// The first one restarts at the twenty-second second.
    Partition,
    /// This process ends for good at the twentieth second.
    End(usize),
}

struct Fleet {
    processes: Vec<Process>,
    fault: Fault,
    now: Clock,
    rng: SmallRng,
    requests: Vec<Clock>,
    retries: Vec<Clock>,
}

impl Fleet {
    fn new(fault: Fault, seed: u64) -> Fleet {
        let process = |_| Process {
            accounts: Accounts::new(Clock::ZERO, true, true),
            retries: Retries::default(),
            starts: 0,
            heard: [None; PROCESSES],
            from: Clock::ZERO,
        };
        Fleet {
            processes: (0..PROCESSES).map(process).collect(),
            fault,
            now: Clock::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn is_due(&self, interval: Duration) -> bool {
        let rest = self.now.as_millis() % interval.as_millis();
        self.now >= Duration::from_secs(12) && rest < STEP.as_millis()
    }

    fn restart(&mut self, number: usize) {
        let from = self.now + RESTART_TIME;
        let process = &mut self.processes[number];
        process.accounts = Accounts::new(from, true, false);
        process.retries = Retries::default();
        process.heard = [None; PROCESSES];
        process.starts += 1;
        process.from = from;
    }

    fn hears(&self, to: usize, from: usize) -> bool {
        match self.fault {
            Fault::NeverMet => false,
            Fault::Cut(cut, hears_others) if self.now >= Duration::from_secs(20) => {
                from != cut && (to != cut || hears_others)
            }
            Fault::Unheard(cut, second) if self.now >= Duration::from_secs(second) => from != cut,
            Fault::Partition if self.now >= Duration::from_secs(20) => (from < 2) == (to < 2),
            _ => true,
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        let now = self.now;
        let is_running = |process: &Process| process.from <= now;
        if !is_running(&self.processes[from]) || !is_running(&self.processes[to]) {
            return;
        }
        let sender = &mut self.processes[from];
        let counts = sender.retries.counts(now, &BOUND);
        let departed: Vec<_> = sender.retries.departed(now).collect();
        let is_complete = sender.accounts.are_complete(now, BOUND.window);
        let processes = sender.accounts.processes(now);
        let (starts, heard) = (sender.starts, sender.heard[to]);
        let receiver = &mut self.processes[to];
        let heard = heard.filter(|(_, starts)| *starts == receiver.starts);
        let contact = Contact {
            host: from.to_string(),
            confirmation: heard.map(|(at, _)| Confirmation {
                reported_at: at,
                counts_until: at + SILENCE,
                is_prompt: true,
            }),
            processes,
        };
        let previous = receiver.heard[from].replace((now, starts));
        if let Some((_, before)) = previous.filter(|(_, before)| *before != starts) {
            let ended = id((from, before));
            receiver.accounts.remove_peer(ended);
            let _ = receiver.retries.forget(ended, BOUND.window);
        }
        let peer = id((from, starts));
        receiver.retries.record_peer(now, peer, counts, false);
        receiver.accounts.record_peer(peer, contact);
        if is_complete {
            receiver.accounts.inform();
        }
        let own = id((to, receiver.starts));
        for departed in departed.into_iter().filter(|departed| departed.peer != own) {
            receiver.retries.record_departed(departed);
        }
    }

    fn expire(&mut self, number: usize) {
        for peer in 0..PROCESSES {
            let process = &mut self.processes[number];
            let Some((_, starts)) = process.heard[peer].filter(|(at, _)| self.now - *at > SILENCE)
            else {
                continue;
            };
            process.heard[peer] = None;
            process.accounts.lose_peer(self.now, id((peer, starts)));
            let _ = process.retries.forget(id((peer, starts)), BOUND.window);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        match self.fault {
            Fault::Herd(interval) if self.is_due(interval) => {
                (0..PROCESSES).for_each(|number| self.restart(number));
            }
            Fault::Partition if self.now == Duration::from_secs(22) => self.restart(0),
            Fault::End(number) if self.now == Duration::from_secs(20) => {
                self.processes[number].from = Clock::MAX;
            }
            Fault::Turns(interval) if self.is_due(interval) => {
                let turn = self.now.as_millis() / interval.as_millis();
                self.restart(turn as usize % PROCESSES);
            }
            _ => {}
        }
        for number in 0..PROCESSES {
            self.send(number);
            let offset = REPORT_INTERVAL.as_millis() * number as u128 / PROCESSES as u128;
            let since = (self.now.as_millis() + offset) % REPORT_INTERVAL.as_millis();
            if since >= STEP.as_millis() {
                continue;
            }
            self.expire(number);
            for to in (0..PROCESSES).filter(|to| *to != number) {
                if self.hears(to, number) {
                    self.report(number, to);
                }
            }
        }
    }

    /// Sends the requests of a step, and as many retries as are allowed.
    fn send(&mut self, number: usize) {
        let now = self.now;
        let is_one_alone = now < Duration::from_secs(21);
        let fails = match self.fault {
            Fault::Cut(cut, _) if is_one_alone => cut == number,
            Fault::Unheard(cut, second) => {
                let at = Duration::from_secs(second);
                now >= at && (cut == number || now >= at + UNNOTICED)
            }
            _ => true,
        };
        let process = &mut self.processes[number];
        if process.from > now {
            return;
        }
        let probability = REQUESTS_PER_S * STEP.as_secs_f64() / PROCESSES as f64;
        if self.rng.random_bool(probability) {
            process.retries.request(now, &BOUND);
            self.requests.push(now);
        }
        let standing = process.accounts.standing(now, BOUND.window);
        if fails
            && process
                .retries
                .retry(now, &BOUND, standing, Purpose::Resume)
        {
            process.retries.settle(now, &BOUND);
            self.retries.push(now);
        }
    }

    /// Returns the largest share of the bound that any window used.
    fn max_use(&self) -> f64 {
        let uses = self.retries.iter().map(|start| self.use_from(*start));
        uses.fold(0.0, f64::max)
    }

    /// Returns the share of the bound that the window from a time on used.
    fn use_from(&self, start: Clock) -> f64 {
        let within = |times: &[Clock]| {
            let before = |limit| times.partition_point(|at| *at < limit);
            before(start + BOUND.window) - before(start)
        };
        let allowed = BOUND.ratio * within(&self.requests) as f64 + BOUND.slack;
        within(&self.retries) as f64 / allowed
    }
}

/// Guards against retries that are forgotten with the processes that sent them, and against
/// processes that take what others have used, as they don't know of it.
#[rstest]
#[case::all_restart_once(Fault::Herd(Duration::from_secs(25)))]
#[case::all_restart_often(Fault::Herd(Duration::from_secs(4)))]
#[case::restarts_by_turns(Fault::Turns(Duration::from_millis(1300)))]
#[case::never_met(Fault::NeverMet)]
#[case::cut_off(Fault::Cut(2, false))]
#[case::not_heard(Fault::Cut(2, true))]
#[case::not_heard_at_first(Fault::Unheard(2, 25))]
#[case::restart_in_a_partition(Fault::Partition)]
#[case::one_ends(Fault::End(2))]
fn a_small_fleet_stays_within_the_bound(#[case] fault: Fault) {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(fault, seed);
        while fleet.now < Duration::from_secs(60) {
            fleet.step();
        }
        let max_use = fleet.max_use();
        assert!(max_use <= 1.0, "seed {seed}: {max_use} of the bound");
    }
}

/// Guards against processes that may hardly retry any more, as they count what nobody sends, or leave
/// the slack to nobody.
#[rstest]
#[case::all_restart_once(Fault::Herd(Duration::from_secs(25)))]
#[case::restarts_by_turns(Fault::Turns(Duration::from_millis(1300)))]
#[case::one_ends(Fault::End(2))]
fn a_small_fleet_uses_half_of_the_bound(#[case] fault: Fault) {
    let mut fleet = Fleet::new(fault, 3);
    while fleet.now < Duration::from_secs(70) {
        fleet.step();
    }
    // All restart at 25 s and 50 s.
    let from = Duration::from_secs(62);
    let last = fleet.use_from(from - BOUND.window);
    assert!(last >= 0.5, "{last} of the bound");
}

/// Guards against a process that gets no retries for seconds although others can tell it what was
/// sent before it started.
#[test]
fn a_restarted_process_may_retry_once_the_others_have_informed_it() {
    let mut fleet = Fleet::new(Fault::Turns(Duration::from_secs(20)), 3);
    while fleet.now < Duration::from_millis(21_600) {
        fleet.step();
    }
    let restarted = &fleet.processes[1];
    assert_eq!(restarted.starts, 1);
    let standing = restarted.accounts.standing(fleet.now, BOUND.window);
    let coverage = standing.coverage;
    assert!((coverage - 1.0).abs() < 1e-9, "{coverage}");
}

/// Guards against a part of the slack that nobody may use for good, as a process has left or has been
/// replaced.
#[test]
fn a_process_that_is_gone_is_counted_until_it_was_replaced() {
    let contact = |host: &str| Contact {
        host: host.into(),
        confirmation: None,
        processes: 0,
    };
    let mut now = Duration::from_secs(100);
    let mut accounts = Accounts::new(now, true, true);
    accounts.record_peer(1, contact("a"));
    accounts.record_peer(2, contact("b"));
    accounts.lose_peer(now, 1);
    accounts.lose_peer(now, 2);
    assert_eq!(accounts.processes(now), 3);
    accounts.record_peer(3, contact("a"));
    assert_eq!(accounts.processes(now), 3);
    accounts.remove_peer(3);
    assert_eq!(accounts.processes(now), 2);
    now += Duration::from_secs(3601);
    assert_eq!(accounts.processes(now), 1);
}
