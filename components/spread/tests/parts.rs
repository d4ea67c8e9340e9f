//! The parts of the board: changes of texts, facts, the watch, membership.

use std::time::Duration;

use assert_matches::assert_matches;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;
use spread::{
    Edition,
    Fact,
    Facts,
    Key,
    Membership,
    Slot,
    delta::Delta,
    fact::{
        Class,
        Source, //
    },
    membership::{
        Announcement,
        Listing,
        REMOVAL_TIMEOUT,
        Role,
        SUSPECT_TIMEOUT,
        State, //
    },
    slot::Outcome,
    watch::{
        Call,
        MAX_WAIT,
        RESPONSE_GRACE,
        Watch, //
    }, //
};

const SECOND: Duration = Duration::from_secs(1);

fn edition(revision: u64) -> Edition {
    Edition {
        revision,
        digest: revision,
        text: revision.to_string(),
    }
}

// Messages overtake each other: an older document comes after a newer one.
#[test]
fn a_slot_never_goes_back() {
    let mut slot = Slot::default();
    assert_eq!(slot.receive(edition(2)), Outcome::InForce);
    assert_eq!(slot.receive(edition(1)), Outcome::Old);
    assert_eq!(slot.stage(edition(1)), Outcome::Old);
    assert_eq!(slot.in_force(), Some(&edition(2)));
    assert_eq!(slot.stage(edition(4)), Outcome::Pending);
    assert_eq!(slot.receive(edition(3)), Outcome::Old);
    assert_eq!(slot.confirm(3), Outcome::Old);
    assert_eq!(slot.in_force(), Some(&edition(2)));
    assert_eq!(slot.receive(edition(4)), Outcome::InForce);
    assert_eq!(slot.previous(), Some(&edition(2)));
}

#[rstest]
#[case("", "")]
#[case("", "new")]
#[case("old", "")]
#[case("a: 1\nb: 2\n", "a: 1\nb: 3\n")]
#[case("aaaa", "aa")]
#[case("aa", "aaaa")]
// Both texts share bytes inside a letter.
#[case("Krožna", "Kroźna")]
#[case("äö", "äü")]
fn a_change_makes_the_new_text_from_the_old(#[case] old: &str, #[case] new: &str) {
    let delta = Delta::between(old, new);
    assert_eq!(delta.apply(old).as_deref(), Some(new));
    assert!(delta.middle.len() <= new.len());
}

// A process holds another base than the sender thinks. A text made from the wrong halves would be
// in force on this process alone.
#[test]
fn a_change_is_refused_on_another_base() {
    let delta = Delta::between("a: 1\nb: 2\n", "a: 1\nb: 3\n");
    assert_eq!(delta.apply("a: 9\nb: 2\n"), None);
    assert_eq!(delta.apply(""), None);
}

fn fact(weight: u64, body: &str) -> Fact {
    Fact {
        weight,
        until: None,
        body: body.into(),
    }
}

#[test]
fn facts_join_in_any_order() {
    let key = Key::Evidence(Source::Host("a".into()), "m".into());
    let facts = [fact(1, "x"), fact(3, "y"), fact(3, "z"), fact(2, "w")];
    let join = |order: &[usize]| {
        let mut known = Facts::default();
        for at in order {
            known.join(&key, &facts[*at], Duration::ZERO);
        }
        known
    };
    let first = join(&[0, 1, 2, 3]);
    assert_eq!(first.get(&key), Some(&facts[2]));
    for order in [[3, 2, 1, 0], [2, 0, 3, 1], [1, 2, 2, 1]] {
        assert_eq!(join(&order), first);
        assert_eq!(
            join(&order).digest(Class::Detail),
            first.digest(Class::Detail)
        );
    }
}

#[test]
fn what_another_lacks_and_what_is_lacked_here_is_found() {
    let (veto, poison) = (Key::Veto("e".into(), "m".into()), Key::Poison(7));
    let mut one = Facts::default();
    let mut other = Facts::default();
    one.join(&veto, &fact(1, "slow"), Duration::ZERO);
    other.join(&poison, &fact(1, ""), Duration::ZERO);
    let (lacking, wanted) = one.compare(Class::Urgent, &other.fingerprints(Class::Urgent));
    assert_eq!(lacking, [(veto, fact(1, "slow"))]);
    assert_eq!(other.by_hashes(&wanted), [(poison, fact(1, ""))]);
}

