//! The store process: it connects the replicas with the network, the clock and the disk.

mod connections;
mod disk_writer;
mod encoder;
mod event_loop;
mod input;
mod links;
mod operation_log_writer;
mod operations;
mod pending_writes;
mod publisher;
mod request_sender;
mod storage;

use crate::consensus::{DurableState, Replica, ReplicaOptions};
use error_stack::{Report, ResultExt};
use event_loop::EventLoop;
use input::{Input, InputSender};
use operation_log_writer::OperationLogWriter;
use operations::{Operations, MAX_LOG_BYTES, STARTED_AT};
use slog::{info, Logger};
use std::path::PathBuf;
use storage::Storage;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinSet;
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::connection;
use violetyoke_transport::daemon::{bind, StartError};
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::StoreId;

const PROGRAM: &str = "store";

/// Runs the program until it ends; `arguments` are the command-line arguments after the program name.
pub fn program(arguments: lexopt::Parser) -> std::process::ExitCode {
    let about = "The store of configuration: one process on each core machine.";
    violetyoke_transport::daemon::run(PROGRAM, about, arguments, run)
}

/// Runs a store until it has received a shutdown request and completed the handover to other stores.
///
/// All tasks that the function spawns end when it returns.
///
/// # Errors
///
/// If the data folder can't be opened or the port can't be bound.
pub async fn run(settings: Settings, lifecycle: Lifecycle, log: Logger) -> Result<(), Report<StartError>> {
    let (storage, durable) = open_storage(&settings)?;
    let address = (settings.local.ip, settings.internal_port(Process::Store)).into();
    let listener = bind(PROGRAM, Some(address), "network.internal-ports")?;
    info!(log, "started"; "epoch" => durable.config.epoch, "version" => durable.state.version);
    // Unbounded, because the connections' callbacks, which send the inputs, can't wait. The event loop never blocks,
    // and the rate of a connection's inputs is bounded by the speed of its link.
    let (inputs, queue) = unbounded_channel();
    let inputs = InputSender(inputs);
    let mut tasks = JoinSet::new();
    let accepted = inputs.clone();
    tasks.spawn_local(connection::accept_all(listener, move |id| {
        let inputs = accepted.clone();
        move |event| inputs.send(Input::Accepted(id, event))
    }));
    let replica = Replica::new(replica_options(&settings, &lifecycle, durable), STARTED_AT);
    let operations = open_operations(&settings, &replica, &inputs, log.clone())?;
    EventLoop::new(&settings, replica, operations, storage, inputs, log).run(queue, lifecycle).await;
    Ok(())
}

/// Opens the storage of the durable state, and reads the state of an earlier run.
fn open_storage(settings: &Settings) -> Result<(Storage, DurableState), Report<StartError>> {
    let folder = data_folder(settings);
    let (storage, durable) = Storage::open(&folder)
        .change_context(StartError(PROGRAM))
        .attach_with(|| format!("self.data-dir: {}", folder.display()))?;
    Ok((storage, durable.unwrap_or_default()))
}

/// Opens the log of operations, and reads the records of an earlier run.
fn open_operations(
    settings: &Settings,
    replica: &Replica,
    inputs: &InputSender,
    log: Logger,
) -> Result<Operations, Report<StartError>> {
    let folder = data_folder(settings);
    let (writer, records) = OperationLogWriter::open(&folder, MAX_LOG_BYTES, inputs.clone())
        .change_context(StartError(PROGRAM))
        .attach_with(|| format!("self.data-dir: {}", folder.display()))?;
    Ok(Operations::new(replica, settings, writer, records, log))
}

fn data_folder(settings: &Settings) -> PathBuf {
    settings.local.data_dir.clone().unwrap_or_else(|| std::env::temp_dir().join("store"))
}

fn replica_options(settings: &Settings, lifecycle: &Lifecycle, durable: DurableState) -> ReplicaOptions {
    ReplicaOptions {
        ip: settings.local.ip,
        zone: settings.local.zone.clone(),
        seeds: settings.seeds(),
        fault_tolerance: settings.terms.fault_tolerance.machines,
        durable,
        new_disk_id: StoreId(lifecycle.incarnation),
        is_bootstrap: settings.local.bootstrap,
    }
}
