//! Cancellation of a generation that several streams read.

use rstest::rstest;
use sidecar::generation::Generation;

/// One entry cancels an epoch while another reads it for a retry of the same caller. If the first
/// cancellation stopped the run, the caller would wait for a second run.
#[rstest]
#[case::only_stream(&[1], true)]
#[case::another_stream_reads(&[1, 2], false)]
fn only_the_last_stream_cancels_a_generation(#[case] streams: &[u64], #[case] cancels: bool) {
    let generation = Generation::new(&[], 1024).expect("an empty log fits");
    for stream in streams {
        generation.record_position(*stream, 0);
    }
    generation.cancel(1);
    assert_eq!(generation.is_cancelled(), cancels);
    generation.cancel(2);
    assert!(generation.is_cancelled());
}
