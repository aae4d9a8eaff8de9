//! How a control plane's own lease holder reaches the lease service of the same process.

use crate::api::App;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use violetyoke_duties::lease_client::{LeaseClient, LeaseClientError};
use violetyoke_ownership::{ProcessKind, RenewRequest, RenewResponse};

/// The lease service of the same process.
pub struct LocalLeaseClient(pub Arc<App>);

fn local(error: impl std::error::Error + Send + Sync + 'static) -> LeaseClientError {
    LeaseClientError::Local(Box::new(error))
}

impl LeaseClient for LocalLeaseClient {
    fn renew(&self, request: RenewRequest) -> BoxFuture<'_, Result<RenewResponse, LeaseClientError>> {
        let app = self.0.clone();
        Box::pin(async move {
            // The store blocks.
            let processing = tokio::task::spawn_blocking(move || {
                app.leases.process(&*app.store, request, ProcessKind::Control, app.now())
            });
            processing.await.map_err(local)?.map_err(local)
        })
    }

    fn wait_for_lease(&self, holder: &str) -> BoxFuture<'_, Result<(), LeaseClientError>> {
        let (app, holder) = (self.0.clone(), holder.to_string());
        Box::pin(async move {
            let mut availability = app.leases.subscribe();
            while !app.leases.has_lease_for(&holder) {
                availability.changed().await.map_err(local)?;
            }
            Ok(())
        })
    }
}
