//! Fragmentation of store changes.

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

/// Guards against truncated datagrams: with many short changes the encoding overhead of each adds
/// up.
#[rstest]
#[case::one_registration(1, 120)]
#[case::data_centre_fails(54, 24)]
#[case::data_centre_registers(104, 120)]
#[case::document(1, 9_500)]
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

/// Guards against mixing fragments of several messages, which arrive in any order, from several
/// peers, and some twice.
#[test]
fn interleaved_messages_are_reassembled() {
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
                    .map(|changes| (number, changes)),
            );
        }
        received.sort_by_key(|(number, _)| *number);
        let sent = (0..3).map(|number| (number, changes(1, 9_000, seed * 10 + u64::from(number))));
        assert_eq!(received, sent.collect::<Vec<_>>());
    }
}

/// Guards against decoding a message that lacks a datagram.
#[test]
fn an_incomplete_message_is_not_decoded() {
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

/// Guards against fragments that fill the memory, from a peer that was cut off or sends arbitrary
/// data.
#[test]
fn incomplete_messages_are_evicted() {
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
    for invalid in [(3, 3), (0, 0), (0, u16::MAX)] {
        let fragment = Fragment {
            message: 1,
            index: invalid.0,
            count: invalid.1,
            bytes: Vec::new(),
        };
        assert_eq!(reassembly.add(peer(1), fragment), None);
    }
}

/// Guards against corrupted bytes.
#[test]
fn a_corrupted_fragment_is_detected() {
    let mut parts = fragments(&changes(1, 9_000, 1));
    parts[1].bytes[7] ^= 1;
    let mut reassembly = Reassembly::default();
    for part in parts {
        assert_eq!(reassembly.add(peer(1), part), None);
    }
}

/// Receivers read changes that are too large for a few datagrams from the store.
#[test]
fn oversized_changes_are_not_sent() {
    assert!(split(changes(1, 200_000, 1)).is_empty());
}
