//! Whether streams can still be complete in time.

use std::time::Duration;

use admission::{
    Answer,
    Forecast, //
};

fn learned() -> Forecast {
    let mut outlook = Forecast::default();
    for number in 0..20 {
        let events = 100 + number;
        let answer = Answer {
            events,
            time: Duration::from_millis(30) * events as u32,
        };
        outlook.record(&"letters".into(), answer);
    }
    outlook
}

#[test]
fn the_rest_is_judged_by_the_shortest_tenth() {
    let outlook = learned();
    let rest = |after| outlook.remaining_time(&"letters".into(), after);
    assert_eq!(rest(0), Some(Duration::from_millis(3060)));
    assert_eq!(rest(90), Some(Duration::from_millis(360)));
    assert_eq!(rest(200), Some(Duration::ZERO));
}

#[test]
fn nothing_is_said_of_a_route_that_had_few_answers() {
    let mut outlook = Forecast::default();
    for _ in 0..7 {
        let answer = Answer {
            events: 100,
            time: Duration::from_secs(3),
        };
        outlook.record(&"letters".into(), answer);
    }
    assert_eq!(outlook.remaining_time(&"letters".into(), 0), None);
    assert_eq!(learned().remaining_time(&"summaries".into(), 0), None);
}

/// Engines become slower by the hour and answers longer. What was learned before them must not
/// stand against what comes now.
#[test]
fn the_latest_answers_count() {
    let mut outlook = learned();
    for _ in 0..40 {
        let answer = Answer {
            events: 10,
            time: Duration::from_secs(1),
        };
        outlook.record(&"letters".into(), answer);
    }
    let rest = outlook.remaining_time(&"letters".into(), 0);
    assert_eq!(rest, Some(Duration::from_secs(1)));
}
