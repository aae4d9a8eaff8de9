//! What each control plane does for itself: it hears of what other processes have written, and looks after leases.

use super::App;
use std::sync::Arc;
use std::time::Duration;

/// How often: another process on the same store is heard of within this time.
const EVERY: Duration = Duration::from_millis(100);

/// Runs for as long as the process does.
pub async fn run(app: Arc<App>) {
    loop {
        let there = app.clone();
        match tokio::task::spawn_blocking(move || refresh(&there)).await {
            Ok(Err(error)) => tracing::error!(%error, "a look at the store"),
            Err(error) => tracing::error!(%error, "a look at the store"),
            Ok(Ok(())) => {}
        }
        tokio::time::sleep(EVERY).await;
    }
}

fn refresh(app: &App) -> crate::store::Result<()> {
    let mut audited = 0;
    app.store.view(&mut |read| {
        audited = read.audited()?;
        Ok(())
    })?;
    app.announce_revision(audited);
    app.leases.refresh(&*app.store, app.now())
}
