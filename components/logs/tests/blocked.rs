//! A log reader that stops reading.

use std::{
    io,
    io::Write,
    sync::mpsc::{
        Receiver,
        channel, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use log::LevelFilter;

struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Blocks until the test ends, as a full pipe does.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log collector hangs, and the pipe to it is full. A process that waited for it would answer
/// no more requests, and callers would see timeouts whose cause appears in no log.
#[test]
fn a_reader_that_stops_reading_blocks_no_logging() {
    let (unblock, blocked) = channel();
    let writer = logs::start(
        "p".into(),
        || Duration::ZERO,
        LevelFilter::Debug,
        BlockedWriter(blocked),
    )
    .expect("first logger");
    let started = Instant::now();
    for number in 0..50_000 {
        log::info!(number; "a line");
        if number % 100 == 0 {
            writer.flush();
        }
    }
    writer.finish(Duration::from_millis(100));
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "{:?}",
        started.elapsed()
    );
    drop(unblock);
}