// Two processes whose clocks differ hand an expired fact to each other. It would stay for ever, and
// a caller's request would be refused long after the fault behind it was mended.
#[test]
fn an_expired_fact_is_not_taken_up_again() {
    let mut facts = Facts::default();
    let poison = Fact {
        until: Some(10 * SECOND),
        ..fact(1, "")
    };
    assert!(facts.join(&Key::Poison(1), &poison, 9 * SECOND));
    facts.expire(10 * SECOND);
    assert_eq!(facts.iter().count(), 0);
    assert_eq!(facts.digest(Class::Urgent), 0);
    assert!(!facts.join(&Key::Poison(1), &poison, 10 * SECOND));
}

/// The wait of a call for changes.
fn wait(calls: &[Call]) -> Duration {
    match calls {
        [.., Call::Watch { wait, .. }] => *wait,
        _ => panic!("{calls:?} wait for nothing"),
    }
}

// Something between reader and store lost track of the connection: the watch never answers, while
// new ones work. A change would never be noticed by this reader.
#[test]
fn a_silent_watch_is_begun_anew() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut watch = Watch::new(Duration::ZERO);
    watch.set_enabled(true, Duration::ZERO);
    let calls = watch.tick(Duration::ZERO, &mut rng);
    assert_eq!(calls, [Call::Read { call: 1 }]);
    assert!(watch.answered(1, 5, SECOND));
    let calls = watch.tick(SECOND, &mut rng);
    let first = wait(&calls);
    assert!(first <= MAX_WAIT);
    assert_matches!(
        calls[..],
        [Call::Watch {
            call: 2,
            after: 5,
            ..
        }]
    );
    let silent = SECOND + first + RESPONSE_GRACE;
    assert_eq!(watch.tick(silent - SECOND / 1000, &mut rng), []);
    let calls = watch.tick(silent, &mut rng);
    assert_matches!(
        calls[..],
        [
            Call::Stop { call: 2 },
            Call::Watch {
                call: 3,
                after: 5,
                ..
            }
        ]
    );
    assert_ne!(
        wait(&calls),
        first,
        "readers that began together get out of step"
    );
    // The old one answers after all: that changes nothing.
    assert!(!watch.answered(2, 9, silent));
    assert!(watch.answered(3, 6, silent));
}

#[test]
fn a_watch_reads_afresh_when_the_store_has_forgotten_its_revision() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut watch = Watch::new(Duration::ZERO);
    watch.set_enabled(true, Duration::ZERO);
    watch.tick(Duration::ZERO, &mut rng);
    watch.answered(1, 5, Duration::ZERO);
    watch.tick(Duration::ZERO, &mut rng);
    watch.compacted(2, SECOND);
    assert_eq!(watch.tick(SECOND, &mut rng), [Call::Read { call: 3 }]);
}

// The store is out for a long time. Readers that try again at once would keep it down.
#[test]
fn failures_are_retried_with_growing_pauses() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut watch = Watch::new(Duration::ZERO);
    let mut calls = 0;
    for tenth in 0..600 {
        let now = tenth * SECOND / 10;
        for call in watch.tick(now, &mut rng) {
            calls += 1;
            if let Call::Read { call } = call {
                watch.failed(call, now, &mut rng);
            }
        }
    }
    assert!((15..=30).contains(&calls), "{calls} calls in a minute");
}

fn listing(host: &str) -> Listing {
    Listing {
        host: host.into(),
        data_centre: "dc".into(),
        role: Role::Entry,
        leaving: false,
    }
}

fn announcement(incarnation: u64, leaving: bool) -> Announcement {
    Announcement {
        data_centre: "dc".into(),
        role: Role::Entry,
        incarnation,
        leaving,
    }
}

fn hosts(names: &[&str]) -> Membership {
    let mut members = Membership::default();
    let list: Vec<_> = names.iter().map(|name| listing(name)).collect();
    members.apply_list(&list, Duration::ZERO);
    members
}

