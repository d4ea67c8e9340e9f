//! Metrics of the process, in the Prometheus text format.

use std::{
    sync::OnceLock,
    time::Duration, //
};

use metrics_exporter_prometheus::PrometheusBuilder;
pub use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

/// Interval at which the samples of histograms are added up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bounds of the buckets of every histogram, in seconds.
const BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.054, 0.1, 0.2, 0.5, 1.0, 1.9, 3.0, 10.0, 60.0, 600.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process, once, and returns its handle; several daemons in one
/// process share it.
pub fn install() -> PrometheusHandle {
    HANDLE.get_or_init(build_recorder).clone()
}

/// Adds up the samples of histograms at an interval, until `stop` is cancelled. The recorder keeps each
/// one until then, or until somebody reads the metrics.
pub async fn keep_up(handle: PrometheusHandle, stop: CancellationToken) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => handle.run_upkeep(),
        }
    }
}

fn build_recorder() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_SECONDS)
        .expect("the list of buckets is not empty")
        .build_recorder();
    let handle = recorder.handle();
    // The embedding program may have installed its own recorder, which then receives the metrics.
    let _ = metrics::set_global_recorder(recorder);
    handle
}
