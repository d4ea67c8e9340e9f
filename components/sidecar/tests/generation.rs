//! One generation and the streams that listen to it.

use rstest::rstest;
use sidecar::generation::Generation;

/// One entry gives an epoch up while another one reads it for the same caller's retry. If the first
/// one's cancel ended the run, the caller would wait for a second one.
#[rstest]
#[case::the_only_stream(&[1], true)]
#[case::another_stream_listens(&[1, 2], false)]
fn only_the_last_stream_ends_a_generation(#[case] streams: &[u64], #[case] ends: bool) {
    let generation = Generation::new(&[], 1024).expect("an empty log fits");
    for stream in streams {
        generation.note_sent(*stream, 0);
    }
    generation.cancel(1);
    assert_eq!(generation.is_cancelled(), ends);
    generation.cancel(2);
    assert!(generation.is_cancelled());
}
