//! Stops a daemon on a signal.

use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tokio_util::sync::CancellationToken;

use crate::messages::Failure;

/// Returns a token that SIGTERM and SIGINT cancel.
///
/// # Errors
///
/// Returns [`Failure::Failed`] if a signal handler can't be installed.
pub fn on_signal() -> Result<CancellationToken, Failure> {
    let token = CancellationToken::new();
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(token)
}

fn listen(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Failure> {
    signal(kind)
        .map_err(|error| Failure::Failed(format!("can't install a signal handler: {error}")))
}
