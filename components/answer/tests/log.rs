//! Tests of the token log, the cursor and the position.

use answer::{
    Breakage,
    Finish,
    cursor::{
        Cursor,
        Verdict, //
    },
    log::{
        Fault,
        Log,
        TOKEN_OVERHEAD_BYTES, //
    },
    position::{
        Malformed,
        Position, //
    }, //
};
use names::Index;
use rstest::rstest;

fn words(count: Index) -> Vec<String> {
    (0..count).map(|index| format!("t{index} ")).collect()
}

fn log_of(count: Index) -> Log {
    Log::with_prefix(&words(count), 1 << 20).expect("the words fit")
}

/// Guards against an engine that repeats or skips a token: the caller's text would repeat a word,
/// or lack one.
#[rstest]
#[case::repeat_of_the_last(2, Err(Fault::Repeat))]
#[case::repeat_of_the_first(0, Err(Fault::Repeat))]
#[case::next(3, Ok(()))]
#[case::one_skipped(4, Err(Fault::Hole { expected: 3 }))]
#[case::far_ahead(Index::MAX, Err(Fault::Hole { expected: 3 }))]
fn only_the_next_index_is_accepted(#[case] index: Index, #[case] expected: Result<(), Fault>) {
    let mut log = log_of(3);
    assert_eq!(log.append(index, "x".into()), expected);
    let accepted = Index::from(expected.is_ok());
    assert_eq!(log.next(), 3 + accepted);
}

/// An engine sends tokens after its end line. They don't belong to the answer.
#[test]
fn the_log_accepts_nothing_after_the_end() {
    let mut log = log_of(3);
    assert_eq!(log.end(Finish::Stop), Ok(()));
    assert_eq!(log.append(3, "x".into()), Err(Fault::Ended));
    let late = log.end(Finish::Broken(Breakage::EngineDied));
    assert_eq!(late, Err(Fault::Ended));
    assert_eq!(log.finish(), Some(&Finish::Stop));
}

#[rstest]
#[case::all(0, 10, Some(3))]
#[case::part(1, 1, Some(1))]
#[case::at_the_end(3, 10, Some(0))]
#[case::beyond(4, 10, None)]
fn reads_are_limited(#[case] from: Index, #[case] most: usize, #[case] expected: Option<usize>) {
    let log = log_of(3);
    assert_eq!(log.read(from, most).map(<[String]>::len), expected);
}

/// Guards against memory that grows with a long generation that no entry reads.
#[test]
fn a_full_log_rejects_tokens() {
    let bound = 3 * (TOKEN_OVERHEAD_BYTES + 2);
    let mut log = Log::new(0, bound);
    for index in 0..3 {
        assert_eq!(log.append(index, "ab".into()), Ok(()));
    }
    assert_eq!(log.bytes(), bound);
    assert_eq!(log.append(3, String::new()), Err(Fault::Full));
    assert_eq!(log.next(), 3);
}

/// A full log still serves its attached entry: sent tokens free space.
#[test]
fn a_trimmed_log_accepts_tokens_and_lacks_its_start() {
    let bound = 3 * (TOKEN_OVERHEAD_BYTES + 2);
    let mut log = Log::new(0, bound);
    for index in 0..3 {
        log.append(index, "ab".into()).expect("there is room");
    }
    log.trim(2);
    assert_eq!(log.append(3, "cd".into()), Ok(()));
    assert_eq!(log.first(), 2);
    assert_eq!(log.read(0, 10), None);
    assert_eq!(
        log.read(2, 10),
        Some(&["ab".to_string(), "cd".to_string()][..])
    );
    log.trim(100);
    assert_eq!((log.first(), log.next(), log.bytes()), (4, 4, 0));
}

#[rstest]
#[case::next(5, 2, Verdict::Fresh { skip: 0 })]
#[case::overlap(3, 4, Verdict::Fresh { skip: 2 })]
#[case::old(3, 2, Verdict::Repeat)]
#[case::none(5, 0, Verdict::Repeat)]
#[case::ahead(6, 1, Verdict::Hole)]
fn the_cursor_accepts_each_index_once(
    #[case] index: Index,
    #[case] count: usize,
    #[case] expected: Verdict,
) {
    let mut cursor = Cursor::default();
    cursor.advance(5);
    assert_eq!(cursor.classify(index, count), expected);
    assert_eq!(cursor.next(), 5);
}

#[test]
fn a_position_round_trips_through_text() {
    let mut position = Position::default();
    for word in words(13) {
        position.push(&word);
    }
    let text = position.to_string();
    assert!(text.starts_with("12-"), "{text}");
    assert_eq!(text.parse(), Ok(position));
}

/// Guards against equal positions of different texts, also where only the token boundaries differ:
/// a caller would receive the rest of another text.
#[test]
fn positions_distinguish_texts() {
    let position = |words: &[&str]| {
        let mut position = Position::default();
        for word in words {
            position.push(word);
        }
        position
    };
    assert_ne!(position(&["a", "b"]), position(&["a", "c"]));
    assert_ne!(position(&["ab", ""]), position(&["a", "b"]));
    assert_ne!(position(&["a", "b"]), position(&["b", "a"]));
}

#[rstest]
#[case::index_only("12")]
#[case::empty("")]
#[case::no_index("-12ab")]
#[case::no_digest("12-")]
#[case::not_hex("12-xyz")]
#[case::too_long("12-11112222333344445")]
#[case::overflow("18446744073709551615-00")]
fn invalid_texts_are_rejected(#[case] text: &str) {
    assert_eq!(text.parse::<Position>(), Err(Malformed));
}
