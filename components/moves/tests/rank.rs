//! Ranks of the entries that may write a move's record.

use std::collections::BTreeMap;

use moves::rank::{
    MAX_RANK,
    rank, //
};
use names::Host;

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

/// Every entry computes its own rank from its own list. With two entries of rank 0 both would write
/// each outcome; with none every outcome would be late.
#[test]
fn entries_with_the_same_list_have_distinct_ranks() {
    let hosts = hosts(MAX_RANK as usize + 1);
    for number in 0..100 {
        let name = format!("move-{number}");
        let mut ranks: Vec<_> = hosts.iter().map(|own| rank(own, &hosts, &name)).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, (0..=MAX_RANK).collect::<Vec<_>>());
    }
}

/// The first writer dies and leaves the list. The next one must take its rank, or every outcome
/// waits for a host that is gone.
#[test]
fn the_next_entry_moves_up_when_the_first_leaves() {
    let all = hosts(6);
    let name = "drafting-2".to_string();
    let mut ordered = all.clone();
    ordered.sort_by_key(|own| rank(own, &all, &name));
    let remaining = &ordered[1..];
    for (position, own) in remaining.iter().enumerate() {
        assert_eq!(rank(own, remaining, &name), position as u32);
    }
}

#[test]
fn moves_are_distributed_over_the_entries() {
    let hosts = hosts(10);
    let mut first = BTreeMap::<&Host, u32>::new();
    for number in 0..1000 {
        let name = format!("move-{number}");
        let writer = hosts.iter().find(|own| rank(own, &hosts, &name) == 0);
        *first.entry(writer.expect("one is first")).or_default() += 1;
    }
    assert!(first.len() == 10 && first.values().all(|count| (60..=140).contains(count)));
}

/// Guards against an unbounded delay of a write when the list contains hundreds of entries of other
/// environments.
#[test]
fn ranks_are_bounded() {
    let hosts = hosts(340);
    let name = "drafting-2".to_string();
    let ranks = hosts.iter().map(|own| rank(own, &hosts, &name));
    assert_eq!(ranks.max(), Some(MAX_RANK));
    assert_eq!(rank(&hosts[0], [], &name), 0);
}
