//! The regular refresh of each control plane: it notices what other processes have written, and expires leases.

use super::app::App;
use crate::store::Result;
use std::sync::Arc;
use std::time::Duration;

/// Time between two refreshes: what another process on the same store has written is noticed within it.
const INTERVAL: Duration = Duration::from_millis(100);

/// Runs until the task is aborted.
pub(super) async fn run(app: Arc<App>) {
    loop {
        let refreshed = app.clone();
        // The store blocks.
        match tokio::task::spawn_blocking(move || refresh(&refreshed)).await {
            Ok(Err(error)) => tracing::error!(%error, "refresh from the store"),
            Err(error) => tracing::error!(%error, "refresh from the store"),
            Ok(Ok(())) => {}
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn refresh(app: &App) -> Result<()> {
    let mut audited = 0;
    app.store.view(&mut |read| {
        audited = read.audited_revision()?;
        Ok(())
    })?;
    app.announce_revision(audited);
    app.leases.refresh(&*app.store, app.now())
}
