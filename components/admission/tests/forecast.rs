//! Estimates of whether streams can complete in time.

use std::time::Duration;

use admission::{
    Answer,
    Forecast, //
};

fn forecast_with_answers() -> Forecast {
    let mut forecast = Forecast::default();
    for number in 0..20 {
        let events = 100 + number;
        let answer = Answer {
            events,
            time: Duration::from_millis(30) * events as u32,
        };
        forecast.record(&"letters".into(), answer);
    }
    forecast
}

#[test]
fn remaining_time_is_estimated_from_the_shortest_tenth() {
    let forecast = forecast_with_answers();
    let remaining = |after| forecast.remaining_time(&"letters".into(), after);
    assert_eq!(remaining(0), Some(Duration::from_millis(3060)));
    assert_eq!(remaining(90), Some(Duration::from_millis(360)));
    assert_eq!(remaining(200), Some(Duration::ZERO));
}

#[test]
fn routes_with_few_answers_have_no_estimate() {
    let mut forecast = Forecast::default();
    for _ in 0..7 {
        let answer = Answer {
            events: 100,
            time: Duration::from_secs(3),
        };
        forecast.record(&"letters".into(), answer);
    }
    assert_eq!(forecast.remaining_time(&"letters".into(), 0), None);
    assert_eq!(
        forecast_with_answers().remaining_time(&"summaries".into(), 0),
        None
    );
}

/// Guards against outdated estimates, as engines become slower and answers longer over hours.
#[test]
fn only_recent_answers_are_used() {
    let mut forecast = forecast_with_answers();
    for _ in 0..40 {
        let answer = Answer {
            events: 10,
            time: Duration::from_secs(1),
        };
        forecast.record(&"letters".into(), answer);
    }
    let remaining = forecast.remaining_time(&"letters".into(), 0);
    assert_eq!(remaining, Some(Duration::from_secs(1)));
}
