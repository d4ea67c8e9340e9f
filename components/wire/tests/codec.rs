//! Frames as bytes, and what is refused.

use assert_matches::assert_matches;
use rstest::rstest;
use wire::{
    Error,
    Frame,
    Tokens,
    codec,
    frame::Attach, //
};

fn round(frame: &Frame) -> Frame {
    let bytes = codec::encode(frame).expect("it fits");
    codec::decode(&bytes[codec::LENGTH..]).expect("it is whole")
}

#[rstest]
#[case::none(0, &[])]
#[case::one(7, &[" day"])]
#[case::several(u64::MAX, &[" day", "", "ž", "\n"])]
fn tokens_come_back_as_they_were(#[case] index: u64, #[case] tokens: &[&str]) {
    let tokens = tokens.iter().map(ToString::to_string).collect();
    let frame = Frame::Tokens(Tokens { index, tokens });
    assert_eq!(round(&frame), frame);
}

/// A frame whose lengths don't fit its text would shift every later token by some bytes.
#[rstest]
#[case::too_short(&[1, 1], "day")]
#[case::too_long(&[4], "day")]
#[case::inside_a_character(&[1, 1], "ž")]
fn tokens_with_wrong_lengths_are_refused(#[case] lengths: &[usize], #[case] text: &str) {
    let good = codec::encode(&Frame::Tokens(Tokens::default())).expect("it fits");
    let mut bytes = vec![good[codec::LENGTH], 0, lengths.len() as u8];
    bytes.extend(lengths.iter().map(|length| *length as u8));
    bytes.push(text.len() as u8);
    bytes.extend_from_slice(text.as_bytes());
    assert_matches!(codec::decode(&bytes), Err(Error::Malformed(_)));
}

#[test]
fn a_frame_with_bytes_behind_it_is_refused() {
    let mut bytes = codec::encode(&Frame::Cancel).expect("it fits");
    bytes.push(0);
    assert_matches!(
        codec::decode(&bytes[codec::LENGTH..]),
        Err(Error::Malformed(_))
    );
}

#[test]
fn every_part_of_a_frame_is_refused() {
    let frame = Frame::Attach(Attach {
        request: "team/key/digest".into(),
        epoch: 3,
        nonce: 9,
        from: 77,
    });
    let bytes = codec::encode(&frame).expect("it fits");
    for end in codec::LENGTH..bytes.len() {
        assert_matches!(
            codec::decode(&bytes[codec::LENGTH..end]),
            Err(Error::Malformed(_))
        );
    }
}

/// A broken peer announces 4 GiB; without the bound the process would try to hold them.
#[test]
fn a_length_over_the_bound_is_refused() {
    assert_matches!(codec::size([0xff; codec::LENGTH]), Err(Error::Large { .. }));
}
