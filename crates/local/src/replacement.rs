//! Replaces single processes of a running system, as an upgrade does.

use crate::programs::{Daemon, Programs};
use crate::system::System;
use serde_json::Value;
use std::fmt;
use std::io;
use std::mem;
use std::time::Duration;
use violetyoke_rig::process::Process;
use violetyoke_rig::wait_until;

/// Names one process of a system: the daemon, and the index of its machine among the core or the edge machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProcessRef {
    /// The store of a core machine.
    Store(usize),
    /// The registry of a core machine.
    Registry(usize),
    /// The proxy of an edge machine.
    Proxy(usize),
}

impl fmt::Display for ProcessRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessRef::Store(core) => write!(f, "core-{} store", core + 1),
            ProcessRef::Registry(core) => write!(f, "core-{} registry", core + 1),
            ProcessRef::Proxy(edge) => write!(f, "edge-{} proxy", edge + 1),
        }
    }
}

impl System {
    /// Ends one process by SIGTERM, and starts the same daemon from these programs instead. Returns the ended
    /// process, whose output can still be read.
    ///
    /// # Errors
    /// When the process has not ended within `grace`, or the new one can't be started.
    pub fn replace(
        &mut self,
        process_ref: ProcessRef,
        programs: &Programs,
        grace: Duration,
    ) -> io::Result<Process> {
        let (daemon, settings) = match process_ref {
            ProcessRef::Store(core) => (Daemon::Store, self.cores[core].settings.clone()),
            ProcessRef::Registry(core) => (Daemon::Registry, self.cores[core].settings.clone()),
            ProcessRef::Proxy(edge) => (Daemon::Proxy, self.edges[edge].settings.clone()),
        };
        let process = self.process_mut(process_ref);
        process.terminate()?;
        if !wait_until(grace, || process.has_ended()) {
            let message = format!("{process_ref} has not ended within {grace:?} of SIGTERM");
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        Ok(mem::replace(process, Process::start(programs.command(daemon, &settings))?))
    }

    /// Kills the store of a core machine and removes its disk. When the store is started again, it finds an empty
    /// folder, and settings that do not allow a first start of the system.
    ///
    /// # Errors
    /// Those of the signal, and of files that can't be removed or written.
    pub fn lose_disk(&mut self, core: usize) -> io::Result<()> {
        let machine = &mut self.cores[core];
        machine.store.kill()?;
        std::fs::remove_dir_all(&machine.data)?;
        let mut settings: Value = serde_json::from_slice(&std::fs::read(&machine.settings)?)?;
        settings["self"]["bootstrap"] = Value::Bool(false);
        std::fs::write(&machine.settings, settings.to_string())
    }

    /// The process that a reference names.
    ///
    /// # Panics
    /// When the system has no such machine.
    pub fn process_mut(&mut self, process_ref: ProcessRef) -> &mut Process {
        match process_ref {
            ProcessRef::Store(core) => &mut self.cores[core].store,
            ProcessRef::Registry(core) => &mut self.cores[core].registry,
            ProcessRef::Proxy(edge) => &mut self.edges[edge].proxy,
        }
    }

    /// References to all processes.
    #[must_use]
    pub fn process_refs(&self) -> Vec<ProcessRef> {
        let cores =
            (0..self.cores.len()).flat_map(|core| [ProcessRef::Store(core), ProcessRef::Registry(core)]);
        cores.chain((0..self.edges.len()).map(ProcessRef::Proxy)).collect()
    }
}