// The platform's list comes back empty by mistake, over and over. Without hosts no request could go
// anywhere, although all hosts are well.
#[test]
fn an_empty_list_empties_nothing() {
    let mut members = hosts(&["a", "b", "c", "d"]);
    members.apply_list(&[], SECOND);
    members.apply_list(&[], 10 * REMOVAL_TIMEOUT);
    assert_eq!(members.iter(10 * REMOVAL_TIMEOUT).count(), 4);
}

#[test]
fn a_host_is_gone_when_it_is_neither_listed_nor_heard() {
    let mut members = hosts(&["a", "b", "c", "d"]);
    members.apply_list(&[listing("a"), listing("b"), listing("c")], SECOND);
    assert_eq!(members.state("d", SECOND), Some(State::Live));
    members.record_heartbeat(&"d".into(), announcement(1, false), 2 * SECOND);
    members.expire(REMOVAL_TIMEOUT + SECOND);
    assert_eq!(
        members.state("d", REMOVAL_TIMEOUT + SECOND),
        Some(State::Live)
    );
    members.expire(REMOVAL_TIMEOUT + 2 * SECOND);
    assert_eq!(members.state("d", REMOVAL_TIMEOUT + 2 * SECOND), None);
}

#[test]
fn a_host_that_is_silent_after_a_question_is_suspect_until_it_speaks() {
    let mut members = hosts(&["a"]);
    members.record_probe("a", SECOND);
    members.record_probe("a", 2 * SECOND);
    assert_eq!(members.state("a", SUSPECT_TIMEOUT), Some(State::Live));
    assert_eq!(
        members.state("a", SECOND + SUSPECT_TIMEOUT),
        Some(State::Suspect)
    );
    members.record_heartbeat(&"a".into(), announcement(1, false), 5 * SECOND);
    assert_eq!(members.state("a", 5 * SECOND), Some(State::Live));
}

// This process was stopped for a minute and goes on. Everybody seems silent to it; taking them for
// dead, it would send all its work to nobody.
#[test]
fn a_pause_of_this_process_makes_nobody_suspect() {
    let mut members = hosts(&["a"]);
    members.record_probe("a", SECOND);
    assert_eq!(members.state("a", 60 * SECOND), Some(State::Suspect));
    members.resume(60 * SECOND);
    assert_eq!(members.state("a", 60 * SECOND), Some(State::Live));
}

// A host leaves and is replaced under its old name, while the list still says that it leaves. The
// new process would get no work for minutes.
#[test]
fn a_restarted_host_is_not_leaving() {
    let mut members = hosts(&["a", "b"]);
    members.record_heartbeat(&"a".into(), announcement(1, false), SECOND);
    let leaving = Listing {
        leaving: true,
        ..listing("a")
    };
    members.apply_list(&[leaving.clone(), listing("b")], 2 * SECOND);
    assert_eq!(members.state("a", 2 * SECOND), Some(State::Leaving));
    members.record_heartbeat(&"a".into(), announcement(1, false), 3 * SECOND);
    assert_eq!(members.state("a", 3 * SECOND), Some(State::Leaving));
    members.record_heartbeat(&"a".into(), announcement(2, false), 4 * SECOND);
    members.apply_list(&[leaving, listing("b")], 5 * SECOND);
    assert_eq!(members.state("a", 5 * SECOND), Some(State::Live));
}

#[test]
fn a_list_in_which_most_hosts_leave_is_not_believed() {
    let mut members = hosts(&["a", "b", "c"]);
    let all: Vec<_> = ["a", "b", "c"]
        .map(|name| Listing {
            leaving: true,
            ..listing(name)
        })
        .into();
    members.apply_list(&all, SECOND);
    assert!(
        members
            .iter(SECOND)
            .all(|(_, _, state)| state == State::Live)
    );
}

#[test]
fn a_host_that_goes_changes_no_others_rank() {
    let members = hosts(&["a", "b", "c", "d", "e"]);
    let all = members.ranked("dc", Role::Entry, "reader", Duration::ZERO);
    let fewer: Vec<_> = all.iter().skip(1).map(|host| host.as_str()).collect();
    let members = hosts(&fewer);
    let ranked = members.ranked("dc", Role::Entry, "reader", Duration::ZERO);
    assert_eq!(ranked, all[1..]);
}
