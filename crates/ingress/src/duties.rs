//! The fleet's work in a process that serves: on a thread and a runtime of its own, so that what it waits for is
//! nothing that requests wait for.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::signal::unix::{signal, SignalKind};
use violetyoke_config as file;
use violetyoke_duties::desk::Control;
use violetyoke_duties::fleet::Fleet;
use violetyoke_duties::office::{self, Work};
use violetyoke_duties::uses::{self, Uses};

/// Starts it. SIGTERM has it hand over what it owns, and end.
pub fn start(duties: file::Duties, control: file::Control, uses: Uses) -> io::Result<JoinHandle<()>> {
    let life = office::life(&control.name).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let desk = Control { address: control.address, key_file: control.key_file };
    let work: Arc<dyn Work> = Arc::new(Fleet { control: desk.clone(), sink: duties.sink });
    let works: BTreeMap<_, _> = duties.take.iter().map(|name| (name.clone(), work.clone())).collect();
    let work = async move {
        let mut terminate = match signal(SignalKind::terminate()) {
            Ok(terminate) => terminate,
            Err(error) => return tracing::error!(%error, "no duties are taken"),
        };
        let telling = tokio::spawn(uses::tell(uses, desk.clone(), life.clone()));
        let holder = office::holder(life, duties.take.clone());
        let end = async move {
            terminate.recv().await;
        };
        office::run(Arc::new(desk), holder, works, end).await;
        telling.abort();
    };
    Builder::new().name("duties".into()).spawn(move || runtime.block_on(work))
}
