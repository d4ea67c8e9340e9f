//! Limits of the queue of log lines.

use logs::{
    Class,
    Queue, //
};

const LINE: &str = "0123456789012345678901234567890123456789012345678901234567890123456789\n";

/// A reader of the log stops reading while requests continue. Without limits, the process's memory
/// would grow until it is killed; with a single limit for all lines, routine lines would displace
/// those about failures.
#[test]
fn failures_fit_when_routine_lines_are_dropped() {
    let mut queue = Queue::default();
    for _ in 0..100_000 {
        queue.push(Class::Routine, LINE);
    }
    for _ in 0..100 {
        queue.push(Class::Failure, LINE);
    }
    let dropped = queue
        .take_dropped()
        .expect("most routine lines were dropped");
    assert!(dropped[0] > 90_000, "{dropped:?}");
    assert_eq!(dropped[2], 0);
    assert!(queue.take().len() <= 256 * 1024);
}

/// The reader never resumes: lines about failures are limited too, and counted.
#[test]
fn failures_are_limited_and_counted() {
    let mut queue = Queue::default();
    for _ in 0..100_000 {
        queue.push(Class::Failure, LINE);
    }
    let dropped = queue.take_dropped().expect("some were dropped");
    let kept = queue.take().len();
    assert!(kept <= 256 * 1024);
    assert_eq!(dropped[2], 100_000 - (kept / LINE.len()) as u64);
    assert_eq!(queue.take_dropped(), None);
}
