//! Changes of the store in several datagrams.

use std::net::SocketAddr;

use names::Revision;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};
use rstest::rstest;
use spread::beacon::{
    Changes,
    Fragment,
    MAX_DATAGRAM_BYTES,
    Message,
    Reassembly,
    split, //
};

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number))
}

fn changes(count: u64, bytes: usize, seed: u64) -> Changes {
    let mut rng = StdRng::seed_from_u64(seed);
    let item = |at| {
        let mut item = b"servers/".to_vec();
        item.resize_with(bytes, || rng.random());
        (at, item)
    };
    Changes {
        from: 900,
        to: 900 + count,
        items: (901..=900 + count as Revision).map(item).collect(),
    }
}

fn fragments(changes: &Changes) -> Vec<Fragment> {
    let messages = split(changes.clone()).into_iter();
    let fragment = |message| match message {
        Message::Fragment(fragment) => fragment,
        other => panic!("not a fragment: {other:?}"),
    };
    messages.map(fragment).collect()
}

/// Guards against changes that arrive cut off: the frame of each of many short ones counts too.
#[rstest]
#[case::one_registration(1, 120)]
#[case::a_data_centre_is_gone(54, 24)]
#[case::a_data_centre_registers(104, 120)]
#[case::a_document(1, 9_500)]
fn each_message_fits_a_datagram(#[case] count: u64, #[case] bytes: usize) {
    let changes = changes(count, bytes, 1);
    let mut reassembly = Reassembly::default();
    let mut received = None;
    for message in split(changes.clone()) {
        let encoded = postcard::to_stdvec(&message).expect("encoded");
        assert!(
            encoded.len() <= MAX_DATAGRAM_BYTES,
            "{} bytes",
            encoded.len()
        );
        received = match postcard::from_bytes(&encoded).expect("decoded") {
            Message::Changes(changes) => Some(changes),
            Message::Fragment(fragment) => reassembly.add(peer(1), fragment),
            other => panic!("not changes: {other:?}"),
        };
    }
    assert_eq!(received, Some(changes));
}

/// Guards against parts of two messages in one: they come in any order, from several peers, some twice.
#[test]
fn fragments_of_several_messages_come_in_any_order() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut all = Vec::new();
        for number in 0..3 {
            let changes = changes(1, 9_000, seed * 10 + u64::from(number));
            let parts = fragments(&changes);
            all.extend(parts.iter().cloned().map(|part| (number, part)));
            all.push((number, parts[0].clone()));
        }
        all.shuffle(&mut rng);
        let mut reassembly = Reassembly::default();
        let mut received = Vec::new();
        for (number, fragment) in all {
            received.extend(
                reassembly
                    .add(peer(number), fragment)
                    .map(|got| (number, got)),
            );
        }
        received.sort_by_key(|(number, _)| *number);
        let sent = (0..3).map(|number| (number, changes(1, 9_000, seed * 10 + u64::from(number))));
        assert_eq!(received, sent.collect::<Vec<_>>());
    }
}

/// Guards against a lost datagram that makes a document of the rest.
#[test]
fn a_message_that_misses_a_fragment_gives_nothing() {
    let parts = fragments(&changes(1, 9_000, 1));
    for lost in 0..parts.len() {
        let mut reassembly = Reassembly::default();
        for (index, part) in parts.iter().enumerate() {
            if index != lost {
                assert_eq!(reassembly.add(peer(1), part.clone()), None);
            }
        }
    }
}

/// Guards against fragments of a peer that was cut off, or that sends anything, filling the memory.
#[test]
fn what_is_never_complete_yields() {
    let mut reassembly = Reassembly::default();
    let parts = fragments(&changes(1, 9_000, 1));
    assert_eq!(reassembly.add(peer(1), parts[0].clone()), None);
    for number in 2..40 {
        let other = &fragments(&changes(1, 9_000, u64::from(number)))[0];
        assert_eq!(reassembly.add(peer(number), other.clone()), None);
    }
    for part in &parts[1..] {
        assert_eq!(reassembly.add(peer(1), part.clone()), None);
    }
    for odd in [(3, 3), (0, 0), (0, u16::MAX)] {
        let fragment = Fragment {
            whole: 1,
            index: odd.0,
            count: odd.1,
            bytes: Vec::new(),
        };
        assert_eq!(reassembly.add(peer(1), fragment), None);
    }
}

/// Guards against bytes that were changed on the way.
#[test]
fn a_changed_byte_is_noticed() {
    let mut parts = fragments(&changes(1, 9_000, 1));
    parts[1].bytes[7] ^= 1;
    let mut reassembly = Reassembly::default();
    for part in parts {
        assert_eq!(reassembly.add(peer(1), part), None);
    }
}

/// What is too long for a few datagrams is left to the store.
#[test]
fn changes_beyond_the_most_are_not_sent() {
    assert!(split(changes(1, 200_000, 1)).is_empty());
}
