//! The signals that shut down the program.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// Fails when a signal handler cannot be installed.
pub async fn requested() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        biased;
        result = tokio::signal::ctrl_c() => result?,
        _ = terminate.recv() => {}
    }
    Ok(())
}
