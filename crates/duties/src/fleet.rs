//! The duties that an ingress may own, each as it is declared at the control plane.

use crate::desk::{Control, Refused};
use crate::lease::Lease;
use crate::office::Work;
use crate::{probe, report};
use futures_util::future::BoxFuture;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_ownership::duty::{Duty, Kind};

/// The pause after what failed.
const PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone)]
pub struct Fleet {
    pub control: Control,
    /// Who gets the report of use.
    pub sink: SocketAddr,
}

impl Fleet {
    async fn declared(&self, name: &str) -> Result<Duty, Refused> {
        let value = self.control.json(Method::GET, &format!("/v1/duties/{name}"), None).await?;
        serde_json::from_value(value).map_err(|error| Refused::Failed(error.to_string()))
    }
}

impl Work for Fleet {
    fn run(&self, lease: Lease) -> BoxFuture<'static, ()> {
        let fleet = self.clone();
        Box::pin(async move {
            // Until it is known what is to be done, the lease is not renewed: it goes to one who knows.
            let duty = loop {
                match fleet.declared(&lease.claim.name.duty).await {
                    Ok(duty) => break duty,
                    Err(error) => {
                        tracing::warn!(lease = %lease.claim.name, ?error, "what it is, is not known")
                    }
                }
                if lease.is_ending() {
                    return;
                }
                sleep(PAUSE).await;
            };
            match duty.kind {
                Kind::Report => report::run(fleet.control, fleet.sink, lease).await,
                Kind::Probe => probe::run(fleet.control, duty, lease).await,
                Kind::Upkeep => tracing::error!(lease = %lease.claim.name, "upkeep is a control plane's"),
            }
        })
    }
}
