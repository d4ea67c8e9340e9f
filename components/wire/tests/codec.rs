//! Encoding of frames, and malformed frames that are refused.

use assert_matches::assert_matches;
use rstest::rstest;
use wire::{
    Error,
    Frame,
    Tokens,
    codec,
    frame::Attach, //
};

fn round_trip(frame: &Frame) -> Frame {
    let bytes = codec::encode(frame).expect("the frame fits");
    codec::decode(&bytes[codec::PREFIX_BYTES..]).expect("the frame is complete")
}

#[rstest]
#[case::none(0, &[])]
#[case::one(7, &[" day"])]
#[case::several(u64::MAX, &[" day", "", "ž", "\n"])]
fn tokens_survive_a_round_trip(#[case] index: u64, #[case] tokens: &[&str]) {
    let tokens = tokens.iter().map(ToString::to_string).collect();
    let frame = Frame::Tokens(Tokens { index, tokens });
    assert_eq!(round_trip(&frame), frame);
}

/// If the lengths didn't match the text, every later token would be shifted by some bytes.
#[rstest]
#[case::too_short(&[1, 1], "day")]
#[case::too_long(&[4], "day")]
#[case::inside_a_character(&[1, 1], "ž")]
fn tokens_with_wrong_lengths_are_refused(#[case] lengths: &[usize], #[case] text: &str) {
    let encoded = codec::encode(&Frame::Tokens(Tokens::default())).expect("the frame fits");
    let mut bytes = vec![encoded[codec::PREFIX_BYTES], 0, lengths.len() as u8];
    bytes.extend(lengths.iter().map(|length| *length as u8));
    bytes.push(text.len() as u8);
    bytes.extend_from_slice(text.as_bytes());
    assert_matches!(codec::decode(&bytes), Err(Error::Malformed(_)));
}

#[test]
fn trailing_bytes_are_refused() {
    let mut bytes = codec::encode(&Frame::Cancel).expect("the frame fits");
    bytes.push(0);
    assert_matches!(
        codec::decode(&bytes[codec::PREFIX_BYTES..]),
        Err(Error::Malformed(_))
    );
}

#[test]
fn truncated_frames_are_refused() {
    let frame = Frame::Attach(Attach {
        request: "team/key/digest".into(),
        epoch: 3,
        nonce: 9,
        from: 77,
    });
    let bytes = codec::encode(&frame).expect("the frame fits");
    for end in codec::PREFIX_BYTES..bytes.len() {
        assert_matches!(
            codec::decode(&bytes[codec::PREFIX_BYTES..end]),
            Err(Error::Malformed(_))
        );
    }
}

/// A broken peer announces a frame of 4 GiB. Without the limit, the process would try to allocate
/// that much.
#[test]
fn a_length_over_the_limit_is_refused() {
    assert_matches!(
        codec::size([0xff; codec::PREFIX_BYTES]),
        Err(Error::TooLarge { .. })
    );
}
