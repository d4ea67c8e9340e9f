//! A daemon with a runtime of its own.

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

/// Threads of one daemon.
const THREADS: usize = 2;

/// A daemon that runs on its own runtime.
pub struct Host<T> {
    /// The daemon; none once it was told to stop.
    pub daemon: Option<T>,
    stop: CancellationToken,
    runtime: Option<Runtime>,
}

impl<T> Host<T>
where
    T: Send + 'static,
{
    /// Starts a daemon; `start` gets the token that stops it.
    pub async fn start<F, E>(start: impl FnOnce(CancellationToken) -> F) -> Result<Self, E>
    where
        F: Future<Output = Result<T, E>> + Send + 'static,
        E: From<io::Error> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
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

    /// Kills the daemon: nothing is finished, nobody is told.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops everything that the daemon does for a time, as a stopped process or machine would: each
    /// thread of its runtime is blocked. Its sockets stay, and its peers hear nothing.
    pub fn pause(&self, time: Duration) {
        let Some(runtime) = &self.runtime else {
            return;
        };
        for _ in 0..THREADS {
            runtime.spawn(async move { thread::sleep(time) });
        }
    }

    /// Tells the daemon to stop, as the platform's signal does.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl<T> Drop for Host<T> {
    fn drop(&mut self) {
        // A runtime may not be dropped inside another one's task.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
