//! Burn rates and alerts from counted requests.

use std::time::Duration;

use names::Clock;
use report::{
    Counters,
    burn::{
        Level,
        MAX_ROWS,
        OVERFLOW_TEAM,
        Request,
        Subject, //
    },
    page,
    text, //
};
use rstest::rstest;

const LEVEL: Level = Level {
    first: Duration::from_millis(1900),
    between: Some(Duration::from_millis(54)),
    objective: 0.95,
};

fn counters() -> Counters {
    let mut counters = Counters::default();
    counters.set_levels([("drafting".to_string(), LEVEL)].into());
    counters
}

fn count(counters: &mut Counters, team: &str, version: &str, first: u64, now: Clock) {
    let request = Request {
        service: &"drafting".into(),
        route: &"letters".into(),
        team: &team.into(),
        version: &version.into(),
        first: Some(Duration::from_millis(first)),
        between: Some(Duration::from_millis(40)),
        complete: true,
    };
    counters.count(&request, now);
}

#[rstest]
#[case::met(Some(1900), Some(54), true, false)]
#[case::late(Some(1901), Some(54), true, true)]
#[case::slow(Some(1000), Some(55), true, true)]
#[case::incomplete(Some(1000), Some(40), false, true)]
#[case::no_response(None, None, false, true)]
#[case::one_token(Some(1000), None, true, false)]
fn a_request_misses_its_level(
    #[case] first: Option<u64>,
    #[case] between: Option<u64>,
    #[case] complete: bool,
    #[case] missed: bool,
) {
    let request = Request {
        service: &"drafting".into(),
        route: &"letters".into(),
        team: &"a".into(),
        version: &"1".into(),
        first: first.map(Duration::from_millis),
        between: between.map(Duration::from_millis),
        complete,
    };
    assert_eq!(LEVEL.missed(&request), missed);
}

/// One version is slow for half an hour, which makes every request of one team late. The report
/// must list this version and this team first.
#[test]
fn the_worst_rows_come_first() {
    let mut counters = counters();
    for second in 0..7200 {
        let now = Duration::from_secs(second);
        count(&mut counters, "small", "1", 900, now);
        let first = if second > 5400 { 5000 } else { 900 };
        count(&mut counters, "<large>", "2", first, now);
    }
    let burn = counters.report(Duration::from_secs(7200));
    insta::assert_snapshot!("text", text::burn(&burn));
    insta::assert_snapshot!("page", page::burn(&burn));
    insta::assert_json_snapshot!("json", burn.rows[0]);
    assert!(!page::burn(&burn).contains("<large>"));
}

/// An alert that outlasts the failure would be ignored by operators; it must end within the short
/// window.
#[test]
fn an_alert_ends_soon_after_the_failure() {
    let mut counters = counters();
    let mut alerts = Vec::new();
    for second in 0..4200 {
        let first = if second < 3600 { 5000 } else { 900 };
        let now = Duration::from_secs(second);
        count(&mut counters, "a", "1", first, now);
        alerts.push(counters.report(now).rows[0].rates[0].alert);
    }
    assert!(!alerts[5] && alerts[3599] && !alerts[4199]);
}

/// Callers can make up any number of team names. The memory of the report must not grow with them.
#[test]
fn the_number_of_rows_is_bounded() {
    let mut counters = counters();
    for number in 0..2 * MAX_ROWS {
        count(
            &mut counters,
            &format!("team-{number}"),
            "1",
            900,
            Duration::ZERO,
        );
    }
    assert!(counters.rows() <= MAX_ROWS + 1);
    let burn = counters.report(Duration::ZERO);
    let others = burn
        .rows
        .iter()
        .find(|row| row.subject == Subject::Team(OVERFLOW_TEAM.into()));
    assert!(others.is_some_and(|row| row.requests > 0));
}

/// After days without requests, the next request must not be added to counts from before.
#[test]
fn old_counts_expire() {
    let mut counters = counters();
    count(&mut counters, "a", "1", 5000, Duration::ZERO);
    let later = Duration::from_secs(30 * 24 * 3600);
    count(&mut counters, "a", "1", 900, later);
    assert!(
        counters
            .report(later)
            .rows
            .iter()
            .all(|row| row.missed == 0)
    );
}
