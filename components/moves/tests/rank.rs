//! Order of the entries that may write a move's record.

use std::collections::BTreeMap;

use moves::rank::{
    MAX_RANK,
    rank, //
};
use names::Host;

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

/// Every entry finds its own place from its own list. If two took the first place, both would write
/// each outcome; if none took it, every outcome would come late.
#[test]
fn entries_that_know_each_other_take_different_places() {
    let hosts = hosts(MAX_RANK as usize + 1);
    for number in 0..100 {
        let name = format!("move-{number}");
        let mut places: Vec<_> = hosts.iter().map(|own| rank(own, &hosts, &name)).collect();
        places.sort_unstable();
        assert_eq!(places, (0..=MAX_RANK).collect::<Vec<_>>());
    }
}

/// The first writer dies and leaves the list. The one behind it must take its place, or every
/// outcome waits for a host that is gone.
#[test]
fn the_next_one_moves_up_when_the_first_is_gone() {
    let all = hosts(6);
    let name = "drafting-2".to_string();
    let mut ordered = all.clone();
    ordered.sort_by_key(|own| rank(own, &all, &name));
    let left = &ordered[1..];
    for (place, own) in left.iter().enumerate() {
        assert_eq!(rank(own, left, &name), place as u32);
    }
}

#[test]
fn moves_are_spread_over_the_entries() {
    let hosts = hosts(10);
    let mut first = BTreeMap::<&Host, u32>::new();
    for number in 0..1000 {
        let name = format!("move-{number}");
        let writer = hosts.iter().find(|own| rank(own, &hosts, &name) == 0);
        *first.entry(writer.expect("one is first")).or_default() += 1;
    }
    assert!(first.len() == 10 && first.values().all(|count| (60..=140).contains(count)));
}

/// A list names hundreds of entries of other environments. The wait for a write must stay bounded.
#[test]
fn no_place_is_behind_the_last() {
    let hosts = hosts(340);
    let name = "drafting-2".to_string();
    let places = hosts.iter().map(|own| rank(own, &hosts, &name));
    assert_eq!(places.max(), Some(MAX_RANK));
    assert_eq!(rank(&hosts[0], [], &name), 0);
}
