//! The roles that an ingress can run, each as it is declared at the control plane.

use crate::control_client::{ControlClient, ControlError};
use crate::lease::LeaseHandle;
use crate::supervisor::RoleWorker;
use crate::{health_probe, usage_report};
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_ownership::{RoleKind, SingletonRole};

/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Runs the roles of an ingress.
#[derive(Clone)]
pub struct IngressWorker {
    /// The control plane.
    pub control: ControlClient,
    /// The receiver of usage reports.
    pub report_sink: SocketAddr,
}

impl IngressWorker {
    async fn read_declaration(&self, role: &str) -> Result<SingletonRole, ControlError> {
        let path = format!("/v1/duties/{role}");
        let declaration = self.control.get(&path).await?;
        serde_json::from_value(declaration).map_err(|source| ControlError::Json { path, source })
    }

    /// Waits for the role's declaration. Returns `None` if the lease is to be handed over before then. The lease is
    /// not renewed while waiting, so that it passes to a process that can read the declaration.
    async fn wait_for_declaration(&self, lease: &LeaseHandle) -> Option<SingletonRole> {
        loop {
            match self.read_declaration(&lease.claim.shard.role).await {
                Ok(role) => return Some(role),
                Err(error) => {
                    tracing::warn!(lease = %lease.claim.shard, %error, "the role's declaration is not known");
                }
            }
            if lease.is_ending() {
                return None;
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

impl RoleWorker for IngressWorker {
    fn run(&self, lease: LeaseHandle) -> BoxFuture<'static, ()> {
        let worker = self.clone();
        Box::pin(async move {
            let Some(role) = worker.wait_for_declaration(&lease).await else { return };
            match role.kind {
                RoleKind::Report => usage_report::run(worker.control, worker.report_sink, lease).await,
                RoleKind::Probe => health_probe::run(worker.control, role, lease).await,
                RoleKind::Upkeep => {
                    tracing::error!(lease = %lease.claim.shard, "upkeep runs in a control plane");
                }
            }
        })
    }
}
