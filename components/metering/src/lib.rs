//! Metrics of the process, in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
pub use metrics_exporter_prometheus::PrometheusHandle;

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
