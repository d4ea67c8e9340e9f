//! How streams may wait for an engine.

use std::time::Duration;

use admission::wait::{
    Constraints,
    Wait, //
};

const SECOND: Duration = Duration::from_secs(1);

fn ask() -> Constraints {
    Constraints {
        rank: 1,
        objective: SECOND * 4,
        timeout: Some(SECOND * 20),
        deadline: Some(SECOND * 20),
        expected: Some(SECOND * 6),
    }
}

fn turns(ask: &Constraints) -> Vec<Wait> {
    ask.waits().collect()
}

#[test]
fn a_new_request_waits_for_what_the_engine_leaves_of_its_objective() {
    let turns = turns(&ask());
    assert_eq!(turns.len(), 2);
    assert!(turns[0].in_time && !turns[1].in_time);
    assert_eq!(turns[0].max_wait, SECOND * 2);
    assert_eq!(turns[1].max_wait, SECOND * 3);
    assert!(turns[0].limit.priority > turns[1].limit.priority);
}

#[test]
fn a_caller_that_asked_before_has_less_time() {
    let turns = |left: f64| {
        turns(&Constraints {
            deadline: Some(SECOND.mul_f64(left)),
            ..ask()
        })
    };
    assert_eq!(turns(19.0)[0].max_wait, SECOND);
    let late = turns(17.0);
    assert_eq!(late.len(), 1);
    assert!(!late[0].in_time);
}

/// Its whole answer takes nearly all of its time: a wait would make it fail.
#[test]
fn nobody_waits_away_the_time_that_the_answer_takes() {
    let turns = turns(&Constraints {
        deadline: Some(SECOND * 7),
        ..ask()
    });
    assert_eq!(turns[0].max_wait, SECOND);
    let none = Constraints {
        deadline: Some(SECOND * 5),
        ..ask()
    };
    assert_eq!(
        none.waits().next().map(|turn| turn.max_wait),
        Some(Duration::ZERO)
    );
}

#[test]
fn urgent_routes_go_first_even_when_late() {
    let urgent = turns(&Constraints { rank: 0, ..ask() });
    let usual = turns(&ask());
    assert!(urgent[1].limit.priority > usual[0].limit.priority);
}
