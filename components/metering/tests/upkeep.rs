//! Memory of the metrics while nobody reads them.

use std::{
    fs,
    time::Duration, //
};

use tokio::{
    task::yield_now,
    time::{
        Instant,
        sleep, //
    }, //
};
use tokio_util::sync::CancellationToken;

/// Samples, which take some 18 bytes each while they are kept.
const SAMPLES: usize = 3_000_000;

/// Samples between two yields, and yields between two pauses.
const BATCH: usize = 1000;
const PAUSE_BATCHES: usize = 300;

/// Growth of the process that a few seconds of samples explain.
const MAX_GROWTH_BYTES: usize = 24 << 20;

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<usize>().ok());
    kilobytes.expect("a size") * 1024
}

/// Guards against samples of histograms that are kept until somebody reads the metrics.
#[tokio::test]
async fn samples_are_not_kept_while_nobody_reads_the_metrics() {
    let handle = metering::install();
    let stop = CancellationToken::new();
    let upkeep = tokio::spawn(metering::keep_up(handle, stop.clone()));
    let before = resident_bytes();
    let began = Instant::now();
    for batch in 0..SAMPLES / BATCH {
        for _ in 0..BATCH {
            metrics::histogram!("medlarhatch_request_seconds").record(0.001);
        }
        yield_now().await;
        if batch % PAUSE_BATCHES == 0 {
            sleep(Duration::from_millis(250)).await;
        }
    }
    let growth = resident_bytes().saturating_sub(before);
    stop.cancel();
    upkeep.await.expect("it ends");
    assert!(began.elapsed() > Duration::from_secs(1), "it was kept up");
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
}
