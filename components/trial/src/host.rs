//! Host that runs one daemon on its own Tokio runtime.

use std::{
    future::Future,
    io,
    thread,
    time::Duration, //
};

use tokio::runtime::{
    Builder,
    Runtime, //
};
use tokio_util::sync::CancellationToken;

/// Worker threads of one daemon's runtime.
const WORKER_THREADS: usize = 2;

/// Daemon on its own runtime, killed on drop.
pub struct Host<T> {
    /// Handle of the daemon.
    pub daemon: Option<T>,
    stop: CancellationToken,
    runtime: Option<Runtime>,
}

impl<T> Host<T>
where
    T: Send + 'static,
{
    /// Starts a daemon on a new runtime. `start` receives the token that stops the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't be built, or the error of `start`.
    pub async fn start<F, E>(start: impl FnOnce(CancellationToken) -> F) -> Result<Self, E>
    where
        F: Future<Output = Result<T, E>> + Send + 'static,
        E: From<io::Error> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let stop = CancellationToken::new();
        let started = runtime.spawn(start(stop.clone())).await;
        let daemon = started.map_err(io::Error::other)??;
        Ok(Self {
            daemon: Some(daemon),
            stop,
            runtime: Some(runtime),
        })
    }

    /// Kills the daemon at once: its tasks and sockets are dropped, and its peers aren't notified.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Pauses the daemon for `duration`, as a stopped process or machine, by blocking all worker
    /// threads of its runtime. Its sockets stay open, and its peers receive nothing.
    pub fn pause(&self, duration: Duration) {
        let Some(runtime) = &self.runtime else {
            return;
        };
        for _ in 0..WORKER_THREADS {
            runtime.spawn(async move { thread::sleep(duration) });
        }
    }

    /// Asks the daemon to shut down gracefully, as the platform's signal does.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl<T> Drop for Host<T> {
    fn drop(&mut self) {
        // Tokio panics if a runtime is dropped in an asynchronous context.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
