//! Slots, deltas, facts, the watch and membership, each on its own.

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

// Guards against messages that arrive out of order, with an older document after a newer one.
#[test]
fn the_revision_of_a_slot_never_decreases() {
    let mut slot = Slot::default();
    assert_eq!(slot.receive(edition(2)), Outcome::InForce);
    assert_eq!(slot.receive(edition(1)), Outcome::Stale);
    assert_eq!(slot.stage(edition(1)), Outcome::Stale);
    assert_eq!(slot.in_force(), Some(&edition(2)));
    assert_eq!(slot.stage(edition(4)), Outcome::Pending);
    assert_eq!(slot.receive(edition(3)), Outcome::Stale);
    assert_eq!(slot.confirm(3), Outcome::Stale);
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
// Both texts share bytes within a character.
#[case("Krožna", "Kroźna")]
#[case("äö", "äü")]
fn a_delta_restores_the_new_text(#[case] old: &str, #[case] new: &str) {
    let delta = Delta::between(old, new);
    assert_eq!(delta.apply(old).as_deref(), Some(new));
    assert!(delta.middle.len() <= new.len());
}

// The receiver holds another base than the sender assumes. Guards against a corrupted text that
// would be in force on this process alone.
#[test]
fn a_delta_is_refused_on_another_base() {
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
fn comparison_finds_the_facts_that_each_side_lacks() {
    let (veto, poison) = (Key::Veto("e".into(), "m".into()), Key::Poison(7));
    let mut one = Facts::default();
    let mut other = Facts::default();
    one.join(&veto, &fact(1, "slow"), Duration::ZERO);
    other.join(&poison, &fact(1, ""), Duration::ZERO);
    let (lacking, wanted) = one.compare(Class::Urgent, &other.fingerprints(Class::Urgent));
    assert_eq!(lacking, [(veto, fact(1, "slow"))]);
    assert_eq!(other.by_hashes(&wanted), [(poison, fact(1, ""))]);
}

// Two processes with different clocks exchange an expired fact. Guards against keeping it for ever,
// so that a caller's requests are refused long after the fault behind them was fixed.
#[test]
fn an_expired_fact_is_not_added_again() {
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

/// Returns the wait of the last call, which must be a watch.
fn wait(calls: &[Call]) -> Duration {
    match calls {
        [.., Call::Watch { wait, .. }] => *wait,
        _ => panic!("the last of {calls:?} is not a watch"),
    }
}

// A device between reader and store loses the connection's state: the watch never answers, while
// new connections work. Guards against a reader that misses all changes from then on.
#[test]
fn a_silent_watch_is_restarted() {
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
        "readers that start together get out of phase"
    );
    // A late response to the cancelled call changes nothing.
    assert!(!watch.answered(2, 9, silent));
    assert!(watch.answered(3, 6, silent));
}

#[test]
fn a_watch_reads_all_documents_after_compaction() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut watch = Watch::new(Duration::ZERO);
    watch.set_enabled(true, Duration::ZERO);
    watch.tick(Duration::ZERO, &mut rng);
    watch.answered(1, 5, Duration::ZERO);
    watch.tick(Duration::ZERO, &mut rng);
    watch.compacted(2, SECOND);
    assert_eq!(watch.tick(SECOND, &mut rng), [Call::Read { call: 3 }]);
}

// Guards against overloading a store that is unavailable for long with immediate retries.
#[test]
fn failures_are_retried_with_exponential_backoff() {
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

// The platform repeatedly returns an empty list by mistake. Guards against removing hosts that are
// well, without which no request could be forwarded.
#[test]
fn an_empty_list_removes_no_host() {
    let mut members = hosts(&["a", "b", "c", "d"]);
    members.apply_list(&[], SECOND);
    members.apply_list(&[], 10 * REMOVAL_TIMEOUT);
    assert_eq!(members.iter(10 * REMOVAL_TIMEOUT).count(), 4);
}

#[test]
fn a_host_is_removed_when_it_is_neither_listed_nor_sends_heartbeats() {
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
fn a_host_that_does_not_answer_a_probe_is_suspect_until_its_next_heartbeat() {
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

// This process is suspended for a minute, after which all hosts seem silent. Guards against taking
// them for dead, which would leave no host to send work to.
#[test]
fn a_pause_of_this_process_makes_no_host_suspect() {
    let mut members = hosts(&["a"]);
    members.record_probe("a", SECOND);
    assert_eq!(members.state("a", 60 * SECOND), Some(State::Suspect));
    members.resume(60 * SECOND);
    assert_eq!(members.state("a", 60 * SECOND), Some(State::Live));
}

// A host leaves and is replaced under the same name, while the list still reports it as leaving.
// Guards against a new process that receives no work for minutes.
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
fn a_list_with_most_hosts_leaving_is_not_trusted() {
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
fn removing_a_host_keeps_the_order_of_the_others() {
    let members = hosts(&["a", "b", "c", "d", "e"]);
    let all = members.ranked("dc", Role::Entry, "reader", Duration::ZERO);
    let fewer: Vec<_> = all.iter().skip(1).map(|host| host.as_str()).collect();
    let members = hosts(&fewer);
    let ranked = members.ranked("dc", Role::Entry, "reader", Duration::ZERO);
    assert_eq!(ranked, all[1..]);
}
