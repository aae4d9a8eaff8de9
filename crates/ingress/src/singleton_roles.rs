//! The singleton roles of the fleet that a serving process may own. They run on a separate thread and runtime,
//! so that they can't delay requests.

use std::io;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::signal::unix::{signal, SignalKind};
use violetyoke_config as file;
use violetyoke_duties::control_client::ControlClient;
use violetyoke_duties::holder::{holder_name, new_holder};
use violetyoke_duties::ingress_worker::IngressWorker;
use violetyoke_duties::supervisor::{self, RoleWorker, RoleWorkers};
use violetyoke_duties::usage::{self, UsageCounters};

/// Starts the thread. On SIGTERM it hands over the roles that it owns, and ends.
pub fn start(
    duties: file::SingletonRoles,
    control: file::Control,
    usage: UsageCounters,
) -> io::Result<JoinHandle<()>> {
    let name = holder_name(&control.name).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = ControlClient { address: control.address, key_file: control.key_file };
    let worker: Arc<dyn RoleWorker> =
        Arc::new(IngressWorker { control: client.clone(), report_sink: duties.report_address });
    let workers: RoleWorkers = duties.names.iter().map(|role| (role.clone(), worker.clone())).collect();
    let work = async move {
        let mut terminate = match signal(SignalKind::terminate()) {
            Ok(terminate) => terminate,
            Err(error) => return tracing::error!(%error, "no duties are taken"),
        };
        let usage_publisher = tokio::spawn(usage::publish(usage, client.clone(), name.clone()));
        let holder = new_holder(name, duties.names.clone());
        let shutdown = async move {
            terminate.recv().await;
        };
        supervisor::run(Arc::new(client), holder, workers, shutdown).await;
        usage_publisher.abort();
    };
    Builder::new().name("duties".into()).spawn(move || runtime.block_on(work))
}
